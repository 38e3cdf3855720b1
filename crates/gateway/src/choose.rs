//! Gathers what placement needs to know of each target, and turns its choice into an attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::catalog::Catalog;
use fleet::kept::{self, Act, Kept};
use fleet::peers::FAN_OUT;
use fleet::placement;
use fleet::roster::Member;
use types::{Domain, Service, Store, Target, Time};

use crate::attempt::{Asked, Choice};
use crate::border::{Fetch, Prompt, Send};
use crate::clock::now;
use crate::shared::Shared;

/// The part of the fetch time that is expected at the target where requests of a session meet.
const HOME_FETCH: f64 = 0.5;
/// The number of entries up to which all loads are current at each.
const MOST_CURRENT: usize = 2 * FAN_OUT;
/// Targets to choose from beyond that.
const SAMPLE: usize = 7;
/// How many of them are close to the store host that keeps the session, if there is one.
const SAMPLE_NEAR: usize = 4;
/// Tokens of an answer whose length nobody estimated.
const EXPECTED_OUTPUT: u64 = 80;
/// The time before the bound on old weights in which a request may still wait at its target.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1500);

/// Chooses a target for a request.
pub(crate) fn choose<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    service: &Service,
    left_out: &[Target],
    seen: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let catalog: Rc<Catalog> = shared.catalog()?;
    let pool = catalog.pool(service)?;
    let roster = shared.roster.borrow();
    let evacuated = shared.evacuated.borrow();
    let board = shared.board.borrow();
    let mut ramp = shared.ramp.borrow_mut();
    let bounds = &shared.settings.bounds;
    let entries = shared.entries.get();
    let cold_limit = pool.cold_rate * bounds.cold_factor + bounds.cold_slack;
    let mut usable = Vec::new();
    for entry in roster.iter() {
        let member = &entry.member;
        if member.service != *service
            || member.draining
            || evacuated.contains(&member.domain)
            || left_out.contains(&member.id)
        {
            continue;
        }
        if is_expired(shared, asked.ask.prompt.as_ref(), member, time) {
            continue;
        }
        let is_cold = pool.cold_rate > 0.0 && entry.cold_until > time;
        if is_cold
            && !(shared.has_joined(time) && ramp.allows(&member.id, cold_limit, entries, time))
        {
            continue;
        }
        let avoided = board.avoids(&member.id, time) || entry.doubted_since.is_some();
        usable.push((member, avoided));
    }
    // A target that failed lately is better than none.
    if usable.iter().any(|(_, avoided)| !avoided) {
        usable.retain(|(_, avoided)| !avoided);
    }
    let prompt = asked.ask.prompt.as_ref();
    let usable_count = usable.len();
    let kept = shared.kept.borrow();
    let near = prompt.and_then(|prompt| near(asked, prompt, &usable, &kept));
    let mut home = prompt.and_then(|prompt| home(prompt, &usable, near.as_ref()));
    sample(shared, &mut usable, &mut home, near.as_ref());
    let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
    let own = prompt.map_or(0, own_tokens);
    let need = prompt.map_or(0, memory);
    let capacity = pool.engine.as_ref().map_or(0, |engine| engine.memory);
    let mut plans = Vec::with_capacity(usable.len());
    let mut candidates = Vec::with_capacity(usable.len());
    for (index, (member, _)) in usable.iter().enumerate() {
        let parts = prompt.map(|prompt| shared_parts(asked, prompt, member));
        let parts = parts.unwrap_or_default();
        let plan = kept.plan(&parts, &place(member, usable_count), draw, time);
        // Requests of a session meet at the same target, which has likely kept their parts.
        let fetch = plan.fetch + plan.strain;
        let fetch = match Some(index) == home {
            true => fetch.mul_f64(HOME_FETCH),
            false => fetch,
        };
        candidates.push(placement::Candidate {
            load: shared.load(&member.id),
            unread: own + plan.unread,
            fetch,
            slots: member.slots,
            capacity,
            need,
            remote: member.domain != shared.settings.domain,
            outdated: is_outdated(shared, prompt, member),
        });
        plans.push((parts, plan));
    }
    let open: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].is_open())
        .collect();
    let choices: Vec<placement::Candidate> = open.iter().map(|&index| candidates[index]).collect();
    let index = open[placement::best(&choices, shared.draw())?];
    let member = Arc::clone(usable[index].0);
    let version = prompt.and_then(|prompt| member.version(&prompt.model));
    let space = prompt.map(|prompt| space(asked, &prompt.model, version));
    let (parts, plan) = plans.swap_remove(index);
    let address = |store: &Store| kept.host(store).map(|host| host.address);
    let fetch = plan.acts.iter().map(|act| match act {
        Act::Fetch(store) => address(store).map(|from| Fetch { from, tokens: None }),
        Act::Read | Act::Skip(_) | Act::Save(_) => None,
    });
    let save = plan.acts.iter().map(|act| match act {
        Act::Save(store) => address(store),
        Act::Read | Act::Skip(_) | Act::Fetch(_) => None,
    });
    // The last part of a prompt is its own and neither fetched nor saved.
    let fetch = fetch.chain(prompt.map(|_| None)).collect();
    let save = save.chain(prompt.map(|_| None)).collect();
    Some(Choice {
        send: Send {
            target: member.id.clone(),
            left: asked.left(time),
            team: asked.holder.as_ref().map(|holder| holder.team.clone()),
            seen,
            space,
            version,
            urgency: None,
            fetch,
            save,
        },
        unread: candidates[index].unread,
        need,
        targets: usable_count,
        parts,
        plan,
        member,
        pool: Arc::clone(pool),
    })
}

