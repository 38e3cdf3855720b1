//! Decoding frames, verifying resume tokens and authenticating connections.
//!
//! Guards against a decoder that panics on invalid bytes, accepts a truncated frame or depends on
//! how the bytes are split into chunks, and against a handshake that accepts a wrong key.

use proptest::prelude::*;
use types::Team;
use wire::{Client, Decoder, Event, Frame, Key, Keys, Listener, Token, encode};

proptest! {
    #[test]
    fn invalid_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.decode() {}
    }

    #[test]
    fn frames_are_decoded_from_any_chunks(texts in proptest::collection::vec(".{0,40}", 1..8), chunk_bytes in 1usize..17) {
        let frames: Vec<Frame> = texts.into_iter().enumerate()
            .map(|(seq, text)| Frame::Event(Event { request: types::Request(7), seq: seq as u32, text: text.into() }))
            .collect();
        let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
        let mut decoder = Decoder::default();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            while let Some(frame) = decoder.decode().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert!(decoder.is_empty());
    }

    #[test]
    fn a_modified_token_is_rejected(at in 0usize..200, team in "[a-z]{1,8}") {
        let keys = keys("one");
        let token = Token { request: types::Request(7), team: Team::from(team), agent: "a".into(), model: "m".into(), root: [1; 32] };
        let mut text = token.sign(&keys).into_bytes();
        let at = at % text.len();
        text[at] = if text[at] == b'0' { b'1' } else { b'0' };
        prop_assert_eq!(Token::verify(std::str::from_utf8(&text).unwrap(), &keys), None);
    }
}

fn keys(secret: &str) -> Keys {
    Keys::new(vec![Key::new(secret)]).unwrap()
}

#[tokio::test]
async fn only_known_keys_are_accepted() {
    let accepted_keys = Keys::new(vec![Key::new("new"), Key::new("old")]).unwrap();
    let mut listener = Listener::bind("127.0.0.1:0".parse().unwrap(), accepted_keys)
        .await
        .unwrap();
    let address = listener.address();

    let refused = Client::new(keys("other")).open(address).await;
    assert!(
        matches!(refused, Err(wire::Error::Handshake(..))),
        "{refused:?}"
    );

    for secret in ["old", "new"] {
        let mut stream = Client::new(keys(secret)).open(address).await.unwrap();
        stream.sender.send(&Frame::Cancel).await.unwrap();
        let mut accepted = listener.accept().await.unwrap();
        assert_eq!(accepted.receiver.recv().await.unwrap(), Some(Frame::Cancel));
    }
}

#[tokio::test]
async fn a_frame_larger_than_the_flow_control_window_is_transmitted() {
    let mut listener = Listener::bind("127.0.0.1:0".parse().unwrap(), keys("k"))
        .await
        .unwrap();
    let mut stream = Client::new(keys("k"))
        .open(listener.address())
        .await
        .unwrap();
    let frame = Frame::Event(Event {
        request: types::Request(7),
        seq: 0,
        text: "x".repeat(5 << 20).into(),
    });
    let sent = frame.clone();
    let send = tokio::spawn(async move {
        stream.sender.send(&sent).await.unwrap();
        stream
    });
    let mut accepted = listener.accept().await.unwrap();
    assert_eq!(accepted.receiver.recv().await.unwrap(), Some(frame));
    send.await.unwrap();
}
