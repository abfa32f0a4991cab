//! Publishes new weight versions: stores a model's newest version in the object API.

use super::{super::record_published, RETRY_AFTER_MS, refuse};
use crate::{
    controllers::config::Snapshot,
    objects::{Error as ObjectError, Purpose},
    state::Shared,
};
use compact_str::format_compact;
use pinereel_api::{
    Problem,
    object::WEIGHTS,
    problem::{Code, Ran},
    trainer::{Publish, Published},
};
use pinereel_core::Version;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Value of the object that holds a model's newest weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestWeights {
    /// The newest version.
    pub version: Version,
}

/// Publishes new weights of a trainer's model; returns the newest version. A repeat or an older
/// version changes nothing.
pub async fn publish(
    shared: &Rc<Shared>,
    snapshot: &Snapshot,
    trainer: &str,
    publish: Publish,
) -> Result<Published, Problem> {
    let trainer = snapshot.document.trainers.get(trainer);
    let pool = trainer.and_then(|t| snapshot.document.pools.get(&t.pool));
    let Some(model) = pool.and_then(|p| p.model.clone()) else {
        return Err(refuse(Code::NotFound, "unknown trainer"));
    };
    let version = raise_version(shared, &model, publish.version)
        .await
        .map_err(|e| Problem {
            code: Code::ObjectApi,
            message: format_compact!("{e}"),
            ran: if e.had_no_effect() {
                Ran::NotRun
            } else {
                Ran::Unknown
            },
            retry_after_ms: Some(RETRY_AFTER_MS),
        })?;
    record_published(shared, &model, version);
    Ok(Published { version })
}

/// Raises the model's version by a conditional update; returns the newest version.
async fn raise_version(
    shared: &Shared,
    model: &str,
    version: Version,
) -> Result<Version, ObjectError> {
    let objects = &shared.objects;
    loop {
        let stored_object = objects.read(Purpose::Weights, WEIGHTS, model).await?;
        let weights = LatestWeights { version };
        let written = match stored_object {
            Some(object) => {
                let stored: LatestWeights = serde_json::from_value(object.value)
                    .map_err(|e| ObjectError::Malformed(e.to_string()))?;
                if stored.version >= version {
                    return Ok(stored.version);
                }
                let version = object.version;
                objects
                    .update(Purpose::Weights, WEIGHTS, model, version, &weights)
                    .await
            }
            None => {
                objects
                    .create(Purpose::Weights, WEIGHTS, model, &weights)
                    .await
            }
        };
        match written {
            Ok(_) => return Ok(version),
            // A concurrent write came first, or the result is unknown: read again.
            Err(ObjectError::Conflict | ObjectError::NotFound | ObjectError::Unknown(_)) => {}
            Err(e) => return Err(e),
        }
    }
}
