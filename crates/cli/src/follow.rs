use std::time::Duration;

use control::Role;
use platform::Client;
use serde_json::json;
use tokio::time::{Instant, sleep};
use types::{Model, Weights};

use crate::change::{self, Author, Edit};
use crate::{Failure, Output, connection, finish, status};

/// How often the engines are asked while a rollout is followed.
const INTERVAL: Duration = Duration::from_millis(500);
/// How long a rollout is followed without `--timeout`, in seconds.
const TIMEOUT_S: u64 = 600;

/// Gives a model other weights and, with `--wait`, follows until all its engines serve them.
pub(crate) async fn rollout(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let author = Author::take(&mut arguments)?;
    let weights: String = arguments.value_from_str("--weights")?;
    let wait = arguments.contains("--wait");
    let timeout: Option<u64> = arguments.opt_value_from_str("--timeout")?;
    let model: String = arguments.free_from_str()?;
    finish(arguments)?;
    let (model, weights) = (Model::from(model), Weights::from(weights));
    let Author { who, why } = author.clone();
    let mut output = change::edit(&platform, &author, |text| {
        let same = rules::Snapshot::parse("rules", text, types::Version(0))
            .ok()
            .and_then(|rules| Some(rules.models.get(&model)?.weights == weights));
        if same == Some(true) {
            return Ok(Edit::Same(format!(
                "model {model} has weights {weights} already"
            )));
        }
        rules::set_weights(text, &model, &weights, &who, &why).map(Edit::Text)
    })
    .await?;
    if !wait {
        return Ok(output);
    }
    eprintln!("{}", output.text);
    let timeout = Duration::from_secs(timeout.unwrap_or(TIMEOUT_S));
    let (done, total) = wait_served(&platform, &model, &weights, timeout).await?;
    output.text = format!("{done} of {total} engines of {model} serve {weights}");
    output.json["served"] = json!(done);
    output.json["engines"] = json!(total);
    output.differs = done < total;
    Ok(output)
}

/// Returns how many engines of the model serve the weights at last, and how many there are.
async fn wait_served(
    platform: &Client,
    model: &Model,
    weights: &Weights,
    timeout: Duration,
) -> Result<(usize, usize), Failure> {
    let deadline = Instant::now() + timeout;
    let mut last = None;
    loop {
        let (mut done, mut total) = (0, 0);
        // A short outage of the platform does not end the waiting; the deadline does.
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
            done += usize::from(served);
        }
        if last != Some((done, total)) {
            eprintln!("{done} of {total} engines of {model} serve {weights}");
            last = Some((done, total));
        }
        if (total > 0 && done == total) || Instant::now() >= deadline {
            return Ok((done, total));
        }
        sleep(INTERVAL).await;
    }
}
