//! Names of cache namespaces.

use std::collections::{BTreeSet, HashMap};

use fleet::catalog::{Catalog, Owner, Spec};
use fleet::namespace::{Namespace, Scope};
use proptest::prelude::*;
use types::Team;

const TEAMS: [&str; 4] = ["parks", "vigils", "walks", "a.1"];

fn owner(team: &str, isolated: bool) -> Owner {
    Owner {
        team: team.into(),
        rank: None,
        isolated,
    }
}

fn catalog(isolated: &BTreeSet<usize>) -> Catalog {
    let teams = TEAMS.iter().enumerate().map(|(index, team)| {
        let key = format!("key-of-{team}").into();
        (owner(team, isolated.contains(&index)), vec![key])
    });
    Catalog::new(Spec {
        teams: Some(teams.collect()),
        ..Spec::default()
    })
}

proptest! {
    /// Guards against a team that becomes isolated, and whose segments from before are still used by
    /// others, or that uses theirs (WALL check): over any changes of the configuration, and back, a
    /// request never finds a segment of another team if one of the two is isolated.
    #[test]
    fn an_isolated_team_shares_nothing_that_was_made_before(
        history in prop::collection::vec(
            (prop::collection::btree_set(0..TEAMS.len(), 0..4), prop::collection::vec(0..TEAMS.len(), 1..6)),
            1..12,
        )
    ) {
        // The teams that have made segments in each scope; nothing is ever evicted.
        let mut makers: HashMap<Scope, BTreeSet<usize>> = HashMap::new();
        for (isolated, requests) in history {
            let catalog = catalog(&isolated);
            for team in requests {
                let scope = catalog.scope(Some(&owner(TEAMS[team], isolated.contains(&team))));
                prop_assert!(catalog.uses_scope(&scope));
                let found = makers.entry(scope).or_default();
                for other in found.iter().filter(|other| **other != team) {
                    prop_assert!(!isolated.contains(&team) && !isolated.contains(other));
                }
                found.insert(team);
            }
        }
    }

    /// Guards against two namespaces with one name, for names of models and teams that contain
    /// separators: model `a.1` of version 2, and team `2` with version 1 of model `a`.
    #[test]
    fn different_namespaces_have_different_names(
        model in "[a.1%/-]{0,4}", version in 0..3u64, team in "[a.2%/ é-]{0,4}", kind in 0..3u8
    ) {
        let scope = match kind {
            0 => Scope::All,
            1 => Scope::Except(version * 77),
            _ => Scope::Team(team.as_str().into()),
        };
        let namespace = Namespace { model: model.as_str().into(), version, scope };
        let name = namespace.to_string();
        prop_assert!(name.is_ascii() && !name.contains([' ', ',']), "{}", name);
        prop_assert_eq!(Namespace::parse(&name), Some(namespace));
    }
}

/// Guards against entries that share nothing because they read the same teams in another order, and
/// against sets of teams that are confused.
#[test]
fn the_shared_scope_depends_on_the_set_of_isolated_teams_alone() {
    let scope = |teams: &[&str]| {
        let teams: Vec<Team> = teams.iter().map(|team| (*team).into()).collect();
        Scope::of_others(teams.iter())
    };
    assert_eq!(scope(&[]), Scope::All);
    assert_eq!(scope(&["a", "b"]), scope(&["b", "a", "b"]));
    let different = [
        scope(&["ab"]),
        scope(&["a", "b"]),
        scope(&["a"]),
        scope(&[]),
    ];
    for (index, one) in different.iter().enumerate() {
        assert!(!different[index + 1..].contains(one), "{one:?}");
    }
}

/// Guards against a request that was admitted before its team was isolated, or shared again, and is
/// placed after it.
#[test]
fn a_waiting_request_goes_by_the_configuration_in_force() {
    let isolated = catalog(&BTreeSet::from([0]));
    let team = Scope::Team("parks".into());
    assert_eq!(isolated.scope(Some(&owner("parks", false))), team);
    let shared = catalog(&BTreeSet::new());
    assert_eq!(shared.scope(Some(&owner("parks", true))), team);
    assert_eq!(shared.scope(Some(&owner("parks", false))), Scope::All);
    assert_eq!(shared.scope(None), Scope::All);
}
