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

/// The claims of an agent: the rows on the platform and what the agent knows of its own attempts.
#[derive(Debug, Clone)]
pub(super) struct Claims {
    name: String,
    view: Arc<View>,
    client: Client,
    batch: Batch,
    ledger: Arc<Mutex<Attempts>>,
    settled: watch::Sender<()>,
    work: Tracker,
}

/// A claim that this agent holds; the attempt may be sent once.
#[derive(Debug)]
pub(super) struct Held {
    key: String,
    version: u64,
    claim: Claim,
}

/// The attempts that an agent remembers, in number; each is forgotten when its outcome is stored.
const MAX_ATTEMPTS: usize = 16_384;
/// How often the outcome of a call is written before it is given up.
const STORE_TRIES: u32 = 5;
/// The wait between two such writes.
const STORE_WAIT: Duration = Duration::from_millis(200);
/// How long a caller waits for its outcome to be stored; the agent knows it until then.
const STORE_PATIENCE: Duration = Duration::from_millis(500);
/// How long an agent that is asked waits for an attempt that is on its way.
const SETTLE_PATIENCE: Duration = Duration::from_millis(500);
/// How long another agent may take to answer; it may wait for [`SETTLE_PATIENCE`] itself.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait before an agent is asked again whose answer was lost with its connection.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How long an agent is asked again: a broken connection is noticed and opened anew meanwhile.
const ASK_AGAIN: Duration = Duration::from_millis(600);
/// How long the directory may lack the agent of a claim; a new member is known everywhere after
/// 1.2 s at the slowest (docs/CAPACITY.md).
const LIST_PATIENCE: Duration = Duration::from_millis(1300);
/// How often the directory is looked at meanwhile.
const LIST_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the row of a team's idempotency key; hashing keeps the caller's text out of it.
pub(super) fn row_key(team: &Team, key: &str) -> String {
    format!("claim/{team}/{}", blake3::hash(key.as_bytes()).to_hex())
}

impl Claims {
    pub(super) fn new(name: String, view: Arc<View>, client: Client, work: Tracker) -> Self {
        Self {
            name,
            batch: Batch::spawn(Arc::clone(&view)),
            view,
            client,
            ledger: Arc::new(Mutex::new(Attempts::new(MAX_ATTEMPTS))),
            settled: watch::channel(()).0,
            work,
        }
    }

    /// Claims a key for a new attempt; only the holder of the claim may send the call.
    ///
    /// # Errors
    /// Fails when the call must not be sent; the attempt is given up for good then.
    pub(super) async fn acquire(
        &self,
        key: String,
        digest: String,
        deadline: Instant,
    ) -> Result<Held, Denial> {
        let attempt = Attempt(rand::random());
        self.ledger().register(attempt);
        let claim = Claim {
            attempt,
            agent: self.name.clone(),
            incarnation: self.view.incarnation(),
            digest,
            state: State::Claimed,
        };
        let (mut acquire, mut step) = Acquisition::start(claim.clone());
        loop {
            if Instant::now() >= deadline && !matches!(step, Step::Send(_)) {
                step = acquire.give_up();
            }
            step = match step {
                Step::Write { expect, claim } => {
                    acquire.on_write(self.write(&key, expect, &claim).await)
                }
                Step::Read => acquire.on_read(self.read(&key).await),
                Step::Query(other) => acquire.on_status(self.ask(&other).await),
                Step::Send(version) => {
                    let held = Held {
                        key,
                        version,
                        claim,
                    };
                    return self.permit(held, deadline);
                }
                Step::Deny(stop) => {
                    self.ledger().mark_never_sent(attempt);
                    self.settled.send_replace(());
                    return Err(stop);
                }
            };
        }
    }

    fn permit(&self, held: Held, deadline: Instant) -> Result<Held, Denial> {
        if Instant::now() >= deadline {
            self.ledger().mark_never_sent(held.claim.attempt);
            self.settled.send_replace(());
            self.release_row(held);
            return Err(Denial::Platform);
        }
        // Another agent that was promised this attempt is never sent may send its own now.
        if self.ledger().try_mark_sent(held.claim.attempt) {
            Ok(held)
        } else {
            Err(Denial::InDoubt)
        }
    }

