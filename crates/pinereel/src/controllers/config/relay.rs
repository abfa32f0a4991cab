//! Messages of the two-phase commit: handled here, and forwarded to the leaves of a relay group.
//!
//! Up to [`pinereel_core::member::MAX_FULL_MESH_SIZE`] receivers are each sent a message directly.
//! More are reached over two levels: relays in each availability zone forward it to their leaves.

use super::{prepare as prepare_here, step};
use crate::{
    controllers::members,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use pinereel_api::wire::{Call, Reply};
use pinereel_core::config::{ParticipantEvent, Prepare};
use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Timeout of a relay's call to one of its leaves.
const LEAF_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a proposer's call to a relay: [`LEAF_TIMEOUT`] and the round trip to the relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Names of entries that send, receive or confirm a message.
pub type EntryNames = BTreeSet<CompactString>;

/// Prepares a configuration here and at the leaves; returns the names of those that confirmed.
pub async fn prepare(shared: &Rc<Shared>, prepare: Prepare, leaves: EntryNames) -> EntryNames {
    let mut confirmed = EntryNames::new();
    if prepare_here(shared, prepare.clone()) {
        confirmed.insert(shared.name().clone());
    }
    let mut calls: FuturesUnordered<_> = leaves
        .into_iter()
        .map(|leaf| {
            let call = prepare_call(prepare.clone(), EntryNames::new());
            async move { members::call(shared, &leaf, call, LEAF_TIMEOUT).await }
        })
        .collect();
    while let Some(reply) = calls.next().await {
        if let Some(Reply::Confirmed(names)) = reply {
            confirmed.extend(names);
        }
    }
    confirmed
}

/// Commits a prepared configuration here and forwards the commit to the leaves.
pub fn commit(shared: &Rc<Shared>, number: u64, write_id: CompactString, leaves: EntryNames) {
    let event = ParticipantEvent::Commit {
        number,
        write_id: write_id.clone(),
    };
    step(shared, event);
    let leaf_call = Call::Commit {
        number,
        write: write_id,
        leaves: EntryNames::new(),
    };
    for name in leaves {
        send_best_effort(shared, name, leaf_call.clone(), LEAF_TIMEOUT);
    }
}

/// Aborts a prepared configuration here and forwards the abort to the leaves.
pub fn abort(shared: &Rc<Shared>, write_id: CompactString, leaves: EntryNames) {
    let event = ParticipantEvent::Abort {
        write_id: write_id.clone(),
    };
    step(shared, event);
    let leaf_call = Call::Abort {
        write: write_id,
        leaves: EntryNames::new(),
    };
    for name in leaves {
        send_best_effort(shared, name, leaf_call.clone(), LEAF_TIMEOUT);
    }
}

/// Sends a prepare to all of `to`; `on_confirmed` gets the names that confirm, as they arrive. A
/// different `attempt` chooses different relays.
pub fn prepare_all(
    shared: &Rc<Shared>,
    mut to: EntryNames,
    attempt: u64,
    message: &Prepare,
    on_confirmed: impl Fn(EntryNames) + Clone + 'static,
) {
    if to.remove(shared.name()) && prepare_here(shared, message.clone()) {
        on_confirmed(EntryNames::from([shared.name().clone()]));
    }
    for group in members::relay_groups(shared, &to, attempt) {
        let call = prepare_call(message.clone(), group.leaves);
        let on_confirmed = on_confirmed.clone();
        spawn(shared, async move |shared| {
            let reply = members::call(&shared, &group.relay, call, RELAY_TIMEOUT).await;
            if let Some(Reply::Confirmed(names)) = reply {
                on_confirmed(names);
            }
        });
    }
}

/// Sends a commit to all of `to`.
pub fn commit_all(shared: &Rc<Shared>, mut to: EntryNames, number: u64, write_id: &CompactString) {
    if to.remove(shared.name()) {
        commit(shared, number, write_id.clone(), EntryNames::new());
    }
    for group in members::relay_groups(shared, &to, number) {
        let call = Call::Commit {
            number,
            write: write_id.clone(),
            leaves: group.leaves,
        };
        send_best_effort(shared, group.relay, call, RELAY_TIMEOUT);
    }
}

/// Sends an abort to all of `to`.
pub fn abort_all(shared: &Rc<Shared>, mut to: EntryNames, write_id: &CompactString) {
    if to.remove(shared.name()) {
        abort(shared, write_id.clone(), EntryNames::new());
    }
    for group in members::relay_groups(shared, &to, 0) {
        let call = Call::Abort {
            write: write_id.clone(),
            leaves: group.leaves,
        };
        send_best_effort(shared, group.relay, call, RELAY_TIMEOUT);
    }
}

fn prepare_call(prepare: Prepare, leaves: EntryNames) -> Call {
    Call::Prepare {
        prepare: Box::new(prepare),
        leaves,
    }
}

/// Sends without waiting for the answer: an entry that misses the message reads the object.
fn send_best_effort(shared: &Rc<Shared>, to: CompactString, call: Call, timeout: Duration) {
    spawn(shared, async move |shared| {
        members::call(&shared, &to, call, timeout).await;
    });
}