/// Leaves a few targets to choose from, the home among them, where many entries choose.
///
/// Loads of others are some hundred ms old then, and the target that seems least loaded would get
/// the requests of all entries.
fn sample<Border>(
    shared: &Shared<Border>,
    usable: &mut Vec<(&Arc<Member>, bool)>,
    home: &mut Option<usize>,
    near: Option<&Domain>,
) {
    if shared.entries.get() <= MOST_CURRENT || usable.len() <= SAMPLE {
        return;
    }
    if let Some(index) = *home {
        usable.swap(0, index);
        *home = Some(0);
    }
    let kept = usize::from(home.is_some());
    for index in kept..SAMPLE {
        let close: Vec<usize> = (index..usable.len())
            .filter(|&other| index < SAMPLE_NEAR && Some(&usable[other].0.domain) == near)
            .collect();
        let draw = shared.draw() as usize;
        let chosen = match close.len() {
            0 => index + draw % (usable.len() - index),
            count => close[draw % count],
        };
        usable.swap(index, chosen);
    }
    usable.truncate(SAMPLE);
}

/// Returns the failure domain of the store host that keeps the session's part, where there are
/// many targets; a transfer to another domain takes its link twice as long.
fn near(
    asked: &Asked,
    prompt: &Prompt,
    usable: &[(&Arc<Member>, bool)],
    kept: &Kept,
) -> Option<Domain> {
    let (member, _) = usable.first()?;
    let parts = shared_parts(asked, prompt, member);
    let domain = kept.domain(parts.last()?)?;
    let there = usable.iter().filter(|(member, _)| member.domain == *domain);
    (there.count() >= SAMPLE_NEAR).then(|| domain.clone())
}

/// Returns the target at which requests of a session meet.
fn home(prompt: &Prompt, usable: &[(&Arc<Member>, bool)], near: Option<&Domain>) -> Option<usize> {
    let session = prompt.parts.iter().rev().nth(1).or(prompt.parts.last())?;
    let key = routing::Key::new(&[session.id.as_bytes()]);
    let is_near = |member: &Member| near.is_none_or(|near| member.domain == *near);
    let members = usable
        .iter()
        .enumerate()
        .filter(|(_, (member, _))| is_near(member))
        .map(|(index, (member, _))| (hash(&member.id), index));
    routing::top(key, members, 1).first().copied()
}

pub(crate) fn place(member: &Member, targets: usize) -> kept::Place<'_> {
    kept::Place {
        targets,
        target: &member.id,
        domain: &member.domain,
    }
}

/// Returns the tokens of memory that a prompt takes beyond the first part, which nearly all prompts
/// share.
fn memory(prompt: &Prompt) -> u64 {
    let first = match prompt.parts.len() {
        0 | 1 => 0,
        _ => prompt.parts[0].tokens,
    };
    let expected = prompt.expected.unwrap_or(EXPECTED_OUTPUT);
    prompt.input.saturating_sub(first) + expected.min(prompt.output)
}

fn own_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(prompt.input, |part| part.tokens)
}

/// Returns the parts that other requests may share: all but the last.
fn shared_parts(asked: &Asked, prompt: &Prompt, member: &Member) -> Vec<kept::Shared> {
    let space: Arc<str> = space(asked, &prompt.model, member.version(&prompt.model)).into();
    let count = prompt.parts.len().saturating_sub(1);
    let parts = prompt.parts.iter().take(count);
    parts
        .map(|part| kept::Shared {
            key: kept::Key {
                space: Arc::clone(&space),
                id: part.id.as_ref().into(),
            },
            tokens: part.tokens,
        })
        .collect()
}

pub(crate) fn is_outdated<Border>(
    shared: &Rc<Shared<Border>>,
    prompt: Option<&Prompt>,
    member: &Member,
) -> bool {
    let Some(prompt) = prompt else {
        return false;
    };
    let named = shared.rollout.borrow().named(&prompt.model);
    let serves = member.version(&prompt.model);
    matches!((named, serves), (Some(named), Some(serves)) if serves < named.version)
}

/// Returns the name under which a target keeps parts of a prompt. Weights and, where a team is
/// isolated, the team are part of it, so that parts of other ones cannot be found.
fn space(asked: &Asked, model: &str, version: Option<u64>) -> Box<str> {
    let version = version.unwrap_or(0);
    match &asked.holder {
        Some(holder) if holder.isolated => format!("{model}.{version}.{}", holder.team).into(),
        _ => format!("{model}.{version}").into(),
    }
}

/// Says whether nothing may begin on a target's weights any more, as newer ones were named too long
/// ago. What begins there is worth nothing then.
fn is_expired<Border>(
    shared: &Shared<Border>,
    prompt: Option<&Prompt>,
    member: &Member,
    time: Time,
) -> bool {
    let bound = shared.settings.weights().saturating_sub(WEIGHTS_MARGIN);
    let rollout = shared.rollout.borrow();
    let since = prompt.and_then(|prompt| rollout.outdated_since(member, &prompt.model));
    since.is_some_and(|since| time.since(since) >= bound)
}

fn hash(target: &Target) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(target.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
