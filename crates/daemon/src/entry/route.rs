use control::{Member, Role};
use routing::{Estimate, Key};
use types::{Model, Service};

use super::Shared;

/// What a request needs of a target.
#[derive(Debug, Clone, Copy)]
pub(super) enum Need<'name> {
    /// An engine that serves the model.
    Model(&'name Model),
    /// An instance of the service.
    Service(&'name Service),
}

/// The number of candidates for a prompt.
const CANDIDATES: usize = 4;

/// Returns the agents to try, the best first.
pub(super) fn candidates(shared: &Shared, need: Need<'_>, key: Key) -> Vec<Member> {
    let directory = shared.view.directory();
    let rules = shared.view.rules();
    let leaving = shared.view.leaving();
    let fits = |member: &&Member| {
        let target = match (&member.role, need) {
            (Role::Engine { target, model }, Need::Model(wanted)) if model == wanted => target,
            (Role::Service { target, service }, Need::Service(wanted)) if service == wanted => {
                target
            }
            _ => return false,
        };
        member.region == shared.region
            && !leaving.contains(&member.host)
            && !rules.is_drained(target, &member.host, &member.domain)
    };
    let members: Vec<&Member> = directory.iter().filter(fits).collect();
    let hashed = members
        .iter()
        .enumerate()
        .map(|(index, member)| (hash(&member.name), index));
    let mut best: Vec<&Member> = routing::top(key, hashed, CANDIDATES)
        .into_iter()
        .map(|index| members[index])
        .collect();
    let now = crate::now();
    let waits: Vec<_> = best
        .iter()
        .map(|member| shared.loads.wait(&member.name, now))
        .collect();
    let estimates: Vec<Estimate> = waits
        .iter()
        .map(|wait| Estimate {
            queue: wait.unwrap_or(std::time::Duration::MAX / 4),
            ..Estimate::default()
        })
        .collect();
    if let Some(chosen) = routing::choose(&estimates) {
        best[..=chosen].rotate_right(1);
    }
    best.into_iter().cloned().collect()
}

fn hash(name: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