    /// Keeps the outcome for later requests with the same key.
    pub(super) async fn store(&self, held: Held, outcome: Outcome) {
        let attempt = held.claim.attempt;
        self.ledger().record_outcome(attempt, outcome.clone());
        self.settled.send_replace(());
        let (claims, guard) = (self.clone(), self.work.start());
        let stored = tokio::spawn(async move {
            let _guard = guard;
            if claims.finish(&held, State::Done(outcome)).await {
                claims.ledger().remove(attempt);
            }
        });
        let _ = timeout(STORE_PATIENCE, stored).await;
    }

    /// Gives the key back after an attempt that certainly did not reach the target.
    pub(super) fn release(&self, held: Held) {
        self.ledger().mark_undelivered(held.claim.attempt);
        self.settled.send_replace(());
        self.release_row(held);
    }

    /// Records that the outcome of a sent attempt is not known.
    pub(super) fn lose(&self, held: &Held) {
        self.ledger().mark_outcome_unknown(held.claim.attempt);
        self.settled.send_replace(());
    }

    /// Answers another agent that found a claim of this one.
    ///
    /// An attempt on its way gets a short time to end; one that is not sent by then never will be.
    pub(super) async fn answer(&self, claimed: &Query) -> Status {
        if claimed.incarnation != self.view.incarnation() {
            return Status::Unknown;
        }
        let mut settled = self.settled.subscribe();
        let deadline = Instant::now() + SETTLE_PATIENCE;
        while self.ledger().is_pending(claimed.attempt) {
            if !matches!(timeout_at(deadline, settled.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        self.ledger().resolve(claimed.attempt)
    }

    fn release_row(&self, held: Held) {
        let (claims, guard) = (self.clone(), self.work.start());
        tokio::spawn(async move {
            let _guard = guard;
            claims.finish(&held, State::Released).await;
        });
    }

    async fn finish(&self, held: &Held, state: State) -> bool {
        let claim = Claim {
            state,
            ..held.claim.clone()
        };
        for _ in 0..STORE_TRIES {
            match self.write(&held.key, held.version, &claim).await {
                Written::Applied(_) => return true,
                // The row changes only by an earlier one of these writes, or by a takeover after
                // this agent has promised not to send.
                Written::Conflict => return true,
                Written::Lost | Written::NotSent => tokio::time::sleep(STORE_WAIT).await,
            }
        }
        log::warn!("the end of a call was not stored after {STORE_TRIES} tries");
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

    async fn ask(&self, claim: &Claim) -> Status {
        let claimed = Query {
            attempt: claim.attempt,
            incarnation: claim.incarnation,
        };
        if claim.agent == self.name {
            return self.answer(&claimed).await;
        }
        let Some(address) = self.locate(&claim.agent).await else {
            log::warn!(
                "the agent {} of a claim is not in the directory",
                claim.agent
            );
            return Status::Unknown;
        };
        let last = Instant::now() + ASK_AGAIN;
        loop {
            match timeout(ASK_TIMEOUT, self.ask_peer(address, claimed)).await {
                Ok(Ok(Some(fate))) => return fate,
                Ok(Ok(None)) => log::warn!("{} did not answer for its claim", claim.agent),
                Ok(Err(error)) => {
                    log::warn!("{} was not asked for its claim: {error}", claim.agent);
                }
                Err(_) => {
                    log::warn!("{} did not answer in time for its claim", claim.agent);
                    return Status::Unknown;
                }
            }
            // The question changes nothing that its first time did not change, so it may be asked
            // again. An agent that is gone does not answer then either.
            if Instant::now() >= last {
                return Status::Unknown;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Returns the address of an agent. A claim reaches the table sooner than the news of an agent
    /// that has just started reaches this one, so the directory may lack it for a moment.
    async fn locate(&self, agent: &str) -> Option<SocketAddr> {
        let deadline = Instant::now() + LIST_PATIENCE;
        loop {
            if let Some(member) = self.view.directory().get(agent) {
                return Some(member.address);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    async fn ask_peer(
        &self,
        address: SocketAddr,
        claimed: Query,
    ) -> Result<Option<Status>, wire::Error> {
        let mut stream = self.client.open(address).await?;
        stream.sender.send(&Frame::Query(claimed)).await?;
        match stream.receiver.recv().await? {
            Some(Frame::Resolution(answer)) if answer.attempt == claimed.attempt => {
                Ok(Some(answer.status))
            }
            _ => Ok(None),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Attempts> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the digest that tells two calls under one key apart.
pub(super) fn digest(call: &wire::Call) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [&*call.service, &*call.call, &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
