use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::claim::{Step, Written};
use control::{Acquisition, Attempts, Claim, Denial, Lookup, Outcome, State, Status};
use platform::Table as _;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use types::{Attempt, Team};
use wire::{Client, Frame, Query};

use super::batch::Batch;
use super::track::Tracker;
use crate::control::View;

/// The claims of an agent: their rows in the platform's table store and the status of the agent's
/// own attempts.
#[derive(Debug, Clone)]
pub(super) struct Claims {
    name: String,
    view: Arc<View>,
    client: Client,
    batch: Batch,
    attempts: Arc<Mutex<Attempts>>,
    resolved: watch::Sender<()>,
    pending_writes: Tracker,
}

/// A claim held by this agent; its attempt may be sent once.
#[derive(Debug)]
pub(super) struct Held {
    key: String,
    version: u64,
    claim: Claim,
}

/// The maximum number of attempts that an agent remembers; each is forgotten once its outcome is
/// stored.
const MAX_ATTEMPTS: usize = 16_384;
/// How many times the final state of a claim is written before it is given up.
const MAX_STORE_TRIES: u32 = 5;
/// The delay between two such writes.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a caller waits for its outcome to be stored; until then the agent itself knows the
/// outcome.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an agent that is queried waits for an attempt in flight.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long another agent may take to answer a query; it may itself wait for [`RESOLVE_TIMEOUT`].
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before a query is repeated whose reply was lost with the connection.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a query is repeated, which is time for a broken connection to be detected and reopened.
const QUERY_RETRY_PERIOD: Duration = Duration::from_millis(600);
/// How long the directory may lack the agent of a claim; a new member is known everywhere after at
/// most 1.2 s (docs/CAPACITY.md).
const LOCATE_TIMEOUT: Duration = Duration::from_millis(1300);
/// How often the directory is checked meanwhile.
const LOCATE_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the row key for a team's idempotency key; hashing keeps the caller's text out of it.
pub(super) fn row_key(team: &Team, key: &str) -> String {
    format!("claim/{team}/{}", blake3::hash(key.as_bytes()).to_hex())
}

impl Claims {
    pub(super) fn new(
        name: String,
        view: Arc<View>,
        client: Client,
        pending_writes: Tracker,
    ) -> Self {
        Self {
            name,
            batch: Batch::spawn(Arc::clone(&view)),
            view,
            client,
            attempts: Arc::new(Mutex::new(Attempts::new(MAX_ATTEMPTS))),
            resolved: watch::channel(()).0,
            pending_writes,
        }
    }

    /// Claims a key for a new attempt; only the holder of the claim may send the call.
    ///
    /// # Errors
    /// Fails if the call must not be sent; the attempt is then abandoned for good.
    pub(super) async fn acquire(
        &self,
        key: String,
        digest: String,
        deadline: Instant,
    ) -> Result<Held, Denial> {
        let attempt = Attempt(rand::random());
        self.attempts().register(attempt);
        let claim = Claim {
            attempt,
            agent: self.name.clone(),
            incarnation: self.view.incarnation(),
            digest,
            state: State::Claimed,
        };
        let (mut acquisition, mut step) = Acquisition::start(claim.clone());
        loop {
            if Instant::now() >= deadline && !matches!(step, Step::Send(_)) {
                step = acquisition.give_up();
            }
            step = match step {
                Step::Write { expect, claim } => {
                    acquisition.on_write(self.write(&key, expect, &claim).await)
                }
                Step::Read => acquisition.on_read(self.read(&key).await),
                Step::Query(other) => acquisition.on_status(self.query(&other).await),
                Step::Send(version) => {
                    let held = Held {
                        key,
                        version,
                        claim,
                    };
                    return self.authorize_send(held, deadline);
                }
                Step::Deny(denial) => {
                    self.attempts().mark_never_sent(attempt);
                    self.resolved.send_replace(());
                    return Err(denial);
                }
            };
        }
    }

    fn authorize_send(&self, held: Held, deadline: Instant) -> Result<Held, Denial> {
        if Instant::now() >= deadline {
            self.attempts().mark_never_sent(held.claim.attempt);
            self.resolved.send_replace(());
            self.release_row(held);
            return Err(Denial::Platform);
        }
        // This agent may have answered another agent's query with the promise never to send this
        // attempt; the other agent may then send its own.
        if self.attempts().try_mark_sent(held.claim.attempt) {
            Ok(held)
        } else {
            Err(Denial::InDoubt)
        }
    }

    /// Stores the outcome for later requests with the same key.
    pub(super) async fn store_outcome(&self, held: Held, outcome: Outcome) {
        let attempt = held.claim.attempt;
        self.attempts().record_outcome(attempt, outcome.clone());
        self.resolved.send_replace(());
        let (claims, guard) = (self.clone(), self.pending_writes.start());
        let stored = tokio::spawn(async move {
            let _guard = guard;
            if claims.write_state(&held, State::Done(outcome)).await {
                claims.attempts().remove(attempt);
            }
        });
        let _ = timeout(STORE_TIMEOUT, stored).await;
    }

