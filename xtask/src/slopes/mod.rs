//! Measures how the cost per node grows with the size of the system, for docs/CAPACITY.md.

mod fit;
mod idle;
mod network;
mod probe;

use fit::Series;
use idle::{Cost, Mix};

use crate::{Result, process};

/// Number of targets at the size that the system is designed for.
const TARGETS: f64 = 2400.0;
/// Number of processes (entries and agents) at that size.
const PROCESSES: f64 = 3330.0;
/// Number of teams at that size.
const TEAMS: f64 = 4200.0;
/// Maximum memory of control on a node, in bytes.
const MEMORY_LIMIT: f64 = 128.0 * 1024.0 * 1024.0;
/// Maximum CPU usage of control on a node, in percent of a core.
const CPU_LIMIT: f64 = 1.3;
/// Maximum bytes per second that control sends from a node.
const BYTES_LIMIT: f64 = 4096.0;
/// Maximum time of a routing decision, in microseconds.
const DECISION_LIMIT: f64 = 20.0;

/// Runs the measurements and prints the tables.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    if let Some(name) = arguments.opt_value_from_str::<_, String>("--probe")? {
        let sample = probe::run(&name, arguments.value_from_str("--size")?)?;
        println!("{}", serde_json::to_string(&sample)?);
        return Ok(());
    }
    let skip_processes = arguments.contains("--no-processes");
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help").into());
    }
    println!("| quantity | per | measured (size: value) | slope | full size: value | limit |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for series in core_series()? {
        println!("{}", series.row());
    }
    for series in control_series() {
        println!("{}", series.row());
    }
    if !skip_processes {
        process::build()?;
        for series in process_series().await? {
            println!("{}", series.row());
        }
    }
    Ok(())
}

/// A measurement that runs in a separate process; see [`probe`].
struct Kind {
    name: &'static str,
    probe: &'static str,
    per: &'static str,
    sizes: [usize; 4],
    pick: fn(&probe::Sample) -> f64,
    full_size: f64,
    limit: Option<f64>,
}

const KINDS: [Kind; 6] = [
    Kind {
        name: "rules in memory (B)",
        probe: "rules",
        per: "teams",
        sizes: TEAM_SIZES,
        pick: |sample| sample.bytes,
        full_size: TEAMS,
        limit: Some(MEMORY_LIMIT),
    },
    Kind {
        name: "checking the rules (µs)",
        probe: "rules",
        per: "teams",
        sizes: TEAM_SIZES,
        pick: |sample| sample.cpu_us,
        full_size: TEAMS,
        limit: None,
    },
    Kind {
        name: "directory in memory (B)",
        probe: "directory",
        per: "processes",
        sizes: PROCESS_SIZES,
        pick: |sample| sample.bytes,
        full_size: PROCESSES,
        limit: Some(MEMORY_LIMIT),
    },
    Kind {
        name: "building the directory (µs)",
        probe: "directory",
        per: "processes",
        sizes: PROCESS_SIZES,
        pick: |sample| sample.cpu_us,
        full_size: PROCESSES,
        limit: None,
    },
    Kind {
        name: "rendezvous over all targets (µs)",
        probe: "route",
        per: "targets",
        sizes: TARGET_SIZES,
        pick: |sample| sample.cpu_us,
        full_size: TARGETS,
        limit: Some(DECISION_LIMIT),
    },
    Kind {
        name: "naming a prompt's blocks (µs)",
        probe: "chain",
        per: "tokens",
        sizes: TOKEN_SIZES,
        pick: |sample| sample.cpu_us,
        full_size: 32_768.0,
        limit: None,
    },
];

fn core_series() -> Result<Vec<Series>> {
    let mut all = Vec::new();
    for kind in KINDS {
        let mut points = Vec::new();
        for size in kind.sizes {
            points.push((size as f64, (kind.pick)(&probe::spawn(kind.probe, size)?)));
        }
        let Kind {
            name,
            per,
            full_size,
            limit,
            ..
        } = kind;
        all.push(Series {
            name,
            per,
            points,
            full_size,
            limit,
        });
    }
    Ok(all)
}

