//! Rounds of random faults over real processes. What callers were told is compared with what was
//! executed.

mod check;
mod client;
mod inject;
mod schedule;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::cluster::{Cluster, Options};
use crate::deployment::Deployment;
use crate::{Result, process};
use check::Findings;
use client::{Client, End, Outcome, Payload};
use inject::{Injector, now_ms};
use schedule::{Kind, Request, Round};

/// Timeout for requests in flight to end after the last round.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of rounds between two checks.
const ROUNDS_PER_CHECK: u32 = 25;
/// Maximum number of details that are printed.
const MAX_DETAILS: usize = 40;
/// Maximum number of ended conversations from which returning prompts are drawn.
const MAX_CONVERSATIONS: usize = 64;

/// Options of a run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// The seed from which the schedule of all rounds is drawn.
    pub(crate) seed: u64,
    /// The numbers of the rounds.
    pub(crate) rounds: std::ops::Range<u32>,
    /// The name of the deployment under `examples/`.
    pub(crate) deployment: String,
    /// Whether to keep the logs after a run without violations.
    pub(crate) keeps_logs: bool,
    /// Whether to stop at the first check that finds a violation.
    pub(crate) fails_fast: bool,
    /// Whether to print the results as JSON.
    pub(crate) is_json: bool,
}

/// Runs the rounds that the arguments select.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let rounds: u32 = arguments.opt_value_from_str("--rounds")?.unwrap_or(50);
    let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
    let only_round: Option<u32> = arguments.opt_value_from_str("--only-round")?;
    let plan = Plan {
        seed,
        rounds: only_round.map_or(0..rounds, |only_round| only_round..only_round + 1),
        deployment: name.unwrap_or_else(|| "lakeshore".to_owned()),
        keeps_logs: arguments.contains("--keep-logs"),
        fails_fast: arguments.contains("--fail-fast"),
        is_json: arguments.contains("--json"),
    };
    if !arguments.contains("--no-build") {
        process::build()?;
    }
    match execute(&plan).await? {
        true => Ok(()),
        false => Err("an invariant is violated".into()),
    }
}

