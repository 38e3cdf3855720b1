use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use types::{Call, Domain, Host, Model, Service, Target, Team, Version, Weights};

use crate::line::{Error, Line, Problem, check_name};

/// A checked set of rules at one version; nodes adopt it whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The version under which the platform accepted the rules.
    pub version: Version,
    /// The rules file as the operator wrote it.
    pub text: String,
    /// The teams and what each may use.
    pub teams: BTreeMap<Team, Account>,
    /// The models and the weight version each is served with.
    pub models: BTreeMap<Model, Release>,
    /// The plain services.
    pub services: BTreeMap<Service, Policy>,
    /// How much each target checks of an order; a target without a rule checks nothing.
    pub checks: BTreeMap<Target, Check>,
    /// What operators have taken out.
    pub drains: BTreeSet<Drain>,
    /// How much kept context each team may hold.
    pub retention: BTreeMap<Team, Retention>,
    keys: BTreeMap<Digest, Team>,
}

/// The BLAKE3 digest of a secret or of a document, so that the secret itself is stored nowhere.
pub type Digest = [u8; 32];

/// What one team may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The digests of the team's keys: one, or two while a key is replaced.
    pub keys: Vec<Digest>,
    /// Requests a second over all entries.
    pub rate: u32,
    /// Requests that may come at once above the rate.
    pub burst: u32,
    /// Requests that may run at the same time in one region.
    pub concurrency: u32,
    /// The weight of the team in fair queueing.
    pub share: u32,
    /// Which requests are shed first under overload.
    pub priority: Priority,
}

/// The order in which requests are shed: the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    Normal,
    /// Shed last.
    High,
}

/// How a model is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The weight version that new requests use.
    pub weights: Weights,
}

/// How a plain service may be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// The calls that may run more than once; any other call may not.
    pub repeatable: BTreeSet<Call>,
}

/// How much a target checks of an order that it is given.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// The target obeys whoever orders; the safe assumption when no rule says more.
    #[default]
    Nothing,
    /// The target checks who orders but ignores fencing numbers.
    Sender,
    /// The target also refuses an old fencing number.
    Fencing,
}

/// Something that operators have taken out and that receives no new work.
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

    /// Makes a drain of its two parts; `None` for an unknown kind.
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

/// How much kept context a team may hold, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retention {
    /// The bytes that the team's blocks may take on one store host.
    pub bytes: u64,
    /// The days after which an unused block may be dropped.
    pub days: u32,
}

const TEAM_EXAMPLE: &str = "team harbour-1 key=<64 hex digits> rate=20 share=4 # ana: contract 12";
pub(crate) const MODEL_EXAMPLE: &str = "model captions weights=v3 # ben: release 3";
const SERVICE_EXAMPLE: &str = "service orders repeatable=status,list # ben: API page 4";
const TARGET_EXAMPLE: &str = "target cap-1 checks=fencing # ben: engine 2.1";
const DRAIN_EXAMPLE: &str = "drain domain pier # marshal desk: fire exercise";
const RETAIN_EXAMPLE: &str = "retain harbour-1 bytes=1000000000 days=14 # ana: contract 12";

/// The bounds of all counts in rules; a greater number is taken for a mistake.
const COUNT: (u64, u64) = (1, 1_000_000);
/// Keys of a team at the same time: the old one and the new one while callers change over.
const MAX_KEYS: usize = 2;
const COUNT_ACCEPTED: &str = "a whole number from 1 to 1000000";

impl Snapshot {
    /// Checks the text of a rules file.
    ///
    /// # Errors
    /// Fails on the first line that cannot be accepted; nothing of the file is used then.
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
        // Lines may stand in any order, so what refers to another line is checked last.
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

    /// Returns the team whose key has this digest.
    #[must_use]
    pub fn team_of_key(&self, digest: &Digest) -> Option<&Team> {
        self.keys.get(digest)
    }

