//! Gathers what placement needs to know of each target, and turns a choice into an attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::catalog::Pool;
use fleet::desk::{Ask, Demand, Offer};
use fleet::kept::{self, Act, Local};
use fleet::peers::FAN_OUT;
use fleet::placement::{self, Candidate, Load};
use fleet::roster::Member;
use types::{Domain, Model, Service, Store, Target, Team, Time};

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

/// Returns what has to be known of a request to place it.
pub(crate) fn demand<Border>(
    shared: &Shared<Border>,
    asked: &Asked,
    left_out: &[Target],
) -> Demand {
    let holder = asked.holder.as_ref();
    let isolated = holder.filter(|holder| holder.isolated);
    let prompt = asked.ask.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    // The last part of a prompt is its own and neither fetched nor saved.
    let common = parts.iter().take(parts.len().saturating_sub(1));
    Demand {
        model: prompt.map(|prompt| prompt.model.clone()),
        team: isolated.map(|holder| holder.team.clone()),
        parts: common
            .map(|part| (part.id.as_ref().into(), part.tokens))
            .collect(),
        own: prompt.map_or(0, own_tokens),
        need: prompt.map_or(0, memory),
        left_out: left_out.to_vec(),
        unreached: shared.reach.borrow().cut(),
    }
}

/// Chooses a target for a request without the other entries.
pub(crate) fn choose<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    service: &Service,
    demand: &Demand,
    seen: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let pool = shared.catalog()?.pool(service).cloned()?;
    let avoids = |member: &Member| shared.board.borrow().avoids(&member.id, time);
    let mut usable = usable(shared, &pool, demand, time, |_| true, avoids);
    let count = usable.len();
    let near = near(shared, demand, &usable);
    let mut home = home(demand, &usable, near.as_ref());
    sample(shared, &mut usable, &mut home, near.as_ref());
    let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
    let mut weighed: Vec<Weighed> = usable
        .into_iter()
        .enumerate()
        .map(|(index, member)| {
            let load = shared.load(&member.id);
            let mut one = weigh(shared, &pool, demand, member, count, Local::Guessed, draw);
            one.candidate.load = load;
            one.candidate.backlog = shared.pace.get().reading(load.reading);
            // Requests of a session meet at the same target, which has likely kept their parts.
            if Some(index) == home {
                one.candidate.fetch = one.candidate.fetch.mul_f64(HOME_FETCH);
            }
            one
        })
        .collect();
    weighed.retain(|one| one.candidate.is_open());
    let candidates: Vec<Candidate> = weighed.iter().map(|one| one.candidate).collect();
    let index = placement::best(&candidates, shared.draw())?;
    Some(settle(
        shared,
        asked,
        weighed.swap_remove(index),
        pool,
        count,
        seen,
    ))
}

/// Returns the targets of a cell that may get a request, for its dispatcher.
pub(crate) fn offers<Border>(shared: &Rc<Shared<Border>>, ask: &Ask) -> Vec<Offer> {
    let time = now();
    let (cell, demand) = (&ask.cell, &ask.demand);
    let pool = shared
        .catalog()
        .and_then(|catalog| catalog.pool(&cell.service).cloned());
    let Some(pool) = pool else {
        return Vec::new();
    };
    let told = |target: &Target| {
        let mut load = shared.board.borrow().load(target);
        load.add(&shared.peers.borrow().told(target));
        load
    };
    let inside = |member: &Member| cell.has(&member.service, &member.domain, &member.id);
    let avoids = |member: &Member| {
        let running = told(&member.id).running;
        shared.board.borrow().avoids_busy(&member.id, running, time)
    };
    let usable = usable(shared, &pool, demand, time, inside, avoids);
    let count = usable.len();
    let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
    let offers = usable.into_iter().map(|member| {
        let mut one = weigh(shared, &pool, demand, member, count, Local::Placed, draw);
        one.candidate.load = told(&one.member.id);
        Offer {
            target: one.member.id.clone(),
            candidate: one.candidate,
            local: one.plan.local,
        }
    });
    offers.collect()
}

