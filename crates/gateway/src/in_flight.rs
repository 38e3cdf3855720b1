use std::rc::Rc;

use fleet::cache::{self, Key};
use types::{Store, Target};

use crate::attempt::Choice;
use crate::clock::now;
use crate::shared::Shared;

/// Counts a request in its target's load while it is in flight.
#[derive(Debug)]
pub(crate) struct InFlight<Adapter> {
    shared: Rc<Shared<Adapter>>,
    target: Target,
    prefill_tokens: u64,
    kv_tokens: u64,
    prefilling: bool,
    /// Segments that the target fetches for the request.
    fetches: Vec<(Store, Key)>,
}

impl<Adapter> InFlight<Adapter> {
    pub(crate) fn start(shared: &Rc<Shared<Adapter>>, choice: &Choice) -> Self {
        let target = choice.member.id.clone();
        shared.tracker.borrow_mut().on_sent(
            &target,
            choice.prefill_tokens,
            choice.kv_tokens,
            now(),
        );
        let time = now();
        shared.cache_index.borrow_mut().on_sent(
            &choice.segments,
            &choice.plan,
            &crate::choose::location(&choice.member, choice.pool_size),
            shared.entry_count.get(),
            time,
        );
        let mut fetches = Vec::new();
        for (segment, action) in choice.segments.iter().zip(&choice.plan.actions) {
            if let cache::Action::Fetch(store) = action {
                fetches.push((store.clone(), segment.key.clone()));
            }
        }
        let mut peers = shared.peers.borrow_mut();
        for (store, key) in &fetches {
            peers.on_used(store.clone(), key.clone(), time);
        }
        drop(peers);
        let tokens = &shared.metrics.prompt_tokens;
        tokens
            .with_label_values(&["read"])
            .inc_by(choice.prefill_tokens);
        let input = choice.kv_tokens.saturating_sub(choice.prefill_tokens);
        tokens.with_label_values(&["kept"]).inc_by(input);
        if let Some(grant) = &choice.grant {
            shared.dispatch.acknowledge_grant(shared, grant);
        }
        shared.dispatch.on_load(&target);
        Self {
            shared: Rc::clone(shared),
            target,
            prefill_tokens: choice.prefill_tokens,
            kv_tokens: choice.kv_tokens,
            prefilling: true,
            fetches,
        }
    }

    /// Ends the prefill, also of a request that got no event. Returns whether it was prefilling.
    fn end_prefill(&mut self) -> bool {
        let was_prefilling = std::mem::take(&mut self.prefilling);
        if was_prefilling {
            let mut tracker = self.shared.tracker.borrow_mut();
            tracker.on_first_token(&self.target, self.prefill_tokens);
            drop(tracker);
            self.finish_fetches();
        }
        was_prefilling
    }

    fn finish_fetches(&mut self) {
        let mut index = self.shared.cache_index.borrow_mut();
        for (store, key) in self.fetches.drain(..) {
            index.on_fetch_done(&store, &key);
        }
    }

    /// Records the first event of the response.
    pub(crate) fn on_first_event(&mut self) {
        if self.end_prefill() {
            self.shared.dispatch.on_first_event(&self.target);
        }
    }

    pub(crate) fn target(&self) -> &Target {
        &self.target
    }
}

impl<Adapter> Drop for InFlight<Adapter> {
    fn drop(&mut self) {
        // It may have ended because the target is silent, so the dispatchers do not hear of an event.
        self.end_prefill();
        let mut tracker = self.shared.tracker.borrow_mut();
        tracker.on_end(&self.target, self.kv_tokens);
        self.shared.dispatch.on_load(&self.target);
        self.shared.capacity_freed.notify_waiters();
    }
}

/// Counts a request in its target's load while a connection to the target opens, so that requests
/// that arrive together do not all choose the same target. A grant counts at its dispatcher.
#[derive(Debug)]
pub(crate) struct Claim<'choice, Adapter> {
    shared: &'choice Shared<Adapter>,
    choice: &'choice Choice,
}

impl<'choice, Adapter> Claim<'choice, Adapter> {
    pub(crate) fn start(shared: &'choice Shared<Adapter>, choice: &'choice Choice) -> Option<Self> {
        if choice.grant.is_some() {
            return None;
        }
        let mut tracker = shared.tracker.borrow_mut();
        tracker.on_sent(
            &choice.member.id,
            choice.prefill_tokens,
            choice.kv_tokens,
            now(),
        );
        Some(Self { shared, choice })
    }
}

impl<Adapter> Drop for Claim<'_, Adapter> {
    fn drop(&mut self) {
        let mut tracker = self.shared.tracker.borrow_mut();
        let target = &self.choice.member.id;
        tracker.on_first_token(target, self.choice.prefill_tokens);
        tracker.on_end(target, self.choice.kv_tokens);
        drop(tracker);
        self.shared.dispatch.on_load(target);
        self.shared.capacity_freed.notify_waiters();
    }
}
