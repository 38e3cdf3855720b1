//! How a configuration is accepted and read back.
//!
//! The rules text is written as an object named by its digest; the conditional write of
//! `config/head`, together with the change record, accepts it. See `docs/design.md`, section 5.6.

use rules::Snapshot;
use serde::{Deserialize, Serialize};
use types::Version;

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
pub enum Proposal {
    /// The change is accepted under this version.
    Accepted(Version),
    /// Another change was accepted first; this is the version to start from.
    Raced(Version),
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
    let name = format!("config/{}", head.digest);
    let bytes = platform
        .get_object(&name)
        .await?
        .ok_or_else(|| Error::Data(format!("object {name} is missing")))?;
    if digest(&bytes) != head.digest {
        return Err(Error::Data(format!(
            "object {name} does not match its digest"
        )));
    }
    let text = String::from_utf8(bytes).map_err(|error| Error::Data(error.to_string()))?;
    Snapshot::parse(&name, &text, head.version).map_err(|error| Error::Data(error.to_string()))
}

/// Proposes new rules on top of version `base`.
///
/// When the answer to the write is lost, the change is looked for by its id and never written
/// again blindly.
///
/// # Errors
/// Fails when the platform is unavailable; with [`types::Verdict::MayHaveRun`] the caller has to
/// look for the change id later.
pub async fn propose<Platform>(
    platform: &Platform,
    base: Version,
    text: &str,
    mut record: Record,
) -> Result<Proposal, Error>
where
    Platform: Table + Objects + Sync,
{
    let (head, row_version) = head(platform).await?;
    if head.version != base {
        return Ok(Proposal::Raced(head.version));
    }
    record.version = Version(base.0 + 1);
    record.digest = digest(text.as_bytes());
    platform
        .put_object(&format!("config/{}", record.digest), text.into())
        .await?;
    let next = Head {
        version: record.version,
        digest: record.digest.clone(),
    };
    let writes = [
        Write {
            key: HEAD.to_owned(),
            expect: row_version,
            value: Some(to_value(&next)?),
        },
        Write {
            key: record_key(record.version),
            expect: 0,
            value: Some(to_value(&record)?),
        },
    ];
    match platform.commit(&writes).await {
        Ok(Commit::Applied(_)) => Ok(Proposal::Accepted(record.version)),
        Ok(Commit::Conflict(_)) => Ok(Proposal::Raced(self::head(platform).await?.0.version)),
        Err(error) => match find(platform, &record).await {
            Ok(Some(version)) => Ok(Proposal::Accepted(version)),
            Ok(None) | Err(_) => Err(error),
        },
    }
}

/// Looks for a change by its id under the version that it would have made.
///
/// # Errors
/// Fails when the platform is unavailable.
pub async fn find<Platform>(platform: &Platform, wanted: &Record) -> Result<Option<Version>, Error>
where
    Platform: Table + Sync,
{
    let Some(row) = platform.get(&record_key(wanted.version)).await? else {
        return Ok(None);
    };
    let record: Record =
        serde_json::from_value(row.value).map_err(|error| Error::Data(error.to_string()))?;
    Ok((record.change == wanted.change).then_some(record.version))
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
