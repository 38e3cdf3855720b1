use platform::Table;
use platform::config::{self, Record};

use crate::{Failure, connection, finish};

/// Prints the accepted rules.
pub(crate) async fn show(mut arguments: pico_args::Arguments) -> Result<String, Failure> {
    let platform = connection::open(&mut arguments)?;
    finish(arguments)?;
    let (head, _) = config::head(&platform).await?;
    if head.version.0 == 0 {
        return Ok("# no configuration was accepted yet".to_owned());
    }
    let snapshot = config::load(&platform, &head).await?;
    Ok(format!(
        "# version {}\n{}",
        snapshot.version,
        snapshot.text.trim_end()
    ))
}

/// Lists the accepted changes.
pub(crate) async fn history(
    mut arguments: pico_args::Arguments,
    json: bool,
) -> Result<String, Failure> {
    let platform = connection::open(&mut arguments)?;
    finish(arguments)?;
    let rows = platform.scan("config/change/").await?;
    if json {
        let values: Vec<_> = rows.into_iter().map(|row| row.value).collect();
        return serde_json::to_string(&values).map_err(|error| Failure::Failed(error.to_string()));
    }
    let mut lines = Vec::new();
    for row in rows {
        let record: Record = serde_json::from_value(row.value)
            .map_err(|error| Failure::Failed(format!("row {}: {error}", row.key)))?;
        let when = std::time::UNIX_EPOCH + std::time::Duration::from_secs(record.when);
        let when = humantime::format_rfc3339_seconds(when);
        let Record {
            version,
            change,
            who,
            why,
            ..
        } = record;
        lines.push(format!("{version:>6}  {when}  {change}  {who}: {why}"));
    }
    Ok(lines.join("\n"))
}

/// Asks a process how it is.
pub(crate) async fn status(mut arguments: pico_args::Arguments) -> Result<String, Failure> {
    let address: std::net::SocketAddr = arguments.free_from_str()?;
    finish(arguments)?;
    let failed = |error: reqwest::Error| Failure::Failed(format!("{address}: {error}"));
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(failed)?;
    let response = client
        .get(format!("http://{address}/status"))
        .send()
        .await
        .map_err(failed)?;
    response.text().await.map_err(failed)
}
