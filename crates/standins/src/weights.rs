use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::json;
use warp::reply::Response;
use warp::{Filter, Rejection};

use crate::fault::{Switch, answer, json, with};

/// Loads at the same time that do not slow each other down.
const FREE_LOADS: u32 = 2;

pub(crate) fn routes(
    load_ms: u64,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let switch = Switch::default();
    let loads = Arc::new(AtomicU32::new(0));
    let most = Arc::new(AtomicU32::new(0));
    let load = warp::path!("v1" / "loads")
        .and(warp::post())
        .and(with(&switch))
        .and(with(&loads))
        .and(with(&most))
        .then(
            move |switch: Switch, loads: Arc<AtomicU32>, most: Arc<AtomicU32>| async move {
                let verdict = switch.apply().await;
                let now = loads.fetch_add(1, Ordering::SeqCst) + 1;
                most.fetch_max(now, Ordering::SeqCst);
                let factor = u64::from(now.max(FREE_LOADS)) / u64::from(FREE_LOADS);
                tokio::time::sleep(Duration::from_millis(load_ms * factor)).await;
                loads.fetch_sub(1, Ordering::SeqCst);
                answer(&verdict, json(&json!({})))
            },
        );
    let log = warp::path!("log")
        .and(with(&most))
        .map(|most: Arc<AtomicU32>| {
            json(&json!({ "most_loads_at_once": most.load(Ordering::SeqCst) }))
        });
    load.or(log).unify().or(switch.route()).unify()
}
