use std::time::Duration;

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// The Prometheus metrics of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Finished requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Requests refused by this entry, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Attempts by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Time from a request to the first event or the complete response, in seconds.
    pub(crate) first_event: Histogram,
    /// Responses of targets that were discarded as invalid, by fault.
    pub(crate) invalid_responses: IntCounterVec,
    /// Grants for cold targets by outcome.
    cold_grants: IntCounterVec,
    /// Bytes of unfinished messages in memory.
    pub(crate) buffered: IntGauge,
    /// Connections opened to targets.
    pub(crate) connections: IntCounter,
    /// Callers' connections that failed, by cause.
    pub(crate) failed_connections: IntCounterVec,
    /// Callers' connections that were closed or refused for want of room or progress, by cause.
    pub(crate) closed_callers: IntCounterVec,
    /// Open connections of callers.
    pub(crate) caller_connections: IntGauge,
    /// Bytes that callers make the process hold.
    pub(crate) caller_bytes: IntGauge,
    /// Requests lost to crashes of targets before their responses began.
    pub(crate) lost_to_crashes: IntCounter,
    /// Segments that are kept away from targets because they crash them.
    pub(crate) quarantined: IntGauge,
    /// Requests that are kept away from targets because they crash them.
    pub(crate) quarantined_requests: IntGauge,
    /// First events that came after the weights of their target had expired; the request may have
    /// begun in time.
    pub(crate) expired_starts: IntCounter,
    /// Calls to the platform's table store by outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Weight update orders by the target's answer.
    pub(crate) orders: IntCounterVec,
    /// Streams that were resumed at another target.
    pub(crate) resumed: IntCounter,
    /// Prompt tokens by source.
    pub(crate) prompt_tokens: IntCounterVec,
    /// For each store host, the share of fetches that are made although the host may be slow.
    pub(crate) fetch_share: GaugeVec,
    /// Requests at this entry that wait for a target with capacity.
    pub(crate) waiting: IntGauge,
    /// Requests of all entries that wait for a grant of the dispatchers at this entry.
    pub(crate) queued: IntGauge,
    /// Requests that the dispatchers at this entry placed past others which waited for memory.
    pub(crate) passed: IntCounter,
    /// The largest part of the engines' memory that the dispatchers at this entry keep free.
    pub(crate) memory_reserve: Gauge,
    /// The observed prefill rate of engines in tokens per millisecond.
    pub(crate) prefill_rate: Gauge,
    /// The lowest, median and highest prefill rate of the targets of this entry's cells, in tokens
    /// per millisecond.
    pub(crate) target_rates: GaugeVec,
    /// The version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Age of the freshness evidence for the configuration in milliseconds.
    pub(crate) evidence_age: IntGauge,
    /// How often the platform's table store has been restored from a copy.
    pub(crate) store_era: IntGauge,
    /// 1 while this entry holds the lease on orders, else 0.
    pub(crate) leads: IntGauge,
    /// Dropped log lines.
    pub(crate) log_dropped: IntGauge,
    /// How late the event loop ran a task at the last measurement, in milliseconds.
    pub(crate) loop_lag: IntGauge,
}

/// Upper bounds of the histogram buckets in seconds, around the latency objectives of the routes.
const BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.35, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0,
];

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Fails when two metrics have the same name.
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
        let first_event = Histogram::with_opts(
            HistogramOpts::new("boragereel_first_seconds", "time to the first event")
                .buckets(BUCKETS.to_vec()),
        )?;
        registry.register(Box::new(first_event.clone()))?;
        let prefill_rate = Gauge::new(
            "boragereel_read_tokens_per_ms",
            "tokens of prompts that engines read in a millisecond",
        )?;
        registry.register(Box::new(prefill_rate.clone()))?;
        let memory_reserve = Gauge::new(
            "boragereel_memory_reserve_ratio",
            "largest part of the engines' memory kept free for requests that cannot wait",
        )?;
        registry.register(Box::new(memory_reserve.clone()))?;
        let target_rates = GaugeVec::new(
            Opts::new(
                "boragereel_target_read_tokens_per_ms",
                "tokens that the targets of this entry's cells read in a millisecond",
            ),
            &["quantile"],
        )?;
        registry.register(Box::new(target_rates.clone()))?;
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
            first_event,
            invalid_responses: counters(
                "boragereel_spoilt_answers_total",
                "answers of targets that were not used",
                "fault",
            )?,
            cold_grants: counters(
                "boragereel_cold_grants_total",
                "grants for cold targets by outcome",
                "outcome",
            )?,
            buffered: gauge(
                "boragereel_buffered_bytes",
                "bytes of unfinished messages in memory",
            )?,
            passed: counter(
                "boragereel_passed_total",
                "requests placed past others that waited for memory",
            )?,
            memory_reserve,
            connections: counter("boragereel_connections_total", "connections to targets")?,
            failed_connections: counters(
                "boragereel_failed_connections_total",
                "callers' connections that failed, by cause",
                "cause",
            )?,
            closed_callers: counters(
                "boragereel_closed_callers_total",
                "callers' connections closed or refused for want of room or progress, by cause",
                "cause",
            )?,
            caller_connections: gauge(
                "boragereel_caller_connections",
                "open connections of callers",
            )?,
            caller_bytes: gauge(
                "boragereel_caller_bytes",
                "bytes that callers make the process hold",
            )?,
            lost_to_crashes: counter(
                "boragereel_lost_to_crashes_total",
                "requests whose targets crashed before a response began",
            )?,
            quarantined: gauge(
                "boragereel_quarantined_segments",
                "segments of prompts that are not sent because they crash targets",
            )?,
            quarantined_requests: gauge(
                "boragereel_quarantined_requests",
                "requests that are not sent because they crash targets",
            )?,
            expired_starts: counter(
                "boragereel_expired_starts_total",
                "first events that came after the weights of their target had expired",
            )?,
            store_calls: counters(
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
            prefill_rate,
            target_rates,
            config_version: gauge("boragereel_config_version", "configuration in force")?,
            evidence_age: gauge(
                "boragereel_proof_age_ms",
                "age of the configuration's evidence",
            )?,
            store_era: gauge(
                "boragereel_store_era",
                "restorations of the table store from a copy",
            )?,
            leads: gauge("boragereel_leads", "1 while the lease on orders is held")?,
            log_dropped: gauge("boragereel_log_dropped", "log lines dropped")?,
            loop_lag: gauge(
                "boragereel_loop_lag_ms",
                "how late the event loop runs its tasks",
            )?,
            registry,
        })
    }

    /// Records what happened to a grant for a cold target.
    pub(crate) fn on_cold_grant(&self, outcome: &str) {
        self.cold_grants.with_label_values(&[outcome]).inc();
    }

    /// Records the time to the first event.
    pub(crate) fn on_first(&self, time: Duration) {
        self.first_event.observe(time.as_secs_f64());
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("failed to encode the metrics: {error}");
        }
        text
    }
}
