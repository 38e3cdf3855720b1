use std::collections::BTreeSet;

/// One line that differs between two rules files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The line occurs only in the newer file.
    Added(String),
    /// The line occurs only in the older file.
    Removed(String),
}

/// Lists the rules that differ; ignores the order of lines and whitespace between words.
#[must_use]
pub fn diff(older: &str, newer: &str) -> Vec<Change> {
    let older = normalize(older);
    let newer = normalize(newer);
    let removed = older.difference(&newer).cloned().map(Change::Removed);
    let added = newer.difference(&older).cloned().map(Change::Added);
    removed.chain(added).collect()
}

fn normalize(text: &str) -> BTreeSet<String> {
    text.lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .collect()
}
