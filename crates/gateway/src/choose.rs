//! Gathers what placement needs to know of each target, and turns a choice into an attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::cache::{self, Action, Residency};
use fleet::catalog::Pool;
use fleet::dispatcher::{Demand, Offer, Request};
use fleet::gossip::FAN_OUT;
use fleet::placement::{self, Candidate, Load};
use fleet::roster::Member;
use types::{Domain, Model, Service, Store, Target, Team, Time};

use crate::adapter::{Envelope, Fetch, Prompt};
use crate::attempt::{Asked, Choice};
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
pub(crate) fn demand<Adapter>(
    shared: &Shared<Adapter>,
    asked: &Asked,
    left_out: &[Target],
) -> Demand {
    let holder = asked.holder.as_ref();
    let isolated = holder.filter(|holder| holder.isolated);
    let prompt = asked.ask.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.segments);
    // The last part of a prompt is its own and neither fetched nor saved.
    let common = parts.iter().take(parts.len().saturating_sub(1));
    Demand {
        model: prompt.map(|prompt| prompt.model.clone()),
        team: isolated.map(|holder| holder.team.clone()),
        segments: common
            .map(|part| (part.id.as_ref().into(), part.tokens))
            .collect(),
        unique_tokens: prompt.map_or(0, own_tokens),
        kv_tokens: prompt.map_or(0, memory),
        excluded: left_out.to_vec(),
        unreachable: shared.reachability.borrow().unreachable(),
    }
}

/// Chooses a target for a request without the other entries.
pub(crate) fn choose<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    service: &Service,
    demand: &Demand,
    seen: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let pool = shared.catalog()?.pool(service).cloned()?;
    let avoids = |member: &Member| shared.tracker.borrow().avoids(&member.id, time);
    let mut usable = usable(shared, &pool, demand, time, |_| true, avoids);
    let count = usable.len();
    let near = near(shared, demand, &usable);
    let mut home = home(demand, &usable, near.as_ref());
    sample(shared, &mut usable, &mut home, near.as_ref());
    let draw = f64::from(shared.random()) / f64::from(u32::MAX);
    let mut weighed: Vec<Weighed> = usable
        .into_iter()
        .enumerate()
        .map(|(index, member)| {
            let load = shared.load(&member.id);
            let mut one = weigh(
                shared,
                &pool,
                demand,
                member,
                count,
                Residency::Estimated,
                draw,
            );
            one.candidate.load = load;
            one.candidate.backlog = shared.prefill_rate.get().duration(load.prefill_tokens);
            // Requests of a session meet at the same target, which has likely kept their parts.
            if Some(index) == home {
                one.candidate.fetch_time = one.candidate.fetch_time.mul_f64(HOME_FETCH);
            }
            one
        })
        .collect();
    weighed.retain(|one| one.candidate.is_open());
    let candidates: Vec<Candidate> = weighed.iter().map(|one| one.candidate).collect();
    let index = placement::best(&candidates, shared.random())?;
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
pub(crate) fn offers<Adapter>(shared: &Rc<Shared<Adapter>>, ask: &Request) -> Vec<Offer> {
    let time = now();
    let (cell, demand) = (&ask.cell, &ask.demand);
    let pool = shared
        .catalog()
        .and_then(|catalog| catalog.pool(&cell.service).cloned());
    let Some(pool) = pool else {
        return Vec::new();
    };
    let told = |target: &Target| {
        let mut load = shared.tracker.borrow().load(target);
        load.add(&shared.peers.borrow().reported_load(target));
        load
    };
    let inside = |member: &Member| cell.contains(&member.service, &member.domain, &member.id);
    let avoids = |member: &Member| {
        let running = told(&member.id).running;
        shared
            .tracker
            .borrow()
            .avoids_loaded(&member.id, running, time)
    };
    let usable = usable(shared, &pool, demand, time, inside, avoids);
    let count = usable.len();
    let draw = f64::from(shared.random()) / f64::from(u32::MAX);
    let offers = usable.into_iter().map(|member| {
        let mut one = weigh(
            shared,
            &pool,
            demand,
            member,
            count,
            Residency::Tracked,
            draw,
        );
        one.candidate.load = told(&one.member.id);
        Offer {
            target: one.member.id.clone(),
            candidate: one.candidate,
            resident: one.plan.resident,
        }
    });
    offers.collect()
}

