use std::collections::VecDeque;

use control::Member;
use rules::Priority;
use tokio::time::{Instant, timeout_at};
use types::{Attempt, Request, Team, Verdict};
use wire::{Call, Dispatch, Frame, Reason, Refused, Reply, Work};

use super::Shared;
use super::api::Refusal;
use super::relay::{is_redirect, left_ms, refused, send};
use super::route::{Need, candidates, refreshed};

/// Runs a call of a plain service.
///
/// Only a call that was not run, that may repeat or that has a key is tried again; the claim of
/// the key keeps the latter from running twice.
pub(super) async fn run(
    shared: &Shared,
    request: Request,
    (team, priority): (Team, Priority),
    call: Call,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    shared.metrics.requests.with_label_values(&["call"]).inc();
    shared.budget().on_request();
    let key = routing::Key::new(&[&rand::random::<u128>().to_le_bytes()]);
    let mut last = refused(request, Verdict::NotRun, Reason::WrongTarget);
    let mut is_first = true;
    let mut tried: Vec<String> = Vec::new();
    let mut waiting = VecDeque::from(candidates(shared, Need::Service(&call.service), key, true));
    loop {
        if waiting.is_empty() && last.verdict == Verdict::NotRun {
            // The tables lag the view by a moment, so it may know targets that were not tried.
            let known = refreshed(shared, Need::Service(&call.service), key);
            let fresh = known.into_iter();
            waiting.extend(fresh.filter(|one| !tried.contains(&one.member.name)));
        }
        let Some(candidate) = waiting.pop_front() else {
            break;
        };
        let member = candidate.member;
        tried.push(member.name.clone());
        if !is_first && !may_retry(shared, &last, &call) {
            break;
        }
        if Instant::now() >= deadline {
            last.reason = Reason::Deadline;
            break;
        }
        is_first = false;
        let dispatch = Dispatch {
            request,
            attempt: Attempt(rand::random()),
            team: team.clone(),
            priority,
            deadline_ms: left_ms(deadline),
            uncached_tokens: 0,
            max_wait_ms: u32::MAX,
            version: shared.view.version(),
            work: Work::Call(call.clone()),
        };
        match once(shared, &member, dispatch, deadline).await {
            Ok(reply) => return Ok(reply),
            Err(refused) => {
                if matches!(refused.reason, Reason::Leaving | Reason::Unavailable) {
                    shared.loads.failed(&member.name, crate::now());
                }
                last = Refused {
                    verdict: last.verdict.combine(refused.verdict),
                    ..refused
                };
            }
        }
    }
    Err(Refusal::system(
        last.reason,
        last.verdict,
        last.retry_after_ms,
    ))
}

fn may_retry(shared: &Shared, last: &Refused, call: &Call) -> bool {
    let is_final = matches!(
        last.reason,
        Reason::Deadline | Reason::Platform | Reason::InDoubt | Reason::Invalid | Reason::Mismatch
    );
    let is_safe = last.verdict == Verdict::NotRun || call.repeatable || call.key.is_some();
    !is_final && is_safe && (is_redirect(last) || shared.budget().try_retry())
}

async fn once(
    shared: &Shared,
    member: &Member,
    dispatch: Dispatch,
    deadline: Instant,
) -> Result<Reply, Refused> {
    let request = dispatch.request;
    let refuse = |verdict, reason| refused(request, verdict, reason);
    let mut stream = match send(shared, member, &Frame::Dispatch(dispatch)).await {
        Ok(stream) => stream,
        Err(error) => {
            shared.unreachable(&member.name);
            return Err(refuse(error.verdict(), Reason::Unavailable));
        }
    };
    let frame = match timeout_at(deadline, stream.receiver.recv()).await {
        Ok(Ok(Some(frame))) => frame,
        Ok(Ok(None) | Err(_)) => return Err(refuse(Verdict::MayHaveRun, Reason::Unavailable)),
        Err(_) => return Err(refuse(Verdict::MayHaveRun, Reason::Deadline)),
    };
    match frame {
        Frame::Reply(reply) if reply.request == request => {
            shared.loads.heard(&member.name, reply.load, crate::now());
            Ok(reply)
        }
        Frame::Refused(refused) if refused.request == request => {
            shared.loads.heard(&member.name, refused.load, crate::now());
            Err(refused)
        }
        _ => {
            shared.metrics.refused("crossed");
            Err(refuse(Verdict::MayHaveRun, Reason::Unavailable))
        }
    }
}