    /// Says whether operators have taken out the target, its host or its failure domain.
    #[must_use]
    pub fn is_drained(&self, target: &Target, host: &Host, domain: &Domain) -> bool {
        !self.drains.is_empty()
            && (self.drains.contains(&Drain::Target(target.clone()))
                || self.drains.contains(&Drain::Host(host.clone()))
                || self.drains.contains(&Drain::Domain(domain.clone())))
    }

    /// Says whether a call may run more than once; an unlisted call may not.
    #[must_use]
    pub fn is_repeatable(&self, service: &Service, call: &Call) -> bool {
        self.services
            .get(service)
            .is_some_and(|plain| plain.repeatable.contains(call))
    }

    fn add(
        &mut self,
        line: &Line,
        seen: &mut BTreeMap<(&'static str, String), usize>,
    ) -> Result<(), Problem> {
        let mut once = |kind: &'static str, name: &str| match seen
            .insert((kind, name.to_owned()), line.number)
        {
            Some(earlier) => Err(Problem::Duplicate(kind, name.to_owned(), earlier)),
            None => Ok(()),
        };
        match line.keyword.as_str() {
            "team" => {
                let name = line.single(TEAM_EXAMPLE)?;
                once("team", name)?;
                self.add_team(Team::from(name), line)
            }
            "model" => {
                let name = line.single(MODEL_EXAMPLE)?;
                once("model", name)?;
                line.accept("weights")?;
                let weights = line
                    .options
                    .get("weights")
                    .ok_or(Problem::MissingOption("weights", MODEL_EXAMPLE))?;
                let served = Release {
                    weights: Weights::from(check_name(weights)?),
                };
                self.models.insert(Model::from(name), served);
                Ok(())
            }
            "service" => {
                let name = line.single(SERVICE_EXAMPLE)?;
                once("service", name)?;
                line.accept("repeatable")?;
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
                let name = line.single(TARGET_EXAMPLE)?;
                once("target", name)?;
                line.accept("checks")?;
                self.checks.insert(Target::from(name), parse_check(line)?);
                Ok(())
            }
            "drain" => {
                once("drain", &line.args.join(" "))?;
                self.add_drain(line)
            }
            "retain" => {
                let name = line.single(RETAIN_EXAMPLE)?;
                once("retain", name)?;
                line.accept("bytes days")?;
                let bytes = (1, 1 << 50);
                let retention = Retention {
                    bytes: line.number("bytes", 1 << 30, bytes, "a number of bytes up to 2^50")?,
                    days: line.number("days", 14, (1, 3650), "a number of days up to 3650")? as u32,
                };
                self.retention.insert(Team::from(name), retention);
                Ok(())
            }
            verb => Err(Problem::UnknownKeyword(verb.to_owned())),
        }
    }

    fn add_team(&mut self, team: Team, line: &Line) -> Result<(), Problem> {
        line.accept("key rate burst concurrency share priority")?;
        let key = line
            .options
            .get("key")
            .ok_or(Problem::MissingOption("key", TEAM_EXAMPLE))?;
        let keys: Option<Vec<Digest>> = key.split(',').map(parse_hex).collect();
        let keys = keys.filter(|keys| keys.len() <= MAX_KEYS).ok_or_else(|| {
            // The value is left out: an operator may have pasted the secret itself.
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
            // A bucket smaller than one second's rate could never grant the rate.
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
        line.accept("")?;
        let drain = match line.args.as_slice() {
            [kind, name] => Drain::from_parts(kind, name),
            _ => None,
        };
        let drain = drain.ok_or(Problem::WrongArgCount(DRAIN_EXAMPLE))?;
        self.drains.insert(drain);
        Ok(())
    }
}

/// Returns the digest under which a team's key stands in the rules.
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

fn parse_hex(text: &str) -> Option<Digest> {
    blake3::Hash::from_hex(text)
        .ok()
        .map(|hash| *hash.as_bytes())
}
