//! The encoded form of messages; the `fleet` crate defines no formats.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::builds::Stream;
use fleet::cache::{Key, Lateness, Report};
use fleet::dispatcher::Demand;
use fleet::namespace::Scope;
use fleet::quarantine::{Evidence, Fingerprint, requests};
use fleet::roster::Member;
use fleet::{cell, discovery, dispatcher, gossip, placement};
use serde::{Deserialize, Serialize};
use types::{Build, Domain, Model, Service, Store, Target, Team};

use super::Message;

/// Maximum number of fetches from one store host that a state message may report; an entry starts
/// fewer between two messages.
const MAX_FETCHES: u32 = 1000;

/// An encoded message.
#[derive(Serialize, Deserialize)]
pub(super) enum Packet {
    State(Box<State>),
    Update(Update),
    Request(Request),
    Reply(IdFields, Reply, bool),
    Cancel(IdFields),
    Notice(Notice),
    Fetch(u64, Option<Target>),
    Page(Page),
    Crashes(Vec<CrashFields>),
    CrashingRequest(RequestFields),
    Began(Vec<([u8; 16], Build)>),
    AskOrigin(u64, [u8; 16]),
    Origin(u64, Build),
}

#[derive(Serialize, Deserialize)]
pub(super) struct Notice {
    from: String,
    cursor: u64,
    /// In milliseconds.
    staleness: u32,
    digest: u64,
    store_outage: bool,
    updated: Vec<Row>,
    removed: Vec<(Target, u64)>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Page {
    from: String,
    request: u64,
    cursor: u64,
    members: Vec<Row>,
    has_more: bool,
}

/// A row of the list of targets.
#[derive(Serialize, Deserialize)]
pub(super) struct Row {
    id: Target,
    service: Service,
    address: SocketAddr,
    domain: Domain,
    slots: u32,
    draining: bool,
    /// In milliseconds.
    cold_remaining: u32,
    started_ms: Option<u64>,
    build: Build,
    weights: Vec<(Model, u64)>,
    revision: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct State {
    from: String,
    incarnation: u64,
    sequence: u64,
    config_version: u64,
    evidence: Option<u64>,
    operator_version: u64,
    warm: bool,
    loads: Vec<TargetLoad>,
    /// Each with the milliseconds since its last message.
    last_heard: Vec<(Target, u32)>,
    /// Each with the sum of delays in milliseconds and the number of fetches.
    lateness: Vec<(Store, i32, u32)>,
    updating: Vec<Target>,
    updated: Vec<(Target, Model, u64)>,
    used: Vec<Segment>,
    retired: Vec<Segment>,
    pinned: Vec<Segment>,
    /// Each with the boot id, and the milliseconds since it was last and first observed.
    stores: Vec<(Store, Option<u64>, u32, u32)>,
    evictors: Vec<(Store, String)>,
    /// The incarnation and the sequence number.
    received: Option<(u64, u64)>,
    /// Each with whether the segment is present, and its tokens.
    reports: Vec<(Segment, bool, u64)>,
    /// Each in milliseconds.
    queue_delays: Vec<(CellFields, u32)>,
    suspected: Vec<String>,
    crashes: Vec<CrashFields>,
    crashing_requests: Vec<RequestFields>,
    leaving: bool,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Update {
    from: String,
    incarnation: u64,
    sequence: u64,
    loads: Vec<TargetLoad>,
    acknowledged: Vec<u64>,
    heard: Vec<Target>,
    failed: Vec<Target>,
    refused: Vec<Target>,
    updating: Vec<Target>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Request {
    id: IdFields,
    cell: CellFields,
    rank: u8,
    /// In milliseconds.
    max_wait: u32,
    /// In milliseconds.
    patience: u32,
    queue: bool,
    model: Option<Model>,
    scope: ScopeFields,
    segments: Vec<(String, u64)>,
    unique_tokens: u64,
    kv_tokens: u64,
    excluded: Vec<Target>,
    unreachable: Vec<Domain>,
    build: Option<Build>,
}

#[derive(Serialize, Deserialize)]
pub(super) enum ScopeFields {
    All,
    Except(u64),
    Team(Team),
}

#[derive(Serialize, Deserialize)]
pub(super) enum Reply {
    Granted(Target, Vec<bool>),
    Queued,
    /// In milliseconds.
    Busy(u32),
    /// In milliseconds.
    Refused(u32),
    NotDispatcher,
}

/// The target, with its running requests, prefill tokens and KV tokens.
pub(super) type TargetLoad = (Target, u32, u64, u64);

/// The service, the failure domain, the shard and the number of shards.
pub(super) type CellFields = (Service, Option<Domain>, u32, u32);

/// The sender, its incarnation and the sequence number.
pub(super) type IdFields = (String, u64, u64);

/// A segment, its crashes, and the time since a response with it last began. Each crash has the
/// number of the target, the time since the request was lost, and how long it had been in flight.
/// Times are in microseconds: a lost request is sent again less than a millisecond later, and the
/// order of the two counts.
pub(super) type CrashFields = (String, Vec<(u64, u64, u64)>, Option<u64>);

/// The same for a request, which its fingerprint identifies.
pub(super) type RequestFields = ([u8; 16], Vec<(u64, u64, u64)>, Option<u64>);

#[derive(Serialize, Deserialize)]
pub(super) struct Segment {
    store: Store,
    namespace: String,
    id: String,
}

impl From<&Message> for Packet {
    fn from(message: &Message) -> Self {
        match message {
            Message::State(state) => Self::State(Box::new(State::from(&**state))),
            Message::Update(update) => Self::Update(Update::from(update)),
            Message::Request(request) => Self::Request(Request::from(request)),
            Message::Reply(id, reply, is_cold) => {
                Self::Reply(encode_id(id), Reply::from(reply), *is_cold)
            }
            Message::Cancel(id) => Self::Cancel(encode_id(id)),
            Message::Notice(notice) => Self::Notice(Notice::from(notice)),
            Message::Fetch(request, after) => Self::Fetch(*request, after.clone()),
            Message::Page(page) => Self::Page(Page::from(page)),
            Message::Crashes(evidence) => {
                Self::Crashes(evidence.iter().map(encode_evidence).collect())
            }
            Message::CrashingRequest(evidence) => {
                Self::CrashingRequest(encode_request_evidence(evidence))
            }
            Message::Began(streams) => {
                let streams = streams.iter();
                Self::Began(streams.map(|(id, build)| (id.0, build.clone())).collect())
            }
            Message::AskOrigin(number, stream) => Self::AskOrigin(*number, stream.0),
            Message::Origin(number, build) => Self::Origin(*number, build.clone()),
        }
    }
}

impl From<Packet> for Message {
    fn from(packet: Packet) -> Self {
        match packet {
            Packet::State(state) => Self::State(Box::new((*state).into())),
            Packet::Update(update) => Self::Update(update.into()),
            Packet::Request(request) => Self::Request(request.into()),
            Packet::Reply(id, reply, is_cold) => Self::Reply(decode_id(id), reply.into(), is_cold),
            Packet::Cancel(id) => Self::Cancel(decode_id(id)),
            Packet::Notice(notice) => Self::Notice(notice.into()),
            Packet::Fetch(request, after) => Self::Fetch(request, after),
            Packet::Page(page) => Self::Page(page.into()),
            Packet::Crashes(evidence) => {
                Self::Crashes(evidence.into_iter().map(decode_evidence).collect())
            }
            Packet::CrashingRequest(evidence) => {
                Self::CrashingRequest(decode_request_evidence(evidence))
            }
            Packet::Began(streams) => {
                let streams = streams.into_iter();
                Self::Began(streams.map(|(id, build)| (Stream(id), build)).collect())
            }
            Packet::AskOrigin(number, stream) => Self::AskOrigin(number, Stream(stream)),
            Packet::Origin(number, build) => Self::Origin(number, build),
        }
    }
}

impl From<&gossip::State> for State {
    fn from(state: &gossip::State) -> Self {
        let segment = |(store, key): &(Store, Key)| Segment::new(store, key);
        let received = state.received;
        let last_heard = state.last_heard.iter();
        let reports = state.reports.iter();
        let queue_delays = state.queue_delays.iter();
        Self {
            from: state.from.clone(),
            incarnation: state.incarnation,
            sequence: state.sequence,
            config_version: state.config_version,
            evidence: state.evidence,
            operator_version: state.operator_version,
            warm: state.warm,
            loads: state.loads.iter().map(encode_load).collect(),
            last_heard: last_heard
                .map(|(target, elapsed)| (target.clone(), millis(*elapsed)))
                .collect(),
            lateness: state
                .lateness
                .iter()
                .map(|(store, lateness)| {
                    (
                        store.clone(),
                        lateness.sum_ms.round() as i32,
                        lateness.count,
                    )
                })
                .collect(),
            updating: state.updating.clone(),
            updated: state.updated.clone(),
            used: state.used.iter().map(segment).collect(),
            retired: state.retired.iter().map(segment).collect(),
            pinned: state.pinned.iter().map(segment).collect(),
            stores: state.stores.iter().map(encode_store).collect(),
            evictors: state.evictors.clone(),
            received: received.map(|receipt| (receipt.incarnation, receipt.sequence)),
            reports: reports
                .map(|(store, report)| {
                    let segment = Segment::new(store, &report.key);
                    (segment, report.present, report.tokens)
                })
                .collect(),
            queue_delays: queue_delays
                .map(|(cell, delay)| (encode_cell(cell), millis(*delay)))
                .collect(),
            suspected: state.suspected.clone(),
            crashes: state.crashes.iter().map(encode_evidence).collect(),
            crashing_requests: state
                .crashing_requests
                .iter()
                .map(encode_request_evidence)
                .collect(),
            leaving: state.leaving,
        }
    }
}

impl From<State> for gossip::State {
    fn from(state: State) -> Self {
        let received = state.received;
        let last_heard = state.last_heard.into_iter();
        let last_heard = last_heard.map(|(target, elapsed)| (target, duration(elapsed)));
        let lateness = state.lateness.into_iter().map(|(store, sum, count)| {
            let lateness = Lateness {
                sum_ms: f64::from(sum),
                count: count.min(MAX_FETCHES),
            };
            (store, lateness)
        });
        let reports = state.reports.into_iter().map(|(segment, present, tokens)| {
            let (store, key) = segment.key();
            (
                store,
                Report {
                    present,
                    key,
                    tokens: tokens.min(MAX_TOKENS),
                },
            )
        });
        let queue_delays = state.queue_delays.into_iter();
        Self {
            from: state.from,
            incarnation: state.incarnation,
            sequence: state.sequence,
            config_version: state.config_version,
            evidence: state.evidence,
            operator_version: state.operator_version,
            warm: state.warm,
            loads: state.loads.into_iter().map(decode_load).collect(),
            last_heard: last_heard.collect(),
            lateness: lateness.collect(),
            updating: state.updating,
            updated: state.updated,
            used: state.used.into_iter().map(Segment::key).collect(),
            retired: state.retired.into_iter().map(Segment::key).collect(),
            pinned: state.pinned.into_iter().map(Segment::key).collect(),
            stores: state.stores.into_iter().map(decode_store).collect(),
            evictors: state.evictors,
            received: received.map(|(incarnation, sequence)| gossip::Receipt {
                incarnation,
                sequence,
            }),
            reports: reports.collect(),
            queue_delays: queue_delays
                .map(|(cell, delay)| (decode_cell(cell), duration(delay)))
                .collect(),
            suspected: state.suspected,
            crashes: state.crashes.into_iter().map(decode_evidence).collect(),
            crashing_requests: state
                .crashing_requests
                .into_iter()
                .map(decode_request_evidence)
                .collect(),
            leaving: state.leaving,
        }
    }
}

impl From<&gossip::Update> for Update {
    fn from(update: &gossip::Update) -> Self {
        Self {
            from: update.from.clone(),
            incarnation: update.incarnation,
            sequence: update.sequence,
            loads: update.loads.iter().map(encode_load).collect(),
            acknowledged: update.acknowledged.clone(),
            heard: update.heard.clone(),
            failed: update.failed.clone(),
            refused: update.refused.clone(),
            updating: update.updating.clone(),
        }
    }
}

impl From<Update> for gossip::Update {
    fn from(update: Update) -> Self {
        Self {
            from: update.from,
            incarnation: update.incarnation,
            sequence: update.sequence,
            loads: update.loads.into_iter().map(decode_load).collect(),
            acknowledged: update.acknowledged,
            heard: update.heard,
            failed: update.failed,
            refused: update.refused,
            updating: update.updating,
        }
    }
}

impl From<&dispatcher::Request> for Request {
    fn from(request: &dispatcher::Request) -> Self {
        let demand = &request.demand;
        let segments = demand.segments.iter();
        Self {
            id: encode_id(&request.id),
            cell: encode_cell(&request.cell),
            rank: request.rank,
            max_wait: millis(request.max_wait),
            patience: millis(request.patience),
            queue: request.queue,
            model: demand.model.clone(),
            scope: (&demand.scope).into(),
            segments: segments
                .map(|(id, tokens)| (id.to_string(), *tokens))
                .collect(),
            unique_tokens: demand.unique_tokens,
            kv_tokens: demand.kv_tokens,
            excluded: demand.excluded.clone(),
            unreachable: demand.unreachable.clone(),
            build: demand.build.clone(),
        }
    }
}

impl From<Request> for dispatcher::Request {
    fn from(request: Request) -> Self {
        let segments = request.segments.into_iter();
        Self {
            id: decode_id(request.id),
            cell: decode_cell(request.cell),
            rank: request.rank,
            max_wait: duration(request.max_wait),
            patience: duration(request.patience),
            queue: request.queue,
            demand: Demand {
                model: request.model,
                scope: request.scope.into(),
                segments: segments
                    .map(|(id, tokens)| (id.into(), tokens.min(MAX_TOKENS)))
                    .collect(),
                unique_tokens: request.unique_tokens.min(MAX_TOKENS),
                kv_tokens: request.kv_tokens.min(MAX_TOKENS),
                excluded: request.excluded,
                unreachable: request.unreachable,
                build: request.build,
            },
        }
    }
}

impl From<&Scope> for ScopeFields {
    fn from(scope: &Scope) -> Self {
        match scope {
            Scope::All => Self::All,
            Scope::Except(number) => Self::Except(*number),
            Scope::Team(team) => Self::Team(team.clone()),
        }
    }
}

impl From<ScopeFields> for Scope {
    fn from(scope: ScopeFields) -> Self {
        match scope {
            ScopeFields::All => Self::All,
            ScopeFields::Except(number) => Self::Except(number),
            ScopeFields::Team(team) => Self::Team(team),
        }
    }
}

impl From<&dispatcher::Reply> for Reply {
    fn from(reply: &dispatcher::Reply) -> Self {
        match reply {
            dispatcher::Reply::Granted(target, resident) => {
                Self::Granted(target.clone(), resident.clone())
            }
            dispatcher::Reply::Queued => Self::Queued,
            dispatcher::Reply::Busy(delay) => Self::Busy(millis(*delay)),
            dispatcher::Reply::Refused(retry_after) => Self::Refused(millis(*retry_after)),
            dispatcher::Reply::NotDispatcher => Self::NotDispatcher,
        }
    }
}

impl From<Reply> for dispatcher::Reply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Granted(target, resident) => Self::Granted(target, resident),
            Reply::Queued => Self::Queued,
            Reply::Busy(delay) => Self::Busy(duration(delay)),
            Reply::Refused(retry_after) => Self::Refused(duration(retry_after)),
            Reply::NotDispatcher => Self::NotDispatcher,
        }
    }
}

impl From<&discovery::Notice> for Notice {
    fn from(notice: &discovery::Notice) -> Self {
        Self {
            from: notice.from.clone(),
            cursor: notice.cursor,
            staleness: millis(notice.staleness),
            digest: notice.digest,
            store_outage: notice.store_outage,
            updated: notice.updated.iter().map(Row::from).collect(),
            removed: notice.removed.clone(),
        }
    }
}

impl From<Notice> for discovery::Notice {
    fn from(notice: Notice) -> Self {
        Self {
            from: notice.from,
            cursor: notice.cursor,
            staleness: duration(notice.staleness),
            digest: notice.digest,
            store_outage: notice.store_outage,
            updated: notice.updated.into_iter().map(Member::from).collect(),
            removed: notice.removed,
        }
    }
}

impl From<&discovery::Page> for Page {
    fn from(page: &discovery::Page) -> Self {
        Self {
            from: page.from.clone(),
            request: page.request,
            cursor: page.cursor,
            members: page.members.iter().map(Row::from).collect(),
            has_more: page.has_more,
        }
    }
}

impl From<Page> for discovery::Page {
    fn from(page: Page) -> Self {
        Self {
            from: page.from,
            request: page.request,
            cursor: page.cursor,
            members: page.members.into_iter().map(Member::from).collect(),
            has_more: page.has_more,
        }
    }
}

impl From<&Member> for Row {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            service: member.service.clone(),
            address: member.address,
            domain: member.domain.clone(),
            slots: member.slots,
            draining: member.draining,
            cold_remaining: millis(member.cold_remaining),
            started_ms: member.started_ms,
            build: member.build.clone(),
            weights: member.weights.clone(),
            revision: member.revision,
        }
    }
}

