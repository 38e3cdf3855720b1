//! The counters of a process, served under `/metrics`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// All counters of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Whether the process refuses new work because it has heard from nobody.
    pub isolated: IntGauge,
    /// Known members, this process among them.
    pub members: IntGauge,
    /// Known members that work is kept from.
    pub avoided: IntGauge,
    /// Questions that the control part asked peers, by how they ended.
    pub questions: IntCounterVec,
    /// Reads and writes of the platform by the control part.
    pub platform_reads: IntCounterVec,
    /// Requests by kind.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Tokens passed on to callers.
    pub tokens: IntCounter,
    /// Time to first token, in seconds.
    pub first_token: Histogram,
    /// Tokens of prompts that were reused from kept context.
    pub reused: IntCounter,
    /// Tokens of prompts that were computed.
    pub computed: IntCounter,
    /// Kept blocks by what became of them.
    pub blocks: IntCounterVec,
    /// Rollouts by how they ended.
    pub rollouts: IntCounterVec,
    /// Requests sent to the target and not finished.
    pub in_flight: IntGauge,
    /// Whether the process takes new work.
    pub ready: IntGauge,
    /// The version of the configuration in force.
    pub version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Makes a fresh set of counters.
    ///
    /// # Panics
    /// Panics when two counters have the same name, which any test of the daemon would show.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid name");
            registry
                .register(Box::new(counters.clone()))
                .expect("the name is unique");
            counters
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("the name is unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name is unique");
            gauge
        };
        let first_token = Histogram::with_opts(
            HistogramOpts::new("boragereel_first_token_seconds", "time to first token").buckets(
                vec![
                    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.7, 1.0, 2.0, 5.0, 10.0,
                ],
            ),
        )
        .expect("valid name");
        registry
            .register(Box::new(first_token.clone()))
            .expect("the name is unique");
        Self {
            requests: counters("boragereel_requests_total", "requests by kind", "kind"),
            refusals: counters("boragereel_refusals_total", "refusals by reason", "reason"),
            tokens: counter("boragereel_tokens_relayed_total", "tokens passed on"),
            first_token,
            reused: counter(
                "boragereel_prompt_tokens_reused_total",
                "prompt tokens reused",
            ),
            computed: counter(
                "boragereel_prompt_tokens_computed_total",
                "prompt tokens computed",
            ),
            blocks: counters(
                "boragereel_blocks_total",
                "kept blocks by outcome",
                "outcome",
            ),
            rollouts: counters(
                "boragereel_rollouts_total",
                "weight rollouts of this target by outcome",
                "outcome",
            ),
            in_flight: gauge("boragereel_in_flight", "requests at the target"),
            isolated: gauge(
                "boragereel_isolated",
                "1 while new work is refused for lack of news",
            ),
            members: gauge("boragereel_members", "known members"),
            avoided: gauge(
                "boragereel_members_avoided",
                "members that work is kept from",
            ),
            questions: counters(
                "boragereel_control_questions_total",
                "questions to peers by outcome",
                "outcome",
            ),
            platform_reads: counters(
                "boragereel_control_platform_total",
                "requests of the control part to the platform by kind",
                "kind",
            ),
            ready: gauge("boragereel_ready", "1 if the process takes new work"),
            version: gauge(
                "boragereel_config_version",
                "configuration version in force",
            ),
            registry,
        }
    }

    /// Counts a refusal or a fault of a peer.
    pub fn refused(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Writes the counters in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
