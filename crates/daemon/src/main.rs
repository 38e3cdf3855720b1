//! `boragereeld`: runs an entry or an agent, depending on its settings.

use std::path::PathBuf;
use std::process::ExitCode;

use daemon::settings::{Role, Settings};
use daemon::{agent, entry};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "boragereeld --settings FILE [--check] [--log LEVEL]

  --settings FILE  the settings, JSON with comments; see docs/OPERATIONS.md
  --check          check the settings and exit
  --log LEVEL      error, warn, info (default), debug or trace
  --version        print the version and exit
  --help           print this text and exit

Prints one line `ready NAME peer=ADDRESS admin=ADDRESS [http=ADDRESS]`. SIGTERM and SIGINT shut it
down gracefully: it accepts no new work and exits when all running requests are answered; a second
signal terminates it immediately.
Exit codes: 0 graceful shutdown, 1 start failed, 2 invalid arguments or settings, 3 terminated.";

/// The action selected on the command line.
enum Action {
    Print(String),
    Run(Box<Settings>, log::LevelFilter),
}

#[tokio::main]
async fn main() -> ExitCode {
    let action = match parse() {
        Ok(action) => action,
        Err(error) => {
            eprintln!("boragereeld: {error}");
            return ExitCode::from(2);
        }
    };
    let (settings, level) = match action {
        Action::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Action::Run(settings, level) => (settings, level),
    };
    if let Err(error) = init_log(settings.name.clone(), level) {
        eprintln!("boragereeld: {error}");
        return ExitCode::from(1);
    }
    match run(&settings).await {
        Ok(code) => code,
        Err(error) => {
            log::error!("could not start: {error}");
            ExitCode::from(1)
        }
    }
}

fn parse() -> Result<Action, Box<dyn std::error::Error>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return Ok(Action::Print(HELP.to_owned()));
    }
    if arguments.contains("--version") {
        return Ok(Action::Print(format!(
            "boragereeld {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let check = arguments.contains("--check");
    let level = arguments
        .opt_value_from_str("--log")?
        .unwrap_or(log::LevelFilter::Info);
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help").into());
    }
    let settings = Settings::open(&path)?;
    if check {
        return Ok(Action::Print(format!(
            "{}: the settings are valid",
            path.display()
        )));
    }
    Ok(Action::Run(Box::new(settings), level))
}

fn init_log(name: String, level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{now} {} {name} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("boragereeld", level)
        .level_for("daemon", level)
        .level_for("wire", level)
        .chain(std::io::stderr())
        .apply()
}

async fn run(settings: &Settings) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let drain = match &settings.role {
        Role::Entry { .. } => {
            let entry = entry::spawn(settings).await?;
            let (peer, admin, http) = (entry.peer(), entry.admin(), entry.http());
            println!(
                "ready {} peer={peer} admin={admin} http={http}",
                settings.name
            );
            tokio::select! { _ = term.recv() => {}, _ = interrupt.recv() => {} }
            tokio::spawn(entry.drain())
        }
        Role::Engine { .. } | Role::Service { .. } => {
            let agent = agent::spawn(settings).await?;
            let (peer, admin) = (agent.address(), agent.admin());
            println!("ready {} peer={peer} admin={admin}", settings.name);
            tokio::select! { _ = term.recv() => {}, _ = interrupt.recv() => {} }
            tokio::spawn(async move { agent.drain().await })
        }
    };
    log::info!("shutting down: accepting no new work");
    tokio::select! {
        _ = drain => Ok(ExitCode::SUCCESS),
        _ = term.recv() => Ok(ExitCode::from(3)),
        _ = interrupt.recv() => Ok(ExitCode::from(3)),
    }
}