impl From<Row> for Member {
    fn from(row: Row) -> Self {
        Self {
            id: row.id,
            service: row.service,
            address: row.address,
            domain: row.domain,
            slots: row.slots,
            draining: row.draining,
            cold_remaining: duration(row.cold_remaining),
            started_ms: row.started_ms,
            build: row.build,
            weights: row.weights,
            revision: row.revision,
        }
    }
}

impl Segment {
    fn new(store: &Store, key: &Key) -> Self {
        Self {
            store: store.clone(),
            namespace: key.namespace.to_string(),
            id: key.id.to_string(),
        }
    }

    fn key(self) -> (Store, Key) {
        let key = Key {
            namespace: self.namespace.into(),
            id: self.id.into(),
        };
        (self.store, key)
    }
}

/// The maximum number of tokens in a message; they are summed without overflow checks.
const MAX_TOKENS: u64 = u32::MAX as u64;
/// The maximum number of running requests of a target in a message, for the same reason.
const MAX_RUNNING: u32 = 1 << 16;

fn encode_load((target, load): &(Target, placement::Load)) -> TargetLoad {
    (
        target.clone(),
        load.running,
        load.prefill_tokens,
        load.kv_tokens,
    )
}

fn decode_load(
    (target, running, prefill_tokens, kv_tokens): TargetLoad,
) -> (Target, placement::Load) {
    let load = placement::Load {
        running: running.min(MAX_RUNNING),
        prefill_tokens: prefill_tokens.min(MAX_TOKENS),
        kv_tokens: kv_tokens.min(MAX_TOKENS),
    };
    (target, load)
}

