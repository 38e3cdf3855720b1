//! Runs the control nodes of a full deployment of 3,330 processes in virtual time.

mod common;

use std::time::Duration;

use common::{converged, rules};
use control::simulation::{Network, Traffic};

/// 930 entries and 2,400 agents.
const SIZE: usize = 3_330;
/// Time limit within which a change must be in force on every process.
const IN_FORCE: Duration = Duration::from_secs(4);

fn total(network: &Network) -> Traffic {
    let mut total = Traffic::default();
    for index in 0..network.len() {
        let traffic = network.traffic(index);
        total.messages += traffic.messages;
        total.sent += traffic.sent;
        total.received += traffic.received;
        total.head_reads += traffic.head_reads;
        total.text_reads += traffic.text_reads;
        total.member_reads += traffic.member_reads;
        total.host_reads += traffic.host_reads;
        total.registrations += traffic.registrations;
    }
    total
}

/// Runs until the newest version is in force everywhere or `limit` has passed; returns the elapsed
/// time.
fn run_until_adopted(network: &mut Network, limit: Duration) -> Duration {
    let start = network.now();
    let version = network.platform.version();
    while network.now().since(start) <= limit {
        network.run(Duration::from_millis(20));
        if network.versions().into_iter().eq([version]) {
            break;
        }
    }
    network.now().since(start)
}

/// Guards against a change that reaches a process too late, and against traffic beyond the budget
/// of a node or of the platform, with one change every 4 s (ten times the expected rate).
#[test]
fn changes_are_in_force_everywhere_within_4_s_and_in_budget() {
    let mut network = converged(SIZE, 40, 7);
    network.run(Duration::from_secs(2));
    let (before, start) = (total(&network), network.now());
    let mut slowest = Duration::ZERO;
    for change in 1..=4 {
        network.platform.accept(&rules(40, change));
        let took = run_until_adopted(&mut network, IN_FORCE);
        slowest = slowest.max(took);
        network.run(IN_FORCE.saturating_sub(took));
    }
    let seconds = network.now().since(start).as_secs_f64();
    let after = total(&network);
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    let bytes = rate(after.sent + after.received, before.sent + before.received) / SIZE as f64;
    let messages = rate(after.messages, before.messages) / SIZE as f64;
    let heads = rate(after.head_reads, before.head_reads);
    println!(
        "slowest {slowest:?}; per node {bytes:.0} B/s, {messages:.2} messages/s; platform \
         {heads:.1} heads/s, {:.2} texts/s, {:.2} scans/s, {:.2} host lists/s",
        rate(after.text_reads, before.text_reads),
        rate(after.member_reads, before.member_reads),
        rate(after.host_reads, before.host_reads),
    );
    assert!(
        slowest <= IN_FORCE,
        "the slowest change was in force after {slowest:?}"
    );
    assert!(bytes <= 4096.0, "{bytes} B/s per node");
    assert!(heads <= 75.0, "{heads} reads/s of the accepted version");
    assert!(rate(after.text_reads, before.text_reads) <= 10.0);
}

/// Guards against a simultaneous restart of all processes that overloads the platform, or after
/// which some processes do not know each other or the configuration.
#[test]
fn a_simultaneous_restart_stays_within_the_platform_budget() {
    let mut network = converged(SIZE, 40, 11);
    network.run(Duration::from_secs(1));
    for index in 0..SIZE {
        network.restart(index);
    }
    let (start, mut last) = (network.now(), total(&network));
    let (mut max_reads, mut ready_after) = (0, None);
    for _ in 0..40 {
        network.run(Duration::from_secs(1));
        let now = total(&network);
        max_reads = max_reads.max(reads(&now) - reads(&last));
        last = now;
        let is_ready = |index| network.node(index).is_some_and(control::Node::is_ready);
        if ready_after.is_none() && (0..SIZE).all(is_ready) {
            ready_after = Some(network.now().since(start));
        }
    }
    let known_members =
        (0..SIZE).filter_map(|index| network.node(index).map(control::Node::member_count));
    let (min_known, texts) = (known_members.min(), last.text_reads);
    println!(
        "ready after {ready_after:?}; busiest second {max_reads} reads; {texts} texts; least known {min_known:?}; \
         {} KB received per node in 40 s",
        last.received / SIZE as u64 / 1024
    );
    assert!(ready_after.is_some_and(|after| after <= Duration::from_secs(10)));
    assert!(max_reads <= 1_000, "{max_reads} reads in one second");
    assert_eq!(min_known, Some(SIZE), "a process does not know all members");
}

fn reads(traffic: &Traffic) -> u64 {
    traffic.head_reads + traffic.member_reads + traffic.host_reads + traffic.registrations
}
