//! Collects the inputs of placement for each target, and turns a chosen target into an attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::cache::{self, Action, Residency};
use fleet::catalog::Pool;
use fleet::dispatcher::{Demand, Offer, Request};
use fleet::gossip::FAN_OUT;
use fleet::lateness::{self, Limit};
use fleet::namespace::{Namespace, Scope};
use fleet::placement::{self, Candidate, Load};
use fleet::roster::{Member, Record};
use types::{Build, Domain, Model, Service, Store, Target, Time};

use crate::adapter::{Envelope, Fetch, Prompt};
use crate::attempt::{self, Admitted, Choice};
use crate::clock::now;
use crate::cold;
use crate::shared::Shared;
use crate::weights;

/// The share of the fetch time that is assumed for the target with session affinity, which probably
/// has the segments in memory.
const AFFINITY_FETCH_FACTOR: f64 = 0.5;
/// Up to this many entries, every entry has current loads of all others.
const MAX_ENTRIES_WITH_CURRENT_LOADS: usize = 2 * FAN_OUT;
/// Number of targets to choose from when there are more entries than that.
const SAMPLE_SIZE: usize = 7;
/// How many of the sampled targets are in the failure domain of the store host with the session's
/// segments, if there is one.
const SAMPLE_PREFERRED: usize = 4;
/// Assumed length of a completion if the caller gives no estimate.
const DEFAULT_OUTPUT_TOKENS: u64 = 80;
/// Returns the resource demand of a request.
pub(crate) fn demand<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    excluded: &[Target],
    build: Option<&Build>,
) -> Demand {
    let prompt = admitted.head.prompt.as_ref();
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    // The last segment of a prompt is unique to the request and is neither fetched nor saved.
    let reusable = segments.iter().take(segments.len().saturating_sub(1));
    Demand {
        model: prompt.map(|prompt| prompt.model.clone()),
        scope: scope(shared, admitted),
        segments: reusable
            .map(|segment| (segment.id.as_ref().into(), segment.tokens))
            .collect(),
        unique_tokens: prompt.map_or(0, unique_tokens),
        kv_tokens: prompt.map_or(0, kv_tokens),
        excluded: excluded.to_vec(),
        unreachable: shared.reachability.borrow().unreachable(),
        build: build.cloned(),
    }
}

/// Returns with which requests a request shares cached segments, by the configuration in force.
fn scope<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) -> Scope {
    let catalog = shared.catalog();
    let scope = catalog.map(|catalog| catalog.scope(admitted.owner.as_deref()));
    scope.unwrap_or_default()
}

/// Returns the demand of a request whose scope may have changed while it waited.
fn renewed<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted, demand: &Demand) -> Demand {
    Demand {
        scope: scope(shared, admitted),
        ..demand.clone()
    }
}

/// Chooses a target without a dispatcher, at which the request begins within the limit, if any.
pub(crate) fn choose<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    service: &Service,
    demand: &Demand,
    last_event: Option<u64>,
    limit: Option<Limit>,
) -> Option<Choice> {
    let time = now();
    let demand = &renewed(shared, admitted, demand);
    let pool = shared.catalog()?.pool(service).cloned()?;
    let avoids = |member: &Member| shared.tracker.borrow().avoids(&member.id, time);
    let may_send = |record: &Record| cold::may_send(shared, &pool, record, time);
    let mut usable = usable(shared, &pool, demand, time, |_| true, may_send, avoids);
    let pool_size = usable.len();
    let preferred = preferred(shared, demand, &usable);
    let mut affinity = affinity(demand, &usable, preferred.as_ref());
    sample(shared, &mut usable, &mut affinity, preferred.as_ref());
    let random = f64::from(shared.random()) / f64::from(u32::MAX);
    let mut options: Vec<Evaluated> = usable
        .into_iter()
        .enumerate()
        .map(|(index, member)| {
            let load = shared.load(&member.id);
            let mut evaluated = evaluate(
                shared,
                &pool,
                demand,
                member,
                pool_size,
                Residency::Estimated,
                random,
            );
            evaluated.candidate.load = load;
            let target = &evaluated.member.id;
            let estimate = {
                let dispatcher = shared.dispatch.dispatcher.borrow();
                dispatcher.rates().estimate(target, time)
            };
            evaluated.candidate.backlog = estimate.duration(prefill_tokens(shared, target, load));
            evaluated.candidate.prefill_time =
                estimate.duration(evaluated.candidate.prefill_tokens);
            // Requests of a session prefer the same target, which has probably cached their
            // segments.
            if Some(index) == affinity {
                evaluated.candidate.fetch_time = evaluated
                    .candidate
                    .fetch_time
                    .mul_f64(AFFINITY_FETCH_FACTOR);
            }
            evaluated
        })
        .collect();
    options.retain(|evaluated| {
        let candidate = &evaluated.candidate;
        candidate.is_open()
            && (candidate.kv_capacity == 0
                || limit.is_none_or(|limit| limit.allows(candidate.backlog)))
            && has_connection(shared, &evaluated.member, &pool)
    });
    let candidates: Vec<Candidate> = options
        .iter()
        .map(|evaluated| evaluated.candidate)
        .collect();
    let index = placement::best(&candidates, shared.random())?;
    Some(build_choice(
        shared,
        admitted,
        demand,
        options.swap_remove(index),
        pool,
        pool_size,
        last_event,
    ))
}

