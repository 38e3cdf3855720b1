use std::time::Duration;

use control::Role;
use platform::Client;
use serde_json::json;
use tokio::time::{Instant, sleep};
use types::{Model, Weights};

use crate::change::{self, Author, Edit};
use crate::{Failure, Output, connection, finish, status};

/// Interval between status polls of the engines with `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long `--wait` waits without `--timeout`, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 600;

/// Changes the weights of a model and, with `--wait`, waits until all its engines serve them.
pub(crate) async fn rollout(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let author = Author::parse(&mut arguments)?;
    let weights: String = arguments.value_from_str("--weights")?;
    let wait = arguments.contains("--wait");
    let timeout: Option<u64> = arguments.opt_value_from_str("--timeout")?;
    let model: String = arguments.free_from_str()?;
    finish(arguments)?;
    let (model, weights) = (Model::from(model), Weights::from(weights));
    let Author { who, why } = author.clone();
    let mut output = change::edit(&platform, &author, |text| {
        let is_current = rules::Snapshot::parse("rules", text, types::Version(0))
            .ok()
            .and_then(|rules| Some(rules.models.get(&model)?.weights == weights));
        if is_current == Some(true) {
            return Ok(Edit::Unchanged(format!(
                "model {model} already has weights {weights}"
            )));
        }
        rules::set_weights(text, &model, &weights, &who, &why).map(Edit::Changed)
    })
    .await?;
    if !wait {
        return Ok(output);
    }
    eprintln!("{}", output.text);
    let timeout = Duration::from_secs(timeout.unwrap_or(DEFAULT_TIMEOUT_S));
    let (serving, total) = wait_until_served(&platform, &model, &weights, timeout).await?;
    output.text = format!("{serving} of {total} engines of {model} serve {weights}");
    output.json["served"] = json!(serving);
    output.json["engines"] = json!(total);
    output.differs = serving < total;
    Ok(output)
}

/// Waits until all engines of the model serve the weights or the timeout expires; returns how many
/// engines serve them, and how many there are.
async fn wait_until_served(
    platform: &Client,
    model: &Model,
    weights: &Weights,
    timeout: Duration,
) -> Result<(usize, usize), Failure> {
    let deadline = Instant::now() + timeout;
    let mut last = None;
    loop {
        let (mut serving, mut total) = (0, 0);
        // A short outage of the platform must not end the wait, so errors are ignored until the
        // deadline.
        for process in status::all(platform).await.unwrap_or_default() {
            if !matches!(&process.member.role, Role::Engine { model: other, .. } if other == model)
            {
                continue;
            }
            total += 1;
            let served = process
                .status
                .ok()
                .is_some_and(|status| status["weights"] == **weights);
            serving += usize::from(served);
        }
        if last != Some((serving, total)) {
            eprintln!("{serving} of {total} engines of {model} serve {weights}");
            last = Some((serving, total));
        }
        if (total > 0 && serving == total) || Instant::now() >= deadline {
            return Ok((serving, total));
        }
        sleep(POLL_INTERVAL).await;
    }
}
