use bincode::config::standard;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use types::{Model, Request, Team};

use crate::Keys;

/// A resume token: it names an answer and the agent that keeps it, and only its team can use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The request whose answer is kept.
    pub request: Request,
    /// Whose request it was.
    pub team: Team,
    /// The model that answers.
    pub model: Model,
    /// The conversation's root, from which the other candidates follow: one of them has the answer
    /// when the entry completed it there.
    pub root: [u8; 32],
    /// The name of the process of the agent that began the answer.
    pub agent: String,
}

/// The longest token that is looked at.
const MAX_TOKEN_BYTES: usize = 1024;

impl Token {
    /// Writes the token with its authentication code, as hex digits.
    #[must_use]
    pub fn sign(&self, keys: &Keys) -> String {
        let body = bincode::serde::encode_to_vec(self, standard()).unwrap_or_default();
        let mac = keys.first().mac(b"token", &[&body]);
        let mut text = String::with_capacity((body.len() + mac.len()) * 2);
        for byte in mac.iter().chain(&body) {
            text.push_str(&format!("{byte:02x}"));
        }
        text
    }

    /// Reads a token back; returns `None` unless one of the keys made it.
    #[must_use]
    pub fn verify(text: &str, keys: &Keys) -> Option<Self> {
        if text.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let bytes = parse_hex(text)?;
        let (mac, body) = bytes.split_at_checked(32)?;
        let genuine = keys
            .iter()
            .any(|key| bool::from(key.mac(b"token", &[body]).ct_eq(mac)));
        if !genuine {
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
