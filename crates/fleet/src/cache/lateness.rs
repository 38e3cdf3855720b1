use std::time::Duration;

use types::{Domain, Store, Time};

use super::{Action, Index, Plan};

/// How much later than expected first tokens arrive after fetches from a host.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Lateness {
    /// Sum over all fetches, in ms; negative if they were faster than expected.
    pub sum_ms: f64,
    /// Number of fetches.
    pub count: u32,
}

/// Factor on the baseline delay for requests that fetch: they are longer, and their prefill is
/// interleaved with that of other prompts.
const QUEUEING_FACTOR: f64 = 2.0;
/// How long observations are kept for gossip; longer than it takes to send them to every peer.
pub(super) const OBSERVATION_TTL: Duration = Duration::from_secs(3);
/// Weight of the newest observation in the moving average.
const SMOOTHING: f64 = 0.2;

impl Index {
    /// Records the first token of a request; `excess` is the time beyond the expected prefill time.
    ///
    /// Load pattern: the engines of a failure domain are busy, so all their responses are late.
    /// Only the delay in excess of requests there that fetch nothing indicates a slow host.
    pub fn on_first_token(&mut self, plan: &Plan, domain: &Domain, excess: Duration, now: Time) {
        let excess = excess.as_secs_f64() * 1000.0;
        if plan.fetch_time.is_zero() {
            let baseline = self.baseline_ms.entry(domain.clone()).or_insert(excess);
            *baseline += SMOOTHING * (excess - *baseline);
            return;
        }
        let Some(baseline) = self.baseline_ms.get(domain) else {
            return;
        };
        let fetches = plan.actions.iter().rev().find_map(|action| match action {
            Action::Fetch(store) => Some(store),
            Action::Prefill | Action::Skip(_) | Action::Save(_) => None,
        });
        // The last segment is the longest one, so its host contributes most to the delay.
        let Some(server) = fetches.and_then(|store| self.servers.get_mut(store)) else {
            return;
        };
        let expected = plan.fetch_time.as_secs_f64() * 1000.0;
        let lateness = Lateness {
            sum_ms: excess - baseline * QUEUEING_FACTOR - expected,
            count: 1,
        };
        server.on_lateness(lateness, now);
        server.recent.push_back((now, lateness.sum_ms));
    }

    /// Records the lateness of fetches from a host at another entry. A single entry has too few
    /// fetches to notice within a second that a host has become slow or has recovered.
    pub fn on_lateness(&mut self, store: &Store, lateness: Lateness, now: Time) {
        if let Some(server) = self.servers.get_mut(store) {
            server.on_lateness(lateness, now);
        }
    }

    /// Returns the lateness of this entry's recent fetches by host, to report it to other entries.
    #[must_use]
    pub fn lateness(&self, within: Duration, now: Time) -> Vec<(Store, Lateness)> {
        let servers = self.servers.iter();
        let observed = servers.map(|(name, server)| {
            let recent = server
                .recent
                .iter()
                .filter(|(at, _)| now.since(*at) < within);
            let lateness = recent.fold(Lateness::default(), |lateness, (_, ms)| Lateness {
                sum_ms: lateness.sum_ms + ms,
                count: lateness.count + 1,
            });
            (name.clone(), lateness)
        });
        observed
            .filter(|(_, lateness)| lateness.count > 0)
            .collect()
    }

    /// Returns for each host the fraction of fetches that are not skipped because it is slow, and
    /// the mean lateness of its fetches in ms.
    pub fn fetch_shares(&self) -> impl Iterator<Item = (&Store, f64, f64)> {
        let servers = self.servers.iter();
        servers.map(|(name, server)| (name, server.fetch_share, server.mean_lateness_ms()))
    }
}
