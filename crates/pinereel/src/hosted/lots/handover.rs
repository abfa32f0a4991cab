//! Unfinished texts pass from a runner that stops to the next one.
//!
//! The longest texts decide when a step is whole, and take seconds: begun again, they would be late.
//! So a planned stop writes them to the store before the duty is released, one object a lot, and
//! whoever opens the lot next goes on after their last events.

use super::{
    record::{drafts, results},
    runner::Runner,
    state::Draft,
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::timeout;

/// Longest time for the hand-over: the duty waits for it.
const LONGEST: Duration = Duration::from_millis(500);

/// Unfinished texts of a lot, by item.
pub(super) type Drafts = BTreeMap<CompactString, Draft>;

/// Writes the unfinished texts of all lots. What cannot be written in time is begun again.
pub(super) async fn hand_over(runner: &Runner) {
    let lots = runner.leave();
    let writes = lots.iter().map(|(lot, texts)| write(runner, lot, texts));
    if timeout(LONGEST, join_all(writes)).await.is_err() {
        log::warn!(lots = lots.len(); "texts not handed over in time");
    }
}

async fn write(runner: &Runner, lot: &str, texts: &Drafts) {
    let spec = match serde_json::to_string(texts) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(id = lot, error:% = error; "texts not handed over");
            return;
        }
    };
    let (kind, name) = (drafts(lot), runner.parts.duties.id());
    let store = &runner.parts.store;
    match store.create(Purpose::Lots, &kind, name, &spec).await {
        Ok(_) => log::info!(id = lot, texts = texts.len(); "texts handed over"),
        Err(error) => log::warn!(id = lot, error:% = error; "texts not handed over"),
    }
}

/// Reads the texts that earlier runners of a lot have handed over; of two for one item the longer.
pub(super) async fn inherit(runner: &Runner, lot: &str) -> Result<Drafts, Error> {
    let store = &runner.parts.store;
    let (objects, _) = store.list(Purpose::Lots, &drafts(lot), None).await?;
    let mut all = Drafts::new();
    for object in objects {
        match serde_json::from_value::<Drafts>(object.spec) {
            Ok(texts) => {
                for (item, draft) in texts {
                    let known = all.entry(item).or_default();
                    if draft.last > known.last {
                        *known = draft;
                    }
                }
            }
            Err(error) => log::error!(id = lot, error:% = error; "texts unreadable"),
        }
    }
    Ok(all)
}

/// Everything that lies in the store of a lot beside the lot itself.
pub(super) fn kinds(lot: &str) -> [CompactString; 2] {
    [results(lot), drafts(lot)]
}
