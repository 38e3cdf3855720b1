//! A configuration makes a tenant `isolated` whose prompts were read before.

use std::time::Duration;

use crate::Run;
use crate::prompts::{Deployment, Tenant, configure};

const FRONTS: [(&str, &str); 3] = [
    ("front-harbour-1", "harbour"),
    ("front-pier-1", "pier"),
    ("front-bluff-1", "bluff"),
];
const SESSIONS: usize = 16;

fn tenants(isolated: bool) -> [Tenant; 2] {
    let tenant = |name, key, isolated| Tenant {
        name,
        key,
        isolated,
    };
    [
        tenant("walks", "key-of-walks", isolated),
        tenant("vigils", "key-of-vigils", false),
    ]
}

pub fn run(run: &Run) -> Result<(), String> {
    let before = tenants(false);
    let deployment = Deployment::start(run, "keep00x", 1_205_532, &FRONTS, &before, 4)?;
    deployment.fill(run, 0..SESSIONS, before[0].key)?;
    std::thread::sleep(Duration::from_secs(1));
    if run.trouble {
        configure(&deployment.platform, 9, &deployment.keep, &tenants(true));
        run.record
            .step("walks is isolated: acknowledged by the store");
    }
    // The bound within which a configuration is in force is two seconds.
    std::thread::sleep(Duration::from_millis(3500));
    if run.trouble {
        run.record.isolate("walks");
    }
    for session in 0..SESSIONS {
        let front = &deployment.fronts[session % deployment.fronts.len()];
        deployment.ask(run, front.address, before[1].key, session);
    }
    Ok(())
}
