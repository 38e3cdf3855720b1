use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::world::{Reason, Request, World};

/// Counters of a replay.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) link_bytes: u64,
    pub(crate) refusals: BTreeMap<Reason, u64>,
    pub(crate) bounces: BTreeMap<Reason, u64>,
    pub(crate) to_drained: u64,
    pub(crate) overloads: u64,
    pub(crate) unknown_returns: u64,
}

/// The results of one policy for one trace.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Report {
    pub(crate) deployment: String,
    pub(crate) policy: String,
    pub(crate) requests: usize,
    pub(crate) unanswered: usize,
    pub(crate) all_ms: Quantiles,
    pub(crate) first_ms: Quantiles,
    pub(crate) returning_ms: Quantiles,
    pub(crate) recomputed_share: f64,
    pub(crate) link_gb: f64,
    pub(crate) refusals: BTreeMap<String, u64>,
    pub(crate) bounces: BTreeMap<String, u64>,
    pub(crate) to_drained: u64,
    pub(crate) cold_overloads: u64,
    pub(crate) unknown_returns: u64,
}

/// Quantiles of the time to first token, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
}

/// The first part of a trace is excluded from the latencies and the recomputed share, because the
/// engines' caches are still empty.
const WARM_UP: Duration = Duration::from_secs(10);

impl Report {
    pub(crate) fn new(world: &World, deployment: &str, policy: &str) -> Self {
        let measured = |request: &&Request| request.arrival.0 >= WARM_UP.as_micros() as u64;
        let quantiles = |is_selected: &dyn Fn(&Request) -> bool| {
            let selected = world
                .requests
                .iter()
                .filter(measured)
                .filter(|request| is_selected(request));
            let times = selected.filter_map(|request| Some(request.first?.since(request.arrival)));
            Quantiles::new(times.collect())
        };
        // What a returning prompt computed beyond its new tokens had been computed before.
        let (mut prior_tokens, mut recomputed) = (0, 0);
        for request in world
            .requests
            .iter()
            .filter(measured)
            .filter(|request| request.done)
        {
            prior_tokens += u64::from(request.prior_tokens);
            recomputed += u64::from(
                request
                    .computed
                    .saturating_sub(request.tokens - request.prior_tokens),
            );
        }
        let by_name = |counts: &BTreeMap<Reason, u64>| {
            counts
                .iter()
                .map(|(reason, count)| (format!("{reason:?}").to_lowercase(), *count))
                .collect()
        };
        Self {
            deployment: deployment.to_owned(),
            policy: policy.to_owned(),
            requests: world.requests.len(),
            unanswered: world
                .requests
                .iter()
                .filter(|request| !request.done && request.refused.is_none())
                .count(),
            all_ms: quantiles(&|_| true),
            first_ms: quantiles(&|request| request.prior_tokens == 0),
            returning_ms: quantiles(&|request| request.prior_tokens > 0),
            recomputed_share: recomputed as f64 / (prior_tokens as f64).max(1.0),
            link_gb: world.counts.link_bytes as f64 / 1e9,
            refusals: by_name(&world.counts.refusals),
            bounces: by_name(&world.counts.bounces),
            to_drained: world.counts.to_drained,
            cold_overloads: world.counts.overloads,
            unknown_returns: world.counts.unknown_returns,
        }
    }

    pub(crate) fn print(&self) {
        let Quantiles { p50, p95, p99 } = self.returning_ms;
        println!(
            "{:<10} {:<18} {:>6} {:>4} | {:>7.1} {:>7.1} {:>7.1} | {:>7.1} {:>7.1} | {:>7.1} {:>7.1} {:>7.1} | \
             {:>6.3} {:>7.0} | {:>4} {:>4} | {:?} {:?}",
            self.deployment,
            self.policy,
            self.requests,
            self.unanswered,
            self.all_ms.p50,
            self.all_ms.p95,
            self.all_ms.p99,
            self.first_ms.p50,
            self.first_ms.p95,
            p50,
            p95,
            p99,
            self.recomputed_share,
            self.link_gb,
            self.to_drained,
            self.cold_overloads,
            self.refusals,
            self.bounces,
        );
    }

    pub(crate) fn print_header() {
        println!(
            "{:<10} {:<18} {:>6} {:>4} | {:^23} | {:^15} | {:^23} | {:>6} {:>7} | {:>4} {:>4} | refusals, redirects",
            "deployment",
            "policy",
            "reqs",
            "lost",
            "all ms p50 p95 p99",
            "first p50 p95",
            "returning p50 p95 p99",
            "recomp",
            "link GB",
            "drnd",
            "cold"
        );
    }
}

impl Quantiles {
    fn new(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let quantile_ms = |share: f64| {
            let index = (times.len() as f64 * share).ceil() as usize;
            let time = times
                .get(index.saturating_sub(1))
                .copied()
                .unwrap_or_default();
            time.as_secs_f64() * 1000.0
        };
        Self {
            p50: quantile_ms(0.5),
            p95: quantile_ms(0.95),
            p99: quantile_ms(0.99),
        }
    }
}
