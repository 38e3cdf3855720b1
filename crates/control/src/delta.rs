use serde::{Deserialize, Serialize};

/// One difference between two texts. Lines are counted from the end of the previous edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The number of lines to keep.
    pub keep: u32,
    /// The number of lines to remove.
    pub remove: u32,
    /// The lines to insert in their place.
    pub insert: Vec<String>,
}

/// Number of lines searched ahead for a common line. A longer change is encoded as a replacement of
/// all remaining lines, which costs bytes but stays correct.
const WINDOW: usize = 64;

/// Returns the edits that turn `older` into `newer`.
#[must_use]
pub fn diff(older: &str, newer: &str) -> Vec<Edit> {
    let older: Vec<&str> = older.split('\n').collect();
    let newer: Vec<&str> = newer.split('\n').collect();
    let (mut old, mut new, mut kept) = (0, 0, 0);
    let mut edits = Vec::new();
    while old < older.len() || new < newer.len() {
        if old < older.len() && new < newer.len() && older[old] == newer[new] {
            (old, new, kept) = (old + 1, new + 1, kept + 1);
            continue;
        }
        let (remove, insert) = resync(&older[old..], &newer[new..]);
        edits.push(Edit {
            keep: kept as u32,
            remove: remove as u32,
            insert: newer[new..new + insert]
                .iter()
                .map(|&line| line.to_owned())
                .collect(),
        });
        (old, new, kept) = (old + remove, new + insert, 0);
    }
    edits
}

/// Applies edits to a text; returns `None` if they do not fit.
#[must_use]
pub fn apply(older: &str, edits: &[Edit]) -> Option<String> {
    let older: Vec<&str> = older.split('\n').collect();
    let mut rest = older.as_slice();
    let mut newer: Vec<&str> = Vec::with_capacity(older.len());
    for edit in edits {
        let (keep, after) = rest.split_at_checked(edit.keep as usize)?;
        newer.extend_from_slice(keep);
        newer.extend(edit.insert.iter().map(String::as_str));
        rest = after.get(edit.remove as usize..)?;
    }
    newer.extend_from_slice(rest);
    Some(newer.join("\n"))
}

/// Returns how many lines to remove and to insert until both texts agree again.
fn resync(older: &[&str], newer: &[&str]) -> (usize, usize) {
    for distance in 1..=WINDOW {
        for remove in 0..=distance {
            let insert = distance - remove;
            let (Some(old), Some(new)) = (older.get(remove), newer.get(insert)) else {
                continue;
            };
            if old == new {
                return (remove, insert);
            }
        }
    }
    (older.len(), newer.len())
}
