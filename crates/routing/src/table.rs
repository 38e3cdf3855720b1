use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

use crate::{Key, top};

/// The targets eligible for work, grouped by what they serve.
///
/// It is rebuilt when the directory or the rules change, so that a decision neither filters targets
/// nor hashes names; at 2,400 targets that would cost more than the decision itself.
#[derive(Debug)]
pub struct Table<Group, Member> {
    groups: HashMap<Group, Members<Member>>,
}

#[derive(Debug)]
struct Members<Member> {
    hashes: Vec<u64>,
    members: Vec<Member>,
}

impl<Group, Member> Default for Table<Group, Member> {
    fn default() -> Self {
        Self {
            groups: HashMap::new(),
        }
    }
}

impl<Group, Member> Table<Group, Member>
where
    Group: Eq + Hash,
{
    /// Adds a member to a group, keyed by the hash of its name.
    pub fn insert(&mut self, group: Group, name: &str, member: Member) {
        let group = self.groups.entry(group).or_insert_with(|| Members {
            hashes: Vec::new(),
            members: Vec::new(),
        });
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        group.hashes.push(u64::from_le_bytes(bytes));
        group.members.push(member);
    }

    /// Returns up to `count` members of the group, highest rendezvous weight first.
    pub fn candidates<Query>(&self, group: &Query, key: Key, count: usize) -> Vec<&Member>
    where
        Group: Borrow<Query>,
        Query: Eq + Hash + ?Sized,
    {
        let Some(group) = self.groups.get(group) else {
            return Vec::new();
        };
        let hashes = group.hashes.iter().copied().zip(0..);
        top(key, hashes, count)
            .into_iter()
            .map(|index: usize| &group.members[index])
            .collect()
    }

    /// Returns whether the table has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
