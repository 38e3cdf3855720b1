use control::{Claim, Outcome, State};
use platform::{Commit, Error, Table, Write};
use types::Team;

/// What became of a claim.
#[derive(Debug)]
pub(super) enum Claimed {
    /// The attempt may be sent; the row has this version.
    Ours(u64),
    /// An earlier attempt has this outcome.
    Done(Outcome),
    /// An earlier attempt may have run.
    InDoubt,
    /// The platform did not say; the attempt must not be sent.
    Unknown,
}

/// How often the outcome of a call is written before it is given up.
const STORE_TRIES: u32 = 5;

/// Returns the row of a team's idempotency key; hashing keeps the caller's text out of it.
pub(super) fn row_key(team: &Team, key: &str) -> String {
    format!("claim/{team}/{}", blake3::hash(key.as_bytes()).to_hex())
}

/// Claims a key for an attempt; only the attempt that holds the claim may be sent.
pub(super) async fn acquire<Platform>(platform: &Platform, key: &str, claim: &Claim) -> Claimed
where
    Platform: Table + Sync,
{
    match write(platform, key, 0, claim).await {
        Ok(Commit::Applied(versions)) => match versions.first() {
            Some(&version) => Claimed::Ours(version),
            None => Claimed::Unknown,
        },
        // The answer may be lost after the write took effect, so the row decides.
        Ok(Commit::Conflict(_)) | Err(_) => read_back(platform, key, claim).await,
    }
}

async fn read_back<Platform>(platform: &Platform, key: &str, claim: &Claim) -> Claimed
where
    Platform: Table + Sync,
{
    let Ok(Some(row)) = platform.get(key).await else {
        return Claimed::Unknown;
    };
    let Ok(found) = serde_json::from_value::<Claim>(row.value) else {
        return Claimed::InDoubt;
    };
    match found.state {
        State::Done(outcome) => Claimed::Done(outcome),
        State::Claimed if found.attempt == claim.attempt => Claimed::Ours(row.version),
        State::Claimed => Claimed::InDoubt,
    }
}

/// Keeps the outcome of a call for later requests with the same key.
pub(super) async fn store<Platform>(platform: &Platform, key: &str, version: u64, claim: &Claim)
where
    Platform: Table + Sync,
{
    for _ in 0..STORE_TRIES {
        match write(platform, key, version, claim).await {
            Ok(_) => return,
            Err(error) => log::warn!("the outcome of a call was not stored: {error}"),
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
}

async fn write<Platform>(
    platform: &Platform,
    key: &str,
    expect: u64,
    claim: &Claim,
) -> Result<Commit, Error>
where
    Platform: Table + Sync,
{
    let value = serde_json::to_value(claim).map_err(|error| Error::Data(error.to_string()))?;
    platform
        .commit(&[Write {
            key: key.to_owned(),
            expect,
            value: Some(value),
        }])
        .await
}
