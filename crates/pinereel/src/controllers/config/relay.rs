//! Messages of a patch: carried out here, and passed on to the entries of a branch.
//!
//! Up to [`pinereel_core::member::MAX_FULL_MESH_SIZE`] receivers each get their own message. Beyond that a
//! message takes two levels: relays in each availability zone pass it on.

use super::{prepare as store, step};
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
const BRANCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Names of entries.
pub type Names = BTreeSet<CompactString>;

/// Carries out a prepare, passes it on, and tells who confirmed it.
pub async fn prepare(shared: &Rc<Shared>, prepare: Prepare, leaves: Names) -> Names {
    let mut confirmed = Names::new();
    if store(shared, prepare.clone()) {
        confirmed.insert(shared.name().clone());
    }
    let mut calls: FuturesUnordered<_> = leaves
        .into_iter()
        .map(|leaf| {
            let call = prepare_call(prepare.clone(), Names::new());
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
pub fn commit(shared: &Rc<Shared>, number: u64, write: CompactString, leaves: Names) {
    let input = ParticipantEvent::Commit {
        number,
        write_id: write.clone(),
    };
    step(shared, input);
    let leaf = Call::Commit {
        number,
        write,
        leaves: Names::new(),
    };
    for name in leaves {
        send(shared, name, leaf.clone(), LEAF_TIMEOUT);
    }
}

/// Forgets a prepared configuration and passes the word on.
pub fn abort(shared: &Rc<Shared>, write: CompactString, leaves: Names) {
    let input = ParticipantEvent::Abort {
        write_id: write.clone(),
    };
    step(shared, input);
    let leaf = Call::Abort {
        write,
        leaves: Names::new(),
    };
    for name in leaves {
        send(shared, name, leaf.clone(), LEAF_TIMEOUT);
    }
}

/// Asks all of `to` to prepare; `heard` gets the names that confirm, as they come in. Another
/// `attempt` takes other relays.
pub fn prepare_all(
    shared: &Rc<Shared>,
    mut to: Names,
    attempt: u64,
    message: &Prepare,
    heard: impl Fn(Names) + Clone + 'static,
) {
    if to.remove(shared.name()) && store(shared, message.clone()) {
        heard(Names::from([shared.name().clone()]));
    }
    for branch in members::branches(shared, &to, attempt) {
        let call = prepare_call(message.clone(), branch.leaves);
        let heard = heard.clone();
        spawn(shared, async move |shared| {
            let reply = members::call(&shared, &branch.relay, call, BRANCH_TIMEOUT).await;
            if let Some(Reply::Confirmed(names)) = reply {
                heard(names);
            }
        });
    }
}

/// Tells all of `to` that a prepared configuration is in force.
pub fn commit_all(shared: &Rc<Shared>, mut to: Names, number: u64, write: &CompactString) {
    if to.remove(shared.name()) {
        commit(shared, number, write.clone(), Names::new());
    }
    for branch in members::branches(shared, &to, number) {
        let call = Call::Commit {
            number,
            write: write.clone(),
            leaves: branch.leaves,
        };
        send(shared, branch.relay, call, BRANCH_TIMEOUT);
    }
}

/// Tells all of `to` that a prepared configuration is taken back.
pub fn abort_all(shared: &Rc<Shared>, mut to: Names, write: &CompactString) {
    if to.remove(shared.name()) {
        abort(shared, write.clone(), Names::new());
    }
    for branch in members::branches(shared, &to, 0) {
        let call = Call::Abort {
            write: write.clone(),
            leaves: branch.leaves,
        };
        send(shared, branch.relay, call, BRANCH_TIMEOUT);
    }
}

fn prepare_call(prepare: Prepare, leaves: Names) -> Call {
    Call::Prepare {
        prepare: Box::new(prepare),
        leaves,
    }
}

/// Sends without regard to the answer: who misses it reads the object.
fn send(shared: &Rc<Shared>, to: CompactString, call: Call, wait: Duration) {
    spawn(shared, async move |shared| {
        members::call(&shared, &to, call, wait).await;
    });
}
