//! Minimal stand-ins for the external systems, for tests and the demo. Each runs as a separate
//! process; `docs/interfaces.md` describes their protocols.

mod engine;
mod fault;
mod platform;
mod service;
mod store;
mod weights;

use std::net::SocketAddr;
use std::process::ExitCode;

use tokio::net::TcpSocket;
use warp::Filter;

const HELP: &str = "boragereel-standin KIND [--listen ADDRESS] [options]

Kinds and their options:
  platform  table service, object store and host list
  weights   weight store              --load-ms N (2000)
  store     store host                --capacity-bytes N (268435456)
  service   plain service             --name NAME --call-ms N (5)
  engine    model engine              --model NAME --weights VERSION --cold-limit N (2)
                                      --warm-limit N (16) --warm-after N (8) --blocks N (64)
                                      --prefill-us N (100) --token-us N (2000)
                                      --block-bytes N (4096) --weight-store URL --ignore-fence

Each prints one line `ready KIND ADDRESS`. PUT /faults injects faults, GET /log returns what was
executed. Exit codes: 0 terminated, 2 invalid arguments.";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("boragereel-standin: {problem}");
            ExitCode::from(2)
        }
    }
}

async fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return Ok(());
    }
    let kind = arguments
        .subcommand()?
        .ok_or("a kind is missing; see --help")?;
    let listen = arguments
        .opt_value_from_str::<_, SocketAddr>("--listen")?
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    match kind.as_str() {
        "platform" => {
            finish(arguments)?;
            serve(&kind, listen, platform::routes()).await
        }
        "weights" => {
            let load_ms = arguments.opt_value_from_str("--load-ms")?.unwrap_or(2000);
            finish(arguments)?;
            serve(&kind, listen, weights::routes(load_ms)).await
        }
        "store" => {
            let bytes = arguments
                .opt_value_from_str("--capacity-bytes")?
                .unwrap_or(256 << 20);
            finish(arguments)?;
            serve(&kind, listen, store::routes(bytes)).await
        }
        "service" => {
            let name: String = arguments.value_from_str("--name")?;
            let call_ms = arguments.opt_value_from_str("--call-ms")?.unwrap_or(5);
            finish(arguments)?;
            serve(&kind, listen, service::routes(&name, call_ms)).await
        }
        "engine" => {
            let settings = engine::Settings {
                model: arguments.value_from_str("--model")?,
                weights: arguments.value_from_str("--weights")?,
                cold_limit: arguments.opt_value_from_str("--cold-limit")?.unwrap_or(2),
                warm_limit: arguments.opt_value_from_str("--warm-limit")?.unwrap_or(16),
                warm_after: arguments.opt_value_from_str("--warm-after")?.unwrap_or(8),
                blocks: arguments.opt_value_from_str("--blocks")?.unwrap_or(64),
                prefill_us: arguments.opt_value_from_str("--prefill-us")?.unwrap_or(100),
                token_us: arguments.opt_value_from_str("--token-us")?.unwrap_or(2000),
                block_bytes: arguments
                    .opt_value_from_str("--block-bytes")?
                    .unwrap_or(4096),
                weight_store: arguments.opt_value_from_str("--weight-store")?,
                ignore_fence: arguments.contains("--ignore-fence"),
            };
            finish(arguments)?;
            serve(&kind, listen, engine::routes(settings)).await
        }
        _ => Err(format!("unknown kind {kind:?}; see --help").into()),
    }
}

fn finish(arguments: pico_args::Arguments) -> Result<(), String> {
    let rest = arguments.finish();
    if rest.is_empty() {
        Ok(())
    } else {
        Err(format!("unknown arguments {rest:?}; see --help"))
    }
}

async fn serve<Routes>(
    kind: &str,
    listen: SocketAddr,
    routes: Routes,
) -> Result<(), Box<dyn std::error::Error>>
where
    Routes: Filter<Extract = (warp::reply::Response,), Error = warp::Rejection>
        + Clone
        + Send
        + Sync
        + 'static,
{
    // Accepted sockets inherit TCP_NODELAY, so that each token is sent immediately, as real engines
    // do.
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(listen)?;
    let listener = socket.listen(1024)?;
    println!("ready {kind} {}", listener.local_addr()?);
    let terminated = async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .expect("SIGTERM can be handled");
        term.recv().await;
    };
    tokio::select! {
        () = warp::serve(routes).incoming(listener).run() => {}
        () = terminated => {}
    }
    Ok(())
}
