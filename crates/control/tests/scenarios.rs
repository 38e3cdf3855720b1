//! Partitions, outages, crashes and restarts in virtual time.

mod common;

use std::time::Duration;

use common::{address, converged, member, rules};
use control::simulation::Network;
use control::{Event, Gossip, ISOLATION_TIMEOUT, Message, Node, Stamp, apply, diff};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::{Host, Time, Version};

const SIZE: usize = 90;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn name(index: usize) -> String {
    member(index).name
}

/// Returns the number of running processes that suspect a member.
fn suspecting_count(network: &Network, index: usize) -> usize {
    let nodes = (0..network.len()).filter_map(|node| network.node(node));
    nodes.filter(|node| node.is_suspected(&name(index))).count()
}

/// Guards against a partitioned region that stops working, against suspicion of an entire region,
/// and against a region that stays outdated after the partition heals.
#[test]
fn a_partitioned_region_keeps_working_and_catches_up() {
    let mut network = converged(SIZE, 20, 3);
    network.run(seconds(2));
    let partitioned: Vec<usize> = (0..SIZE).filter(|index| index % 9 < 3).collect();
    for &index in &partitioned {
        network.set_partition(index, 1);
    }
    network.platform.accept(&rules(20, 1));
    for _ in 0..3600 {
        network.run(seconds(1));
        let now = network.now();
        let isolated = |index: &usize| network.node(*index).is_none_or(|n| n.is_isolated(now));
        assert_eq!((0..SIZE).find(isolated), None, "isolated at {now:?}");
    }
    let count_with_version = |network: &Network, version| {
        let nodes = (0..SIZE).filter_map(|index| network.node(index));
        nodes.filter(|node| node.rules().version == version).count()
    };
    assert_eq!(count_with_version(&network, Version(1)), partitioned.len());
    assert_eq!(
        count_with_version(&network, Version(2)),
        SIZE - partitioned.len()
    );
    let suspected = (0..SIZE).filter(|index| suspecting_count(&network, *index) > 0);
    assert_eq!(
        suspected.count(),
        0,
        "members of a partitioned region must not be suspected"
    );
    for &index in &partitioned {
        network.set_partition(index, 0);
    }
    network.run(seconds(4));
    assert_eq!(count_with_version(&network, Version(2)), SIZE);
}

/// Guards against a partitioned process that continues to accept work, and against one that does
/// not recover.
#[test]
fn a_partitioned_process_is_isolated_after_3_s() {
    let mut network = converged(SIZE, 20, 4);
    network.run(seconds(2));
    network.set_partition(5, 1);
    network.run(ISOLATION_TIMEOUT);
    let is_isolated = |network: &Network| {
        let node = network.node(5).expect("the process is running");
        node.is_isolated(network.now())
    };
    assert!(is_isolated(&network));
    network.set_partition(5, 0);
    network.run(seconds(2));
    assert!(!is_isolated(&network));
}

/// Guards against crashed members that are not detected, and against a suspicion that a live member
/// cannot refute.
#[test]
fn crashed_members_are_suspected_and_recovered_ones_refute_it() {
    let mut network = converged(SIZE, 20, 5);
    network.run(seconds(2));
    network.crash(7);
    network.pause(8, seconds(40));
    network.inject(0, Event::Unreachable(name(7)));
    network.inject(0, Event::Unreachable(name(8)));
    let now = network.now();
    let directory = network
        .node(0)
        .expect("the process is running")
        .directory(now);
    assert!(
        directory.iter().all(|member| member.name != name(7)),
        "an unreachable member is still eligible for work"
    );
    network.run(seconds(20));
    // Neither the crashed process nor the paused one records suspicions.
    assert_eq!(suspecting_count(&network, 7), SIZE - 2);
    assert_eq!(suspecting_count(&network, 8), SIZE - 2);
    network.restart(7);
    network.run(seconds(40));
    assert_eq!(suspecting_count(&network, 7), 0);
    assert_eq!(suspecting_count(&network, 8), 0);
}

