use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use control::{Member, Role};
use platform::config;
use rules::{Drain, Snapshot};
use serde_json::{Value, json};
use types::{Model, Team};

use crate::{Failure, Output, connection, finish, status};

/// Explains which targets are candidates for a team's prompt, and why others are not.
pub(crate) async fn explain(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let team: String = arguments.value_from_str("--team")?;
    let model: String = arguments.value_from_str("--model")?;
    let prompt: Option<String> = arguments.opt_value_from_str("--prompt")?;
    let entry: Option<SocketAddr> = arguments.opt_value_from_str("--entry")?;
    finish(arguments)?;
    let (team, model) = (Team::from(team), Model::from(model));
    let (head, _) = config::head(&platform).await?;
    let rules = match head.version.0 {
        0 => Snapshot::default(),
        _ => config::load(&platform, &head).await?,
    };
    let Some(account) = rules.teams.get(&team) else {
        return Err(unknown_name("team", &team, rules.teams.keys()));
    };
    let Some(served) = rules.models.get(&model) else {
        return Err(unknown_name("model", &model, rules.models.keys()));
    };
    let chosen = match entry {
        Some(entry) => {
            query_entry(entry, &team, &model, prompt.as_deref().unwrap_or_default()).await?
        }
        None => None,
    };
    let members = connection::members(&platform).await?;
    let mut lines = vec![format!(
        "team {team}: rate {}, burst {}, share {}, priority {:?}; model {model} with weights {}; \
         version {}",
        account.rate, account.burst, account.share, account.priority, served.weights, head.version
    )];
    let mut targets = Vec::new();
    for member in &members {
        let Role::Engine {
            target,
            model: other,
        } = &member.role
        else {
            continue;
        };
        if *other != model {
            continue;
        }
        let rule = drained_by(&rules, member);
        let state = match &rule {
            Some(rule) => format!("not a candidate: rule 'drain {rule}'"),
            None => format!("candidate for entries of region {}", member.region),
        };
        lines.push(format!(
            "{target} ({}, {}): {state}",
            member.host, member.domain
        ));
        let rule = rule.map(|rule| rule.to_string());
        targets.push(json!({ "target": target, "region": member.region, "drained_by": rule }));
    }
    match &chosen {
        Some(chosen) => lines.push(format!(
            "the entry would try, in this order: {}",
            candidate_names(chosen).join(", ")
        )),
        None if entry.is_some() => lines.push("the entry does not explain choices".to_owned()),
        None => lines.push(
            "the candidates of a conversation depend on the team's secret; query an entry with \
             --entry"
                .to_owned(),
        ),
    }
    let json = json!({ "version": head.version, "targets": targets, "chosen": chosen });
    Ok(Output::new(lines.join("\n"), json))
}

/// Lists the models and services for which the drains leave no target in a region.
pub(crate) fn unserved(rules: &Snapshot, members: &[Member]) -> Vec<String> {
    let mut is_served: BTreeMap<String, bool> = BTreeMap::new();
    for member in members {
        let name = match &member.role {
            Role::Entry => continue,
            Role::Engine { model, .. } => format!("model {model}"),
            Role::Service { service, .. } => format!("service {service}"),
        };
        let serves = drained_by(rules, member).is_none();
        *is_served
            .entry(format!("{name} in region {}", member.region))
            .or_default() |= serves;
    }
    let unserved = is_served.into_iter().filter(|&(_, serves)| !serves);
    unserved
        .map(|(name, _)| format!("the drains leave no target for {name}"))
        .collect()
}

fn drained_by(rules: &Snapshot, member: &Member) -> Option<Drain> {
    let target = member.role.target()?;
    let drains = [
        Drain::Target(target.clone()),
        Drain::Host(member.host.clone()),
        Drain::Domain(member.domain.clone()),
    ];
    drains
        .into_iter()
        .find(|drain| rules.drains.contains(drain))
}

/// Returns the names of the candidates in an entry's response.
fn candidate_names(chosen: &Value) -> Vec<&str> {
    let candidates = chosen["candidates"].as_array();
    let names = candidates.into_iter().flatten().filter_map(Value::as_str);
    names.collect()
}

/// Asks an entry for its choice of targets; returns `None` if the entry does not have this route.
async fn query_entry(
    entry: SocketAddr,
    team: &Team,
    model: &Model,
    prompt: &str,
) -> Result<Option<Value>, Failure> {
    let failed = |error: reqwest::Error| Failure::Failed(format!("{entry}: {error}"));
    let response = status::client()?
        .post(format!("http://{entry}/explain"))
        .json(&json!({ "team": team, "model": model, "prompt": prompt }))
        .send()
        .await
        .map_err(failed)?;
    match response.status().as_u16() {
        200 => {
            let failed = |error| Failure::Failed(format!("{entry}: {error}"));
            Ok(Some(
                fetch::json(response, status::MAX_STATUS_BYTES)
                    .await
                    .map_err(failed)?,
            ))
        }
        404 | 405 => Ok(None),
        status => Err(Failure::Failed(format!(
            "{entry} answered with status {status}"
        ))),
    }
}

fn unknown_name<'name, Name>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'name Name>,
) -> Failure
where
    Name: types::Name + 'name,
{
    let known: BTreeSet<&str> = known.map(|name| &**name).collect();
    let known: Vec<&str> = known.into_iter().take(20).collect();
    Failure::Invalid(format!(
        "there is no {kind} {name:?} in the accepted rules; accepted are: {}",
        known.join(", ")
    ))
}
