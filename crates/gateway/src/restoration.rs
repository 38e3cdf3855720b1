//! Takes notice of a table store that was restored from an older copy.

use std::rc::Rc;
use std::time::Duration;

use fleet::restoration::Change;
use platform::{Commit, Row, Write};
use serde::{Deserialize, Serialize};

use crate::adapter::Platform;
use crate::clock::now;
use crate::leader;
use crate::logging::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// The key of the row that records when the newest era began.
const ERA_KEY: &str = "era/newest";
/// The number of entries that record when an era began; the second one is a fallback in case the
/// first is down.
const RECORDERS: usize = 2;
/// Back-off after a failed call to the table store.
const BACK_OFF: Duration = Duration::from_millis(300);

/// When an era began, for entries that start later.
#[derive(Debug, Serialize, Deserialize)]
struct Beginning {
    era: u64,
    /// On the store's clock in milliseconds; 0 if the era did not begin with a restoration.
    began_ms: u64,
}

/// Compares the era of the newest response of the table store with the known one.
pub(crate) fn check<Adapter>(shared: &Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let time = now();
    let era = shared.adapter.era();
    let change = shared.restoration.borrow_mut().on_era(era, time);
    match change {
        Change::None => {}
        Change::Started => {
            if era == 0 || shared.settings.first_start {
                shared.restoration.borrow_mut().on_began(None);
            }
            if era != 0 {
                tokio::task::spawn_local(record_began(Rc::clone(shared), era));
            }
        }
        Change::Restored => {
            Event::new("store_restored")
                .with("era", era)
                .with("config", shared.config_version())
                .warn();
            let mut evidence = shared.evidence.get();
            evidence.on_restored();
            shared.evidence.set(evidence);
            shared.roster.borrow_mut().on_store_outage(time);
            shared.restored.notify_waiters();
            leader::record_releases(shared);
            tokio::task::spawn_local(record_began(Rc::clone(shared), era));
        }
    }
    shared
        .metrics
        .store_era
        .set(i64::try_from(era).unwrap_or(i64::MAX));
}

/// Reads when the newest era began. If no entry has recorded it, it may have begun just now.
pub(crate) async fn read_began<Adapter>(shared: &Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    loop {
        match shared.adapter.get(ERA_KEY).await {
            Ok(row) => {
                check(shared);
                let beginning = row.and_then(|row| parse_beginning(&row));
                if let Some(known) = beginning.filter(|known| known.era == shared.era()) {
                    let mut restoration = shared.restoration.borrow_mut();
                    restoration.on_recorded(known.began_ms);
                }
                return;
            }
            Err(error) => log::warn!("the row {ERA_KEY} cannot be read: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}

/// Records when an era began, if this entry is one of the recorders and no other has done so.
async fn record_began<Adapter>(shared: Rc<Shared<Adapter>>, era: u64)
where
    Adapter: Platform,
{
    // The rank is known once this entry is registered.
    let rank = loop {
        match shared.presumed_rank(ERA_KEY) {
            Some(rank) => break rank,
            None => tokio::time::sleep(BACK_OFF).await,
        }
    };
    while rank < RECORDERS && shared.era() == era {
        match try_record_began(&shared, era).await {
            Ok(Recorded::Yes) => return,
            Ok(Recorded::No) => {}
            Err(error) => log::warn!("failed to write the row {ERA_KEY}: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}

/// Whether the row of an era exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recorded {
    Yes,
    No,
}

async fn try_record_began<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    era: u64,
) -> Result<Recorded, platform::Error>
where
    Adapter: Platform,
{
    let row = shared.adapter.get(ERA_KEY).await?;
    let known = row.as_ref().and_then(parse_beginning);
    if known.is_some_and(|known| known.era >= era) {
        return Ok(Recorded::Yes);
    }
    let time = now();
    let began = shared.restoration.borrow().began();
    let began_ms = match began {
        None => 0,
        Some(began) => {
            let Some(store_time) = shared.evidence.get().store_time(time) else {
                return Ok(Recorded::No);
            };
            store_time.saturating_sub(millis(time.since(began)))
        }
    };
    let write = Write {
        key: ERA_KEY.to_owned(),
        expect: row.map_or(0, |row| row.version),
        value: Some(serde_json::json!(Beginning { era, began_ms })),
    };
    let commit = shared.adapter.commit(&[write]).await?;
    Ok(match commit {
        Commit::Applied(_) => Recorded::Yes,
        Commit::Conflict(_) => Recorded::No,
    })
}

fn parse_beginning(row: &Row) -> Option<Beginning> {
    match serde_json::from_value(row.value.clone()) {
        Ok(beginning) => Some(beginning),
        Err(error) => {
            log::error!("invalid beginning of an era in row {ERA_KEY}: {error}");
            None
        }
    }
}
