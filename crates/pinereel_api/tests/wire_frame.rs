//! Frames between entries: encoding round-trips, and other bytes are rejected without a panic.

use pinereel_api::wire::{Call, Error, Frame, MAX_FRAME_BYTES, Reply, StoredResponse};
use pinereel_core::hash::Digest;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

fn frame() -> impl Strategy<Value = Frame> {
    let text = "[a-z0-9/ -]{0,40}";
    let claim = (any::<u64>(), text, text, any::<[u8; 16]>(), any::<u64>());
    let claim = claim.prop_map(|(id, key, request, digest, left_ms)| Frame::Call {
        id,
        body: Call::Claim {
            key: key.into(),
            digest: Digest(digest),
            request: request.into(),
            left_ms,
        },
    });
    let record = (any::<u16>(), text, proptest::option::of(text));
    let repeat = (any::<u64>(), record).prop_map(|(id, (status, kind, body))| Frame::Reply {
        id,
        body: Reply::Repeat(StoredResponse {
            status,
            content_type: kind.into(),
            body,
        }),
    });
    prop_oneof![claim, repeat]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_encoded_frame_is_decoded_unchanged(frame in frame()) {
        let bytes = frame.encode().expect("a small frame fits");
        prop_assert_eq!(Frame::decode(&bytes).expect("its own bytes"), frame);
    }

    #[test]
    fn a_truncated_frame_is_malformed(frame in frame(), cut in any::<prop::sample::Index>()) {
        let bytes = frame.encode().expect("a small frame fits");
        let cut = cut.index(bytes.len());
        prop_assert!(matches!(Frame::decode(&bytes[..cut]), Err(Error::Malformed(_))));
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Decoding must neither panic nor take long; the result does not matter.
        let _ = Frame::decode(&bytes);
    }
}

#[test]
fn a_frame_over_the_size_limit_is_neither_encoded_nor_decoded() {
    let large = Frame::Reply {
        id: 1,
        body: Reply::Refused("x".repeat(MAX_FRAME_BYTES).into()),
    };
    assert!(matches!(large.encode(), Err(Error::TooLarge(_))));
    let bytes = vec![0; MAX_FRAME_BYTES + 1];
    assert!(matches!(Frame::decode(&bytes), Err(Error::TooLarge(_))));
}
