//! Which changes a child is sent when it links to another parent.

use bytes::Bytes;
use pinereel_core::tree::ReplayBuffer;

fn frame(size: usize) -> Bytes {
    vec![0; size].into()
}

#[test]
fn a_child_is_sent_the_changes_that_it_missed() {
    let mut replay = ReplayBuffer::default();
    replay.reset(10);
    for revision in [12, 15, 17] {
        replay.push(revision, frame(revision as usize), 1_000);
    }
    let sizes = |revision| {
        let frames = replay.changes_since(revision)?;
        Some(frames.iter().map(Bytes::len).collect::<Vec<_>>())
    };
    assert_eq!(sizes(10), Some(vec![12, 15, 17]));
    assert_eq!(sizes(12), Some(vec![15, 17]));
    assert_eq!(sizes(17), Some(vec![]));
    assert_eq!(sizes(20), Some(vec![]), "the child is ahead of this buffer");
    assert_eq!(sizes(9), None, "older changes are not kept");
}

#[test]
fn the_buffer_is_bounded_in_bytes_and_frames() {
    let mut replay = ReplayBuffer::default();
    for revision in 1..=1_000 {
        replay.push(revision, frame(10), 200);
    }
    assert_eq!(replay.changes_since(979), None);
    assert_eq!(
        replay.changes_since(980).map(|frames| frames.len()),
        Some(20)
    );
    let mut replay = ReplayBuffer::default();
    for revision in 1..=1_000 {
        replay.push(revision, frame(0), 200);
    }
    assert_eq!(
        replay.changes_since(936).map(|frames| frames.len()),
        Some(64)
    );
    assert_eq!(replay.changes_since(935), None);
}
