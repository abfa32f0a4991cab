//! Follows the newest published weight version of each model in the object API.

use super::{
    follow::{Update, follow},
    lots::{self, trainer_api::LatestWeights},
};
use crate::{
    objects::Purpose,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use pinereel_api::object::WEIGHTS;
use serde_json::Value;
use std::rc::Rc;

/// Starts the task that passes published versions to the lots controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        follow(&shared, Purpose::Weights, WEIGHTS, apply_update).await;
    });
}

fn apply_update(shared: &Rc<Shared>, update: Update) {
    match update {
        Update::All(objects) => {
            for object in objects {
                record_weights(shared, &object.name, object.value);
            }
        }
        Update::Changes(changes) => {
            for change in changes {
                // A deleted object does not withdraw the published version.
                if let Some(value) = change.value {
                    record_weights(shared, &change.name, value);
                }
            }
        }
    }
}

fn record_weights(shared: &Rc<Shared>, model: &CompactString, value: Value) {
    match serde_json::from_value::<LatestWeights>(value) {
        Ok(weights) => lots::record_published(shared, model, weights.version),
        Err(e) => log::error!("weights of {model} cannot be parsed: {e}"),
    }
}
