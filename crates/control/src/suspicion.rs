use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use types::Time;

/// The members that this process failed to reach, and the probe results of its peers.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    doubts: BTreeMap<String, Doubt>,
}

#[derive(Debug, Clone)]
struct Doubt {
    address: SocketAddr,
    /// End of the period in which the member is excluded from routing.
    until: Time,
    back_off: Duration,
    /// Number of peers whose probe results are outstanding.
    awaited: usize,
    silent: usize,
    silent_nearby: usize,
    reached: bool,
}

/// The conclusion from the probe results so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// Probe results are outstanding, or they do not suffice for a suspicion.
    Open,
    /// Several paths to the member failed: it is suspected.
    Suspect,
}

/// Time for which a member is excluded from routing after its first failure.
const BACK_OFF: Duration = Duration::from_secs(1);
/// Maximum back-off after repeated failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(16);
/// Time for which a failure is retained after its back-off; a further failure within it doubles the
/// back-off.
const REMEMBERED: Duration = Duration::from_secs(10);
/// Maximum number of members tracked concurrently; in a large failure the first ones suffice to
/// detect it.
const MAX_DOUBTS: usize = 256;
/// Maximum number of members probed through peers concurrently.
const MAX_PROBED: usize = 4;
/// Failed paths required for a suspicion; a single one may be a fault of the observing process.
const SILENT_PATHS: usize = 2;

impl Suspicion {
    /// Records a failure to reach a member; returns whether peers should be asked to probe it.
    ///
    /// `avoid` excludes the member from routing for the back-off period; `nearby` says whether this
    /// process is in the member's region.
    pub fn doubt(
        &mut self,
        name: &str,
        address: SocketAddr,
        avoid: bool,
        nearby: bool,
        now: Time,
    ) -> bool {
        let probed = self.doubts.values().filter(|doubt| doubt.awaited > 0);
        let may_ask = probed.count() < MAX_PROBED;
        if self.doubts.len() >= MAX_DOUBTS && !self.doubts.contains_key(name) {
            return false;
        }
        let doubt = self
            .doubts
            .entry(name.to_owned())
            .and_modify(|doubt| {
                if avoid && now >= doubt.until {
                    doubt.back_off = (doubt.back_off * 2).min(MAX_BACK_OFF);
                }
            })
            .or_insert(Doubt {
                address,
                until: now,
                back_off: BACK_OFF,
                awaited: 0,
                silent: 0,
                silent_nearby: 0,
                reached: false,
            });
        doubt.address = address;
        if avoid {
            doubt.until = doubt.until.max(now + doubt.back_off);
        }
        if doubt.awaited > 0 {
            return false;
        }
        doubt.reached = false;
        doubt.silent = 1;
        doubt.silent_nearby = usize::from(nearby);
        may_ask
    }

    /// Records how many peers were asked to probe a member.
    pub fn asked(&mut self, name: &str, peers: usize) {
        if let Some(doubt) = self.doubts.get_mut(name) {
            doubt.awaited = peers;
        }
    }

    /// Processes the probe result of a peer; `None` means that the peer did not respond.
    ///
    /// At least one failed path must start in the member's own region: when regions lose contact
    /// with each other, the members of the remote region are only avoided, not suspected.
    pub fn probed(&mut self, name: &str, reached: Option<bool>, nearby: bool) -> Conclusion {
        let Some(doubt) = self.doubts.get_mut(name) else {
            return Conclusion::Open;
        };
        doubt.awaited = doubt.awaited.saturating_sub(1);
        match reached {
            Some(true) => doubt.reached = true,
            Some(false) => {
                doubt.silent += 1;
                doubt.silent_nearby += usize::from(nearby);
            }
            None => {}
        }
        let silent = doubt.silent >= SILENT_PATHS && doubt.silent_nearby > 0;
        if doubt.awaited == 0 && !doubt.reached && silent {
            return Conclusion::Suspect;
        }
        Conclusion::Open
    }

    /// Records a response from the process at this address.
    pub fn reached(&mut self, address: SocketAddr) {
        for doubt in self.doubts.values_mut() {
            doubt.reached |= doubt.address == address;
        }
    }

    /// Returns whether the member is currently excluded from routing.
    #[must_use]
    pub fn is_avoided(&self, name: &str, now: Time) -> bool {
        self.doubts.get(name).is_some_and(|doubt| now < doubt.until)
    }

    /// Removes expired failures; returns whether the back-off of any member ended since `last`.
    pub fn expire(&mut self, last: Time, now: Time) -> bool {
        let ended = |doubt: &Doubt| last < doubt.until && doubt.until <= now;
        let any = self.doubts.values().any(ended);
        self.doubts
            .retain(|_, doubt| doubt.awaited > 0 || now < doubt.until + REMEMBERED);
        any
    }
}
