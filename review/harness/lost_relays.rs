//! Two machines are gone for good; later a store host restarts, empty.

use std::time::Duration;

use crate::Run;
use crate::prompts::{Deployment, TENANTS};

const FRONTS: [(&str, &str); 8] = [
    ("front-harbour-1", "harbour"),
    ("front-harbour-2", "harbour"),
    ("front-pier-1", "pier"),
    ("front-pier-2", "pier"),
    ("front-bluff-1", "bluff"),
    ("front-bluff-2", "bluff"),
    ("front-marina-1", "marina"),
    ("front-marina-2", "marina"),
];
const SESSIONS: usize = 48;
const ROUND: Duration = Duration::from_millis(110);

pub fn run(run: &Run) -> Result<(), String> {
    let mut deployment = Deployment::start(run, "keep00x", 1_205_532, &FRONTS, &TENANTS, 6)?;
    let key = TENANTS[0].key;
    deployment.fill(run, 0..SESSIONS, key)?;
    // All entries learn what the store host has.
    std::thread::sleep(Duration::from_millis(5500));
    // A control: with LOSSES=0 the machines stay, and only the store host restarts.
    let is_lossy = std::env::var("LOSSES").as_deref() != Ok("0");
    if run.trouble && is_lossy {
        for front in &mut deployment.fronts {
            if front.name.starts_with("front-marina") {
                front.kill();
                run.record.step(&format!("{} is gone for good", front.name));
            }
        }
    }
    let live = 6;
    std::thread::sleep(Duration::from_secs(6));
    for repeat in 0..3 {
        if run.trouble {
            deployment.keep.stop();
            run.record.step("the store host is down");
            std::thread::sleep(Duration::from_millis(500));
            deployment.keep.start().map_err(|error| error.to_string())?;
            run.record.step("the store host is back, empty");
        }
        // Two clients ask about the same session at the same time, through two entries.
        let deployment = &deployment;
        std::thread::scope(|scope| {
            for round in 0..SESSIONS {
                let one = (round * 5 + repeat) % live;
                let other = (one + 1 + round % (live - 1)) % live;
                for index in [one, other] {
                    let address = deployment.fronts[index].address;
                    scope.spawn(move || deployment.ask(run, address, key, round));
                    std::thread::sleep(Duration::from_millis(15));
                }
                std::thread::sleep(ROUND);
            }
        });
        // All entries learn again what the store host has.
        std::thread::sleep(Duration::from_millis(5500));
        if run.record.breaks() > 0 {
            break;
        }
    }
    Ok(())
}
