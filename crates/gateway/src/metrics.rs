use std::time::Duration;

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// The counters of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub(crate) requests: IntCounterVec,
    /// Refusals by reason.
    pub(crate) refusals: IntCounterVec,
    /// Attempts by how they ended.
    pub(crate) attempts: IntCounterVec,
    /// Time from a request to the first event or the whole answer, in seconds.
    pub(crate) first: Histogram,
    /// Answers of targets that were not used, by what was wrong with them.
    pub(crate) invalid_responses: IntCounterVec,
    /// Bytes of unfinished messages that are held.
    pub(crate) buffered: IntGauge,
    /// Connections opened to targets.
    pub(crate) connections: IntCounter,
    /// Calls to the platform's store by outcome.
    pub(crate) store: IntCounterVec,
    /// Orders to targets by answer.
    pub(crate) orders: IntCounterVec,
    /// Streams that were continued at another target.
    pub(crate) resumed: IntCounter,
    /// Tokens of prompts by where they came from.
    pub(crate) prompt_tokens: IntCounterVec,
    /// The share of fetches from each store host that are not left out because it is slow.
    pub(crate) fetch_share: GaugeVec,
    /// Requests that wait for a target with room.
    pub(crate) waiting: IntGauge,
    /// Requests of all entries that wait at this one for a place in its cells.
    pub(crate) queued: IntGauge,
    /// Tokens of prompts that engines read in a millisecond, as far as seen.
    pub(crate) prefill_rate: Gauge,
    /// The version of the configuration in force.
    pub(crate) version: IntGauge,
    /// Age of the evidence for the configuration in milliseconds.
    pub(crate) proof: IntGauge,
    /// Whether the lease on orders is held.
    pub(crate) leads: IntGauge,
    /// Log lines that were dropped.
    pub(crate) dropped: IntGauge,
}

/// Upper ends of the histogram's buckets in seconds; they lie around the objectives of the routes.
const BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.35, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0,
];

impl Metrics {
    /// Makes a fresh set of counters.
    ///
    /// # Errors
    /// Fails when two counters have the same name.
    pub(crate) fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let first = Histogram::with_opts(
            HistogramOpts::new("boragereel_first_seconds", "time to the first event")
                .buckets(BUCKETS.to_vec()),
        )?;
        registry.register(Box::new(first.clone()))?;
        let pace = Gauge::new(
            "boragereel_read_tokens_per_ms",
            "tokens of prompts that engines read in a millisecond",
        )?;
        registry.register(Box::new(pace.clone()))?;
        let fetch_share = GaugeVec::new(
            Opts::new(
                "boragereel_fetch_share",
                "share of fetches that are not left out because the store host is slow",
            ),
            &["store"],
        )?;
        registry.register(Box::new(fetch_share.clone()))?;
        Ok(Self {
            requests: counters(
                "boragereel_requests_total",
                "requests by outcome",
                "outcome",
            )?,
            refusals: counters("boragereel_refusals_total", "refusals by reason", "reason")?,
            attempts: counters(
                "boragereel_attempts_total",
                "attempts by outcome",
                "outcome",
            )?,
            first,
            invalid_responses: counters(
                "boragereel_spoilt_answers_total",
                "answers of targets that were not used",
                "fault",
            )?,
            buffered: gauge(
                "boragereel_buffered_bytes",
                "bytes of unfinished messages in memory",
            )?,
            connections: counter("boragereel_connections_total", "connections to targets")?,
            store: counters(
                "boragereel_store_calls_total",
                "store calls by outcome",
                "outcome",
            )?,
            orders: counters("boragereel_orders_total", "orders by answer", "answer")?,
            resumed: counter("boragereel_resumed_total", "streams continued elsewhere")?,
            prompt_tokens: counters(
                "boragereel_prompt_tokens_total",
                "prompt tokens by source",
                "source",
            )?,
            fetch_share,
            waiting: gauge("boragereel_waiting", "requests that wait for a target")?,
            queued: gauge(
                "boragereel_queued",
                "requests of all entries that wait for a place in the cells of this one",
            )?,
            prefill_rate: pace,
            version: gauge("boragereel_config_version", "configuration in force")?,
            proof: gauge(
                "boragereel_proof_age_ms",
                "age of the configuration's evidence",
            )?,
            leads: gauge("boragereel_leads", "1 while the lease on orders is held")?,
            dropped: gauge("boragereel_log_dropped", "log lines dropped")?,
            registry,
        })
    }

    /// Records the time to the first event.
    pub(crate) fn on_first(&self, time: Duration) {
        self.first.observe(time.as_secs_f64());
    }

    /// Writes the counters in the text format of Prometheus.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("the counters cannot be written: {error}");
        }
        text
    }
}
