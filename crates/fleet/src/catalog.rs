//! The operator's configuration: routes, services, keys and limits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use types::{Domain, Service, Store, Team, Version};

/// One whole configuration, indexed for the request path.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The operator's version; a greater one replaces this catalog.
    pub version: Version,
    /// What callers may send.
    pub limits: Limits,
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Service, Arc<Pool>>,
    stores: Vec<StoreHost>,
    keys: HashMap<Box<str>, Arc<Owner>>,
    keyed: bool,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// What may be done with a request that was sent to a target and not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Running it twice is harmless.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
    /// A series of events; it may be continued elsewhere where the route says so.
    Stream,
}

/// Where requests of a host and prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The operator's name for it, for logs.
    pub name: Box<str>,
    /// The host that the caller names.
    pub host: Box<str>,
    /// The start of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub delivery: Delivery,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is worth most.
    pub objective: Duration,
    /// The longest pause between events that counts as on time.
    pub gap_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Services with their share of the requests.
    pub split: Vec<(Service, u32)>,
    /// The largest number of targets on which one request may run.
    pub max_attempts: u32,
    /// Whether a key is not needed.
    pub public: bool,
    /// Whether a stream may be continued at another target.
    pub resumable: bool,
}

/// A service: a pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: Service,
    /// The connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that a cold target tolerates from all entries together.
    pub cold_rate: f64,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// What a pool of model engines has.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Tokens that fit into an engine's memory.
    pub kv_capacity: u64,
    /// Size of a kept token in bytes.
    pub token_bytes: u64,
}

/// A store host for kept context.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreHost {
    /// Its name.
    pub name: Store,
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Tokens that fit.
    pub capacity: u64,
    /// Speed of its link in Mbit/s.
    pub link_mbps: f64,
    /// The delay before each transfer.
    pub latency: Duration,
    /// Calls for its reports that it holds at the same time, from all entries.
    pub max_calls: u32,
    /// Whether it keeps what it has until it is told to drop it.
    pub managed: bool,
}

/// A team as the holder of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The team's name.
    pub team: Team,
    /// A rank that goes before that of the route.
    pub rank: Option<u8>,
    /// Whether the team shares no kept context with others.
    pub isolated: bool,
}

/// The parts of a catalog, before they are indexed.
#[derive(Debug, Default)]
pub struct Spec {
    /// The operator's version.
    pub version: Version,
    /// What callers may send.
    pub limits: Limits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that are no stores.
    pub services: Vec<Pool>,
    /// All store hosts.
    pub stores: Vec<StoreHost>,
    /// Teams with their keys; `None` where the configuration knows no teams at all.
    pub teams: Option<Vec<(Owner, Vec<Box<str>>)>>,
}

/// Who sends a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The route needs no key.
    Anonymous,
    /// The key belongs to this team.
    Authenticated(Arc<Owner>),
    /// The key is missing or belongs to nobody.
    Unauthenticated,
}

impl Default for Limits {
    /// Returns bounds for the time before the first configuration is known.
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
    pub fn new(draft: Spec) -> Self {
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in draft.routes {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            // The first prefix that matches is then the longest one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let keyed = draft.teams.is_some();
        for (holder, owned) in draft.teams.unwrap_or_default() {
            let holder = Arc::new(holder);
            keys.extend(owned.into_iter().map(|key| (key, Arc::clone(&holder))));
        }
        let pools = draft.services.into_iter();
        Self {
            version: draft.version,
            limits: draft.limits,
            routes,
            services: pools
                .map(|pool| (pool.name.clone(), Arc::new(pool)))
                .collect(),
            stores: draft.stores,
            keys,
            keyed,
        }
    }

    /// Finds the route with the longest prefix of the path; a port behind the host is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Says who sends a request with this key on this route.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        if route.public || !self.keyed {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(holder) => Caller::Authenticated(Arc::clone(holder)),
            None => Caller::Unauthenticated,
        }
    }

    /// Returns the service's pool.
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
    /// Chooses the service for a request; `draw` is uniform over all numbers.
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
        let mut left = u64::from(draw) * total / (u64::from(u32::MAX) + 1);
        for (service, weight) in &self.split {
            if left < u64::from(*weight) {
                return Some(service);
            }
            left -= u64::from(*weight);
        }
        None
    }

    /// Says whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.delivery {
            Delivery::Idempotent => true,
            Delivery::AtMostOnce => false,
            Delivery::Stream => self.resumable,
        }
    }
}
