//! Recognizes a request that callers repeat under new ids.

use fleet::quarantine::Fingerprint;
use http::uri::PathAndQuery;

use crate::attempt::Admitted;
use crate::serve;

/// Returns the fingerprint of a request: what stays the same when a caller repeats it with a new id
/// and another deadline, at whichever entry.
///
/// `secret` is the secret that the entries share, so that a fingerprint in logs or messages tells
/// nothing about the body.
pub(crate) fn of(admitted: &Admitted, secret: &[u8; 32]) -> Fingerprint {
    let parts = &admitted.parts;
    let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let team = admitted.owner.as_ref().map_or("", |owner| &*owner.team);
    let mut hasher = blake3::Hasher::new_keyed(secret);
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(parts.method.as_str().as_bytes());
    add(serve::host(parts).as_bytes());
    add(path.as_bytes());
    add(team.as_bytes());
    if let Some(prompt) = &admitted.head.prompt {
        add(prompt.model.as_bytes());
        add(&prompt.max_output.to_le_bytes());
        for segment in &prompt.segments {
            add(segment.id.as_bytes());
            add(&segment.tokens.to_le_bytes());
        }
    }
    add(&admitted.body);
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(bytes)
}