fn encode_store(state: &gossip::StoreState) -> (Store, Option<u64>, u32, u32) {
    let (age, boot_age) = (millis(state.age), millis(state.boot_age));
    (state.store.clone(), state.boot, age, boot_age)
}

fn decode_store(
    (store, boot, age, boot_age): (Store, Option<u64>, u32, u32),
) -> gossip::StoreState {
    gossip::StoreState {
        store,
        boot,
        age: duration(age),
        boot_age: duration(boot_age),
    }
}

fn encode_evidence(evidence: &Evidence) -> CrashFields {
    (
        evidence.segment.to_string(),
        encode_crashes(&evidence.crashes),
        evidence.begun.map(micros),
    )
}

fn decode_evidence((segment, crashes, begun): CrashFields) -> Evidence {
    Evidence {
        segment: segment.into(),
        crashes: decode_crashes(crashes),
        begun: begun.map(Duration::from_micros),
    }
}

fn encode_request_evidence(evidence: &requests::Evidence) -> RequestFields {
    (
        evidence.request.0,
        encode_crashes(&evidence.crashes),
        evidence.begun.map(micros),
    )
}

fn decode_request_evidence((request, crashes, begun): RequestFields) -> requests::Evidence {
    requests::Evidence {
        request: Fingerprint(request),
        crashes: decode_crashes(crashes),
        begun: begun.map(Duration::from_micros),
    }
}