/// Returns how many tokens a target still has to prefill, as far as this entry knows.
fn prefill_tokens<Adapter>(shared: &Shared<Adapter>, target: &Target, load: Load) -> u64 {
    let own = shared.tracker.borrow().load(target).prefill_tokens;
    // Once some entry may be a dispatcher, this one alone may have none.
    let choosers = match shared.peers.borrow().has_warm() {
        true => 1,
        false => shared.entry_count.get(),
    };
    lateness::prefill_tokens(own, load.prefill_tokens, choosers)
}

/// Returns the targets of a cell that are eligible for a request, for its dispatcher.
pub(crate) fn offers<Adapter>(shared: &Rc<Shared<Adapter>>, request: &Request) -> Vec<Offer> {
    let time = now();
    let (cell, demand) = (&request.cell, &request.demand);
    let pool = shared
        .catalog()
        .and_then(|catalog| catalog.pool(&cell.service).cloned());
    let Some(pool) = pool else {
        return Vec::new();
    };
    let reported = |target: &Target| {
        let mut load = shared.tracker.borrow().load(target);
        load.add(&shared.peers.borrow().reported_load(target));
        load
    };
    let is_eligible = |member: &Member| cell.contains(&member.service, &member.domain, &member.id);
    let avoids = |member: &Member| {
        let running = reported(&member.id).running;
        shared
            .tracker
            .borrow()
            .avoids_loaded(&member.id, running, time)
    };
    let may_grant = |record: &Record| cold::may_grant(shared, &pool, request, record, time);
    let usable = usable(shared, &pool, demand, time, is_eligible, may_grant, avoids);
    let pool_size = usable.len();
    let random = f64::from(shared.random()) / f64::from(u32::MAX);
    let offers = usable.into_iter().map(|member| {
        let mut evaluated = evaluate(
            shared,
            &pool,
            demand,
            member,
            pool_size,
            Residency::Tracked,
            random,
        );
        evaluated.candidate.load = reported(&evaluated.member.id);
        Offer {
            target: evaluated.member.id.clone(),
            candidate: evaluated.candidate,
            resident: evaluated.plan.resident,
        }
    });
    offers.collect()
}

/// Turns a grant into an attempt. Returns `None` if this entry knows that the target must not get
/// the request. The grant is within the budget of a cold target if it has a deadline.
pub(crate) fn accept<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    service: &Service,
    demand: &Demand,
    grant: (&Target, &[bool]),
    send_by: Option<Time>,
    last_event: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let demand = &renewed(shared, admitted, demand);
    let (target, resident) = grant;
    let pool = shared.catalog()?.pool(service).cloned()?;
    if send_by.is_some_and(|send_by| time >= send_by) {
        shared.metrics.on_cold_grant("expired");
        return None;
    }
    let is_eligible = |member: &Member| member.id == *target;
    let may_send =
        |record: &Record| send_by.is_some() || cold::may_send(shared, &pool, record, time);
    let avoids = |_: &Member| false;
    let mut usable = usable(shared, &pool, demand, time, is_eligible, may_send, avoids);
    let member = usable.pop()?;
    if !has_connection(shared, &member, &pool) {
        return None;
    }
    let unreachable = shared.reachability.borrow().is_unreachable(&member.domain);
    if unreachable && !demand.unreachable.contains(&member.domain) {
        return None;
    }
    let random = f64::from(shared.random()) / f64::from(u32::MAX);
    let evaluated = evaluate(
        shared,
        &pool,
        demand,
        member,
        1,
        Residency::Reported(resident),
        random,
    );
    let choice = build_choice(shared, admitted, demand, evaluated, pool, 1, last_event);
    Some(Choice { send_by, ..choice })
}

/// An eligible target, with a plan for the segments of the prompt.
struct Evaluated {
    member: Arc<Member>,
    segments: Vec<cache::Segment>,
    plan: cache::Plan,
    candidate: Candidate,
}

