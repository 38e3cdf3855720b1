//! Random schedules of message loss, duplication, pauses, crashes, restarts, partitions and
//! configuration changes.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{address, member, message_size, rules};
use control::simulation::Network;
use control::{ISOLATION_TIMEOUT, Node};
use proptest::collection::vec;
use proptest::prelude::*;
use types::{Time, Version};

const PROCESSES: usize = 7;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Partition(usize, u32),
    Heal,
    Platform(bool),
    Conditions {
        delay: u64,
        jitter: u64,
        loss: f64,
        duplicates: f64,
    },
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        3 => Just(Step::Accept),
        1 => process.clone().prop_map(Step::Crash),
        2 => process.clone().prop_map(Step::Restart),
        2 => (process.clone(), 10..8_000_u64).prop_map(|(index, time)| Step::Pause(index, time)),
        2 => (process, 0..8_u32).prop_map(|(index, partition)| Step::Partition(index, partition)),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::Platform),
        2 => (1..400_u64, 0..2_000_u64, 0.0..0.6, 0.0..0.5).prop_map(|(delay, jitter, loss, duplicates)| {
            Step::Conditions { delay, jitter, loss, duplicates }
        }),
        6 => (10..5_000_u64).prop_map(Step::Run),
    ]
}

/// The expected state of the processes, tracked independently of the nodes.
#[derive(Default)]
struct Expected {
    /// The newest version seen in force, by process and start.
    versions: HashMap<(usize, u64), Version>,
    /// Since when each process has had no reachable peer and no platform.
    isolated_since: HashMap<usize, Time>,
    /// The network partition of each process.
    partitions: [u32; PROCESSES],
    starts: [u64; PROCESSES],
}

impl Expected {
    fn check(&mut self, network: &Network) -> Result<(), TestCaseError> {
        let now = network.now();
        for index in 0..PROCESSES {
            let Some(node) = network.node(index) else {
                continue;
            };
            let version = node.rules().version;
            let key = (index, self.starts[index]);
            let before = self.versions.insert(key, version).unwrap_or_default();
            prop_assert!(
                version >= before,
                "process {index} reverted from {before} to {version}"
            );
            let accepted = network.platform.text(version).unwrap_or_default();
            prop_assert_eq!(
                &node.rules().text,
                accepted,
                "the text differs from the accepted text of version {}",
                version
            );
            let isolated_since = self.isolated_since.get(&index);
            if isolated_since.is_some_and(|since| now.since(*since) >= ISOLATION_TIMEOUT) {
                prop_assert!(
                    node.is_isolated(now),
                    "process {index} is unreachable but accepts work"
                );
            }
        }
        Ok(())
    }

    fn update_partitions(&mut self, network: &Network) {
        for index in 0..PROCESSES {
            let partition = self.partitions[index];
            let others = self
                .partitions
                .iter()
                .filter(|other| **other == partition)
                .count();
            match partition != 0 && others == 1 {
                true => self.isolated_since.entry(index).or_insert(network.now()),
                false => {
                    self.isolated_since.remove(&index);
                    continue;
                }
            };
        }
    }
}

fn apply(network: &mut Network, expected: &mut Expected, step: &Step) -> Result<(), TestCaseError> {
    match *step {
        Step::Accept => {
            let change = network.platform.version().0 as usize + 1;
            network.platform.accept(&rules(12, change));
        }
        Step::Crash(index) => network.crash(index),
        Step::Restart(index) => {
            network.restart(index);
            expected.starts[index] += 1;
        }
        Step::Pause(index, time) => network.pause(index, Duration::from_millis(time)),
        Step::Partition(index, partition) => {
            network.set_partition(index, partition);
            expected.partitions[index] = partition;
        }
        Step::Heal => {
            for index in 0..PROCESSES {
                network.set_partition(index, 0);
            }
            expected.partitions = [0; PROCESSES];
        }
        Step::Platform(down) => network.platform.down = down,
        Step::Conditions {
            delay,
            jitter,
            loss,
            duplicates,
        } => {
            network.conditions.delay = Duration::from_millis(delay);
            network.conditions.jitter = Duration::from_millis(jitter);
            network.conditions.loss = loss;
            network.conditions.duplicates = duplicates;
        }
        Step::Run(time) => {
            let end = network.now() + Duration::from_millis(time);
            while network.step(end) {
                expected.check(network)?;
            }
            network.run(end.since(network.now()));
        }
    }
    expected.update_partitions(network);
    expected.check(network)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against versions that revert, rules in force that were never accepted, isolated
    /// processes that accept work, and processes that do not recover after the faults end.
    #[test]
    fn faults_never_revert_a_version(seed in any::<u64>(), steps in vec(step(), 1..60)) {
        let mut network = Network::new(message_size, seed);
        network.platform.accept(&rules(12, 0));
        for index in 0..PROCESSES {
            network.add(member(index), vec![address(0), address(1), address(2)]);
        }
        let mut expected = Expected::default();
        for step in &steps {
            apply(&mut network, &mut expected, step)?;
        }
        let normal = Step::Conditions { delay: 1, jitter: 0, loss: 0.0, duplicates: 0.0 };
        for step in [Step::Heal, Step::Platform(false), normal] {
            apply(&mut network, &mut expected, &step)?;
        }
        for index in 0..PROCESSES {
            if network.node(index).is_none() {
                apply(&mut network, &mut expected, &Step::Restart(index))?;
            }
        }
        // The longest pause is 8 s.
        apply(&mut network, &mut expected, &Step::Run(8_000))?;
        apply(&mut network, &mut expected, &Step::Accept)?;
        apply(&mut network, &mut expected, &Step::Run(4_000))?;
        for index in 0..PROCESSES {
            let node = network.node(index).expect("all processes were restarted");
            prop_assert_eq!(node.rules().version, network.platform.version(), "process {} has an outdated version", index);
            prop_assert!(node.is_ready() && !node.is_isolated(network.now()));
            prop_assert_eq!(Node::member_count(node), PROCESSES);
        }
    }
}