/// Runs the rounds over a small cluster; returns whether no invariant was violated.
pub(crate) async fn execute(plan: &Plan) -> Result<bool> {
    let mut deployment = Deployment::open(&plan.deployment)?;
    (deployment.entries, deployment.engines) = (2, 3);
    (deployment.services, deployment.stores) = (2, 2);
    let process_id = std::process::id();
    let folder =
        std::env::temp_dir().join(format!("boragereel-torture-{process_id}-{}", plan.seed));
    let options = Options {
        with_links: true,
        // Long enough that faults occur while calls are in flight.
        service: vec!["--call-ms".to_owned(), "60".to_owned()],
        ..Options::default()
    };
    let cluster = Cluster::start_with(deployment, &folder, options).await?;
    let mut run = Run::new(cluster, plan.seed)?;
    let mut rounds_done = 0;
    for number in plan.rounds.clone() {
        run.round(number).await?;
        rounds_done += 1;
        if rounds_done % ROUNDS_PER_CHECK == 0 {
            let findings = run.check().await?;
            eprintln!(
                "{rounds_done} rounds, {} requests: {}",
                run.outcomes.len(),
                if findings.is_clean() {
                    "clean"
                } else {
                    "not clean"
                }
            );
            if plan.fails_fast && !findings.is_clean() {
                break;
            }
        }
    }
    let findings = run.wait_and_check().await?;
    run.print(&findings, plan.seed, rounds_done, plan.is_json);
    if plan.keeps_logs || !findings.is_clean() {
        eprintln!("the logs are in {}", folder.display());
    } else {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(findings.is_clean())
}

/// A run in progress: the cluster, and the outcomes of all requests so far.
struct Run {
    cluster: Cluster,
    client: Arc<Client>,
    injector: Injector,
    seed: u64,
    /// The names of all links.
    link_names: Vec<String>,
    outcomes: Vec<Outcome>,
    /// Team and text (prompt and answer) of ended conversations.
    conversations: Vec<(usize, String)>,
    versions: HashMap<String, (u64, u64)>,
    /// Violations that are observed during the rounds and are not in the logs of the stand-ins.
    observed: Findings,
}

impl Run {
    fn new(cluster: Cluster, seed: u64) -> Result<Self> {
        let entries: Result<_> = (0..cluster.entries.len())
            .map(|index| cluster.entry(index))
            .collect();
        // Idle connections are not reused, because an entry may close them, which is not a failure.
        let http = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .build()?;
        let client = Client {
            http,
            entries: entries?,
            model: cluster.deployment.model.clone(),
            service: cluster.deployment.service.clone(),
        };
        Ok(Self {
            link_names: cluster.links.iter().map(|link| link.name.clone()).collect(),
            cluster,
            client: Arc::new(client),
            injector: Injector::new(),
            seed,
            outcomes: Vec::new(),
            conversations: Vec::new(),
            versions: HashMap::new(),
            observed: Findings::new(),
        })
    }

    /// Sends the requests of a round while injecting its faults, and waits until all have ended.
    async fn round(&mut self, number: u32) -> Result<()> {
        let deployment = &self.cluster.deployment;
        let round = schedule::draw(self.seed, number, deployment, &self.link_names);
        log::debug!("round {number}: {:?}", round.faults);
        let mut tasks = self.send_requests(number, &round);
        self.inject(number, &round).await?;
        let faults_ended_at = now_ms();
        while let Some(outcome) = tasks.join_next().await {
            self.record(outcome?);
        }
        let violations = self.observed.details.len();
        self.injector
            .end_round(&mut self.cluster, &mut self.observed)
            .await?;
        self.cluster.wait_ready().await?;
        self.injector
            .check_versions(
                &self.cluster,
                faults_ended_at,
                &mut self.versions,
                &mut self.observed,
            )
            .await?;
        for detail in &mut self.observed.details[violations..] {
            detail.push_str(&format!(" (round {number}: {:?})", round.faults));
        }
        Ok(())
    }

    fn send_requests(&self, number: u32, round: &Round) -> JoinSet<Outcome> {
        let mut tasks = JoinSet::new();
        let started = Instant::now();
        for (index, request) in round.requests.iter().enumerate() {
            let at = started + Duration::from_millis(request.start);
            let calls = match request.kind {
                Kind::Call {
                    is_sent_twice: true,
                    ..
                } => 2,
                _ => 1,
            };
            for copy in 0..calls {
                let client = Arc::clone(&self.client);
                let outcome = self.new_outcome(number, index, request);
                let request = request.clone();
                let key = format!("key-{}-{number}-{index}", self.seed);
                tasks.spawn(async move {
                    sleep_until(at).await;
                    match request.kind {
                        Kind::Prompt {
                            is_streamed,
                            is_probed_by_others,
                            ..
                        } => {
                            client
                                .prompt(outcome, request.entry, is_streamed, is_probed_by_others)
                                .await
                        }
                        Kind::Call { has_key, .. } => {
                            let entry = (request.entry + copy) % client.entries.len();
                            client.call(outcome, entry, has_key.then_some(key)).await
                        }
                    }
                });
            }
        }
        tasks
    }

    fn new_outcome(&self, number: u32, index: usize, request: &Request) -> Outcome {
        let name = format!("s{}r{number}q{index}", self.seed);
        let mut team = request.team;
        let payload = match request.kind {
            Kind::Prompt {
                words,
                tokens,
                is_returning,
                ..
            } => {
                let earlier = match self.conversations.len() {
                    0 => None,
                    count => self.conversations.get(index * 7 % count),
                };
                let prompt = match earlier.filter(|_| is_returning) {
                    Some((owner, text)) => {
                        team = *owner;
                        format!("{text} {name}")
                    }
                    None => (0..words)
                        .map(|word| format!("{name}w{word}"))
                        .collect::<Vec<_>>()
                        .join(" "),
                };
                Payload::Prompt {
                    prompt,
                    tokens,
                    text: String::new(),
                }
            }
            Kind::Call { has_key, .. } => Payload::Call {
                body: format!("order {name}"),
                has_key,
            },
        };
        Outcome {
            round: number,
            team,
            payload,
            refusals: Vec::new(),
            failed_attempts: Vec::new(),
            end: End::Nothing,
            is_leaked: false,
        }
    }

    fn record(&mut self, outcome: Outcome) {
        if let Payload::Prompt { prompt, text, .. } = &outcome.payload
            && matches!(outcome.end, End::Answered(_))
            && prompt.len() < 60_000
        {
            if self.conversations.len() == MAX_CONVERSATIONS {
                self.conversations.remove(0);
            }
            self.conversations
                .push((outcome.team, format!("{prompt} {text}")));
        }
        self.outcomes.push(outcome);
    }

    async fn inject(&mut self, number: u32, round: &Round) -> Result<()> {
        let started = Instant::now();
        let mut events: Vec<_> = round
            .faults
            .iter()
            .flat_map(|planned| {
                [
                    (planned.start, planned, true),
                    (planned.end, planned, false),
                ]
            })
            .collect();
        events.sort_by_key(|(at, ..)| *at);
        for (at, planned, starts) in events {
            sleep_until(started + Duration::from_millis(at)).await;
            if starts {
                let findings = &mut self.observed;
                self.injector
                    .start(&mut self.cluster, number, &planned.fault, findings)
                    .await?;
            } else {
                self.injector.end(&mut self.cluster, &planned.fault).await?;
            }
        }
        Ok(())
    }

    async fn check(&self) -> Result<Findings> {
        let mut findings = Findings::new();
        check::check(
            &self.cluster,
            &self.outcomes,
            &self.injector.drains,
            &self.injector.stopped,
            &mut findings,
        )
        .await?;
        for (kind, count) in &self.observed.counts {
            *findings.counts.entry(kind).or_default() += count;
        }
        findings
            .details
            .extend(self.observed.details.iter().cloned());
        for detail in &mut findings.details {
            self.append_faults(detail);
        }
        Ok(findings)
    }

    /// Appends the faults of the round that a detail mentions.
    fn append_faults(&self, detail: &mut String) {
        let number = detail
            .split_once(": round ")
            .and_then(|(_, rest)| rest.split(' ').next())
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            let round = schedule::draw(
                self.seed,
                number,
                &self.cluster.deployment,
                &self.link_names,
            );
            detail.push_str(&format!(" {:?}", round.faults));
        }
    }

    /// Waits until no requests are in flight, then checks all outcomes.
    async fn wait_and_check(&mut self) -> Result<Findings> {
        let deadline = Instant::now() + IDLE_TIMEOUT;
        for agent in &self.cluster.agents {
            loop {
                let status = self.cluster.status_of(agent).await?;
                if status["in_flight"].as_u64() == Some(0) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!(
                        "requests are still in flight 30 s after the last round: {status}"
                    )
                    .into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        let findings = self.check().await?;
        // If a link carried no traffic, the faults injected into it would have tested nothing.
        let is_used = |from: &str, to: &str| {
            self.cluster.links.iter().any(|link| {
                link.name.starts_with(from) && link.name.contains(to) && link.forwarded_bytes() > 0
            })
        };
        for (from, to) in [
            ("entry", ">agent-engine"),
            ("entry", ">agent-service"),
            ("agent-engine", ">engine"),
            ("agent-service", ">"),
            ("agent", ">platform"),
        ] {
            if !is_used(from, to) {
                return Err(format!("no link {from}{to} carried traffic").into());
            }
        }
        Ok(findings)
    }

    fn print(&self, findings: &Findings, seed: u64, rounds: u32, is_json: bool) {
        let mut counts: Vec<_> = self.injector.counts.iter().collect();
        counts.sort();
        if is_json {
            let faults: HashMap<_, _> = counts.into_iter().collect();
            println!(
                "{}",
                json!({
                    "seed": seed,
                    "rounds": rounds,
                    "requests": self.outcomes.len(),
                    "faults": faults,
                    "result": check::to_json(findings),
                })
            );
            return;
        }
        println!(
            "seed {seed}: {rounds} rounds, {} requests",
            self.outcomes.len()
        );
        for (kind, count) in counts {
            println!("  fault      {kind:<32} {count:>6}");
        }
        println!("  answered   {:<32} {:>6}", "", findings.answered);
        println!("  refused    {:<32} {:>6}", "", findings.refused);
        println!("  told maybe {:<32} {:>6}", "", findings.told_maybe);
        println!(
            "  unknown    {:<32} {:>6}",
            "call without key, entry killed", findings.unknown_after_kill
        );
        for (kind, count) in &findings.counts {
            println!("  violation  {kind:<32} {count:>6}");
        }
        for detail in findings.details.iter().take(MAX_DETAILS) {
            println!("  {detail}");
        }
    }
}
