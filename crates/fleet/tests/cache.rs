//! Cached prompt segments at store hosts.

use std::time::Duration;

use fleet::cache::{
    Action, Index, Key, Lateness, Location, Observation, Plan, Report, Residency, Segment, Status,
};
use fleet::catalog::StoreHost;
use types::{Domain, Store, Target, Time};

/// Returns a time after the start of a test. The hosts have run for ten seconds by then.
fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// What another entry observes of a host; `since` is when it first ran under this boot.
fn observed(boot: Option<u64>, at: Time, since: Time) -> Observation {
    Observation { boot, at, since }
}

fn host(name: &str, domain: &str, capacity: u64, link: f64, latency_ms: f64) -> StoreHost {
    StoreHost {
        name: name.into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        domain: domain.into(),
        capacity,
        link_mbps: link,
        latency: Duration::from_secs_f64(latency_ms / 1000.0),
        max_calls: 12,
        managed: true,
    }
}

fn key(namespace: &str, id: &str) -> Key {
    Key {
        namespace: namespace.into(),
        id: id.into(),
    }
}

fn segment(namespace: &str, id: &str, tokens: u64) -> Segment {
    Segment {
        key: key(namespace, id),
        tokens,
    }
}

fn present(namespace: &str, id: &str, tokens: u64) -> Report {
    Report {
        present: true,
        key: key(namespace, id),
        tokens,
    }
}

/// The index of an entry, and a target for which requests are planned.
struct Fixture {
    index: Index,
    target: Target,
    domain: Domain,
}

impl Fixture {
    /// Opens an index of hosts that are observed without a break.
    fn open(hosts: &[StoreHost]) -> Self {
        Self::open_observed(hosts, at(1_000_000))
    }

    /// Opens an index of hosts that were last observed at a time.
    fn open_observed(hosts: &[StoreHost], last: Time) -> Self {
        let mut index = Index::default();
        index.configure(hosts, 35_136);
        for host in hosts {
            index.on_observed(&host.name, observed(Some(1), last, Time::default()));
            index.set_informed(&host.name, true);
        }
        Self {
            index,
            target: "t".into(),
            domain: "pier".into(),
        }
    }

    fn actions(&self, segments: &[Segment], now: Time) -> Vec<Action> {
        let location = Location {
            target: &self.target,
            domain: &self.domain,
            pool_size: 9,
        };
        self.index
            .plan(segments, &location, Residency::Estimated, 0.5, now)
            .actions
    }
}

fn big() -> Store {
    "big".into()
}

/// Guards against a segment that is fetched while it is still being written: it is available only
/// once the host reports it.
#[test]
fn a_segment_is_fetched_only_after_the_host_reports_it() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    let segments = [segment("m.1", "root", 2600)];
    assert_eq!(fixture.actions(&segments, at(0)), [Action::Save(big())]);
    let location = Location {
        target: &fixture.target,
        domain: &fixture.domain,
        pool_size: 9,
    };
    let plan = fixture
        .index
        .plan(&segments, &location, Residency::Estimated, 0.5, at(0));
    fixture.index.on_sent(&segments, &plan, &location, 1, at(0));
    // The save is in progress, so the segment is neither fetched nor saved again.
    fixture.target = "other".into();
    assert_eq!(fixture.actions(&segments, at(100)), [Action::Prefill]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2592)], at(200));
    assert_eq!(fixture.actions(&segments, at(300)), [Action::Fetch(big())]);
}

/// Guards against finding segments of other weights or of an isolated team.
#[test]
fn a_segment_of_another_namespace_is_not_found() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2600)], at(0));
    for namespace in ["m.2", "m.1.parks"] {
        assert_eq!(
            fixture.actions(&[segment(namespace, "root", 2600)], at(1)),
            [Action::Save(big())]
        );
    }
}

/// Guards against a fetch of a segment whose predecessor is missing, which makes it useless.
#[test]
fn a_segment_after_a_missing_one_is_not_fetched() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "session", 4000)], at(0));
    let segments = [
        segment("m.1", "root", 2600),
        segment("m.1", "session", 4000),
    ];
    assert_eq!(
        fixture.actions(&segments, at(1)),
        [Action::Save(big()), Action::Prefill]
    );
}

