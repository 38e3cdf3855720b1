//! Runs one case: `harness CASE FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod engine;
mod front;
mod http;
mod json;
mod keep;
mod lost_relays;
mod new_entry;
mod platform;
mod prompts;
mod record;
mod stale_list;
mod wall;

use std::path::Path;
use std::sync::Arc;

use record::Record;

/// What a case needs.
pub struct Run {
    pub net: front::Net,
    pub folder: front::Folder,
    pub record: Arc<Record>,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    std::process::exit(run(case, Path::new(folder)));
}

fn run(case: &str, folder: &Path) -> i32 {
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return 2;
        }
    };
    let (Some(net), Ok(folder)) = (front::Net::find(), front::Folder::create()) else {
        eprintln!("no free ports, or no temporary folder");
        return 2;
    };
    let run = Run {
        net,
        folder,
        record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = match case {
        "lost_relays" => lost_relays::run(&run),
        "new_entry" => new_entry::run(&run),
        "stale_list" => stale_list::run(&run),
        "wall" => wall::run(&run),
        other => Err(format!("there is no case {other}")),
    };
    match result {
        Err(why) => {
            run.record.step(&format!("could not run: {why}"));
            2
        }
        Ok(()) => {
            let breaks = run.record.breaks();
            run.record
                .step(&format!("end: the rule was broken {breaks} times"));
            i32::from(breaks > 0)
        }
    }
}
