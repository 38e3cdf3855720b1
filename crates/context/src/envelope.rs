use displaydoc::Display;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{Id, Secret};

/// The storage format of a block: its payload with the data needed to verify it.
///
/// Layout: magic (4 bytes), block id (32), payload length (8, little endian), keyed checksum over
/// id and payload (32), payload.
#[derive(Debug)]
pub struct Envelope;

/// The reason for which bytes read from a store are not the requested block.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the block is shorter than its header or its stated length
    Truncated,
    /// the block format is unknown
    Format,
    /// the block id is not the requested one
    WrongId,
    /// the checksum of the block does not match
    Checksum,
}

const MAGIC: &[u8; 4] = b"brk1";
const HEADER_BYTES: usize = 4 + 32 + 8 + 32;

impl Envelope {
    /// Encodes a payload for storage.
    #[must_use]
    pub fn seal(secret: &Secret, id: &Id, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(id.as_bytes());
        bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&checksum(secret, id, payload));
        bytes.extend_from_slice(payload);
        bytes
    }

    /// Returns the payload if the bytes are the complete, unmodified block with this id.
    ///
    /// # Errors
    /// Fails if the bytes differ in any way; the caller then recomputes the context.
    pub fn open<'bytes>(
        secret: &Secret,
        id: &Id,
        bytes: &'bytes [u8],
    ) -> Result<&'bytes [u8], Error> {
        let (magic, rest) = split(bytes, 4)?;
        if magic != MAGIC {
            return Err(Error::Format);
        }
        let (stored_id, rest) = split(rest, 32)?;
        if stored_id != id.as_bytes() {
            return Err(Error::WrongId);
        }
        let (length, rest) = split(rest, 8)?;
        let (stored_checksum, payload) = split(rest, 32)?;
        if length != (payload.len() as u64).to_le_bytes() {
            return Err(Error::Truncated);
        }
        if !bool::from(stored_checksum.ct_eq(&checksum(secret, id, payload))) {
            return Err(Error::Checksum);
        }
        Ok(payload)
    }
}

fn checksum(secret: &Secret, id: &Id, payload: &[u8]) -> [u8; 32] {
    let mut hasher = secret.hasher();
    hasher.update(b"envelope");
    hasher.update(id.as_bytes());
    hasher.update(payload);
    *hasher.finalize().as_bytes()
}

fn split(bytes: &[u8], at: usize) -> Result<(&[u8], &[u8]), Error> {
    bytes.split_at_checked(at).ok_or(Error::Truncated)
}