/// Returns the eligible targets of a pool. Targets that failed recently, are suspected or are
/// unreachable from the entry are included only if there are no others.
fn usable<Adapter>(
    shared: &Shared<Adapter>,
    pool: &Pool,
    demand: &Demand,
    time: Time,
    is_eligible: impl Fn(&Member) -> bool,
    may_use_cold: impl Fn(&Record) -> bool,
    avoids: impl Fn(&Member) -> bool,
) -> Vec<Arc<Member>> {
    let roster = shared.roster.borrow();
    let evacuated = shared.evacuated.borrow();
    let (mut healthy, mut avoided) = (Vec::new(), Vec::new());
    for record in roster.iter() {
        let member = &record.member;
        if member.service != pool.name
            || !is_eligible(member)
            || member.draining
            || evacuated.contains(&member.domain)
            || demand.excluded.contains(&member.id)
            || demand
                .build
                .as_ref()
                .is_some_and(|build| *build != member.build)
            || weights::is_expired(shared, demand.model.as_ref(), member, time)
        {
            continue;
        }
        if cold::is_cold(pool, record, time) && !may_use_cold(record) {
            continue;
        }
        let unreachable = demand.unreachable.contains(&member.domain);
        match unreachable || avoids(member) || record.suspected_since.is_some() {
            true => avoided.push(Arc::clone(member)),
            false => healthy.push(Arc::clone(member)),
        }
    }
    if healthy.is_empty() { avoided } else { healthy }
}

/// Whether this entry may use one more connection to a target.
fn has_connection<Adapter>(shared: &Shared<Adapter>, member: &Member, pool: &Pool) -> bool {
    let limit = attempt::connection_limit(shared, pool);
    shared.connections.borrow().has_room(&member.id, limit)
}

/// Whether a target gets requests only if there are no others.
pub(crate) fn avoids<Adapter>(shared: &Shared<Adapter>, member: &Member) -> bool {
    let roster = shared.roster.borrow();
    let is_suspected = roster
        .get(&member.id)
        .is_none_or(|record| record.suspected_since.is_some());
    is_suspected
        || shared.tracker.borrow().avoids(&member.id, now())
        || shared.reachability.borrow().is_unreachable(&member.domain)
}

/// Plans how a target handles the segments of a prompt. The caller fills in the load.
fn evaluate<Adapter>(
    shared: &Shared<Adapter>,
    pool: &Pool,
    demand: &Demand,
    member: Arc<Member>,
    pool_size: usize,
    residency: Residency<'_>,
    random: f64,
) -> Evaluated {
    let segments = shared_segments(shared, demand, &member);
    let index = shared.cache_index.borrow();
    let plan = index.plan(
        &segments,
        &location(&member, pool_size),
        residency,
        random,
        now(),
    );
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
        outdated: weights::is_outdated(shared, demand.model.as_ref(), &member),
    };
    Evaluated {
        member,
        segments,
        plan,
        candidate,
    }
}

fn build_choice<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    demand: &Demand,
    evaluated: Evaluated,
    pool: Arc<Pool>,
    pool_size: usize,
    last_event: Option<u64>,
) -> Choice {
    let prompt = admitted.head.prompt.as_ref();
    let version = prompt
        .and_then(|prompt| weights::expected_version(shared, &prompt.model, &evaluated.member));
    let index = shared.cache_index.borrow();
    let address = |store: &Store| index.host(store).map(|host| host.address);
    let fetch = evaluated.plan.actions.iter().map(|action| match action {
        Action::Fetch(store) => address(store).map(|from| Fetch { from, tokens: None }),
        Action::Prefill | Action::Skip(_) | Action::Save(_) => None,
    });
    let save = evaluated.plan.actions.iter().map(|action| match action {
        Action::Save(store) => address(store),
        Action::Prefill | Action::Skip(_) | Action::Fetch(_) => None,
    });
    // The last segment of a prompt is unique to the request and is neither fetched nor saved.
    let fetch = fetch.chain(prompt.map(|_| None)).collect();
    let save = save.chain(prompt.map(|_| None)).collect();
    let owner = admitted.owner.as_ref();
    Choice {
        envelope: Envelope {
            target: evaluated.member.id.clone(),
            remaining: admitted.remaining(shared, now()),
            team: owner.map(|owner| owner.team.clone()),
            last_event,
            namespace: prompt.map(|prompt| namespace(&prompt.model, version, demand)),
            version,
            urgency: None,
            fetch,
            save,
        },
        prefill_tokens: evaluated.candidate.prefill_tokens,
        kv_tokens: evaluated.candidate.kv_tokens,
        pool_size,
        segments: evaluated.segments,
        plan: evaluated.plan,
        member: evaluated.member,
        pool,
        grant: None,
        send_by: None,
    }
}

