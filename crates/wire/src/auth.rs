use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::FORMAT_VERSION;

/// A cluster key, which all processes of a deployment share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// The cluster keys that a process accepts; it uses the first one for the connections it opens.
///
/// To rotate a key without downtime, append the new one to the keys of all processes, then swap the
/// two everywhere, then remove the old one; see `docs/OPERATIONS.md`.
#[derive(Debug, Clone)]
pub struct Keys(Arc<[Key]>);

/// How long the handshake with a peer may take.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

const MAGIC: &[u8; 4] = b"BRGL";
const HELLO_BYTES: usize = 4 + 2 + 8 + 32;

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl Key {
    /// Derives a key from a secret of the settings.
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
    /// Takes the keys in the order of the settings; returns `None` if there are none.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        Some(Self(keys.into()))
    }

    pub(crate) fn primary(&self) -> &Key {
        &self.0[0]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Key> {
        self.0.iter()
    }

    /// Performs the client's side of the handshake: both sides prove that they hold the same key.
    pub(crate) async fn connect<Io>(&self, io: &mut Io) -> Result<(), &'static str>
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        let key = self.primary();
        let local_nonce: [u8; 32] = rand::rng().random();
        let mut hello = Vec::with_capacity(HELLO_BYTES);
        hello.extend_from_slice(MAGIC);
        hello.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        hello.extend_from_slice(&key.id());
        hello.extend_from_slice(&local_nonce);
        io.write_all(&hello)
            .await
            .map_err(|_error| "the peer closed the connection")?;
        let mut response = [0; 64];
        io.read_exact(&mut response)
            .await
            .map_err(|_error| "the peer has another key or frame format")?;
        let (peer_nonce, proof) = response.split_at(32);
        let expected = key.mac(b"server", &[&local_nonce, peer_nonce]);
        if !bool::from(expected.ct_eq(proof)) {
            return Err("the peer's key proof is invalid");
        }
        let proof = key.mac(b"client", &[&local_nonce, peer_nonce]);
        io.write_all(&proof)
            .await
            .map_err(|_error| "the peer closed the connection")
    }

    /// Performs the server's side of the handshake; see [`Keys::connect`].
    pub(crate) async fn accept<Io>(&self, io: &mut Io) -> Result<(), &'static str>
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        let mut hello = [0; HELLO_BYTES];
        io.read_exact(&mut hello)
            .await
            .map_err(|_error| "the peer sent an incomplete hello")?;
        if &hello[..4] != MAGIC {
            return Err("the peer uses another protocol");
        }
        if hello[4..6] != FORMAT_VERSION.to_le_bytes() {
            return Err("the peer has another frame format");
        }
        let key = self
            .iter()
            .find(|key| key.id() == hello[6..14])
            .ok_or("the peer has another key")?;
        let peer_nonce = &hello[14..];
        let local_nonce: [u8; 32] = rand::rng().random();
        let mut response = Vec::with_capacity(64);
        response.extend_from_slice(&local_nonce);
        response.extend_from_slice(&key.mac(b"server", &[peer_nonce, &local_nonce]));
        io.write_all(&response)
            .await
            .map_err(|_error| "the peer closed the connection")?;
        let mut proof = [0; 32];
        io.read_exact(&mut proof)
            .await
            .map_err(|_error| "the peer sent no key proof")?;
        let expected = key.mac(b"client", &[peer_nonce, &local_nonce]);
        if !bool::from(expected.ct_eq(&proof)) {
            return Err("the peer's key proof is invalid");
        }
        Ok(())
    }
}
