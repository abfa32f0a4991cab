//! Carries out what other entries ask.

use crate::{
    controllers::{
        claims,
        lots::{self, runner},
    },
    state::Shared,
};
use compact_str::CompactString;
use pinereel_api::wire::{Call, Hello, Reply, Summary};
use pinereel_core::endpoint::Event;
use std::{rc::Rc, time::Duration};

/// Carries out one call of the entry `from`.
pub async fn call(shared: Rc<Shared>, _from: CompactString, call: Call) -> Reply {
    match call {
        Call::Assign(assignment) => done(runner::assign(&shared, assignment)),
        Call::Collect(ask) => runner::collect(&shared, ask).await,
        Call::Handover { lot, samples } => done(runner::take_over(&shared, lot, samples)),
        Call::Claim {
            key,
            digest,
            request,
            left_ms,
        } => {
            let ask = claims::Ask {
                key,
                digest,
                request,
            };
            claims::serve_claim(&shared, ask, Duration::from_millis(left_ms)).await
        }
        Call::Settle {
            key,
            request,
            digest,
            outcome,
        } => {
            let ask = claims::Ask {
                key,
                digest,
                request,
            };
            claims::serve_settle(&shared, ask, outcome.map(claims::stored)).await
        }
        Call::Prepare { .. } | Call::Commit { .. } | Call::Abort { .. } | Call::Fetch => {
            Reply::Refused("not supported".into())
        }
    }
}

fn done(result: Result<(), String>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(reason) => Reply::Refused(reason.into()),
    }
}

/// Takes in a peer's periodic summary.
pub fn hear(shared: &Rc<Shared>, _from: &Hello, summary: Summary) {
    for (model, version) in summary.versions {
        lots::published(shared, &model, version);
    }
    for (name, incarnation) in summary.leaving {
        crate::controllers::endpoints::step(shared, Event::Hinted { name, incarnation });
    }
}

/// What this entry tells its peers.
pub fn summary(shared: &Shared) -> Summary {
    Summary {
        number: shared.config.number(),
        confirmed_ms: 0,
        versions: shared.lots.versions(),
        leaving: shared.endpoints.set().hints(),
        draining: shared.drain.asked(),
    }
}
