//! Takes notice of a table store that was restored from an older copy.

use std::rc::Rc;

use fleet::restoration::Change;

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::shared::Shared;

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
        Change::Started if era != 0 && shared.settings.first_start => {
            shared.restoration.borrow_mut().on_began(None);
        }
        Change::Started => {}
        Change::Restored => {
            Event::new("store_restored")
                .with("era", era)
                .with("config", shared.config_version())
                .warn();
            shared.roster.borrow_mut().on_store_outage(time);
        }
    }
    shared
        .metrics
        .store_era
        .set(i64::try_from(era).unwrap_or(i64::MAX));
}
