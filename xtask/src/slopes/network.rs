//! Simulates the control logic of many processes in virtual time; message sizes are those of the
//! encoding.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use control::simulation::{Network, Traffic};
use control::{Member, Message, Role};
use types::Incarnation;
use wire::Frame;

/// The control traffic between processes and to the platform at one size.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cost {
    /// Bytes per second that a process sends and receives, on average.
    pub(crate) bytes: f64,
    /// The maximum of the same over all processes.
    pub(crate) max_bytes: f64,
    /// Messages per second that a process sends.
    pub(crate) messages: f64,
    /// Platform reads per second of all processes.
    pub(crate) reads: f64,
    /// Time until a change is in force everywhere, in seconds; the maximum over all changes.
    pub(crate) in_force: f64,
    /// Platform reads and writes in the busiest second after all entries have restarted.
    pub(crate) worst_second: f64,
}

/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 2300.0;
/// Seconds per day.
const DAY_S: f64 = 86_400.0;
/// Hosts that fail, are restarted or are replaced, per process and day.
const RESTARTS_PER_DAY: f64 = (58.0 + 730.0) / 3330.0;
/// Number of changes that are measured.
const MEASURED_CHANGES: usize = 3;
/// Number of processes that are configured as seeds.
const SEEDS: usize = 3;
/// Duration of the measurement after the restart of all entries, in seconds.
const AFTER_RESTART_S: u64 = 30;

/// Simulates `size` processes with configuration changes and restarts at the rates of an ordinary
/// day, and then restarts all entries at the same time.
pub(crate) fn measure(size: usize, seed: u64) -> Cost {
    let mut network = Network::new(encoded_size, seed);
    network.platform.accept(&rules(0));
    let seeds: Vec<SocketAddr> = (0..SEEDS).map(address).collect();
    for index in 0..size {
        network.add(member(index), seeds.clone());
    }
    network.converge();
    network.run(Duration::from_secs(3));

    let before: Vec<Traffic> = (0..size).map(|index| network.traffic(index)).collect();
    let start = network.now();
    let interval = Duration::from_secs_f64(DAY_S / CHANGES_PER_DAY);
    let restarts = RESTARTS_PER_DAY * size as f64 * interval.as_secs_f64() / DAY_S;
    let (mut pending_restarts, mut in_force) = (0.0, Duration::ZERO);
    for change in 1..=MEASURED_CHANGES {
        network.platform.accept(&rules(change));
        let elapsed = disseminate(&mut network, interval);
        in_force = in_force.max(elapsed);
        pending_restarts += restarts;
        if pending_restarts >= 1.0 {
            pending_restarts -= 1.0;
            network.restart((change * 97) % size);
        }
        network.run(interval.saturating_sub(elapsed));
    }
    let seconds = network.now().since(start).as_secs_f64();
    let used: Vec<Traffic> = (0..size)
        .map(|index| difference(network.traffic(index), before[index]))
        .collect();
    let rate = |count: u64| count as f64 / seconds;
    let per_process =
        |pick: fn(&Traffic) -> u64| rate(used.iter().map(pick).sum::<u64>()) / size as f64;
    let max = used
        .iter()
        .map(|traffic| traffic.sent + traffic.received)
        .max();
    Cost {
        bytes: per_process(|traffic| traffic.sent + traffic.received),
        max_bytes: rate(max.unwrap_or(0)),
        messages: per_process(|traffic| traffic.messages),
        reads: per_process(platform_calls) * size as f64,
        in_force: in_force.as_secs_f64(),
        worst_second: restart_entries(&mut network),
    }
}

fn restart_entries(network: &mut Network) -> f64 {
    for index in (0..network.len()).filter(|&index| is_entry(index)) {
        network.restart(index);
    }
    let calls = |network: &Network| -> u64 {
        (0..network.len())
            .map(|index| platform_calls(&network.traffic(index)))
            .sum()
    };
    let (mut last, mut busiest) = (calls(network), 0);
    for _ in 0..AFTER_RESTART_S {
        network.run(Duration::from_secs(1));
        let now = calls(network);
        busiest = busiest.max(now - last);
        last = now;
    }
    busiest as f64
}

/// Runs until the newest version is in force everywhere; returns the elapsed time.
fn disseminate(network: &mut Network, limit: Duration) -> Duration {
    let (start, version) = (network.now(), network.platform.version());
    while network.now().since(start) < limit {
        network.run(Duration::from_millis(20));
        if network.versions().into_iter().eq([version]) {
            break;
        }
    }
    network.now().since(start)
}

fn platform_calls(traffic: &Traffic) -> u64 {
    traffic.head_reads
        + traffic.text_reads
        + traffic.member_reads
        + traffic.host_reads
        + traffic.registrations
}

fn difference(after: Traffic, before: Traffic) -> Traffic {
    Traffic {
        messages: after.messages - before.messages,
        sent: after.sent - before.sent,
        received: after.received - before.received,
        head_reads: after.head_reads - before.head_reads,
        text_reads: after.text_reads - before.text_reads,
        member_reads: after.member_reads - before.member_reads,
        host_reads: after.host_reads - before.host_reads,
        registrations: after.registrations - before.registrations,
    }
}

fn encoded_size(message: &Message) -> usize {
    // A message that cannot be encoded is counted with a size that exceeds every limit.
    wire::encode(&Frame::Control(message.clone())).map_or(usize::MAX >> 16, |bytes| bytes.len())
}

fn is_entry(index: usize) -> bool {
    index % 100 < 28
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 7000))
}

/// Returns the process with this index; `probe` measures the directory with the same records.
pub(crate) fn member(index: usize) -> Member {
    let domain = index % 9;
    Member {
        name: format!("process-{index}"),
        incarnation: Incarnation(1_790_000_000_000),
        address: address(index),
        host: format!("host-{index}").into(),
        domain: format!("domain-{domain}").into(),
        region: format!("region-{}", domain / 3).into(),
        role: if is_entry(index) {
            Role::Entry
        } else {
            Role::Engine {
                target: format!("engine-{index}").into(),
                model: format!("model-{}", index % 16).into(),
            }
        },
    }
}

/// Returns the rules after a change, which raises the rate of one team.
fn rules(change: usize) -> String {
    (0..40)
        .map(|team| {
            let rate = if team == change { 100 } else { 20 };
            format!("team team-{team} key={team:064x} rate={rate} # sales: contract {team}\n")
        })
        .collect()
}
