use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use types::{Call, Domain, Host, Model, Service, Target, Team, Version, Weights};

use crate::line::{Error, Line, Problem, check_name};

/// A validated set of rules at one version; a process adopts it completely or not at all.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The version at which the platform accepted the rules.
    pub version: Version,
    /// The rules file as the operator wrote it.
    pub text: String,
    /// The teams and their keys and limits.
    pub teams: BTreeMap<Team, Account>,
    /// The models and the weight version that serves each.
    pub models: BTreeMap<Model, Release>,
    /// The plain services.
    pub services: BTreeMap<Service, Policy>,
    /// What each target checks of an order; a target without a rule checks nothing.
    pub checks: BTreeMap<Target, Check>,
    /// What operators have drained.
    pub drains: BTreeSet<Drain>,
    /// How much cached context each team may hold.
    pub retention: BTreeMap<Team, Retention>,
    keys: BTreeMap<Digest, Team>,
}

/// The BLAKE3 digest of a secret or of a document; secrets themselves are never stored.
pub type Digest = [u8; 32];

/// The keys and limits of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The digests of the team's keys: one, or two during a key rotation.
    pub keys: Vec<Digest>,
    /// Requests per second over all entries.
    pub rate: u32,
    /// The capacity of the token bucket, in requests.
    pub burst: u32,
    /// Requests that may run concurrently in one region.
    pub concurrency: u32,
    /// The weight of the team in fair queueing.
    pub share: u32,
    /// The order in which requests are shed under overload.
    pub priority: Priority,
}

/// The order in which requests are shed under overload: the lowest priority first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    Normal,
    /// Shed last.
    High,
}

/// The release of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The weight version that new requests use.
    pub weights: Weights,
}

/// How a plain service may be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// The calls that may run more than once; all others run at most once.
    pub repeatable: BTreeSet<Call>,
}

/// What a target checks of an order that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// The target carries out every order; this is the safe assumption without a rule.
    #[default]
    Nothing,
    /// The target authenticates the sender but ignores fencing tokens.
    Sender,
    /// The target also refuses stale fencing tokens.
    Fencing,
}

/// What operators have drained, so that it receives no new work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Drain {
    /// One target.
    Target(Target),
    /// All targets on a host.
    Host(Host),
    /// All targets in a failure domain.
    Domain(Domain),
}

impl Drain {
    /// Returns the kind, `target`, `host` or `domain`, and the name.
    #[must_use]
    pub fn parts(&self) -> (&'static str, &str) {
        match self {
            Self::Target(name) => ("target", name),
            Self::Host(name) => ("host", name),
            Self::Domain(name) => ("domain", name),
        }
    }

    /// Makes a drain of its kind and name; returns `None` for an unknown kind.
    #[must_use]
    pub fn from_parts(kind: &str, name: &str) -> Option<Self> {
        match kind {
            "target" => Some(Self::Target(Target::from(name))),
            "host" => Some(Self::Host(Host::from(name))),
            "domain" => Some(Self::Domain(Domain::from(name))),
            _ => None,
        }
    }
}

impl fmt::Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = self.parts();
        write!(f, "{kind} {name}")
    }
}

/// How much cached context a team may hold, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retention {
    /// The bytes that the team's blocks may occupy on one store host.
    pub bytes: u64,
    /// The days after which an unused block may be evicted.
    pub days: u32,
}

const TEAM_EXAMPLE: &str = "team harbour-1 key=<64 hex digits> rate=20 share=4 # ana: contract 12";
pub(crate) const MODEL_EXAMPLE: &str = "model captions weights=v3 # ben: release 3";
const SERVICE_EXAMPLE: &str = "service orders repeatable=status,list # ben: API page 4";
const TARGET_EXAMPLE: &str = "target cap-1 checks=fencing # ben: engine 2.1";
const DRAIN_EXAMPLE: &str = "drain domain pier # marshal desk: fire exercise";
const RETAIN_EXAMPLE: &str = "retain harbour-1 bytes=1000000000 days=14 # ana: contract 12";

