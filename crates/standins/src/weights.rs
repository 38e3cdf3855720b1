use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::json;
use warp::reply::Response;
use warp::{Filter, Rejection};

use crate::fault::{Injector, json, respond, with};

/// Maximum number of concurrent loads that do not slow each other down.
const FULL_SPEED_LOADS: u32 = 2;

pub(crate) fn routes(
    load_ms: u64,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let injector = Injector::default();
    let loads = Arc::new(AtomicU32::new(0));
    let max_concurrent = Arc::new(AtomicU32::new(0));
    let load = warp::path!("v1" / "loads")
        .and(warp::post())
        .and(with(&injector))
        .and(with(&loads))
        .and(with(&max_concurrent))
        .then(
            move |injector: Injector, loads: Arc<AtomicU32>, max_concurrent: Arc<AtomicU32>| async move {
                let effect = injector.apply().await;
                let concurrent = loads.fetch_add(1, Ordering::SeqCst) + 1;
                max_concurrent.fetch_max(concurrent, Ordering::SeqCst);
                let factor = u64::from(concurrent.max(FULL_SPEED_LOADS)) / u64::from(FULL_SPEED_LOADS);
                tokio::time::sleep(Duration::from_millis(load_ms * factor)).await;
                loads.fetch_sub(1, Ordering::SeqCst);
                respond(&effect, json(&json!({})))
            },
        );
    let log =
        warp::path!("log")
            .and(with(&max_concurrent))
            .map(|max_concurrent: Arc<AtomicU32>| {
                json(&json!({ "most_loads_at_once": max_concurrent.load(Ordering::SeqCst) }))
            });
    load.or(log).unify().or(injector.route()).unify()
}
