/// The rendezvous hash key of a conversation; equal keys have the same candidates on every entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key(u64);

impl Key {
    /// Derives the key from the parts that identify a conversation, such as team and root block.
    #[must_use]
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }

    fn weight(self, member: u64) -> u64 {
        // The finalizer of SplitMix64 spreads every input bit over the whole output.
        let mut x = self.0 ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

/// Returns the `count` members with the highest weight for `key`, the highest first.
///
/// `members` yields each member with a hash of its name. The cost is one hash finalizer per member
/// and no allocation beyond the result. A change of one member moves only the conversations of that
/// member.
pub fn top<Member, Members>(key: Key, members: Members, count: usize) -> Vec<Member>
where
    Members: IntoIterator<Item = (u64, Member)>,
{
    // The best members so far, in descending order; almost all members fail the first comparison.
    let mut best: Vec<(u64, Member)> = Vec::with_capacity(count.min(8));
    let mut lowest = 0;
    for (hash, member) in members {
        let weight = key.weight(hash);
        if best.len() >= count {
            if weight <= lowest {
                continue;
            }
            best.pop();
        }
        let at = best.partition_point(|(better, _)| *better >= weight);
        best.insert(at, (weight, member));
        lowest = best.last().map_or(0, |(weight, _)| *weight);
    }
    best.into_iter().map(|(_, member)| member).collect()
}