fn encode_crashes(crashes: &[(u64, Duration, Duration)]) -> Vec<(u64, u64, u64)> {
    let crashes = crashes.iter();
    crashes
        .map(|(target, lost, in_flight)| (*target, micros(*lost), micros(*in_flight)))
        .collect()
}

fn decode_crashes(crashes: Vec<(u64, u64, u64)>) -> Vec<(u64, Duration, Duration)> {
    let crashes = crashes.into_iter();
    crashes
        .map(|(target, lost, in_flight)| {
            let (lost, in_flight) = (
                Duration::from_micros(lost),
                Duration::from_micros(in_flight),
            );
            (target, lost, in_flight)
        })
        .collect()
}

fn encode_cell(cell: &cell::Cell) -> CellFields {
    let (service, domain) = (cell.service.clone(), cell.domain.clone());
    (service, domain, cell.shard, cell.shards)
}

fn decode_cell((service, domain, shard, shards): CellFields) -> cell::Cell {
    cell::Cell {
        service,
        domain,
        shard,
        shards: shards.max(1),
    }
}

fn encode_id(id: &dispatcher::Id) -> IdFields {
    (id.sender.to_string(), id.incarnation, id.sequence)
}

fn decode_id((sender, incarnation, sequence): IdFields) -> dispatcher::Id {
    dispatcher::Id {
        sender: sender.into(),
        incarnation,
        sequence,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
