use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, Bytes, BytesMut};

use crate::{Error, Frame};

/// The largest frame that is accepted; a prompt of a million tokens fits.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

const LENGTH_BYTES: usize = 4;
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// Encodes a frame with a length prefix.
///
/// # Errors
/// Fails when the frame is larger than [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut bytes = Vec::new();
    encode_into(frame, &mut bytes)?;
    Ok(bytes.into())
}

/// Appends a frame with a length prefix.
pub(crate) fn encode_into(frame: &Frame, bytes: &mut Vec<u8>) -> Result<(), Error> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    bincode::serde::encode_into_std_write(frame, bytes, CONFIG)
        .map_err(|_error| Error::Frame("it cannot be encoded"))?;
    let length = bytes.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(Error::Frame("it is larger than 16 MiB"));
    }
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Decodes a byte stream into frames, independent of how the bytes are split into chunks.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame if it is complete.
    ///
    /// # Errors
    /// Fails on a length above [`MAX_FRAME_BYTES`], on an invalid frame and on trailing bytes in a
    /// frame; the stream is unusable then.
    pub fn decode(&mut self) -> Result<Option<Frame>, Error> {
        let Some(header) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*header) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Frame("its length prefix exceeds 16 MiB"));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let bytes = self.buffer.split_to(length);
        let (frame, consumed) = bincode::serde::decode_from_slice(&bytes, CONFIG)
            .map_err(|_error| Error::Frame("its bytes are no valid frame of this format"))?;
        if consumed != length {
            return Err(Error::Frame("it has trailing bytes"));
        }
        Ok(Some(frame))
    }

    /// Returns whether no partial frame is buffered, so that the stream may end here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
