//! The operator's configuration: routes, services, keys and limits.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use types::{Domain, Service, Store, Team, Version};

use crate::namespace::Scope;

/// A complete configuration, indexed for the request path.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The operator's version of the configuration; a greater version replaces this catalog.
    pub version: Version,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The longest timeout of a route whose streams may be resumed.
    pub longest_resumable: Duration,
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Service, Arc<Pool>>,
    stores: Vec<StoreHost>,
    keys: HashMap<Box<str>, Arc<Owner>>,
    keys_required: bool,
    isolated: HashSet<Team>,
    /// The scope of the teams that are not isolated.
    shared_scope: Scope,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Delivery semantics: whether a request that was sent to a target and not answered may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Running the request twice is harmless.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// A stream of events, which may be resumed at another target if the route allows it.
    Stream,
}

/// Routing rule for the requests of a host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The operator's name for the route, for logs.
    pub name: Box<str>,
    /// The host name in the caller's request.
    pub host: Box<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be retried.
    pub delivery: Delivery,
    /// Upper limit for the timeout of a request.
    pub timeout: Duration,
    /// The latency objective: the time within which a response, or the first event of a stream, is
    /// worth most.
    pub objective: Duration,
    /// The maximum gap between events of a stream that counts as on time.
    pub gap_objective: Duration,
    /// Scheduling rank; 0 is the most urgent.
    pub rank: u8,
    /// Services with their traffic weights.
    pub split: Vec<(Service, u32)>,
    /// The maximum number of targets on which one request may run.
    pub max_attempts: u32,
    /// Whether the route is served without a key.
    pub public: bool,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
}

/// A service: a pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// The name of the service.
    pub name: Service,
    /// The number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold target tolerates from all entries together.
    pub cold_rate: f64,
    /// Set if the targets are model engines.
    pub engine: Option<Engine>,
}

/// Properties of a pool of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Capacity of an engine's KV memory, in tokens.
    pub kv_capacity: u64,
    /// Size of the KV data of one token, in bytes.
    pub token_bytes: u64,
}

/// A store host for cached KV segments.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreHost {
    /// The name of the store host.
    pub name: Store,
    /// The address at which engines reach it.
    pub address: SocketAddr,
    /// The failure domain of the store host.
    pub domain: Domain,
    /// Capacity, in tokens.
    pub capacity: u64,
    /// Link speed, in Mbit/s.
    pub link_mbps: f64,
    /// The latency that precedes each transfer.
    pub latency: Duration,
    /// The number of long-polling calls for its reports that it holds at the same time, from all
    /// entries.
    pub max_calls: u32,
    /// Whether it keeps segments until an entry evicts them.
    pub managed: bool,
}

/// A team as the owner of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The team's name.
    pub team: Team,
    /// A rank that overrides that of the route.
    pub rank: Option<u8>,
    /// Whether the team shares no cached segments with other teams.
    pub isolated: bool,
}

/// The contents of a catalog before they are indexed.
#[derive(Debug, Default)]
pub struct Spec {
    /// The operator's version.
    pub version: Version,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that requests are routed to.
    pub services: Vec<Pool>,
    /// All store hosts.
    pub stores: Vec<StoreHost>,
    /// Teams with their keys; `None` if the configuration defines no teams.
    pub teams: Option<Vec<(Owner, Vec<Box<str>>)>>,
}