/// Guards against outdated state of a host that has restarted and lost everything.
#[test]
fn a_restarted_host_is_empty() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2600)], at(0));
    let restarted = observed(Some(2), at(2_000_000), Time::default());
    fixture.index.on_observed(&big(), restarted);
    assert_eq!(
        fixture.actions(&[segment("m.1", "root", 2600)], at(2)),
        [Action::Save(big())]
    );
}

/// Guards against fetches from a host that does not answer; each costs some hundred milliseconds.
#[test]
fn a_host_that_is_down_is_not_used() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2600)], at(0));
    let down = observed(None, at(2_000_000), at(2_000_000));
    fixture.index.on_observed(&big(), down);
    assert_eq!(
        fixture.actions(&[segment("m.1", "root", 2600)], at(1)),
        [Action::Prefill]
    );
}

/// Guards against long segments that fill the small fast hosts, and short ones that wait for slow
/// hosts.
#[test]
fn short_segments_go_to_fast_hosts_and_long_ones_to_large_hosts() {
    let fixture = Fixture::open(&[
        host("big", "pier", 1_205_532, 74_000.0, 6.0),
        host("fast", "pier", 76_138, 250_000.0, 0.5),
    ]);
    assert_eq!(
        fixture.actions(&[segment("m.1", "s", 560)], at(0)),
        [Action::Save("fast".into())]
    );
    assert_eq!(
        fixture.actions(&[segment("m.1", "l", 4600)], at(0)),
        [Action::Save(big())]
    );
}

/// Guards against evicting segments that entries still use. Found on the grown deployments, as a
/// violation of the MIXED check.
#[test]
fn segments_in_use_are_not_evicted() {
    let mut fixture = Fixture::open(&[host("big", "pier", 10_000, 74_000.0, 6.0)]);
    let reports = (0..20).map(|index| present("m.1", &index.to_string(), 500));
    fixture
        .index
        .on_reports(&big(), 1, reports.collect(), at(0));
    assert!(
        fixture
            .index
            .retire(&big(), |_| Status::Current, usize::MAX, at(1000))
            .is_empty()
    );
    // Later, another entry uses one of them.
    fixture.index.on_used(&big(), &key("m.1", "0"), at(19_000));
    let retired = fixture
        .index
        .retire(&big(), |_| Status::Current, usize::MAX, at(20_000));
    assert!(!retired.is_empty());
    assert!(!retired.contains(&key("m.1", "0")));
    // A retired segment is not fetched any more, and a late report does not bring it back.
    let report = Report {
        present: true,
        key: retired[0].clone(),
        tokens: 500,
    };
    fixture
        .index
        .on_reports(&big(), 1, vec![report], at(20_100));
    let again = Segment {
        key: retired[0].clone(),
        tokens: 500,
    };
    assert!(!matches!(
        fixture.actions(&[again], at(20_200))[0],
        Action::Fetch(_)
    ));
}

/// Guards against segments of replaced weights that occupy capacity forever.
#[test]
fn segments_of_replaced_weights_are_evicted() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    let reports = vec![present("m.1", "old", 500), present("m.2", "new", 500)];
    fixture.index.on_reports(&big(), 1, reports, at(0));
    let status = |namespace: &str| match namespace {
        "m.2" => Status::Current,
        _ => Status::Unused,
    };
    let retired = fixture.index.retire(&big(), status, usize::MAX, at(1));
    assert_eq!(retired, [key("m.1", "old")]);
}

/// Guards against overloaded links: beyond a utilization of 85%, some requests prefill instead of
/// fetching. The load is that of candlewalk-grown on a single host; the average over two seconds
/// has converged after seven.
#[test]
fn an_overloaded_link_gets_fewer_fetches() {
    let mut fixture = Fixture::open(&[host("big", "bluff", 10_000_000, 74_000.0, 6.0)]);
    let ids: Vec<String> = (0..900).map(|index| index.to_string()).collect();
    let reports = ids.iter().map(|id| present("m.1", id, 4600)).collect();
    fixture.index.on_reports(&big(), 1, reports, at(0));
    let mut fetched = 0.0;
    for (step, id) in ids.iter().enumerate() {
        // 100 per second; each takes 41 ms between failure domains.
        let now = at(10 * step as u64);
        fixture.target = format!("t{}", step % 44).as_str().into();
        let segments = [segment("m.1", id, 4600)];
        let location = Location {
            target: &fixture.target,
            domain: &fixture.domain,
            pool_size: 44,
        };
        let draw = (step as f64 * 0.618).fract();
        let plan = fixture
            .index
            .plan(&segments, &location, Residency::Estimated, draw, now);
        fixture.index.on_sent(&segments, &plan, &location, 1, now);
        if step >= 700 && matches!(plan.actions[0], Action::Fetch(_)) {
            fetched += 0.041;
        }
    }
    assert!(fetched > 1.0, "{fetched} s of transfers in 2 s");
    assert!(fetched < 2.0, "{fetched} s of transfers in 2 s");
}