/// The range of all counts in rules; a greater number is regarded as an error.
const COUNT: (u64, u64) = (1, 1_000_000);
/// The keys that a team may have: the old and the new one during a key rotation.
const MAX_KEYS: usize = 2;
const COUNT_ACCEPTED: &str = "a whole number from 1 to 1000000";

impl Snapshot {
    /// Parses and validates the text of a rules file.
    ///
    /// # Errors
    /// Fails on the first invalid line; nothing of the file is used then.
    pub fn parse(file: &str, text: &str, version: Version) -> Result<Self, Error> {
        let mut snapshot = Self {
            version,
            text: text.to_owned(),
            ..Self::default()
        };
        let mut seen = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            Line::parse(number, text)
                .and_then(|line| match line {
                    Some(line) => snapshot.add(&line, &mut seen),
                    None => Ok(()),
                })
                .map_err(|problem| Error {
                    file: file.to_owned(),
                    line: number,
                    problem,
                })?;
        }
        // Rules may appear in any order, so references between them are checked last.
        for team in snapshot.retention.keys() {
            if !snapshot.teams.contains_key(team) {
                return Err(Error {
                    file: file.to_owned(),
                    line: seen[&("retain", team.to_string())],
                    problem: Problem::UnknownTeam(team.to_string()),
                });
            }
        }
        Ok(snapshot)
    }

    /// Returns the team that owns the key with this digest.
    #[must_use]
    pub fn team_of_key(&self, digest: &Digest) -> Option<&Team> {
        self.keys.get(digest)
    }

    /// Returns whether operators have drained the target, its host or its failure domain.
    #[must_use]
    pub fn is_drained(&self, target: &Target, host: &Host, domain: &Domain) -> bool {
        !self.drains.is_empty()
            && (self.drains.contains(&Drain::Target(target.clone()))
                || self.drains.contains(&Drain::Host(host.clone()))
                || self.drains.contains(&Drain::Domain(domain.clone())))
    }

    /// Returns whether a call may run more than once; an unlisted call may not.
    #[must_use]
    pub fn is_repeatable(&self, service: &Service, call: &Call) -> bool {
        self.services
            .get(service)
            .is_some_and(|policy| policy.repeatable.contains(call))
    }

    fn add(
        &mut self,
        line: &Line,
        seen: &mut BTreeMap<(&'static str, String), usize>,
    ) -> Result<(), Problem> {
        let mut check_unique = |kind: &'static str, name: &str| match seen
            .insert((kind, name.to_owned()), line.number)
        {
            Some(earlier) => Err(Problem::Duplicate(kind, name.to_owned(), earlier)),
            None => Ok(()),
        };
        match line.keyword.as_str() {
            "team" => {
                let name = line.single_arg(TEAM_EXAMPLE)?;
                check_unique("team", name)?;
                self.add_team(Team::from(name), line)
            }
            "model" => {
                let name = line.single_arg(MODEL_EXAMPLE)?;
                check_unique("model", name)?;
                line.check_options("weights")?;
                let weights = line
                    .options
                    .get("weights")
                    .ok_or(Problem::MissingOption("weights", MODEL_EXAMPLE))?;
                let release = Release {
                    weights: Weights::from(check_name(weights)?),
                };
                self.models.insert(Model::from(name), release);
                Ok(())
            }
            "service" => {
                let name = line.single_arg(SERVICE_EXAMPLE)?;
                check_unique("service", name)?;
                line.check_options("repeatable")?;
                let repeatable = line.options.get("repeatable").map_or("", String::as_str);
                let repeatable = repeatable
                    .split(',')
                    .filter(|call| !call.is_empty())
                    .map(|call| check_name(call).map(Call::from))
                    .collect::<Result<_, _>>()?;
                self.services
                    .insert(Service::from(name), Policy { repeatable });
                Ok(())
            }
            "target" => {
                let name = line.single_arg(TARGET_EXAMPLE)?;
                check_unique("target", name)?;
                line.check_options("checks")?;
                self.checks.insert(Target::from(name), parse_check(line)?);
                Ok(())
            }
            "drain" => {
                check_unique("drain", &line.args.join(" "))?;
                self.add_drain(line)
            }
            "retain" => {
                let name = line.single_arg(RETAIN_EXAMPLE)?;
                check_unique("retain", name)?;
                line.check_options("bytes days")?;
                let bytes = (1, 1 << 50);
                let retention = Retention {
                    bytes: line.number("bytes", 1 << 30, bytes, "a number of bytes up to 2^50")?,
                    days: line.number("days", 14, (1, 3650), "a number of days up to 3650")? as u32,
                };
                self.retention.insert(Team::from(name), retention);
                Ok(())
            }
            keyword => Err(Problem::UnknownKeyword(keyword.to_owned())),
        }
    }

    fn add_team(&mut self, team: Team, line: &Line) -> Result<(), Problem> {
        line.check_options("key rate burst concurrency share priority")?;
        let key = line
            .options
            .get("key")
            .ok_or(Problem::MissingOption("key", TEAM_EXAMPLE))?;
        let keys: Option<Vec<Digest>> = key.split(',').map(parse_digest).collect();
        let keys = keys.filter(|keys| keys.len() <= MAX_KEYS).ok_or_else(|| {
            // The value is hidden, since an operator may have pasted the secret itself.
            Problem::BadValue(
                "key".to_owned(),
                "(hidden)".to_owned(),
                "the 64 hex digits that `boragereel key` prints, or two of them with a comma \
                 between while a key is replaced",
            )
        })?;
        let rate = line.number("rate", 10, COUNT, COUNT_ACCEPTED)?;
        let burst = line.number("burst", rate, COUNT, COUNT_ACCEPTED)?;
        if burst < rate {
            // A token bucket below one second's worth of requests could never sustain the rate.
            return Err(Problem::BadValue(
                "burst".to_owned(),
                burst.to_string(),
                "a whole number that is not below the rate",
            ));
        }
        let account = Account {
            keys: keys.clone(),
            rate: rate as u32,
            burst: burst as u32,
            concurrency: line.number("concurrency", 64, COUNT, COUNT_ACCEPTED)? as u32,
            share: line.number("share", 1, (1, 1000), "a whole number from 1 to 1000")? as u32,
            priority: match line.options.get("priority").map(String::as_str) {
                None | Some("normal") => Priority::Normal,
                Some("low") => Priority::Low,
                Some("high") => Priority::High,
                Some(other) => {
                    return Err(Problem::BadValue(
                        "priority".to_owned(),
                        other.to_owned(),
                        "low, normal or high",
                    ));
                }
            },
        };
        for key in keys {
            if let Some(other) = self.keys.insert(key, team.clone()) {
                return Err(Problem::SharedKey(team.to_string(), other.to_string()));
            }
        }
        self.teams.insert(team, account);
        Ok(())
    }

    fn add_drain(&mut self, line: &Line) -> Result<(), Problem> {
        line.check_options("")?;
        let drain = match line.args.as_slice() {
            [kind, name] => Drain::from_parts(kind, name),
            _ => None,
        };
        let drain = drain.ok_or(Problem::WrongArgCount(DRAIN_EXAMPLE))?;
        self.drains.insert(drain);
        Ok(())
    }
}

/// Returns the digest by which the rules identify a key of a team.
#[must_use]
pub fn key_digest(key: &str) -> Digest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

fn parse_check(line: &Line) -> Result<Check, Problem> {
    match line.options.get("checks").map(String::as_str) {
        Some("nothing") => Ok(Check::Nothing),
        Some("sender") => Ok(Check::Sender),
        Some("fencing") => Ok(Check::Fencing),
        Some(other) => Err(Problem::BadValue(
            "checks".to_owned(),
            other.to_owned(),
            "nothing, sender or fencing",
        )),
        None => Err(Problem::MissingOption("checks", TARGET_EXAMPLE)),
    }
}

fn parse_digest(text: &str) -> Option<Digest> {
    blake3::Hash::from_hex(text)
        .ok()
        .map(|hash| *hash.as_bytes())
}
