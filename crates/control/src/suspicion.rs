use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use types::Time;

/// The members that this process could not reach, and what its peers found when they tried.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    doubts: BTreeMap<String, Doubt>,
}

#[derive(Debug, Clone)]
struct Doubt {
    address: SocketAddr,
    /// Until when no work is sent to the member.
    until: Time,
    back_off: Duration,
    /// Peers whose findings are awaited.
    awaited: usize,
    silent: usize,
    silent_nearby: usize,
    reached: bool,
}

/// What the findings so far come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// Findings are still awaited, or they do not suffice.
    Open,
    /// Several paths are silent: the member is suspected.
    Suspect,
}

/// How long no work is sent to a member after a first failure.
const BACK_OFF: Duration = Duration::from_secs(1);
/// The longest back-off for repeated failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(16);
/// How long a failure is remembered after its back-off, to lengthen the next one.
const REMEMBERED: Duration = Duration::from_secs(10);
/// Members that are doubted at the same time; in a wide failure the first ones suffice to show it.
const MAX_DOUBTS: usize = 256;
/// Members that peers are asked about at the same time.
const MAX_PROBED: usize = 4;
/// Silent paths that make a suspicion; one may be the fault of the process that saw it.
const SILENT_PATHS: usize = 2;

impl Suspicion {
    /// Records a failure to reach a member and says whether peers are to be asked.
    ///
    /// `avoid` keeps work from the member for a while; `nearby` says whether this process is in
    /// the member's region.
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

    /// Records how many peers were asked about a member.
    pub fn asked(&mut self, name: &str, peers: usize) {
        if let Some(doubt) = self.doubts.get_mut(name) {
            doubt.awaited = peers;
        }
    }

    /// Takes the finding of a peer; `None` means that the peer did not answer.
    ///
    /// A silent path from the member's own region is required: when regions lose contact, the
    /// members of the other one are not suspected, only avoided.
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

    /// Records that the process at this address answered.
    pub fn reached(&mut self, address: SocketAddr) {
        for doubt in self.doubts.values_mut() {
            doubt.reached |= doubt.address == address;
        }
    }

    /// Says whether work is kept from the member.
    #[must_use]
    pub fn is_avoided(&self, name: &str, now: Time) -> bool {
        self.doubts.get(name).is_some_and(|doubt| now < doubt.until)
    }

    /// Drops what is over; says whether a member can be sent work again.
    pub fn expire(&mut self, last: Time, now: Time) -> bool {
        let ended = |doubt: &Doubt| last < doubt.until && doubt.until <= now;
        let any = self.doubts.values().any(ended);
        self.doubts
            .retain(|_, doubt| doubt.awaited > 0 || now < doubt.until + REMEMBERED);
        any
    }
}