/// Observes the first tokens of one fetch and of one request without fetches, each late by the
/// given number of ms.
fn observe(fixture: &mut Fixture, fetch_ms: u64, prefill_ms: u64, now: Time) {
    let domain = fixture.domain.clone();
    let plan = |fetch| Plan {
        resident: Vec::new(),
        actions: vec![Action::Fetch(big())],
        prefill_tokens: 0,
        fetch_time: fetch,
        congestion: Duration::ZERO,
    };
    let millis = Duration::from_millis;
    let plain = plan(Duration::ZERO);
    fixture
        .index
        .on_first_token(&plain, &domain, millis(prefill_ms), now);
    let fetch = plan(millis(25));
    fixture
        .index
        .on_first_token(&fetch, &domain, millis(25 + fetch_ms), now);
}

fn is_fetched(fixture: &Fixture) -> bool {
    let segment = [segment("m.1", "root", 2600)];
    matches!(fixture.actions(&segment, at(1))[0], Action::Fetch(_))
}

/// Guards against fetches from a host whose links have become slow, and against a host that is not
/// used again after it has recovered.
#[test]
fn fetches_from_a_slow_host_are_skipped_until_it_has_recovered() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    let root = vec![present("m.1", "root", 2600)];
    fixture.index.on_reports(&big(), 1, root, at(0));
    // Thirty fetches per second by all entries together.
    (0..60).for_each(|step| observe(&mut fixture, 800, 20, at(step * 33)));
    assert!(!is_fetched(&fixture));
    (0..90).for_each(|step| observe(&mut fixture, 20, 20, at(2000 + step * 33)));
    assert!(is_fetched(&fixture));
}

/// Guards against a host that counts as slow because the engines near it are busy. In
/// candlewalk-grown trouble-1, half of the prompts were prefilled again for minutes after engines
/// had returned, which kept the engines busy.
#[test]
fn a_host_near_busy_targets_is_not_slow() {
    let mut fixture = Fixture::open(&[
        host("big", "pier", 1_000_000, 74_000.0, 6.0),
        host("other", "bluff", 1_000_000, 74_000.0, 6.0),
    ]);
    let root = vec![present("m.1", "root", 2600)];
    fixture.index.on_reports(&big(), 1, root, at(0));
    (0..60).for_each(|step| observe(&mut fixture, 900, 900, at(step * 33)));
    assert!(is_fetched(&fixture));
}

/// Guards against an entry that fetches too rarely to notice by itself that a host is slow or has
/// recovered. On candlewalk-grown, each of 24 entries fetches from a host about once per second.
#[test]
fn lateness_observed_by_peers_counts() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    let root = vec![present("m.1", "root", 2600)];
    fixture.index.on_reports(&big(), 1, root, at(0));
    let lateness = |ms: f64| Lateness {
        sum_ms: 15.0 * ms,
        count: 15,
    };
    for step in 0..4 {
        fixture
            .index
            .on_lateness(&big(), lateness(700.0), at(step * 500));
    }
    assert!(!is_fetched(&fixture));
    for step in 0..6 {
        let now = at(2500 + step * 500);
        fixture.index.on_lateness(&big(), lateness(10.0), now);
    }
    assert!(is_fetched(&fixture));
}

/// Guards against observations that are reported twice or never.
#[test]
fn the_observations_of_one_round_are_reported() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    (0..10).for_each(|step| observe(&mut fixture, 300, 0, at(step * 100)));
    let reported = fixture.index.lateness(Duration::from_millis(500), at(1000));
    assert_eq!(reported.len(), 1);
    assert_eq!((&reported[0].0, reported[0].1.count), (&big(), 4));
    assert!(reported[0].1.sum_ms > 1000.0, "{reported:?}");
}

