use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::FORMAT_VERSION;

/// A cluster key, which every process of a deployment holds.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// The cluster keys that a process accepts; it uses the first one for its own connections.
///
/// To rotate a key without a stop, add the new one behind the old one everywhere, then swap them
/// everywhere, then remove the old one; see `docs/OPERATIONS.md`.
#[derive(Debug, Clone)]
pub struct Keys(Arc<[Key]>);

/// How long a peer may take for its part of the handshake.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

const MAGIC: &[u8; 4] = b"BRGL";
const HELLO_BYTES: usize = 4 + 2 + 8 + 32;

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl Key {
    /// Derives a key from the secret in the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(
            "boragereel 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    /// Returns a digest that identifies the key without revealing it.
    fn id(&self) -> [u8; 8] {
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::keyed_hash(&self.0, b"key id").as_bytes()[..8]);
        id
    }

    pub(crate) fn mac(&self, purpose: &[u8], parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(purpose);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl Keys {
    /// Takes the keys in the order of the settings; returns `None` without a key.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        Some(Self(keys.into()))
    }

    pub(crate) fn first(&self) -> &Key {
        &self.0[0]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Key> {
        self.0.iter()
    }

    /// Proves this side's key to a server and checks the server's proof.
    pub(crate) async fn greet<Io>(&self, io: &mut Io) -> Result<(), &'static str>
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        let key = self.first();
        let ours: [u8; 32] = rand::rng().random();
        let mut hello = Vec::with_capacity(HELLO_BYTES);
        hello.extend_from_slice(MAGIC);
        hello.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        hello.extend_from_slice(&key.id());
        hello.extend_from_slice(&ours);
        io.write_all(&hello)
            .await
            .map_err(|_error| "it closed the connection")?;
        let mut answer = [0; 64];
        io.read_exact(&mut answer)
            .await
            .map_err(|_error| "it has another key or another frame format")?;
        let (theirs, proof) = answer.split_at(32);
        let expected = key.mac(b"server", &[&ours, theirs]);
        if !bool::from(expected.ct_eq(proof)) {
            return Err("its proof of the key is wrong");
        }
        let proof = key.mac(b"client", &[&ours, theirs]);
        io.write_all(&proof)
            .await
            .map_err(|_error| "it closed the connection")
    }

    /// Checks a client's proof and proves this side's key.
    pub(crate) async fn welcome<Io>(&self, io: &mut Io) -> Result<(), &'static str>
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        let mut hello = [0; HELLO_BYTES];
        io.read_exact(&mut hello)
            .await
            .map_err(|_error| "it sent no whole greeting")?;
        if &hello[..4] != MAGIC {
            return Err("it speaks another protocol");
        }
        if hello[4..6] != FORMAT_VERSION.to_le_bytes() {
            return Err("it has another frame format");
        }
        let key = self
            .iter()
            .find(|key| key.id() == hello[6..14])
            .ok_or("it has another key")?;
        let theirs = &hello[14..];
        let ours: [u8; 32] = rand::rng().random();
        let mut answer = Vec::with_capacity(64);
        answer.extend_from_slice(&ours);
        answer.extend_from_slice(&key.mac(b"server", &[theirs, &ours]));
        io.write_all(&answer)
            .await
            .map_err(|_error| "it closed the connection")?;
        let mut proof = [0; 32];
        io.read_exact(&mut proof)
            .await
            .map_err(|_error| "it sent no proof of the key")?;
        let expected = key.mac(b"client", &[theirs, &ours]);
        if !bool::from(expected.ct_eq(&proof)) {
            return Err("its proof of the key is wrong");
        }
        Ok(())
    }
}
