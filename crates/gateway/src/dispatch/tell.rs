use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use fleet::gossip::Update;
use types::Target;

use super::{Untold, send};
use crate::adapter::Platform;
use crate::packet::Message;
use crate::shared::Shared;

/// How long loads are gathered before they are told.
const GATHER: Duration = Duration::from_millis(2);

/// Tells the dispatchers of targets how the loads of this entry change.
pub(crate) async fn tell<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let placing = &shared.dispatch;
    loop {
        placing.news.notified().await;
        tokio::time::sleep(GATHER).await;
        let untold = std::mem::take(&mut *placing.untold.borrow_mut());
        for (dispatcher, update) in updates(&shared, untold) {
            send(&shared, &dispatcher, &Message::Update(update));
        }
    }
}

/// Sorts what is to be told by the dispatchers that it concerns.
fn updates<Adapter>(shared: &Shared<Adapter>, untold: Untold) -> BTreeMap<String, Update> {
    let placing = &shared.dispatch;
    let map = placing.map(shared);
    let mut updates: BTreeMap<String, Update> = BTreeMap::new();
    for target in &untold.loads {
        let cell = {
            let roster = shared.roster.borrow();
            let member = roster.get(target).map(|entry| &entry.member);
            member.and_then(|member| map.of(&member.service, &member.domain, target))
        };
        let Some(cell) = cell else {
            continue;
        };
        if !shared.is_engine(&cell.service) {
            continue;
        }
        let load = shared.tracker.borrow().load(target);
        for dispatcher in placing.dispatchers(shared, &cell) {
            let update = updates.entry(dispatcher).or_default();
            update.loads.push((target.clone(), load));
            let mut note = |from: &BTreeSet<Target>, to: fn(&mut Update) -> &mut Vec<Target>| {
                if from.contains(target) {
                    to(update).push(target.clone());
                }
            };
            note(&untold.heard, |update| &mut update.heard);
            note(&untold.failed, |update| &mut update.failed);
            note(&untold.refused, |update| &mut update.refused);
            note(&untold.changing, |update| &mut update.updating);
        }
    }
    for (dispatcher, numbers) in untold.places {
        updates.entry(dispatcher).or_default().acknowledged = numbers;
    }
    // What this entry does is on its own tracker.
    updates.remove(&shared.settings.name);
    for update in updates.values_mut() {
        update.from.clone_from(&shared.settings.name);
        update.incarnation = placing.start;
        update.sequence = placing.number();
    }
    updates
}
