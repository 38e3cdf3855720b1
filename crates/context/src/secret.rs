use std::fmt;

use types::Team;

/// The key of one team for block ids and checksums.
///
/// It is derived from the cluster secret, so another team cannot compute the id of a block even if
/// it knows the tokens.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl Secret {
    /// Derives the team's key from the cluster secret.
    #[must_use]
    pub fn derive(cluster: &[u8], team: &Team) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("boragereel 2026 team context key");
        hasher.update(&(cluster.len() as u64).to_le_bytes());
        hasher.update(cluster);
        hasher.update(team.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the salt that isolates this team's prefixes in an engine's own cache.
    #[must_use]
    pub fn salt(&self) -> String {
        blake3::keyed_hash(&self.0, b"engine cache salt")
            .to_hex()
            .to_string()
    }

    pub(crate) fn hasher(&self) -> blake3::Hasher {
        blake3::Hasher::new_keyed(&self.0)
    }
}
