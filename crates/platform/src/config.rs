//! How a configuration is accepted and read back.
//!
//! The rules text is written as an object named by its digest; the conditional write of
//! `config/head`, together with the change record, accepts it. See `docs/design.md`, section 5.6.

use displaydoc::Display;
use rules::Snapshot;
use serde::{Deserialize, Serialize};
use types::{Verdict, Version};

use crate::{Commit, Error, Objects, Table, Write};

/// The row that says which configuration is accepted.
pub const HEAD: &str = "config/head";

/// The content of [`HEAD`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted version; 0 means that none was accepted yet.
    pub version: Version,
    /// The digest of the rules text, which is the object's name as well.
    pub digest: String,
}

/// A record in the audit trail, one for each accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version that this change made.
    pub version: Version,
    /// Drawn by the operator's tool, so that a change whose answer was lost can be found again.
    pub change: String,
    /// Who made the change.
    pub who: String,
    /// Why.
    pub why: String,
    /// When, in seconds since 1970, by the operator's clock.
    pub when: u64,
    /// The digest of the rules text.
    pub digest: String,
}

/// What came of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is accepted under this version.
    Accepted(Version),
    /// Another change was accepted first; this is the version to start from.
    Conflict(Version),
}

/// Returns the row that holds the record of a version.
#[must_use]
pub fn record_key(version: Version) -> String {
    format!("config/change/{:010}", version.0)
}

/// Reads which configuration is accepted, with the version of the row.
///
/// # Errors
/// Fails when the platform is unavailable or the row cannot be read.
pub async fn head<Platform>(platform: &Platform) -> Result<(Head, u64), Error>
where
    Platform: Table + Sync,
{
    let Some(row) = platform.get(HEAD).await? else {
        return Ok((Head::default(), 0));
    };
    let head = serde_json::from_value(row.value).map_err(|error| Error::Data(error.to_string()))?;
    Ok((head, row.version))
}

/// Reads and checks the rules of an accepted configuration.
///
/// # Errors
/// Fails when the platform is unavailable, and when the object is not the one that was accepted.
pub async fn load<Platform>(platform: &Platform, head: &Head) -> Result<Snapshot, Error>
where
    Platform: Objects + Sync,
{
    let text = load_text(platform, &head.digest).await?;
    Snapshot::parse(&format!("config/{}", head.digest), &text, head.version)
        .map_err(|error| Error::Data(error.to_string()))
}

/// Reads the rules text with this digest; text that was changed since is an error.
///
/// # Errors
/// As [`load`], but the text is not checked as rules.
pub async fn load_text<Platform>(platform: &Platform, digest: &str) -> Result<String, Error>
where
    Platform: Objects + Sync,
{
    let name = format!("config/{digest}");
    let bytes = platform
        .get_object(&name)
        .await?
        .ok_or_else(|| Error::Data(format!("object {name} is missing")))?;
    if self::digest(&bytes) != digest {
        return Err(Error::Data(format!(
            "object {name} does not match its digest"
        )));
    }
    String::from_utf8(bytes).map_err(|error| Error::Data(error.to_string()))
}

/// Why a proposal came to no answer, with what is known of its effect.
#[derive(Debug, Display, thiserror::Error)]
#[displaydoc("{cause}")]
pub struct Failure {
    /// [`Verdict::NotRun`] if this call did not and will not change the configuration.
    pub verdict: Verdict,
    /// What the platform did.
    pub cause: Error,
}