/// Guards against hosts that are full of segments of older weights and cannot save those of the
/// newest. In candlewalk trouble-2, no segment was saved from 32 to 44 s, and all prompts were
/// prefilled again.
#[test]
fn segments_of_older_weights_are_evicted_first() {
    let mut fixture = Fixture::open(&[host("big", "pier", 10_000, 74_000.0, 6.0)]);
    let reports =
        (0..20).map(|index| present(&format!("m.{}", 1 + index % 2), &index.to_string(), 500));
    fixture
        .index
        .on_reports(&big(), 1, reports.collect(), at(0));
    let status = |namespace: &str| match namespace {
        "m.2" => Status::Current,
        _ => Status::Outdated,
    };
    // Targets still serve the older weights, and their segments were in use until a moment ago.
    assert!(
        fixture
            .index
            .retire(&big(), status, usize::MAX, at(500))
            .is_empty()
    );
    let retired = fixture.index.retire(&big(), status, usize::MAX, at(1500));
    // From 100% to 60%.
    assert_eq!(retired.len(), 8);
    assert!(
        retired.iter().all(|key| &*key.namespace == "m.1"),
        "{retired:?}"
    );
    let new = [segment("m.2", "new", 100)];
    assert_eq!(fixture.actions(&new, at(1600)), [Action::Save(big())]);
}

/// Guards against hosts that stay full after a restart of all entries. In phanvui-ops-grown
/// trouble-2, nothing was saved for 3.7 s, and 3.8 million tokens were prefilled again.
#[test]
fn segments_of_older_weights_are_evicted_before_the_list_is_complete() {
    let mut fixture = Fixture::open(&[host("big", "pier", 100_000, 74_000.0, 6.0)]);
    let reports = (0..200).map(|index| present("m.1", &index.to_string(), 500));
    fixture
        .index
        .on_reports(&big(), 1, reports.collect(), at(0));
    let status = |is_complete| move |_: &str| Status::Unused.conservative(is_complete);
    // From 100% to 60%, and at most 20 at a time.
    for (round, count) in [20, 20, 20, 20, 0].into_iter().enumerate() {
        let time = at(1500 + 500 * round as u64);
        let retired = fixture
            .index
            .retire(&big(), status(false), usize::MAX, time);
        assert_eq!(retired.len(), count);
    }
    let rest = fixture
        .index
        .retire(&big(), status(true), usize::MAX, at(4000));
    assert_eq!(rest.len(), 120);
}

/// Guards against evicting segments that did not fit into the gossip message. On phanvui-ops-grown,
/// an entry responsible for three hosts evicted 60 segments at a time, and another entry fetched
/// one of them (MIXED check).
#[test]
fn no_more_segments_are_retired_than_fit_into_a_message() {
    let mut fixture = Fixture::open(&[host("big", "pier", 100_000, 74_000.0, 6.0)]);
    let mut reports: Vec<Report> = (0..60)
        .map(|index| present("m.1", &index.to_string(), 500))
        .collect();
    reports.extend((60..200).map(|index| present("m.2", &index.to_string(), 500)));
    fixture.index.on_reports(&big(), 1, reports, at(0));
    let status = |namespace: &str| match namespace {
        "m.1" => Status::Unused,
        _ => Status::Outdated,
    };
    for (capacity, retired) in [(0, 0), (7, 7), (60, 60), (0, 0)] {
        let segments = fixture.index.retire(&big(), status, capacity, at(2000));
        assert_eq!(segments.len(), retired);
    }
}

