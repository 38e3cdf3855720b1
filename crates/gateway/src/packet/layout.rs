//! Messages as they are sent; the pure crate has no formats.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::cache::{Key, Lateness, Report};
use fleet::cell::Cell;
use fleet::discovery::{Notice, Page};
use fleet::dispatcher::{Demand, Id, Reply, Request};
use fleet::gossip::{State, Update};
use fleet::placement::Load;
use fleet::roster::Member;
use serde::{Deserialize, Serialize};
use types::{Domain, Model, Service, Store, Target, Team};

use super::Message;

/// Fetches of one host that count in one word; an entry starts fewer between two words.
const MOST_LATE: u32 = 1000;

/// A message as it is sent; the pure crate has no formats.
#[derive(Serialize, Deserialize)]
pub(super) enum Packet {
    Word(Box<Spoken>),
    Update(Told),
    Ask(Asked),
    Reply(Named, Answered),
    Cancel(Named),
    Notice(Noticed),
    Fetch(u64, Option<Target>),
    Page(Listed),
}

#[derive(Serialize, Deserialize)]
pub(super) struct Noticed {
    from: String,
    cursor: u64,
    /// In milliseconds.
    age: u32,
    digest: u64,
    shaken: bool,
    listed: Vec<Row>,
    unlisted: Vec<(Target, u64)>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Listed {
    from: String,
    number: u64,
    cursor: u64,
    members: Vec<Row>,
    more: bool,
}

/// A target as the list has it.
#[derive(Serialize, Deserialize)]
pub(super) struct Row {
    id: Target,
    service: Service,
    address: SocketAddr,
    domain: Domain,
    slots: u32,
    draining: bool,
    /// In milliseconds.
    cold: u32,
    born: Option<u64>,
    weights: Vec<(Model, u64)>,
    revision: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Spoken {
    from: String,
    start: u64,
    number: u64,
    config: u64,
    proof: Option<u64>,
    operator: u64,
    warm: bool,
    loads: Vec<Loaded>,
    /// Each with the milliseconds since it was heard.
    heard: Vec<(Target, u32)>,
    /// Each with the sum in ms and the number of fetches.
    late: Vec<(Store, i32, u32)>,
    changing: Vec<Target>,
    changed: Vec<(Target, Model, u64)>,
    used: Vec<Part>,
    retired: Vec<Part>,
    reading: Vec<Part>,
    hosts: Vec<(Store, Option<u64>)>,
    /// Each with whether it is held, and its tokens.
    news: Vec<(Part, bool, u64)>,
    /// Each with milliseconds.
    delays: Vec<(Group, u32)>,
    silent: Vec<String>,
    leaves: bool,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Told {
    from: String,
    start: u64,
    number: u64,
    loads: Vec<Loaded>,
    told: Vec<u64>,
    heard: Vec<Target>,
    failed: Vec<Target>,
    refused: Vec<Target>,
    changing: Vec<Target>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Asked {
    name: Named,
    cell: Group,
    rank: u8,
    /// In milliseconds.
    limit: u32,
    queue: bool,
    model: Option<Model>,
    team: Option<Team>,
    parts: Vec<(String, u64)>,
    own: u64,
    need: u64,
    left_out: Vec<Target>,
    unreached: Vec<Domain>,
}

#[derive(Serialize, Deserialize)]
pub(super) enum Answered {
    Granted(Target, Vec<bool>),
    Waits,
    /// In milliseconds.
    Busy(u32),
    /// In milliseconds.
    Refused(u32),
    Elsewhere,
}

/// The target, with requests, tokens that are read, and tokens of memory.
pub(super) type Loaded = (Target, u32, u64, u64);

/// The service, the failure domain, the shard and the number of shards.
pub(super) type Group = (Service, Option<Domain>, u32, u32);

/// The asker, its start and the number.
pub(super) type Named = (String, u64, u64);

#[derive(Serialize, Deserialize)]
pub(super) struct Part {
    store: Store,
    space: String,
    id: String,
}

impl From<&Message> for Packet {
    fn from(message: &Message) -> Self {
        match message {
            Message::Word(word) => Self::Word(Box::new(Spoken::from(word))),
            Message::Update(update) => Self::Update(Told::from(update)),
            Message::Ask(ask) => Self::Ask(Asked::from(ask)),
            Message::Reply(name, reply) => Self::Reply(named(name), Answered::from(reply)),
            Message::Cancel(name) => Self::Cancel(named(name)),
            Message::Notice(notice) => Self::Notice(Noticed::from(notice)),
            Message::Fetch(number, after) => Self::Fetch(*number, after.clone()),
            Message::Page(page) => Self::Page(Listed::from(page)),
        }
    }
}

impl From<Packet> for Message {
    fn from(packet: Packet) -> Self {
        match packet {
            Packet::Word(spoken) => Self::Word((*spoken).into()),
            Packet::Update(told) => Self::Update(told.into()),
            Packet::Ask(asked) => Self::Ask(asked.into()),
            Packet::Reply(named, answered) => Self::Reply(name(named), answered.into()),
            Packet::Cancel(named) => Self::Cancel(name(named)),
            Packet::Notice(noticed) => Self::Notice(noticed.into()),
            Packet::Fetch(number, after) => Self::Fetch(number, after),
            Packet::Page(listed) => Self::Page(listed.into()),
        }
    }
}

impl From<&State> for Spoken {
    fn from(word: &State) -> Self {
        let part = |(store, key): &(Store, Key)| Part::new(store, key);
        let heard = word.last_heard.iter();
        let news = word.reports.iter();
        let delays = word.queue_delays.iter();
        Self {
            from: word.from.clone(),
            start: word.incarnation,
            number: word.sequence,
            config: word.config_version,
            proof: word.evidence,
            operator: word.operator_version,
            warm: word.warm,
            loads: word.loads.iter().map(loaded).collect(),
            heard: heard
                .map(|(target, ago)| (target.clone(), millis(*ago)))
                .collect(),
            late: word
                .lateness
                .iter()
                .map(|(store, late)| (store.clone(), late.sum_ms.round() as i32, late.count))
                .collect(),
            changing: word.updating.clone(),
            changed: word.updated.clone(),
            used: word.used.iter().map(part).collect(),
            retired: word.retired.iter().map(part).collect(),
            reading: word.pinned.iter().map(part).collect(),
            hosts: word.stores.clone(),
            news: news
                .map(|(store, report)| {
                    let part = Part::new(store, &report.key);
                    (part, report.present, report.tokens)
                })
                .collect(),
            delays: delays
                .map(|(cell, delay)| (group(cell), millis(*delay)))
                .collect(),
            silent: word.suspected.clone(),
            leaves: word.leaving,
        }
    }
}

impl From<Spoken> for State {
    fn from(spoken: Spoken) -> Self {
        let heard = spoken.heard.into_iter();
        let heard = heard.map(|(target, ago)| (target, duration(ago)));
        let late = spoken.late.into_iter().map(|(store, sum, count)| {
            let late = Lateness {
                sum_ms: f64::from(sum),
                count: count.min(MOST_LATE),
            };
            (store, late)
        });
        let news = spoken.news.into_iter().map(|(part, held, tokens)| {
            let (store, key) = part.key();
            (
                store,
                Report {
                    present: held,
                    key,
                    tokens,
                },
            )
        });
        let delays = spoken.delays.into_iter();
        Self {
            from: spoken.from,
            incarnation: spoken.start,
            sequence: spoken.number,
            config_version: spoken.config,
            evidence: spoken.proof,
            operator_version: spoken.operator,
            warm: spoken.warm,
            loads: spoken.loads.into_iter().map(load).collect(),
            last_heard: heard.collect(),
            lateness: late.collect(),
            updating: spoken.changing,
            updated: spoken.changed,
            used: spoken.used.into_iter().map(Part::key).collect(),
            retired: spoken.retired.into_iter().map(Part::key).collect(),
            pinned: spoken.reading.into_iter().map(Part::key).collect(),
            stores: spoken.hosts,
            reports: news.collect(),
            queue_delays: delays
                .map(|(group, delay)| (cell(group), duration(delay)))
                .collect(),
            suspected: spoken.silent,
            leaving: spoken.leaves,
        }
    }
}

impl From<&Update> for Told {
    fn from(update: &Update) -> Self {
        Self {
            from: update.from.clone(),
            start: update.incarnation,
            number: update.sequence,
            loads: update.loads.iter().map(loaded).collect(),
            told: update.acknowledged.clone(),
            heard: update.heard.clone(),
            failed: update.failed.clone(),
            refused: update.refused.clone(),
            changing: update.updating.clone(),
        }
    }
}

impl From<Told> for Update {
    fn from(told: Told) -> Self {
        Self {
            from: told.from,
            incarnation: told.start,
            sequence: told.number,
            loads: told.loads.into_iter().map(load).collect(),
            acknowledged: told.told,
            heard: told.heard,
            failed: told.failed,
            refused: told.refused,
            updating: told.changing,
        }
    }
}

impl From<&Request> for Asked {
    fn from(ask: &Request) -> Self {
        let demand = &ask.demand;
        let parts = demand.segments.iter();
        Self {
            name: named(&ask.id),
            cell: group(&ask.cell),
            rank: ask.rank,
            limit: millis(ask.max_wait),
            queue: ask.queue,
            model: demand.model.clone(),
            team: demand.team.clone(),
            parts: parts
                .map(|(id, tokens)| (id.to_string(), *tokens))
                .collect(),
            own: demand.unique_tokens,
            need: demand.kv_tokens,
            left_out: demand.excluded.clone(),
            unreached: demand.unreachable.clone(),
        }
    }
}

impl From<Asked> for Request {
    fn from(asked: Asked) -> Self {
        let parts = asked.parts.into_iter();
        Self {
            id: name(asked.name),
            cell: cell(asked.cell),
            rank: asked.rank,
            max_wait: duration(asked.limit),
            queue: asked.queue,
            demand: Demand {
                model: asked.model,
                team: asked.team,
                segments: parts
                    .map(|(id, tokens)| (id.into(), tokens.min(MOST_TOKENS)))
                    .collect(),
                unique_tokens: asked.own.min(MOST_TOKENS),
                kv_tokens: asked.need.min(MOST_TOKENS),
                excluded: asked.left_out,
                unreachable: asked.unreached,
            },
        }
    }
}

impl From<&Reply> for Answered {
    fn from(reply: &Reply) -> Self {
        match reply {
            Reply::Granted(target, local) => Self::Granted(target.clone(), local.clone()),
            Reply::Queued => Self::Waits,
            Reply::Busy(delay) => Self::Busy(millis(*delay)),
            Reply::Refused(again) => Self::Refused(millis(*again)),
            Reply::NotDispatcher => Self::Elsewhere,
        }
    }
}

impl From<Answered> for Reply {
    fn from(answered: Answered) -> Self {
        match answered {
            Answered::Granted(target, local) => Self::Granted(target, local),
            Answered::Waits => Self::Queued,
            Answered::Busy(delay) => Self::Busy(duration(delay)),
            Answered::Refused(again) => Self::Refused(duration(again)),
            Answered::Elsewhere => Self::NotDispatcher,
        }
    }
}

impl From<&Notice> for Noticed {
    fn from(notice: &Notice) -> Self {
        Self {
            from: notice.from.clone(),
            cursor: notice.cursor,
            age: millis(notice.staleness),
            digest: notice.digest,
            shaken: notice.store_outage,
            listed: notice.updated.iter().map(Row::from).collect(),
            unlisted: notice.removed.clone(),
        }
    }
}

impl From<Noticed> for Notice {
    fn from(noticed: Noticed) -> Self {
        Self {
            from: noticed.from,
            cursor: noticed.cursor,
            staleness: duration(noticed.age),
            digest: noticed.digest,
            store_outage: noticed.shaken,
            updated: noticed.listed.into_iter().map(Member::from).collect(),
            removed: noticed.unlisted,
        }
    }
}

impl From<&Page> for Listed {
    fn from(page: &Page) -> Self {
        Self {
            from: page.from.clone(),
            number: page.request,
            cursor: page.cursor,
            members: page.members.iter().map(Row::from).collect(),
            more: page.has_more,
        }
    }
}

impl From<Listed> for Page {
    fn from(listed: Listed) -> Self {
        Self {
            from: listed.from,
            request: listed.number,
            cursor: listed.cursor,
            members: listed.members.into_iter().map(Member::from).collect(),
            has_more: listed.more,
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
            cold: millis(member.cold_remaining),
            born: member.started_ms,
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
            cold_remaining: duration(row.cold),
            started_ms: row.born,
            weights: row.weights,
            revision: row.revision,
        }
    }
}

impl Part {
    fn new(store: &Store, key: &Key) -> Self {
        Self {
            store: store.clone(),
            space: key.namespace.to_string(),
            id: key.id.to_string(),
        }
    }

    fn key(self) -> (Store, Key) {
        let key = Key {
            namespace: self.space.into(),
            id: self.id.into(),
        };
        (self.store, key)
    }
}

/// The largest number of tokens that a message may name; they are added up without a check.
const MOST_TOKENS: u64 = u32::MAX as u64;

fn loaded((target, load): &(Target, Load)) -> Loaded {
    (
        target.clone(),
        load.running,
        load.prefill_tokens,
        load.kv_tokens,
    )
}

fn load((target, running, reading, memory): Loaded) -> (Target, Load) {
    let load = Load {
        running,
        prefill_tokens: reading,
        kv_tokens: memory,
    };
    (target, load)
}

fn group(cell: &Cell) -> Group {
    let (service, domain) = (cell.service.clone(), cell.domain.clone());
    (service, domain, cell.shard, cell.shards)
}

fn cell((service, domain, shard, shards): Group) -> Cell {
    Cell {
        service,
        domain,
        shard,
        shards: shards.max(1),
    }
}

fn named(name: &Id) -> Named {
    (name.sender.to_string(), name.incarnation, name.sequence)
}

fn name((asker, start, number): Named) -> Id {
    Id {
        sender: asker.into(),
        incarnation: start,
        sequence: number,
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