    /// Releases the key after an attempt that certainly did not reach the target.
    pub(super) fn release(&self, held: Held) {
        self.attempts().mark_undelivered(held.claim.attempt);
        self.resolved.send_replace(());
        self.release_row(held);
    }

    /// Records that the outcome of a sent attempt is unknown.
    pub(super) fn mark_outcome_unknown(&self, held: &Held) {
        self.attempts().mark_outcome_unknown(held.claim.attempt);
        self.resolved.send_replace(());
    }

    /// Answers the query of another agent that found a claim of this one.
    ///
    /// An attempt in flight gets a short time to finish; one that has not been sent by then never
    /// will be.
    pub(super) async fn resolve(&self, query: &Query) -> Status {
        if query.incarnation != self.view.incarnation() {
            return Status::Unknown;
        }
        let mut resolved = self.resolved.subscribe();
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        while self.attempts().is_pending(query.attempt) {
            if !matches!(timeout_at(deadline, resolved.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        self.attempts().resolve(query.attempt)
    }

    fn release_row(&self, held: Held) {
        let (claims, guard) = (self.clone(), self.pending_writes.start());
        tokio::spawn(async move {
            let _guard = guard;
            claims.write_state(&held, State::Released).await;
        });
    }

    async fn write_state(&self, held: &Held, state: State) -> bool {
        let claim = Claim {
            state,
            ..held.claim.clone()
        };
        for _ in 0..MAX_STORE_TRIES {
            match self.write(&held.key, held.version, &claim).await {
                Written::Applied(_) => return true,
                // The row changes only by an earlier one of these writes, or by a takeover after
                // this agent has promised not to send.
                Written::Conflict => return true,
                Written::Lost | Written::NotSent => tokio::time::sleep(STORE_RETRY_DELAY).await,
            }
        }
        log::warn!("the final state of a claim was not stored after {MAX_STORE_TRIES} tries");
        false
    }

    async fn write(&self, key: &str, expect: u64, claim: &Claim) -> Written {
        match serde_json::to_value(claim) {
            Ok(value) => self.batch.write(key, expect, value).await,
            Err(_) => Written::NotSent,
        }
    }

    async fn read(&self, key: &str) -> Lookup {
        match self.view.platform().get(key).await {
            Err(_) => Lookup::Unavailable,
            Ok(None) => Lookup::Absent,
            Ok(Some(row)) => match serde_json::from_value(row.value) {
                Ok(claim) => Lookup::Row(row.version, claim),
                Err(_) => Lookup::Malformed,
            },
        }
    }

    async fn query(&self, claim: &Claim) -> Status {
        let query = Query {
            attempt: claim.attempt,
            incarnation: claim.incarnation,
        };
        if claim.agent == self.name {
            return self.resolve(&query).await;
        }
        let Some(address) = self.locate(&claim.agent).await else {
            log::warn!(
                "the agent {} of a claim is not in the directory",
                claim.agent
            );
            return Status::Unknown;
        };
        let retry_until = Instant::now() + QUERY_RETRY_PERIOD;
        loop {
            match timeout(QUERY_TIMEOUT, self.query_agent(address, query)).await {
                Ok(Ok(Some(status))) => return status,
                Ok(Ok(None)) => log::warn!(
                    "agent {} did not answer the query for its claim",
                    claim.agent
                ),
                Ok(Err(error)) => {
                    log::warn!(
                        "agent {} could not be queried for its claim: {error}",
                        claim.agent
                    );
                }
                Err(_) => {
                    log::warn!(
                        "agent {} did not answer the query for its claim in time",
                        claim.agent
                    );
                    return Status::Unknown;
                }
            }
            // A query has no effect beyond its first time, so it may be repeated. An agent that is
            // gone does not answer the repetition either.
            if Instant::now() >= retry_until {
                return Status::Unknown;
            }
            tokio::time::sleep(QUERY_RETRY_DELAY).await;
        }
    }

    /// Returns the address of an agent. A claim of an agent that has just started can be in the table
    /// store before this process learns of that agent, so the directory may lack it for a moment.
    async fn locate(&self, agent: &str) -> Option<SocketAddr> {
        let deadline = Instant::now() + LOCATE_TIMEOUT;
        loop {
            if let Some(member) = self.view.directory().get(agent) {
                return Some(member.address);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(LOCATE_INTERVAL).await;
        }
    }

    async fn query_agent(
        &self,
        address: SocketAddr,
        query: Query,
    ) -> Result<Option<Status>, wire::Error> {
        let mut stream = self.client.open(address).await?;
        stream.sender.send(&Frame::Query(query)).await?;
        match stream.receiver.recv().await? {
            Some(Frame::Resolution(resolution)) if resolution.attempt == query.attempt => {
                Ok(Some(resolution.status))
            }
            _ => Ok(None),
        }
    }

    fn attempts(&self) -> MutexGuard<'_, Attempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the digest that distinguishes two calls with the same key.
pub(super) fn digest(call: &wire::Call) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [&*call.service, &*call.call, &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
