//! Stand-ins for the platform, its servers and its clients, and the cases that use them.
//!
//! Only the standard library is used. `world CASE FOLDER` plays one case against the program of
//! `deploy/system.toml`, writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left
//! out.

mod cases;
mod engine;
mod http;
mod json;
mod kv;
mod platform;
mod process;
mod record;
mod server;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: world CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::open(folder);
    let verdict = cases::play(case, trouble, &record);
    let code = match verdict {
        Ok(broken) => {
            record.line(&format!(
                "verdict: {}",
                if broken { "broken" } else { "held" }
            ));
            i32::from(broken)
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            2
        }
    };
    record.finish();
    std::process::exit(code);
}