/// The sender of a request, as identified by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// No key is required.
    Anonymous,
    /// The key belongs to this team.
    Authenticated(Arc<Owner>),
    /// The key is missing or unknown.
    Unauthenticated,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let resumable = spec.routes.iter().filter(|route| route.resumable);
        let longest_resumable = resumable.map(|route| route.timeout).max();
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in spec.routes {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            // Longest prefix first, so that the first match is the longest one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut isolated = HashSet::new();
        let keys_required = spec.teams.is_some();
        for (owner, owner_keys) in spec.teams.unwrap_or_default() {
            if owner.isolated {
                isolated.insert(owner.team.clone());
            }
            let owner = Arc::new(owner);
            keys.extend(owner_keys.into_iter().map(|key| (key, Arc::clone(&owner))));
        }
        let pools = spec.services.into_iter();
        Self {
            version: spec.version,
            limits: spec.limits,
            longest_resumable: longest_resumable.unwrap_or_default(),
            routes,
            services: pools
                .map(|pool| (pool.name.clone(), Arc::new(pool)))
                .collect(),
            stores: spec.stores,
            keys,
            keys_required,
            shared_scope: Scope::of_others(isolated.iter()),
            isolated,
        }
    }

    /// Returns with which requests a request of this sender shares cached segments. A team that was
    /// isolated when the request was admitted stays so for this request.
    #[must_use]
    pub fn scope(&self, owner: Option<&Owner>) -> Scope {
        let isolated = owner.filter(|owner| owner.isolated || self.isolated.contains(&owner.team));
        match isolated {
            Some(owner) => Scope::Team(owner.team.clone()),
            None => self.shared_scope.clone(),
        }
    }

    /// Returns whether any request uses the segments of a scope.
    #[must_use]
    pub fn uses_scope(&self, scope: &Scope) -> bool {
        match scope {
            Scope::Team(team) => self.isolated.contains(team),
            Scope::All | Scope::Except(_) => *scope == self.shared_scope,
        }
    }

    /// Returns the route with the longest matching path prefix; a port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route of a request that an older configuration admitted under another route, if
    /// this configuration admits it for the same team and with the same delivery semantics.
    #[must_use]
    pub fn readmit(
        &self,
        (host, path): (&str, &str),
        key: Option<&str>,
        admitted: &Route,
        owner: Option<&Owner>,
    ) -> Option<&Arc<Route>> {
        let route = self.route(host, path)?;
        let is_same = route.delivery == admitted.delivery && route.resumable == admitted.resumable;
        let is_allowed = match self.caller(route, key) {
            Caller::Anonymous => owner.is_none(),
            Caller::Authenticated(current) => owner.is_some_and(|owner| owner.team == current.team),
            Caller::Unauthenticated => false,
        };
        (is_same && is_allowed).then_some(route)
    }

    /// Identifies the sender of a request with this key on this route.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        if route.public || !self.keys_required {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(owner) => Caller::Authenticated(Arc::clone(owner)),
            None => Caller::Unauthenticated,
        }
    }

    /// Returns the pool of a service.
    #[must_use]
    pub fn pool(&self, service: &Service) -> Option<&Arc<Pool>> {
        self.services.get(service)
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.services.values()
    }

    /// Returns all store hosts.
    #[must_use]
    pub fn stores(&self) -> &[StoreHost] {
        &self.stores
    }
}

impl Route {
    /// Picks the service for a request; `draw` is uniformly distributed over `u32`.
    ///
    /// Returns `None` if the route names no service.
    #[must_use]
    pub fn pick_service(&self, draw: u32) -> Option<&Service> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.split.first().map(|(service, _)| service);
        }
        // The product needs more than 64 bits if the weights add up to more than 32.
        let scaled = u128::from(draw) * u128::from(total) / (u128::from(u32::MAX) + 1);
        let mut left = scaled as u64;
        for (service, weight) in &self.split {
            if left < u64::from(*weight) {
                return Some(service);
            }
            left -= u64::from(*weight);
        }
        None
    }

    /// Returns whether requests are sent to a service.
    #[must_use]
    pub fn uses(&self, service: &Service) -> bool {
        let is_only = self.split.len() == 1;
        self.split
            .iter()
            .any(|(name, weight)| name == service && (is_only || *weight > 0))
    }

    /// Returns whether a request that may already have run can be sent again.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.delivery {
            Delivery::Idempotent => true,
            Delivery::AtMostOnce => false,
            Delivery::Stream => self.resumable,
        }
    }
}
