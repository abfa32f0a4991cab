//! The newest published version of each model, as the object API tells.

use super::lots::{self, front::Weights};
use crate::{
    objects::Purpose,
    state::{Shared, spawn},
};
use pinereel_api::object::WEIGHTS;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between lists.
const PAUSE: Duration = Duration::from_millis(500);

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            refresh(&shared).await;
            sleep(PAUSE).await;
        }
    });
}

async fn refresh(shared: &Rc<Shared>) {
    let Ok(list) = shared.objects.list(Purpose::Weights, WEIGHTS, "").await else {
        return;
    };
    for object in list.items {
        match serde_json::from_value::<Weights>(object.value) {
            Ok(weights) => lots::published(shared, &object.name, weights.version),
            Err(e) => log::error!("weights of {} unreadable: {e}", object.name),
        }
    }
}