/// Guards against an entry that fetches evicted segments after its host was suspended: the messages
/// that announced the eviction overflowed the socket buffer.
#[test]
fn a_stalled_entry_reads_the_reports_before_it_fetches() {
    let mut fixture = Fixture::open(&[host("big", "pier", 10_000, 74_000.0, 6.0)]);
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "a", 500)], at(0));
    let segments = [segment("m.1", "a", 500)];
    for millis in (0..2000).step_by(100) {
        fixture.index.on_tick(at(millis));
        assert_eq!(
            fixture.actions(&segments, at(millis)),
            [Action::Fetch(big())]
        );
    }
    // The request is planned before the first tick after the stall.
    assert_eq!(fixture.actions(&segments, at(6000)), [Action::Prefill]);
    fixture.index.on_tick(at(6001));
    assert!(!fixture.index.is_synced(&big()));
    assert_eq!(fixture.actions(&segments, at(6002)), [Action::Prefill]);
    // An answer to a call from before the stall is outdated.
    fixture.index.on_synced(&big(), at(1900));
    assert_eq!(fixture.actions(&segments, at(6003)), [Action::Prefill]);
    fixture.index.on_synced(&big(), at(6010));
    assert_eq!(fixture.actions(&segments, at(6050)), [Action::Fetch(big())]);
}

/// Guards against evicting segments before a slow target has fetched them. In phanvui-ops-grown
/// trouble-2, a request received its segments two seconds after it was sent (MIXED check).
#[test]
fn a_pinned_segment_is_not_evicted() {
    let mut fixture = Fixture::open(&[host("big", "pier", 10_000, 74_000.0, 6.0)]);
    let report = vec![present("m.1", "a", 500), present("m.1", "b", 500)];
    fixture.index.on_reports(&big(), 1, report, at(0));
    let within = Duration::from_millis(1600);
    let (a, b) = (key("m.1", "a"), key("m.1", "b"));
    let sent = [segment("m.1", "a", 500)];
    let location = Location {
        target: &fixture.target,
        domain: &fixture.domain,
        pool_size: 9,
    };
    let plan = fixture
        .index
        .plan(&sent, &location, Residency::Estimated, 0.5, at(10));
    assert_eq!(plan.actions, [Action::Fetch(big())]);
    for millis in [10, 20] {
        fixture
            .index
            .on_sent(&sent, &plan, &location, 1, at(millis));
    }
    assert!(fixture.index.pinned().is_empty());
    fixture
        .index
        .on_retired(&big(), &[a.clone(), b.clone()], at(100));
    assert_eq!(fixture.index.pinned(), [(big(), a.clone())]);
    fixture.index.on_fetch_done(&big(), &a);
    assert!(fixture.index.is_pinned(&big(), &a, within, at(2100)));
    fixture.index.on_fetch_done(&big(), &a);
    assert!(!fixture.index.is_pinned(&big(), &a, within, at(2100)));
    assert!(fixture.index.pinned().is_empty());
    // Another entry reports that it is fetching the other segment.
    fixture.index.on_pinned(&big(), &b, at(1000));
    assert!(fixture.index.is_pinned(&big(), &b, within, at(2100)));
    assert!(!fixture.index.is_pinned(&big(), &b, within, at(2700)));
}

/// Guards against long segments that are never saved, and so prefilled by each request of their
/// session. On phanvui-ops-grown, the large hosts have a capacity of 771,138 tokens and a segment
/// has 8,610 on average; prefilling them again cost 0.147 of the worth.
#[test]
fn a_long_segment_goes_to_a_large_host() {
    let small = host("small", "pier", 276_980, 250_000.0, 0.5);
    let large = host("big", "pier", 771_138, 74_000.0, 6.0);
    let fixture = Fixture::open(&[small, large]);
    let actions = |tokens| fixture.actions(&[segment("m.1", "session", tokens)], at(0));
    assert_eq!(actions(2000), [Action::Save("small".into())]);
    for tokens in [4000, 8610, 12_000, 23_000] {
        assert_eq!(actions(tokens), [Action::Save(big())], "{tokens}");
    }
    assert_eq!(actions(800_000), [Action::Prefill]);
}

/// Guards against fetching a segment that another entry is just saving again (MIXED check). The
/// entries that relayed the reports of a host were gone, so one that does not watch it went by the
/// host's former boot for up to five seconds.
#[test]
fn nothing_is_fetched_without_recent_evidence_of_the_boot() {
    let hosts = [host("big", "pier", 1_000_000, 74_000.0, 6.0)];
    let mut fixture = Fixture::open_observed(&hosts, at(0));
    let root = [segment("m.1", "root", 2600)];
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2600)], at(0));
    assert_eq!(fixture.actions(&root, at(2500)), [Action::Fetch(big())]);
    assert_eq!(fixture.actions(&root, at(2501)), [Action::Prefill]);
    // Evidence of any entry is enough; older evidence changes nothing.
    for (time, action) in [(1000, Action::Prefill), (4000, Action::Fetch(big()))] {
        let evidence = observed(Some(1), at(time), at(time));
        fixture.index.on_observed(&big(), evidence);
        assert_eq!(fixture.actions(&root, at(4100)), [action]);
    }
}

