use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use types::Time;

/// The members that this process failed to reach, and the probe results of its peers.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    failures: BTreeMap<String, Failure>,
}

#[derive(Debug, Clone)]
struct Failure {
    address: SocketAddr,
    /// End of the period in which the member is excluded from routing.
    avoided_until: Time,
    back_off: Duration,
    /// Number of peers whose probe results are outstanding.
    pending_probes: usize,
    failed_paths: usize,
    failed_nearby_paths: usize,
    reached: bool,
}

/// The conclusion from the probe results so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// Probe results are outstanding, or they do not suffice for a suspicion.
    Undecided,
    /// Several paths to the member failed: it is suspected.
    Suspect,
}

/// Time for which a member is excluded from routing after its first failure.
const BACK_OFF: Duration = Duration::from_secs(1);
/// Maximum back-off after repeated failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(16);
/// Time for which a failure is retained after its back-off; a further failure within it doubles the
/// back-off.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of members tracked concurrently; in a large failure the first ones suffice to
/// detect it.
const MAX_FAILURES: usize = 256;
/// Maximum number of members probed through peers concurrently.
const MAX_PROBED_MEMBERS: usize = 4;
/// Failed paths required for a suspicion; a single one may be a fault of the observing process.
const MIN_FAILED_PATHS: usize = 2;

impl Suspicion {
    /// Records a failure to reach a member; returns whether peers should be asked to probe it.
    ///
    /// `avoid` excludes the member from routing for the back-off period; `nearby` says whether this
    /// process is in the member's region.
    pub fn record_failure(
        &mut self,
        name: &str,
        address: SocketAddr,
        avoid: bool,
        nearby: bool,
        now: Time,
    ) -> bool {
        let probed_members = self
            .failures
            .values()
            .filter(|failure| failure.pending_probes > 0);
        let may_probe = probed_members.count() < MAX_PROBED_MEMBERS;
        if self.failures.len() >= MAX_FAILURES && !self.failures.contains_key(name) {
            return false;
        }
        let failure = self
            .failures
            .entry(name.to_owned())
            .and_modify(|failure| {
                if avoid && now >= failure.avoided_until {
                    failure.back_off = (failure.back_off * 2).min(MAX_BACK_OFF);
                }
            })
            .or_insert(Failure {
                address,
                avoided_until: now,
                back_off: BACK_OFF,
                pending_probes: 0,
                failed_paths: 0,
                failed_nearby_paths: 0,
                reached: false,
            });
        failure.address = address;
        if avoid {
            failure.avoided_until = failure.avoided_until.max(now + failure.back_off);
        }
        if failure.pending_probes > 0 {
            return false;
        }
        failure.reached = false;
        failure.failed_paths = 1;
        failure.failed_nearby_paths = usize::from(nearby);
        may_probe
    }

    /// Records how many peers were asked to probe a member.
    pub fn on_probes_sent(&mut self, name: &str, peers: usize) {
        if let Some(failure) = self.failures.get_mut(name) {
            failure.pending_probes = peers;
        }
    }

    /// Processes the probe result of a peer; `None` means that the peer did not respond.
    ///
    /// At least one failed path must start in the member's own region: when regions lose contact
    /// with each other, the members of the remote region are only avoided, not suspected.
    pub fn on_probe_result(
        &mut self,
        name: &str,
        reached: Option<bool>,
        nearby: bool,
    ) -> Conclusion {
        let Some(failure) = self.failures.get_mut(name) else {
            return Conclusion::Undecided;
        };
        failure.pending_probes = failure.pending_probes.saturating_sub(1);
        match reached {
            Some(true) => failure.reached = true,
            Some(false) => {
                failure.failed_paths += 1;
                failure.failed_nearby_paths += usize::from(nearby);
            }
            None => {}
        }
        let is_unreachable =
            failure.failed_paths >= MIN_FAILED_PATHS && failure.failed_nearby_paths > 0;
        if failure.pending_probes == 0 && !failure.reached && is_unreachable {
            return Conclusion::Suspect;
        }
        Conclusion::Undecided
    }

    /// Records a response from the process at this address.
    pub fn on_response(&mut self, address: SocketAddr) {
        for failure in self.failures.values_mut() {
            failure.reached |= failure.address == address;
        }
    }

    /// Returns whether the member is currently excluded from routing.
    #[must_use]
    pub fn is_avoided(&self, name: &str, now: Time) -> bool {
        self.failures
            .get(name)
            .is_some_and(|failure| now < failure.avoided_until)
    }

    /// Removes expired failures; returns whether the back-off of any member ended since `last`.
    pub fn expire(&mut self, last: Time, now: Time) -> bool {
        let ended =
            |failure: &Failure| last < failure.avoided_until && failure.avoided_until <= now;
        let any = self.failures.values().any(ended);
        self.failures.retain(|_, failure| {
            failure.pending_probes > 0 || now < failure.avoided_until + FAILURE_RETENTION
        });
        any
    }
}
