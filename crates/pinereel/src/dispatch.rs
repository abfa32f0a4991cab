//! Carries out what other entries ask.

use crate::{
    controllers::{
        claims, config,
        lots::{self, runner},
        members,
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
            claims::serve_settle(&shared, ask, outcome).await
        }
        Call::Prepare { prepare, leaves } => {
            let confirmed = config::relay::prepare(&shared, *prepare, leaves).await;
            Reply::Confirmed(confirmed)
        }
        Call::Commit {
            number,
            write,
            leaves,
        } => {
            config::relay::commit(&shared, number, write, leaves);
            Reply::Done
        }
        Call::Abort { write, leaves } => {
            config::relay::abort(&shared, write, leaves);
            Reply::Done
        }
        Call::Fetch => config::fetched(&shared),
        Call::Report => Reply::Report {
            incarnation: shared.incarnation,
            number: shared.config.number(),
        },
    }
}

fn done(result: Result<(), String>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(reason) => Reply::Refused(reason.into()),
    }
}

/// Takes in a peer's periodic summary.
pub fn hear(shared: &Rc<Shared>, from: &Hello, summary: Summary) {
    members::met(shared, from, summary.draining);
    config::hear(shared, from, &summary);
    for (model, version) in summary.versions {
        lots::published(shared, &model, version);
    }
    for (name, incarnation) in summary.leaving {
        crate::controllers::endpoints::step(shared, Event::Hinted { name, incarnation });
    }
}

/// What this entry tells the peer `to`.
pub fn summary(shared: &Shared, to: &Hello) -> Summary {
    let now = shared.now();
    Summary {
        number: shared.config.number(),
        vouches: shared.config.vouches(now),
        sent_us: now.0,
        echo: shared.config.echo(to),
        versions: shared.lots.versions(),
        leaving: shared.endpoints.set().hints(),
        draining: shared.drain.asked(),
    }
}