/// Turns the place that a dispatcher gave into an attempt; `None` if this entry knows that the
/// target must not get the request.
pub(crate) fn accept<Adapter>(
    shared: &Rc<Shared<Adapter>>,
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
    let cut = shared.reachability.borrow().is_unreachable(&member.domain);
    if cut && !demand.unreachable.contains(&member.domain) {
        return None;
    }
    let draw = f64::from(shared.random()) / f64::from(u32::MAX);
    let one = weigh(
        shared,
        &pool,
        demand,
        member,
        1,
        Residency::Reported(local),
        draw,
    );
    Some(settle(shared, asked, one, pool, 1, seen))
}

/// A target that may get a request, with what it would do with the parts of its prompt.
struct Weighed {
    member: Arc<Member>,
    parts: Vec<cache::Segment>,
    plan: cache::Plan,
    candidate: Candidate,
}

/// Returns the targets of a pool that may get a request. Those that failed lately or are out of
/// the entry's reach are left out unless there are no others.
fn usable<Adapter>(
    shared: &Shared<Adapter>,
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
            || demand.excluded.contains(&member.id)
            || is_expired(shared, demand.model.as_ref(), member, time)
        {
            continue;
        }
        let is_cold = pool.cold_rate > 0.0 && entry.cold_until > time;
        let entries = shared.entry_count.get();
        if is_cold
            && !(shared.may_use_quota(time) && ramp.allows(&member.id, cold_limit, entries, time))
        {
            continue;
        }
        let unreached = demand.unreachable.contains(&member.domain);
        match unreached || avoids(member) || entry.suspected_since.is_some() {
            true => avoided.push(Arc::clone(member)),
            false => sound.push(Arc::clone(member)),
        }
    }
    if sound.is_empty() { avoided } else { sound }
}