/// Guards against a suspicion that is based on a single broken path.
#[test]
fn a_single_failed_path_is_no_suspicion() {
    let mut network = converged(SIZE, 20, 6);
    network.run(seconds(2));
    for _ in 0..30 {
        network.inject(0, Event::Unreachable(name(7)));
        network.run(seconds(1));
        assert_eq!(suspecting_count(&network, 7), 0);
    }
    let now = network.now();
    network.inject(0, Event::Unreachable(name(7)));
    let directory = network
        .node(0)
        .expect("the process is running")
        .directory(now);
    assert!(directory.iter().all(|member| member.name != name(7)));
    // The probers are unreachable as well, so this remains the only failed path.
    network.set_partition(0, 1);
    network.inject(0, Event::Unreachable(name(9)));
    network.run(seconds(10));
    assert!(
        !network
            .node(0)
            .expect("the process is running")
            .is_suspected(&name(9))
    );
}

/// Guards against leaving hosts that still receive work after 3 s.
#[test]
fn leaving_hosts_are_known_everywhere_within_3_s() {
    let mut network = converged(SIZE, 20, 8);
    network.run(seconds(5));
    for (leaving, wanted) in [(vec![Host::from("host-00003")], 1), (Vec::new(), 0)] {
        network.platform.leaving = leaving;
        network.run(seconds(3));
        for index in 0..SIZE {
            let node = network.node(index).expect("the process is running");
            assert_eq!(node.leaving().len(), wanted, "process {index}");
        }
    }
}

/// Guards against a process that cannot start while the platform is unavailable, and against
/// processes that become ready without rules when all of them restart during an outage.
#[test]
fn seeds_replace_the_platform_at_startup() {
    let mut network = converged(SIZE, 20, 9);
    network.platform.accept(&rules(20, 1));
    network.run(seconds(4));
    network.platform.down = true;
    network.restart(40);
    network.run(seconds(2));
    let node = network.node(40).expect("the process is running");
    assert!(node.is_ready() && node.rules().version == Version(2));
    for index in 0..SIZE {
        network.restart(index);
    }
    network.run(seconds(20));
    let ready = |network: &Network| {
        let nodes = (0..SIZE).filter_map(|index| network.node(index));
        nodes.filter(|node| node.is_ready()).count()
    };
    assert_eq!(ready(&network), 0, "no process can know the configuration");
    network.platform.down = false;
    network.run(seconds(8));
    assert_eq!(ready(&network), SIZE);
}

/// Guards against a process that becomes ready with an older version than one of its seeds has.
#[test]
fn startup_waits_for_the_newest_known_version() {
    let mut random = StdRng::seed_from_u64(10);
    let seeds = vec![address(1), address(2), address(3)];
    let mut node = Node::new(member(0), seeds, Time::default(), &mut random);
    let mut requests = Vec::new();
    while requests.len() < 3 {
        for action in node.handle(Event::Tick, node.next_tick(), &mut random) {
            if let control::Action::Send(id, to, Message::Gossip(_)) = action {
                requests.push((id, to));
            }
        }
    }
    let old = rules(2, 0);
    let digest = *blake3::hash(old.as_bytes()).as_bytes();
    let now = Time::from_millis(900);
    for (index, (id, from)) in requests.into_iter().take(3).enumerate() {
        let gossip = Message::Gossip(Gossip {
            from,
            ready: true,
            version: Version(if index == 2 { 2 } else { 1 }),
            hosts: Stamp::default(),
            size: 4,
            members: 0,
            records: Vec::new(),
        });
        node.handle(Event::Reply(id, gossip), now, &mut random);
    }
    let text = Event::Text(Version(1), digest, Some(old.as_str().into()));
    node.handle(text, now, &mut random);
    assert_eq!(node.rules().version, Version(1));
    assert!(
        !node.is_ready(),
        "the process is ready under version 1 although a seed has version 2"
    );
    let new = rules(2, 1);
    let digest = *blake3::hash(new.as_bytes()).as_bytes();
    let text = Event::Text(Version(2), digest, Some(new.as_str().into()));
    node.handle(text, now, &mut random);
    assert!(node.is_ready());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against deltas that produce a wrong text, and against panics on texts they do not
    /// fit.
    #[test]
    fn deltas_reproduce_the_newer_text(
        older in "([a-c]{0,2}\n){0,200}[a-c]?",
        newer in "([a-c]{0,2}\n){0,200}[a-c]?",
        other in "([a-c]{0,2}\n){0,9}",
    ) {
        let edits = diff(&older, &newer);
        prop_assert_eq!(apply(&older, &edits), Some(newer));
        // Edits may happen to apply to an unrelated text; the digest check rejects the result then.
        let _ = apply(&other, &edits);
    }
}