/// Proposes new rules on top of version `base`.
///
/// The call may be repeated with the same `base`, text and change id until it gives an answer: the
/// conditions of the write let it take effect at most once, and a change that was accepted before
/// is found by its id, whatever was accepted on top of it since. The caller combines the verdicts
/// of all its calls with [`Verdict::combine`].
///
/// # Errors
/// Fails when the platform is unavailable or does not return the rules text that was written to
/// it. A failure before the conditional write is [`Verdict::NotRun`], because the object alone
/// changes nothing.
pub async fn propose<Platform>(
    platform: &Platform,
    base: Version,
    text: &str,
    mut record: Record,
) -> Result<Outcome, Failure>
where
    Platform: Table + Objects + Sync,
{
    let not_run = |cause| Failure {
        verdict: Verdict::NotRun,
        cause,
    };
    record.version = Version(base.0 + 1);
    record.digest = digest(text.as_bytes());
    let (head, row_version) = head(platform).await.map_err(not_run)?;
    if head.version != base {
        let settled = settle(platform, base, &record).await.map_err(not_run)?;
        return Ok(settled.unwrap_or(Outcome::Conflict(head.version)));
    }
    write_object(platform, &record.digest, text)
        .await
        .map_err(not_run)?;
    let writes = writes(row_version, &record).map_err(not_run)?;
    let (mut verdict, cause) = match platform.commit(&writes).await {
        Ok(Commit::Applied(_)) => return Ok(Outcome::Accepted(record.version)),
        // The transport may have sent the write twice, so the conflict may be with this very
        // change; only the record tells.
        Ok(Commit::Conflict(key)) => (
            Verdict::MayHaveRun,
            Error::Data(format!(
                "the write of row {key} conflicts with no known change"
            )),
        ),
        Err(error) if error.verdict() == Verdict::NotRun => return Err(not_run(error)),
        Err(error) => (error.verdict(), error),
    };
    match settle(platform, base, &record).await {
        Ok(Some(proposal)) => Ok(proposal),
        // A write whose answer was lost may still arrive: a missing record proves nothing.
        Ok(None) => Err(Failure { verdict, cause }),
        Err(cause) => {
            verdict = verdict.combine(Verdict::MayHaveRun);
            Err(Failure { verdict, cause })
        }
    }
}

/// Says what came of a change, or `None` while neither it nor another one stands in its place.
///
/// The record is never changed once it is written, so the answer holds for good.
async fn settle<Platform>(
    platform: &Platform,
    base: Version,
    wanted: &Record,
) -> Result<Option<Outcome>, Error>
where
    Platform: Table + Sync,
{
    if let Some(found) = record(platform, wanted.version).await?
        && found.change == wanted.change
    {
        return Ok(Some(Outcome::Accepted(found.version)));
    }
    let (head, _) = head(platform).await?;
    if head.version <= base {
        return Ok(None);
    }
    // The head may have moved between the two reads, so the record is read after it once more.
    match record(platform, wanted.version).await? {
        Some(found) if found.change == wanted.change => Ok(Some(Outcome::Accepted(found.version))),
        Some(_) => Ok(Some(Outcome::Conflict(head.version))),
        None => Ok(None),
    }
}

/// Reads the record of a version.
///
/// # Errors
/// Fails when the platform is unavailable or the row cannot be read.
pub async fn record<Platform>(
    platform: &Platform,
    version: Version,
) -> Result<Option<Record>, Error>
where
    Platform: Table + Sync,
{
    let Some(row) = platform.get(&record_key(version)).await? else {
        return Ok(None);
    };
    serde_json::from_value(row.value).map_err(|error| Error::Data(error.to_string()))
}

/// Writes the rules text and reads it back, so that no version is accepted that no process could
/// load.
async fn write_object<Platform>(platform: &Platform, digest: &str, text: &str) -> Result<(), Error>
where
    Platform: Objects + Sync,
{
    let name = format!("config/{digest}");
    platform.put_object(&name, text.into()).await?;
    match platform.get_object(&name).await? {
        Some(bytes) if bytes == text.as_bytes() => Ok(()),
        Some(_) => Err(Error::Data(format!(
            "object {name} reads otherwise than written"
        ))),
        None => Err(Error::Data(format!(
            "object {name} is missing after its write"
        ))),
    }
}

fn writes(row_version: u64, record: &Record) -> Result<[Write; 2], Error> {
    let next = Head {
        version: record.version,
        digest: record.digest.clone(),
    };
    Ok([
        Write {
            key: HEAD.to_owned(),
            expect: row_version,
            value: Some(to_value(&next)?),
        },
        Write {
            key: record_key(record.version),
            expect: 0,
            value: Some(to_value(record)?),
        },
    ])
}

fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn to_value<Value>(value: &Value) -> Result<serde_json::Value, Error>
where
    Value: Serialize,
{
    serde_json::to_value(value).map_err(|error| Error::Data(error.to_string()))
}
