//! Cursor tokens: text form, errors, merging of answers, and the trainer's cursor.

use pinereel_core::{
    Span, Version,
    cursor::{AnswerError, Cursor, Error, MAX_SAMPLES, MAX_TEXT_BYTES, Merge, Token},
    hash::Digest,
    lot::Sample,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeSet;

fn lot() -> Digest {
    Digest::of(b"lot")
}

fn sample(index: u32, version: u64) -> Sample {
    Sample {
        group: 0,
        index,
        text: String::new(),
        tokens: 1,
        spans: vec![Span {
            version: Version(version),
            tokens: 1,
        }],
        score: None,
    }
}

fn config(rng_seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(rng_seed),
        failure_persistence: None,
        cases: 256,
        ..Default::default()
    }
}

#[test]
fn text_form_is_stable() {
    let mut token = Token::empty(lot(), 7, 12);
    token.insert(0);
    token.insert(9);
    insta::assert_snapshot!(token, @"01b7b30d6e4f8c864714bf46cb6df3e5cc000000000000000700000000000000000000000c01021d458c2e");
}

#[test]
fn a_full_token_is_bounded() {
    let token = Token::empty(lot(), 1, u32::MAX);
    assert_eq!(token.samples(), MAX_SAMPLES);
    assert_eq!(token.to_string().len(), MAX_TEXT_BYTES);
    let long = "0".repeat(MAX_TEXT_BYTES + 2);
    assert_eq!(Token::parse(&long), Err(Error::Malformed));
}

#[test]
fn tokens_of_other_lots_are_refused() {
    let token = Token::empty(lot(), 7, 12);
    assert_eq!(token.check_lot(lot(), 7), Ok(()));
    assert_eq!(
        token.check_lot(Digest::of(b"next"), 8),
        Err(Error::EarlierStep)
    );
    assert_eq!(
        token.check_lot(Digest::of(b"other"), 7),
        Err(Error::OtherLot)
    );
    assert_eq!(
        token.check_lot(Digest::of(b"last"), 6),
        Err(Error::OtherLot)
    );
}

#[test]
fn text_form_round_trips_and_any_corruption_is_detected() {
    let sets = prop::collection::btree_set(0..300_u32, 0..300);
    proptest!(config(5), |(set in sets, samples in 1..300_u32, at: prop::sample::Index)| {
        let mut token = Token::empty(lot(), 3, samples);
        for index in &set {
            prop_assert_eq!(token.insert(*index), *index < samples);
        }
        let held = set.range(..samples).count();
        prop_assert_eq!(token.remaining() as usize, samples as usize - held);
        let text = token.to_string();
        prop_assert_eq!(Token::parse(&text), Ok(token));
        let at = at.index(text.len());
        let other = if &text[at..=at] == "0" { "1" } else { "0" };
        let damaged = format!("{}{other}{}", &text[..at], &text[at + 1..]);
        prop_assert_eq!(Token::parse(&damaged), Err(Error::Malformed));
        prop_assert_eq!(Token::parse(&text[..at]), Err(Error::Malformed));
    });
}

#[test]
fn parse_never_panics() {
    proptest!(config(6), |(text: String, hex in "[0-9a-f]{0,200}")| {
        let _ = Token::parse(&text);
        let _ = Token::parse(&hex);
    });
}

#[test]
fn merge_gives_each_index_once_and_only_fresh() {
    let found = prop::collection::vec((0..20_u32, 0..9_u64), 0..60);
    let held = prop::collection::btree_set(0..16_u32, 0..8);
    proptest!(config(7), |(found in found, held in held, bound in 0..4_u64, max_samples in 0..20_usize)| {
        let mut token = Token::empty(lot(), 3, 16);
        held.iter().for_each(|index| assert!(token.insert(*index)));
        let version = Version(8);
        let merge = Merge { token: token.clone(), version, bound, max_samples };
        let samples = found.iter().map(|(index, version)| sample(*index, *version));
        let answer = merge.deliver(samples);
        let fresh = found.iter().filter(|(_, version)| version + bound >= 8);
        let expected: BTreeSet<u32> = fresh
            .map(|(index, _)| *index)
            .filter(|index| *index < 16 && !held.contains(index))
            .collect();
        let delivered: BTreeSet<u32> = answer.samples.iter().map(|s| s.index).collect();
        prop_assert_eq!(delivered.len(), answer.samples.len());
        prop_assert!(delivered.is_subset(&expected));
        prop_assert_eq!(delivered.len(), expected.len().min(max_samples));
        prop_assert!(answer.samples.iter().all(|s| s.spans[0].version.0 + bound >= 8));
        prop_assert_eq!(answer.remaining as usize, 16 - held.len() - delivered.len());
        let mut cursor = Cursor::new(token.clone());
        prop_assert_eq!(cursor.accept(&token, &answer.token, delivered.clone()), Ok(()));
        let again = cursor.accept(&token, &answer.token, delivered.clone());
        prop_assert_eq!(again.is_err(), !delivered.is_empty());
    });
}

#[test]
fn a_sample_without_spans_is_not_delivered() {
    let mut bare = sample(1, 8);
    bare.spans.clear();
    let token = Token::empty(lot(), 3, 16);
    let merge = Merge {
        token: token.clone(),
        version: Version(8),
        bound: 100,
        max_samples: 9,
    };
    let answer = merge.deliver([bare]);
    assert_eq!((answer.samples.len(), answer.stale), (0, 1));
    assert_eq!(answer.token, token);
}

#[test]
fn the_ledger_drops_concurrent_and_inconsistent_answers() {
    let first = Token::empty(lot(), 3, 16);
    let one = first.with_samples([1]).unwrap();
    let two = first.with_samples([2]).unwrap();
    let mut cursor = Cursor::new(first.clone());
    let wrong = cursor.accept(&first, &one, [1, 2]);
    assert_eq!(wrong, Err(AnswerError::Inconsistent));
    assert_eq!(cursor.accept(&first, &one, [1]), Ok(()));
    assert_eq!(
        cursor.accept(&first, &two, [2]),
        Err(AnswerError::BasisMismatch)
    );
    assert_eq!(cursor.token(), &one);
}
