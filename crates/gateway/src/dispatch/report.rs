use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use fleet::gossip::Update;
use types::Target;

use super::dispatcher::observe;
use super::{Unreported, send};
use crate::adapter::Platform;
use crate::packet::Message;
use crate::shared::Shared;

/// How long changes are collected before they are reported.
const BATCH_WINDOW: Duration = Duration::from_millis(2);

/// Reports load changes of this entry to the dispatchers of the targets.
pub(crate) async fn report_loads<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let dispatch = &shared.dispatch;
    loop {
        dispatch.updates_ready.notified().await;
        tokio::time::sleep(BATCH_WINDOW).await;
        let unreported = std::mem::take(&mut *dispatch.unreported.borrow_mut());
        for (dispatcher, update) in updates(&shared, unreported) {
            send(&shared, &dispatcher, &Message::Update(update));
        }
    }
}

/// Groups unreported changes by dispatcher.
fn updates<Adapter>(shared: &Shared<Adapter>, unreported: Unreported) -> BTreeMap<String, Update> {
    let dispatch = &shared.dispatch;
    let map = dispatch.map(shared);
    let mut updates: BTreeMap<String, Update> = BTreeMap::new();
    for target in &unreported.loads {
        let cell = {
            let roster = shared.roster.borrow();
            let member = roster.get(target).map(|record| &record.member);
            member.and_then(|member| map.of(&member.service, &member.domain, target))
        };
        let Some(cell) = cell else {
            continue;
        };
        if !shared.is_engine(&cell.service) {
            continue;
        }
        let load = shared.tracker.borrow().load(target);
        for dispatcher in dispatch.dispatchers(shared, &cell) {
            let update = updates.entry(dispatcher).or_default();
            update.loads.push((target.clone(), load));
            let mut copy_if_listed =
                |from: &BTreeSet<Target>, to: fn(&mut Update) -> &mut Vec<Target>| {
                    if from.contains(target) {
                        to(update).push(target.clone());
                    }
                };
            copy_if_listed(&unreported.heard, |update| &mut update.heard);
            copy_if_listed(&unreported.failed, |update| &mut update.failed);
            copy_if_listed(&unreported.refused, |update| &mut update.refused);
            copy_if_listed(&unreported.updating, |update| &mut update.updating);
        }
    }
    for (dispatcher, sequences) in unreported.grants {
        updates.entry(dispatcher).or_default().acknowledged = sequences;
    }
    // The loads of this entry are in its own tracker.
    if let Some(own) = updates.remove(&shared.settings.name) {
        observe(shared, &own.loads, &own.heard);
    }
    for update in updates.values_mut() {
        update.from.clone_from(&shared.settings.name);
        update.incarnation = dispatch.incarnation;
        update.sequence = dispatch.next_sequence();
    }
    updates
}
