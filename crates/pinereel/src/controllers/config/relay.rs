//! Messages of a patch: carried out here, and passed on to the entries of a branch.
//!
//! Up to [`pinereel_core::member::MAX_FULL_MESH_SIZE`] receivers each get their own message. Beyond that a
//! message takes two levels: relays in each availability zone pass it on.

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

/// Longest wait of a relay for one of its leaves.
const LEAF_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait of a proposer for a branch: a leaf's, and the way to the relay and back.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Names of entries.
pub type EntryNames = BTreeSet<CompactString>;

/// Carries out a prepare, passes it on, and tells who confirmed it.
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

/// Puts a prepared configuration in force and passes the word on.
pub fn commit(shared: &Rc<Shared>, number: u64, write_id: CompactString, leaves: EntryNames) {
    let event = ParticipantEvent::Commit {
        number,
        write_id: write_id.clone(),
    };
    step(shared, event);
    let leaf = Call::Commit {
        number,
        write: write_id,
        leaves: EntryNames::new(),
    };
    for name in leaves {
        send_best_effort(shared, name, leaf.clone(), LEAF_TIMEOUT);
    }
}

/// Forgets a prepared configuration and passes the word on.
pub fn abort(shared: &Rc<Shared>, write_id: CompactString, leaves: EntryNames) {
    let event = ParticipantEvent::Abort {
        write_id: write_id.clone(),
    };
    step(shared, event);
    let leaf = Call::Abort {
        write: write_id,
        leaves: EntryNames::new(),
    };
    for name in leaves {
        send_best_effort(shared, name, leaf.clone(), LEAF_TIMEOUT);
    }
}

/// Asks all of `to` to prepare; `heard` gets the names that confirm, as they come in. Another
/// `attempt` takes other relays.
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

/// Tells all of `to` that a prepared configuration is in force.
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

/// Tells all of `to` that a prepared configuration is taken back.
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

/// Sends without regard to the answer: who misses it reads the object.
fn send_best_effort(shared: &Rc<Shared>, to: CompactString, call: Call, timeout: Duration) {
    spawn(shared, async move |shared| {
        members::call(&shared, &to, call, timeout).await;
    });
}
