//! The Prometheus metrics of a process, served at `/metrics`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Whether the process refuses new work because neither the platform nor a peer answers.
    pub isolated: IntGauge,
    /// The number of known members, including this process.
    pub members: IntGauge,
    /// The number of known members that receive no work.
    pub avoided: IntGauge,
    /// Requests of the control part to peers, by outcome.
    pub control_requests: IntCounterVec,
    /// Requests of the control part to the platform, by kind.
    pub platform_requests: IntCounterVec,
    /// Requests by kind.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Callers' connections that were closed or refused for want of room or progress, by cause.
    pub closed_callers: IntCounterVec,
    /// Tokens relayed to callers.
    pub relayed_tokens: IntCounter,
    /// Time to first token, in seconds.
    pub first_token: Histogram,
    /// Prompt tokens reused from cached context.
    pub reused_tokens: IntCounter,
    /// Prompt tokens computed by the engine.
    pub computed_tokens: IntCounter,
    /// Cached blocks by the outcome of their transfer.
    pub blocks: IntCounterVec,
    /// Weight rollouts by outcome.
    pub rollouts: IntCounterVec,
    /// Requests sent to the target that have not finished.
    pub in_flight: IntGauge,
    /// Whether the process accepts new work.
    pub ready: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Panics if two metrics have the same name, which any test of the daemon would show.
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
            closed_callers: counters(
                "boragereel_closed_callers_total",
                "callers' connections closed or refused for want of room or progress, by cause",
                "cause",
            ),
            refusals: counters("boragereel_refusals_total", "refusals by reason", "reason"),
            relayed_tokens: counter("boragereel_tokens_relayed_total", "tokens passed on"),
            first_token,
            reused_tokens: counter(
                "boragereel_prompt_tokens_reused_total",
                "prompt tokens reused",
            ),
            computed_tokens: counter(
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
            control_requests: counters(
                "boragereel_control_questions_total",
                "questions to peers by outcome",
                "outcome",
            ),
            platform_requests: counters(
                "boragereel_control_platform_total",
                "requests of the control part to the platform by kind",
                "kind",
            ),
            ready: gauge("boragereel_ready", "1 if the process takes new work"),
            config_version: gauge(
                "boragereel_config_version",
                "configuration version in force",
            ),
            registry,
        }
    }

    /// Counts a refusal, or an invalid message from a peer.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a `Vec` does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