/// The time within which a change has to be in force everywhere, in seconds.
const IN_FORCE_LIMIT: f64 = 4.0;
/// Half of the reads per second that the platform can serve.
const READS_LIMIT: f64 = 1000.0;
/// Seed of the simulated network.
const SEED: u64 = 1;

fn control_series() -> Vec<Series> {
    let costs: Vec<(f64, network::Cost)> = PROCESS_SIZES
        .iter()
        .map(|&size| (size as f64, network::measure(size, SEED)))
        .collect();
    let series = |name, pick: fn(&network::Cost) -> f64, limit| Series {
        name,
        per: "processes",
        points: costs
            .iter()
            .map(|(size, cost)| (*size, pick(cost)))
            .collect(),
        full_size: PROCESSES,
        limit,
    };
    vec![
        series(
            "control bytes of a process, mean (B/s)",
            |cost| cost.bytes,
            Some(BYTES_LIMIT),
        ),
        series(
            "control bytes of a process, most (B/s)",
            |cost| cost.max_bytes,
            Some(BYTES_LIMIT),
        ),
        series(
            "control messages of a process (1/s)",
            |cost| cost.messages,
            None,
        ),
        series(
            "platform calls of all processes (1/s)",
            |cost| cost.reads,
            Some(READS_LIMIT),
        ),
        series(
            "change in force everywhere (s)",
            |cost| cost.in_force,
            Some(IN_FORCE_LIMIT),
        ),
        series(
            "platform calls, worst second (1/s)",
            |cost| cost.worst_second,
            Some(READS_LIMIT),
        ),
    ]
}

const TEAM_SIZES: [usize; 4] = [525, 1050, 2100, 4200];
const PROCESS_SIZES: [usize; 4] = [416, 832, 1665, 3330];
const TARGET_SIZES: [usize; 4] = [300, 600, 1200, 2400];
const TOKEN_SIZES: [usize; 4] = [4096, 8192, 16_384, 32_768];
/// Numbers of real processes; one machine cannot run many more.
const REAL_SIZES: [usize; 4] = [20, 40, 80, 160];

async fn process_series() -> Result<Vec<Series>> {
    let mut costs = Vec::new();
    for count in REAL_SIZES {
        let both = measure_idle(count, Mix::Both).await?;
        let entries = measure_idle(count, Mix::Entries).await?;
        costs.push((count as f64, both, entries));
    }
    let series = |name, pick: fn(&Cost, &Cost) -> f64, limit| Series {
        name,
        per: "processes",
        points: costs
            .iter()
            .map(|(size, both, entries)| (*size, pick(both, entries)))
            .collect(),
        full_size: PROCESSES,
        limit,
    };
    Ok(vec![
        series(
            "idle process, share of a core (%)",
            |both, _| both.cpu_percent,
            Some(CPU_LIMIT),
        ),
        series(
            "idle entry, share of a core (%)",
            |_, entries| entries.cpu_percent,
            Some(CPU_LIMIT),
        ),
        series(
            "idle process, resident memory (B)",
            |both, _| both.bytes,
            Some(MEMORY_LIMIT),
        ),
        series(
            "idle entry, bytes on the wire (B/s)",
            |_, entries| entries.wire,
            Some(BYTES_LIMIT),
        ),
        series(
            "platform reads of all processes (1/s)",
            |both, _| both.reads,
            Some(READS_LIMIT),
        ),
    ])
}

async fn measure_idle(count: usize, mix: Mix) -> Result<Cost> {
    let folder = std::env::temp_dir().join(format!("boragereel-slopes-{}", std::process::id()));
    let cost = idle::measure(count, mix, &folder).await?;
    std::fs::remove_dir_all(&folder)?;
    Ok(cost)
}