/// Guards against an entry that has just started and fetches a segment that another one is about to
/// evict (MIXED check): the host's reports show it as present until then.
#[test]
fn nothing_is_fetched_by_an_entry_that_does_not_learn_of_evictions() {
    let mut fixture = Fixture::open(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)]);
    let root = [segment("m.1", "root", 2600)];
    fixture
        .index
        .on_reports(&big(), 1, vec![present("m.1", "root", 2600)], at(0));
    assert_eq!(fixture.actions(&root, at(1)), [Action::Fetch(big())]);
    assert!(fixture.index.set_informed(&big(), false));
    assert_eq!(fixture.actions(&root, at(2)), [Action::Prefill]);
    // Announcements are recorded from the first tick after the host is known, and again after a
    // stall.
    assert_eq!(fixture.index.announced_since(&big()), None);
    for (tick, since) in [(100, 100), (200, 100), (5000, 5000)] {
        fixture.index.on_tick(at(tick));
        assert_eq!(fixture.index.announced_since(&big()), Some(at(since)));
    }
    assert!(fixture.index.has_stalled_since(at(200), at(5000)));
    assert!(!fixture.index.has_stalled_since(at(5000), at(5100)));
}

/// Guards against the other side of the same fault: a segment is saved under a new boot while
/// another entry still has evidence of the former one, and fetches it.
#[test]
fn nothing_is_saved_under_a_new_boot_until_evidence_of_the_former_one_has_expired() {
    let mut fixture =
        Fixture::open_observed(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)], at(0));
    let root = [segment("m.1", "root", 2600)];
    assert_eq!(fixture.actions(&root, at(10)), [Action::Save(big())]);
    let restarted = observed(Some(2), at(100), at(100));
    fixture.index.on_observed(&big(), restarted);
    for time in [100, 2600, 3599] {
        assert_eq!(fixture.actions(&root, at(time)), [Action::Prefill]);
    }
    assert_eq!(fixture.actions(&root, at(3600)), [Action::Save(big())]);
    // An entry that has just started learns from another one how long the host has run.
    let mut fixture =
        Fixture::open_observed(&[host("big", "pier", 1_000_000, 74_000.0, 6.0)], at(0));
    for (since, action) in [
        (5000, Action::Prefill),
        (1400, Action::Save(big())),
        (4900, Action::Save(big())),
    ] {
        let evidence = observed(Some(2), at(5000), at(since));
        fixture.index.on_observed(&big(), evidence);
        assert_eq!(fixture.actions(&root, at(5000)), [action]);
    }
}

/// Guards against a message that was delayed and brings back a former boot, or a host that is down.
#[test]
fn an_older_observation_is_ignored() {
    let hosts = [host("big", "pier", 1_000_000, 74_000.0, 6.0)];
    let mut fixture = Fixture::open_observed(&hosts, at(0));
    let known = |fixture: &Fixture| fixture.index.observation(&big()).expect("a host");
    assert!(
        fixture
            .index
            .on_observed(&big(), observed(Some(2), at(500), at(500)))
    );
    for (boot, time) in [(Some(1), 900), (Some(3), 400), (None, 400)] {
        let old = observed(boot, at(time), at(time));
        assert!(!fixture.index.on_observed(&big(), old), "{boot:?}");
        assert_eq!(known(&fixture).boot, Some(2));
    }
    // Reports of a former boot are not those of this one.
    let report = vec![present("m.1", "root", 2600)];
    fixture.index.on_reports(&big(), 1, report, at(900));
    assert_eq!(
        fixture.actions(&[segment("m.1", "root", 2600)], at(900)),
        [Action::Prefill]
    );
    // A host that was down is used again once it was observed later.
    for (boot, time) in [(None, 1000), (Some(2), 1100)] {
        let news = observed(boot, at(time), at(time));
        assert!(fixture.index.on_observed(&big(), news));
        assert_eq!(known(&fixture).boot, boot);
    }
}
