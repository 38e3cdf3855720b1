use bincode::config::standard;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use types::{Model, Request, Team};

use crate::Keys;

/// A resume token: names a stream and the agent that stores it; only its team can use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The request whose stream is stored.
    pub request: Request,
    /// The team that made the request.
    pub team: Team,
    /// The model of the request.
    pub model: Model,
    /// The root digest of the conversation, which determines the other candidate agents: one of
    /// them has the stream if the entry completed it there.
    pub root: [u8; 32],
    /// The process name of the agent that started the stream.
    pub agent: String,
}

/// The longest token that is parsed.
const MAX_TOKEN_BYTES: usize = 1024;

impl Token {
    /// Encodes the token with its MAC as hex digits.
    #[must_use]
    pub fn sign(&self, keys: &Keys) -> String {
        let body = bincode::serde::encode_to_vec(self, standard()).unwrap_or_default();
        let mac = keys.primary().mac(b"token", &[&body]);
        let mut text = String::with_capacity((body.len() + mac.len()) * 2);
        for byte in mac.iter().chain(&body) {
            text.push_str(&format!("{byte:02x}"));
        }
        text
    }

    /// Decodes a token; returns `None` unless its MAC was made with one of the keys.
    #[must_use]
    pub fn verify(text: &str, keys: &Keys) -> Option<Self> {
        if text.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let bytes = parse_hex(text)?;
        let (mac, body) = bytes.split_at_checked(32)?;
        let is_authentic = keys
            .iter()
            .any(|key| bool::from(key.mac(b"token", &[body]).ct_eq(mac)));
        if !is_authentic {
            return None;
        }
        bincode::serde::decode_from_slice(body, standard())
            .ok()
            .map(|(token, _)| token)
    }
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|digit| digit.to_digit(16).map(|digit| digit as u8))
        .collect();
    let digits = digits?;
    if digits.len() % 2 != 0 {
        return None;
    }
    Some(
        digits
            .chunks_exact(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}