/// Plans what a target does with the parts of a prompt; the load is left to the caller.
fn weigh<Adapter>(
    shared: &Shared<Adapter>,
    pool: &Pool,
    demand: &Demand,
    member: Arc<Member>,
    count: usize,
    local: Residency<'_>,
    draw: f64,
) -> Weighed {
    let parts = shared_parts(demand, &member);
    let kept = shared.cache_index.borrow();
    let plan = kept.plan(&parts, &place(&member, count), local, draw, now());
    let candidate = Candidate {
        load: Load::default(),
        backlog: Duration::ZERO,
        prefill_tokens: demand.unique_tokens + plan.prefill_tokens,
        prefill_time: shared
            .prefill_rate
            .get()
            .duration(demand.unique_tokens + plan.prefill_tokens),
        fetch_time: plan.fetch_time + plan.congestion,
        slots: member.slots,
        kv_capacity: pool.engine.as_ref().map_or(0, |engine| engine.kv_capacity),
        kv_tokens: demand.kv_tokens,
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

fn settle<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    one: Weighed,
    pool: Arc<Pool>,
    count: usize,
    seen: Option<u64>,
) -> Choice {
    let prompt = asked.ask.prompt.as_ref();
    let version = prompt.and_then(|prompt| one.member.version(&prompt.model));
    let kept = shared.cache_index.borrow();
    let address = |store: &Store| kept.host(store).map(|host| host.address);
    let fetch = one.plan.actions.iter().map(|act| match act {
        Action::Fetch(store) => address(store).map(|from| Fetch { from, tokens: None }),
        Action::Prefill | Action::Skip(_) | Action::Save(_) => None,
    });
    let save = one.plan.actions.iter().map(|act| match act {
        Action::Save(store) => address(store),
        Action::Prefill | Action::Skip(_) | Action::Fetch(_) => None,
    });
    // The last part of a prompt is its own and neither fetched nor saved.
    let fetch = fetch.chain(prompt.map(|_| None)).collect();
    let save = save.chain(prompt.map(|_| None)).collect();
    let holder = asked.holder.as_ref();
    let team = holder.filter(|holder| holder.isolated);
    let team = team.map(|holder| &holder.team);
    Choice {
        send: Envelope {
            target: one.member.id.clone(),
            remaining: asked.left(now()),
            team: holder.map(|holder| holder.team.clone()),
            last_event: seen,
            namespace: prompt.map(|prompt| space(&prompt.model, version, team)),
            version,
            urgency: None,
            fetch,
            save,
        },
        unread: one.candidate.prefill_tokens,
        need: one.candidate.kv_tokens,
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
fn sample<Adapter>(
    shared: &Shared<Adapter>,
    usable: &mut Vec<Arc<Member>>,
    home: &mut Option<usize>,
    near: Option<&Domain>,
) {
    if shared.entry_count.get() <= MOST_CURRENT || usable.len() <= SAMPLE {
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
        let draw = shared.random() as usize;
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
fn near<Adapter>(
    shared: &Shared<Adapter>,
    demand: &Demand,
    usable: &[Arc<Member>],
) -> Option<Domain> {
    let member = usable.first()?;
    let kept = shared.cache_index.borrow();
    let domain = kept.holder_domain(shared_parts(demand, member).last()?)?;
    let there = usable.iter().filter(|member| member.domain == *domain);
    (there.count() >= SAMPLE_NEAR).then(|| domain.clone())
}

/// Returns the target at which requests of a session meet.
fn home(demand: &Demand, usable: &[Arc<Member>], near: Option<&Domain>) -> Option<usize> {
    let (session, _) = demand.segments.last()?;
    let key = routing::Key::new(&[session.as_bytes()]);
    let is_near = |member: &Member| near.is_none_or(|near| member.domain == *near);
    let members = usable
        .iter()
        .enumerate()
        .filter(|(_, member)| is_near(member))
        .map(|(index, member)| (hash(&member.id), index));
    routing::top(key, members, 1).first().copied()
}

pub(crate) fn place(member: &Member, targets: usize) -> cache::Location<'_> {
    cache::Location {
        pool_size: targets,
        target: &member.id,
        domain: &member.domain,
    }
}

/// Returns the tokens of memory that a prompt takes beyond the first part, which nearly all prompts
/// share.
fn memory(prompt: &Prompt) -> u64 {
    let first = match prompt.segments.len() {
        0 | 1 => 0,
        _ => prompt.segments[0].tokens,
    };
    let expected = prompt.expected_output.unwrap_or(EXPECTED_OUTPUT);
    prompt.input_tokens.saturating_sub(first) + expected.min(prompt.max_output)
}

fn own_tokens(prompt: &Prompt) -> u64 {
    prompt
        .segments
        .last()
        .map_or(prompt.input_tokens, |part| part.tokens)
}

/// Returns the shared parts of a prompt as a target names them.
fn shared_parts(demand: &Demand, member: &Member) -> Vec<cache::Segment> {
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
) -> Vec<cache::Segment> {
    let space: Arc<str> = space(model, version, demand.team.as_ref()).into();
    let parts = demand.segments.iter();
    parts
        .map(|(id, tokens)| cache::Segment {
            key: cache::Key {
                namespace: Arc::clone(&space),
                id: Arc::clone(id),
            },
            tokens: *tokens,
        })
        .collect()
}

pub(crate) fn is_outdated<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
) -> bool {
    let Some(model) = model else {
        return false;
    };
    let named = shared.rollout.borrow().latest(model);
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
fn is_expired<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
    time: Time,
) -> bool {
    let bound = shared
        .settings
        .weights_limit()
        .saturating_sub(WEIGHTS_MARGIN);
    let rollout = shared.rollout.borrow();
    let since = model.and_then(|model| rollout.outdated_since(member, model));
    since.is_some_and(|since| time.since(since) >= bound)
}

fn hash(target: &Target) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(target.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
