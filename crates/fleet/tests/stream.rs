//! Responses that should resume a stream.

use fleet::stream::Resumption;

fn continues(is_event_stream: Option<bool>, first_id: Option<u64>) -> bool {
    let resumption = Resumption {
        is_event_stream,
        first_id,
    };
    resumption.continues(Some(7))
}

/// Guards against events that a caller gets twice.
#[test]
fn a_repeated_event_does_not_continue_a_stream() {
    for is_event_stream in [Some(true), None] {
        assert!(!continues(is_event_stream, Some(1)));
        assert!(!continues(is_event_stream, Some(7)));
        assert!(continues(is_event_stream, Some(8)));
    }
}

/// Guards against the text of an error within a stream.
#[test]
fn a_response_of_another_type_does_not_continue_a_stream() {
    assert!(!continues(Some(false), Some(8)));
    assert!(!continues(Some(false), None));
    assert!(!continues(None, None));
    assert!(continues(Some(true), None));
}