/// Turns the place that a dispatcher gave into an attempt; `None` if this entry knows that the
/// target must not get the request.
pub(crate) fn accept<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    service: &Service,
    demand: &Demand,
    place: (&Target, &[bool]),
    seen: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let (target, local) = place;
    let pool = shared.catalog()?.pool(service).cloned()?;
    let inside = |member: &Member| member.id == *target;
    let member = usable(shared, &pool, demand, time, inside, |_| false).pop()?;
    let cut = shared.reach.borrow().is_cut(&member.domain);
    if cut && !demand.unreached.contains(&member.domain) {
        return None;
    }
    let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
    let one = weigh(shared, &pool, demand, member, 1, Local::Told(local), draw);
    Some(settle(shared, asked, one, pool, 1, seen))
}

/// A target that may get a request, with what it would do with the parts of its prompt.
struct Weighed {
    member: Arc<Member>,
    parts: Vec<kept::Shared>,
    plan: kept::Plan,
    candidate: Candidate,
}

/// Returns the targets of a pool that may get a request. Those that failed lately or are out of
/// the entry's reach are left out unless there are no others.
fn usable<Border>(
    shared: &Shared<Border>,
    pool: &Pool,
    demand: &Demand,
    time: Time,
    inside: impl Fn(&Member) -> bool,
    avoids: impl Fn(&Member) -> bool,
) -> Vec<Arc<Member>> {
    let roster = shared.roster.borrow();
    let evacuated = shared.evacuated.borrow();
    let mut ramp = shared.ramp.borrow_mut();
    let bounds = &shared.settings.bounds;
    let cold_limit = pool.cold_rate * bounds.cold_factor + bounds.cold_slack;
    let (mut sound, mut avoided) = (Vec::new(), Vec::new());
    for entry in roster.iter() {
        let member = &entry.member;
        if member.service != pool.name
            || !inside(member)
            || member.draining
            || evacuated.contains(&member.domain)
            || demand.left_out.contains(&member.id)
            || is_expired(shared, demand.model.as_ref(), member, time)
        {
            continue;
        }
        let is_cold = pool.cold_rate > 0.0 && entry.cold_until > time;
        let entries = shared.entries.get();
        if is_cold
            && !(shared.has_joined(time) && ramp.allows(&member.id, cold_limit, entries, time))
        {
            continue;
        }
        let unreached = demand.unreached.contains(&member.domain);
        match unreached || avoids(member) || entry.doubted_since.is_some() {
            true => avoided.push(Arc::clone(member)),
            false => sound.push(Arc::clone(member)),
        }
    }
    if sound.is_empty() { avoided } else { sound }
}

/// Plans what a target does with the parts of a prompt; the load is left to the caller.
fn weigh<Border>(
    shared: &Shared<Border>,
    pool: &Pool,
    demand: &Demand,
    member: Arc<Member>,
    count: usize,
    local: Local<'_>,
    draw: f64,
) -> Weighed {
    let parts = shared_parts(demand, &member);
    let kept = shared.kept.borrow();
    let plan = kept.plan(&parts, &place(&member, count), local, draw, now());
    let candidate = Candidate {
        load: Load::default(),
        backlog: Duration::ZERO,
        unread: demand.own + plan.unread,
        read: shared.pace.get().reading(demand.own + plan.unread),
        fetch: plan.fetch + plan.strain,
        slots: member.slots,
        capacity: pool.engine.as_ref().map_or(0, |engine| engine.memory),
        need: demand.need,
        remote: member.domain != shared.settings.domain,
        outdated: is_outdated(shared, demand.model.as_ref(), &member),
    };
    Weighed {
        member,
        parts,
        plan,
        candidate,
    }
}

fn settle<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    one: Weighed,
    pool: Arc<Pool>,
    count: usize,
    seen: Option<u64>,
) -> Choice {
    let prompt = asked.ask.prompt.as_ref();
    let version = prompt.and_then(|prompt| one.member.version(&prompt.model));
    let kept = shared.kept.borrow();
    let address = |store: &Store| kept.host(store).map(|host| host.address);
    let fetch = one.plan.acts.iter().map(|act| match act {
        Act::Fetch(store) => address(store).map(|from| Fetch { from, tokens: None }),
        Act::Read | Act::Skip(_) | Act::Save(_) => None,
    });
    let save = one.plan.acts.iter().map(|act| match act {
        Act::Save(store) => address(store),
        Act::Read | Act::Skip(_) | Act::Fetch(_) => None,
    });
    // The last part of a prompt is its own and neither fetched nor saved.
    let fetch = fetch.chain(prompt.map(|_| None)).collect();
    let save = save.chain(prompt.map(|_| None)).collect();
    let holder = asked.holder.as_ref();
    let team = holder.filter(|holder| holder.isolated);
    let team = team.map(|holder| &holder.team);
    Choice {
        send: Send {
            target: one.member.id.clone(),
            left: asked.left(now()),
            team: holder.map(|holder| holder.team.clone()),
            seen,
            space: prompt.map(|prompt| space(&prompt.model, version, team)),
            version,
            urgency: None,
            fetch,
            save,
        },
        unread: one.candidate.unread,
        need: one.candidate.need,
        targets: count,
        parts: one.parts,
        plan: one.plan,
        member: one.member,
        pool,
        place: None,
    }
}