/// Reduces the targets to a random sample, which includes the one with session affinity, if there
/// are many entries.
///
/// The loads of other entries are a few hundred milliseconds old in that case. Without sampling,
/// all entries would send their requests to the target that seems least loaded.
fn sample<Adapter>(
    shared: &Shared<Adapter>,
    usable: &mut Vec<Arc<Member>>,
    affinity: &mut Option<usize>,
    preferred: Option<&Domain>,
) {
    if shared.entry_count.get() <= MAX_ENTRIES_WITH_CURRENT_LOADS || usable.len() <= SAMPLE_SIZE {
        return;
    }
    if let Some(index) = *affinity {
        usable.swap(0, index);
        *affinity = Some(0);
    }
    let fixed = usize::from(affinity.is_some());
    for index in fixed..SAMPLE_SIZE {
        let in_preferred: Vec<usize> = (index..usable.len())
            .filter(|&other| index < SAMPLE_PREFERRED && Some(&usable[other].domain) == preferred)
            .collect();
        let random = shared.random() as usize;
        let chosen = match in_preferred.len() {
            0 => index + random % (usable.len() - index),
            count => in_preferred[random % count],
        };
        usable.swap(index, chosen);
    }
    usable.truncate(SAMPLE_SIZE);
}

/// Returns the failure domain of the store host that holds the session's last segment, if it has
/// enough targets; a transfer to another domain occupies its link twice as long.
fn preferred<Adapter>(
    shared: &Shared<Adapter>,
    demand: &Demand,
    usable: &[Arc<Member>],
) -> Option<Domain> {
    let member = usable.first()?;
    let index = shared.cache_index.borrow();
    let domain = index.holder_domain(shared_segments(shared, demand, member).last()?)?;
    let there = usable.iter().filter(|member| member.domain == *domain);
    (there.count() >= SAMPLE_PREFERRED).then(|| domain.clone())
}

/// Returns the index of the target with affinity for the session.
fn affinity(demand: &Demand, usable: &[Arc<Member>], preferred: Option<&Domain>) -> Option<usize> {
    let (session, _) = demand.segments.last()?;
    let key = routing::Key::new(&[session.as_bytes()]);
    let is_preferred =
        |member: &Member| preferred.is_none_or(|preferred| member.domain == *preferred);
    let members = usable
        .iter()
        .enumerate()
        .filter(|(_, member)| is_preferred(member))
        .map(|(index, member)| (target_hash(&member.id), index));
    routing::top(key, members, 1).first().copied()
}

pub(crate) fn location(member: &Member, targets: usize) -> cache::Location<'_> {
    cache::Location {
        pool_size: targets,
        target: &member.id,
        domain: &member.domain,
    }
}

/// Returns the tokens of KV memory that a prompt occupies beyond its first segment, which nearly
/// all prompts share.
fn kv_tokens(prompt: &Prompt) -> u64 {
    let first_segment = match prompt.segments.len() {
        0 | 1 => 0,
        _ => prompt.segments[0].tokens,
    };
    let expected_output = prompt.expected_output.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    prompt.input_tokens.saturating_sub(first_segment) + expected_output.min(prompt.max_output)
}

fn unique_tokens(prompt: &Prompt) -> u64 {
    prompt
        .segments
        .last()
        .map_or(prompt.input_tokens, |segment| segment.tokens)
}

/// Returns the shared segments of a prompt with the cache keys of a target.
fn shared_segments<Adapter>(
    shared: &Shared<Adapter>,
    demand: &Demand,
    member: &Member,
) -> Vec<cache::Segment> {
    let Some(model) = &demand.model else {
        return Vec::new();
    };
    let version = weights::expected_version(shared, model, member);
    segments_of_version(demand, model, version)
}

/// Returns the shared segments of a prompt with the cache keys of targets that serve this weight
/// version.
pub(crate) fn segments_of_version(
    demand: &Demand,
    model: &Model,
    version: Option<u64>,
) -> Vec<cache::Segment> {
    let namespace: Arc<str> = namespace(model, version, demand).into();
    let segments = demand.segments.iter();
    segments
        .map(|(id, tokens)| cache::Segment {
            key: cache::Key {
                namespace: Arc::clone(&namespace),
                id: Arc::clone(id),
            },
            tokens: *tokens,
        })
        .collect()
}

/// Returns the cache namespace of a request at a target with this weight version.
fn namespace(model: &Model, version: Option<u64>, demand: &Demand) -> Box<str> {
    let namespace = Namespace {
        model: model.clone(),
        version: version.unwrap_or(0),
        scope: demand.scope.clone(),
    };
    namespace.to_string().into()
}

fn target_hash(target: &Target) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(target.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
