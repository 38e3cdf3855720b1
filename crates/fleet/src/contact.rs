//! The exchange of state messages between entries: who has received what, and for how long an entry
//! may rely on another one to wait for it before segments are evicted.
//!
//! Each state message acknowledges the newest one of its recipient. The entry that evicts segments
//! waits until all others have acknowledged its announcement, or until those that are silent can no
//! longer rely on it. The other side is that an entry fetches nothing without a recent
//! acknowledgement of the entry that evicts. See `docs/platform.md`.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::Time;

use crate::gossip::{Peers, Receipt, State};

/// The exchange of state messages with all other entries.
#[derive(Debug, Default)]
pub struct Contacts {
    /// When this entry sent each of its recent state messages, by sequence number.
    sent: VecDeque<(u64, Time)>,
    /// The entries that were heard recently.
    by_name: HashMap<String, Contact>,
    /// Entries whose incarnation is new, and which get a message at once.
    newcomers: Vec<String>,
}

/// The exchange of state messages with another entry.
#[derive(Debug)]
struct Contact {
    incarnation: u64,
    /// The newest state message received from it.
    sequence: u64,
    /// When it was received.
    heard_at: Time,
    /// The newest own state message that it has acknowledged, with the time at which it was sent.
    acknowledged: Option<(u64, Time)>,
}

/// How long an entry may rely on the announcements of another one, beyond four rounds of gossip,
/// after it has sent a message that the other one has acknowledged.
const LEASE_SLACK: Duration = Duration::from_millis(1000);
/// How long a target may take for a fetch that was chosen just before a lease expired.
const FETCH_TIME: Duration = Duration::from_millis(2000);

impl Contacts {
    /// Records that this entry sends a state message, with this sequence number.
    pub fn on_sent(&mut self, sequence: u64, count: usize, now: Time) {
        self.sent.push_back((sequence, now));
        let limit = Self::lease(count);
        while self
            .sent
            .front()
            .is_some_and(|(_, at)| now.since(*at) > limit)
        {
            self.sent.pop_front();
        }
    }

    /// Records which messages a message shows to have been exchanged with its sender; `own` is the
    /// incarnation of this entry. Also handles messages that arrive late.
    pub fn on_state(&mut self, state: &State, own: u64, now: Time) {
        if state.leaving {
            self.by_name.remove(&state.from);
            return;
        }
        let known = self.by_name.get(&state.from);
        if known.is_none_or(|known| known.incarnation != state.incarnation) {
            // What was agreed with a former process of this name does not bind the new one.
            let contact = Contact {
                incarnation: state.incarnation,
                sequence: 0,
                heard_at: now,
                acknowledged: None,
            };
            self.by_name.insert(state.from.clone(), contact);
            self.newcomers.push(state.from.clone());
        }
        let Some(contact) = self.by_name.get_mut(&state.from) else {
            return;
        };
        contact.sequence = contact.sequence.max(state.sequence);
        contact.heard_at = now;
        let receipt = state
            .received
            .filter(|receipt| receipt.incarnation == own)
            .and_then(|receipt| {
                let sent = self.sent.iter().rev();
                let mut sent = sent.filter(|(sequence, _)| *sequence == receipt.sequence);
                sent.next().copied()
            });
        contact.acknowledged = contact.acknowledged.max(receipt);
    }

    /// Returns what to acknowledge to an entry.
    #[must_use]
    pub fn receipt(&self, name: &str) -> Option<Receipt> {
        let contact = self.by_name.get(name)?;
        Some(Receipt {
            incarnation: contact.incarnation,
            sequence: contact.sequence,
        })
    }

    /// Returns how long an entry may rely on another one to wait for it before segments are
    /// evicted.
    fn lease(count: usize) -> Duration {
        Peers::round(count) * 4 + LEASE_SLACK
    }

    /// Returns whether another entry is known to wait for this one before it evicts segments: it
    /// has recently acknowledged a message of this entry, and its announcements have arrived since
    /// `since`.
    #[must_use]
    pub fn is_informed_by(&self, name: &str, since: Time, count: usize, now: Time) -> bool {
        let contact = self.by_name.get(name);
        contact.is_some_and(|contact| {
            let lease = contact.acknowledged;
            contact.heard_at > since
                && lease.is_some_and(|(_, sent_at)| now.since(sent_at) <= Self::lease(count))
        })
    }

    /// Returns whether an entry is about to lose the assurance of [`Self::is_informed_by`], or does
    /// not have it yet.
    #[must_use]
    pub fn needs_contact(&self, name: &str, count: usize, now: Time) -> bool {
        let acknowledged = self.by_name.get(name).and_then(|known| known.acknowledged);
        acknowledged.is_none_or(|(_, sent_at)| now.since(sent_at) > Self::lease(count) / 2)
    }

    /// Returns whether all entries that may rely on this one have received the message `announced`,
    /// or a later one. An entry that was not heard for longer than its assurance lasts does not
    /// fetch anything until it is heard again.
    #[must_use]
    pub fn have_received(&self, announced: u64, count: usize, now: Time) -> bool {
        self.by_name.values().all(|contact| {
            now.since(contact.heard_at) > Self::lease(count) + FETCH_TIME
                || contact
                    .acknowledged
                    .is_some_and(|(sequence, _)| sequence >= announced)
        })
    }

    /// Returns whether no entry can rely on a former process of this name: as long as it ran
    /// before, or each of `names` has been in contact with this one.
    #[must_use]
    pub fn have_met(&self, names: &[String], uptime: Duration) -> bool {
        uptime > Self::lease(names.len()) + FETCH_TIME
            || names.iter().all(|name| {
                let contact = self.by_name.get(name);
                contact.is_some_and(|contact| contact.acknowledged.is_some())
            })
    }

    /// Returns the entries whose incarnation is new since the last call.
    pub fn take_newcomers(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newcomers)
    }

    /// Drops entries that were not heard for longer than any of them may rely on this one; `count` is
    /// the number of peers.
    pub fn expire(&mut self, count: usize, now: Time) {
        let limit = Self::lease(count) + FETCH_TIME;
        self.by_name
            .retain(|_, contact| now.since(contact.heard_at) <= limit);
    }
}
