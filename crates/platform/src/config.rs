//! Accepting and loading configurations.
//!
//! The rules text is written as an object that is named by its digest. The transaction that writes
//! `config/head` and the record of the change accepts it. See `docs/design.md`, section 5.6.

use displaydoc::Display;
use rules::Snapshot;
use serde::{Deserialize, Serialize};
use types::{Verdict, Version};

use crate::{Commit, Error, Objects, Table, Write};

/// The key of the row that names the accepted configuration.
pub const HEAD: &str = "config/head";

/// The content of [`HEAD`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted version; 0 means that none has been accepted yet.
    pub version: Version,
    /// The digest of the rules text, which also names the object.
    pub digest: String,
}

/// A record of the audit trail; each accepted configuration has one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version that this change made.
    pub version: Version,
    /// A random id from the operator's tool, by which it finds a change whose response was lost.
    pub change: String,
    /// The author of the change.
    pub who: String,
    /// The reason for the change.
    pub why: String,
    /// The time of the change by the operator's clock, in seconds since 1970.
    pub when: u64,
    /// The digest of the rules text.
    pub digest: String,
}

/// The outcome of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted as this version.
    Accepted(Version),
    /// Another change was accepted first; a new proposal has to be based on this version.
    Conflict(Version),
}

/// Returns the key of the row that holds the record of a version.
#[must_use]
pub fn record_key(version: Version) -> String {
    format!("config/change/{:010}", version.0)
}

/// Reads the head, with the version of its row.
///
/// # Errors
/// Fails when the platform is unavailable or the row cannot be decoded.
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

/// Loads and validates the rules of an accepted configuration.
///
/// # Errors
/// Fails when the platform is unavailable or the object is not the one that was accepted.
pub async fn load<Platform>(platform: &Platform, head: &Head) -> Result<Snapshot, Error>
where
    Platform: Objects + Sync,
{
    let text = load_text(platform, &head.digest).await?;
    Snapshot::parse(&format!("config/{}", head.digest), &text, head.version)
        .map_err(|error| Error::Data(error.to_string()))
}

/// Loads the rules text with this digest and verifies the digest.
///
/// # Errors
/// Fails as [`load`] does, but does not validate the rules.
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

/// A proposal failed without a known outcome.
#[derive(Debug, Display, thiserror::Error)]
#[displaydoc("{cause}")]
pub struct Failure {
    /// [`Verdict::NotRun`] if this call has not changed and will not change the configuration.
    pub verdict: Verdict,
    /// The error of the platform.
    pub cause: Error,
}

/// Proposes new rules on top of version `base`.
///
/// The call may be retried with the same `base`, text and change id until it succeeds: the
/// conditions of the write let it take effect at most once, and a change that was accepted earlier
/// is found by its id even if others were accepted on top of it. The caller combines the verdicts
/// of all its calls with [`Verdict::combine`].
///
/// # Errors
/// Fails when the platform is unavailable or does not return the rules text as written. A failure
/// before the conditional write is [`Verdict::NotRun`], because the object alone has no effect.
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
        let outcome = find_outcome(platform, base, &record)
            .await
            .map_err(not_run)?;
        return Ok(outcome.unwrap_or(Outcome::Conflict(head.version)));
    }
    write_object(platform, &record.digest, text)
        .await
        .map_err(not_run)?;
    let writes = head_and_record(row_version, &record).map_err(not_run)?;
    let (mut verdict, cause) = match platform.commit(&writes).await {
        Ok(Commit::Applied(_)) => return Ok(Outcome::Accepted(record.version)),
        // The transport may have sent the write twice, so the conflict may be with this change
        // itself; the record decides.
        Ok(Commit::Conflict(key)) => (
            Verdict::MayHaveRun,
            Error::Data(format!(
                "the write of row {key} conflicts with no known change"
            )),
        ),
        Err(error) if error.verdict() == Verdict::NotRun => return Err(not_run(error)),
        Err(error) => (error.verdict(), error),
    };
    match find_outcome(platform, base, &record).await {
        Ok(Some(proposal)) => Ok(proposal),
        // A write whose response was lost may still arrive, so a missing record proves nothing.
        Ok(None) => Err(Failure { verdict, cause }),
        Err(cause) => {
            verdict = verdict.combine(Verdict::MayHaveRun);
            Err(Failure { verdict, cause })
        }
    }
}

/// Returns the outcome of a change, or `None` while its version has no record.
///
/// A record is immutable, so the outcome is final.
async fn find_outcome<Platform>(
    platform: &Platform,
    base: Version,
    proposed: &Record,
) -> Result<Option<Outcome>, Error>
where
    Platform: Table + Sync,
{
    if let Some(found) = record(platform, proposed.version).await?
        && found.change == proposed.change
    {
        return Ok(Some(Outcome::Accepted(found.version)));
    }
    let (head, _) = head(platform).await?;
    if head.version <= base {
        return Ok(None);
    }
    // The change may have been accepted between the two reads, so the record is read again.
    match record(platform, proposed.version).await? {
        Some(found) if found.change == proposed.change => {
            Ok(Some(Outcome::Accepted(found.version)))
        }
        Some(_) => Ok(Some(Outcome::Conflict(head.version))),
        None => Ok(None),
    }
}

/// Reads the record of a version.
///
/// # Errors
/// Fails when the platform is unavailable or the row cannot be decoded.
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

/// Writes the rules text and reads it back, so that no version is accepted that processes cannot
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
            "object {name} differs from what was written"
        ))),
        None => Err(Error::Data(format!(
            "object {name} is missing after it was written"
        ))),
    }
}

fn head_and_record(row_version: u64, record: &Record) -> Result<[Write; 2], Error> {
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