/// Leaves a few targets to choose from, the home among them, where many entries choose.
///
/// Loads of others are some hundred ms old then, and the target that seems least loaded would get
/// the requests of all entries.
fn sample<Border>(
    shared: &Shared<Border>,
    usable: &mut Vec<Arc<Member>>,
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
            .filter(|&other| index < SAMPLE_NEAR && Some(&usable[other].domain) == near)
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
fn near<Border>(
    shared: &Shared<Border>,
    demand: &Demand,
    usable: &[Arc<Member>],
) -> Option<Domain> {
    let member = usable.first()?;
    let kept = shared.kept.borrow();
    let domain = kept.domain(shared_parts(demand, member).last()?)?;
    let there = usable.iter().filter(|member| member.domain == *domain);
    (there.count() >= SAMPLE_NEAR).then(|| domain.clone())
}

/// Returns the target at which requests of a session meet.
fn home(demand: &Demand, usable: &[Arc<Member>], near: Option<&Domain>) -> Option<usize> {
    let (session, _) = demand.parts.last()?;
    let key = routing::Key::new(&[session.as_bytes()]);
    let is_near = |member: &Member| near.is_none_or(|near| member.domain == *near);
    let members = usable
        .iter()
        .enumerate()
        .filter(|(_, member)| is_near(member))
        .map(|(index, member)| (hash(&member.id), index));
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

/// Returns the shared parts of a prompt as a target names them.
fn shared_parts(demand: &Demand, member: &Member) -> Vec<kept::Shared> {
    let Some(model) = &demand.model else {
        return Vec::new();
    };
    named_parts(demand, model, member.version(model))
}

/// Returns the shared parts of a prompt as targets with these weights name them.
pub(crate) fn named_parts(
    demand: &Demand,
    model: &Model,
    version: Option<u64>,
) -> Vec<kept::Shared> {
    let space: Arc<str> = space(model, version, demand.team.as_ref()).into();
    let parts = demand.parts.iter();
    parts
        .map(|(id, tokens)| kept::Shared {
            key: kept::Key {
                space: Arc::clone(&space),
                id: Arc::clone(id),
            },
            tokens: *tokens,
        })
        .collect()
}

pub(crate) fn is_outdated<Border>(
    shared: &Shared<Border>,
    model: Option<&Model>,
    member: &Member,
) -> bool {
    let Some(model) = model else {
        return false;
    };
    let named = shared.rollout.borrow().named(model);
    let serves = member.version(model);
    matches!((named, serves), (Some(named), Some(serves)) if serves < named.version)
}

/// Returns the name under which a target keeps parts of a prompt. Weights and, where a team is
/// isolated, the team are part of it, so that parts of other ones cannot be found.
fn space(model: &str, version: Option<u64>, isolated: Option<&Team>) -> Box<str> {
    let version = version.unwrap_or(0);
    match isolated {
        Some(team) => format!("{model}.{version}.{team}").into(),
        None => format!("{model}.{version}").into(),
    }
}

/// Says whether nothing may begin on a target's weights any more, as newer ones were named too long
/// ago. What begins there is worth nothing then.
fn is_expired<Border>(
    shared: &Shared<Border>,
    model: Option<&Model>,
    member: &Member,
    time: Time,
) -> bool {
    let bound = shared.settings.weights().saturating_sub(WEIGHTS_MARGIN);
    let rollout = shared.rollout.borrow();
    let since = model.and_then(|model| rollout.outdated_since(member, model));
    since.is_some_and(|since| time.since(since) >= bound)
}

fn hash(target: &Target) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(target.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
