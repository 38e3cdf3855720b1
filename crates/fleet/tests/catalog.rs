//! Routes and keys of a configuration.

use std::time::Duration;

use fleet::catalog::{Caller, Catalog, Delivery, Owner, Route, Spec};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        delivery: Delivery::AtMostOnce,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: Duration::from_millis(250),
        rank: 1,
        split: split
            .iter()
            .map(|(service, weight)| ((*service).into(), *weight))
            .collect(),
        max_attempts: 1,
        public: false,
        resumable: false,
    }
}

fn catalog() -> Catalog {
    let owner = Owner {
        team: "parks".into(),
        rank: None,
        isolated: false,
    };
    Catalog::new(Spec {
        routes: vec![
            route("short", "a.example", "/x/", &[("one", 1)]),
            route("long", "a.example", "/x/y/", &[("two", 1)]),
        ],
        teams: Some(vec![(owner, vec!["key".into()])]),
        ..Spec::default()
    })
}

/// Guards against a shorter prefix that takes precedence over a longer one.
#[test]
fn the_longest_prefix_wins() {
    let catalog = catalog();
    let name = |path| catalog.route("a.example", path).map(|route| &*route.name);
    assert_eq!(name("/x/y/z"), Some("long"));
    assert_eq!(name("/x/z"), Some("short"));
    assert_eq!(name("/xy/"), None);
}

/// Guards against host names that are compared with their port or case-sensitively.
#[test]
fn the_port_and_the_case_of_a_host_do_not_count() {
    let catalog = catalog();
    assert!(catalog.route("A.Example:8080", "/x/").is_some());
    assert!(catalog.route("b.example", "/x/").is_none());
}

/// Guards against an unknown key that is accepted, and against a public route that requires a key.
#[test]
fn an_unknown_key_belongs_to_nobody() {
    let catalog = catalog();
    let mut route = route("r", "a.example", "/x/", &[("one", 1)]);
    assert_eq!(catalog.caller(&route, None), Caller::Unauthenticated);
    assert_eq!(
        catalog.caller(&route, Some("other")),
        Caller::Unauthenticated
    );
    assert!(matches!(
        catalog.caller(&route, Some("key")),
        Caller::Authenticated(_)
    ));
    route.public = true;
    assert_eq!(catalog.caller(&route, None), Caller::Anonymous);
}

proptest! {
    /// Guards against a draw that matches none of a route's weights.
    #[test]
    fn every_draw_finds_a_service(weights in prop::collection::vec(0u32..1000, 1..5), draw: u32) {
        let names: Vec<String> = (0..weights.len()).map(|index| index.to_string()).collect();
        let split: Vec<(&str, u32)> = names
            .iter()
            .zip(&weights)
            .map(|(name, weight)| (name.as_str(), *weight))
            .collect();
        let route = route("r", "h", "/", &split);
        let service = route.pick_service(draw);
        prop_assert!(service.is_some());
        if weights.iter().any(|weight| *weight > 0) {
            let chosen: usize = service.expect("checked above").parse().expect("a number");
            prop_assert!(weights[chosen] > 0);
        }
    }
}

/// Guards against weights whose sum needs more than 32 bits, by which a draw was multiplied without
/// room for the product: the draws of the second half went to the first service.
#[test]
fn weights_of_any_size_split_evenly() {
    let route = route("r", "h", "/", &[("a", u32::MAX), ("b", u32::MAX)]);
    let picked = |draw| route.pick_service(draw).map(|service| &**service);
    assert_eq!(picked(0), Some("a"));
    assert_eq!(picked(u32::MAX / 4), Some("a"));
    assert_eq!(picked(u32::MAX / 4 * 3), Some("b"));
    assert_eq!(picked(u32::MAX), Some("b"));
}

/// Guards against a request that follows a newer configuration to a service that is not allowed for
/// its path, its team or its delivery semantics.
#[test]
fn a_request_is_readmitted_only_under_the_same_terms() {
    let catalog = catalog();
    let team = |name: &str| Owner {
        team: name.into(),
        rank: None,
        isolated: false,
    };
    let admitted = route("older", "a.example", "/x/", &[("zero", 1)]);
    let readmit = |path, key, owner: Option<&Owner>, admitted: &Route| {
        let route = catalog.readmit(("a.example", path), key, admitted, owner);
        route.map(|route| route.name.to_string())
    };
    let (parks, roads) = (team("parks"), team("roads"));
    let readmitted = readmit("/x/z", Some("key"), Some(&parks), &admitted);
    assert_eq!(readmitted.as_deref(), Some("short"));
    assert_eq!(readmit("/z", Some("key"), Some(&parks), &admitted), None);
    assert_eq!(readmit("/x/z", Some("old"), Some(&parks), &admitted), None);
    assert_eq!(readmit("/x/z", Some("key"), Some(&roads), &admitted), None);
    assert_eq!(readmit("/x/z", Some("key"), None, &admitted), None);
    let idempotent = Route {
        delivery: Delivery::Idempotent,
        ..admitted
    };
    assert_eq!(
        readmit("/x/z", Some("key"), Some(&parks), &idempotent),
        None
    );
}

/// Guards against requests that are moved to or kept at a service whose share is zero.
#[test]
fn a_service_without_a_share_is_not_used() {
    let split = route("split", "a.example", "/x/", &[("one", 1), ("two", 0)]);
    assert!(split.uses(&"one".into()));
    assert!(!split.uses(&"two".into()));
    assert!(!split.uses(&"three".into()));
    let only = route("only", "a.example", "/x/", &[("one", 0)]);
    assert!(only.uses(&"one".into()));
}
