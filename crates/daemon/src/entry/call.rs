use std::collections::VecDeque;

use control::Member;
use rules::Priority;
use tokio::time::{Instant, timeout_at};
use types::{Attempt, Request, Team, Verdict};
use wire::{Call, Dispatch, Frame, Reason, Refused, Reply, Work};

use super::Shared;
use super::api::Refusal;
use super::relay::{is_redirect, open_stream, refusal, remaining_ms};
use super::route::{Need, candidates, refreshed_candidates};

/// Runs a call of a plain service.
///
/// Only a call that was not run, that is idempotent or that has a key is retried; the claim of the
/// key keeps the latter from running twice.
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
    let mut last_refusal = refusal(request, Verdict::NotRun, Reason::WrongTarget);
    let mut is_first = true;
    let mut tried: Vec<String> = Vec::new();
    let mut queue = VecDeque::from(candidates(shared, Need::Service(&call.service), key, true));
    loop {
        if queue.is_empty() && last_refusal.verdict == Verdict::NotRun {
            // The view is updated before the routing tables, so it may know targets that have not been
            // tried.
            let known = refreshed_candidates(shared, Need::Service(&call.service), key);
            let untried = known.into_iter();
            queue.extend(untried.filter(|candidate| !tried.contains(&candidate.member.name)));
        }
        let Some(candidate) = queue.pop_front() else {
            break;
        };
        let member = candidate.member;
        tried.push(member.name.clone());
        if !is_first && !may_retry(shared, &last_refusal, &call) {
            break;
        }
        if Instant::now() >= deadline {
            last_refusal.reason = Reason::Deadline;
            break;
        }
        is_first = false;
        let dispatch = Dispatch {
            request,
            attempt: Attempt(rand::random()),
            team: team.clone(),
            priority,
            deadline_ms: remaining_ms(deadline),
            uncached_tokens: 0,
            max_wait_ms: u32::MAX,
            version: shared.view.version(),
            work: Work::Call(call.clone()),
        };
        match attempt(shared, &member, dispatch, deadline).await {
            Ok(reply) => return Ok(reply),
            Err(refused) => {
                if matches!(refused.reason, Reason::Leaving | Reason::Unavailable) {
                    shared.loads.record_failure(&member.name, crate::now());
                }
                last_refusal = Refused {
                    verdict: last_refusal.verdict.combine(refused.verdict),
                    ..refused
                };
            }
        }
    }
    Err(Refusal::system(
        last_refusal.reason,
        last_refusal.verdict,
        last_refusal.retry_after_ms,
    ))
}

fn may_retry(shared: &Shared, last_refusal: &Refused, call: &Call) -> bool {
    let is_final = matches!(
        last_refusal.reason,
        Reason::Deadline | Reason::Platform | Reason::InDoubt | Reason::Invalid | Reason::Mismatch
    );
    let is_safe = last_refusal.verdict == Verdict::NotRun || call.repeatable || call.key.is_some();
    !is_final && is_safe && (is_redirect(last_refusal) || shared.budget().try_retry())
}

async fn attempt(
    shared: &Shared,
    member: &Member,
    dispatch: Dispatch,
    deadline: Instant,
) -> Result<Reply, Refused> {
    let request = dispatch.request;
    let refuse = |verdict, reason| refusal(request, verdict, reason);
    let mut stream = match open_stream(shared, member, &Frame::Dispatch(dispatch)).await {
        Ok(stream) => stream,
        Err(error) => {
            shared.record_unreachable(&member.name);
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
            shared.loads.record(&member.name, reply.load, crate::now());
            Ok(reply)
        }
        Frame::Refused(refused) if refused.request == request => {
            shared
                .loads
                .record(&member.name, refused.load, crate::now());
            Err(refused)
        }
        _ => {
            shared.metrics.count_refusal("crossed");
            Err(refuse(Verdict::MayHaveRun, Reason::Unavailable))
        }
    }
}
