//! The configuration in force at this entry.

use crate::{
    objects::Purpose,
    state::{Shared, spawn},
};
use pinereel_api::object::{CONFIG, CONFIG_NAME};
use pinereel_core::config::Document;
use serde::Deserialize;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between reads.
const PAUSE: Duration = Duration::from_millis(500);

/// The number and the document that a request is pinned to.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The number.
    pub number: u64,
    /// The document.
    pub document: Rc<Document>,
}

/// The controller's state.
#[derive(Debug, Default)]
pub struct Config {
    current: RefCell<Option<Pin>>,
}

#[derive(Debug, Deserialize)]
struct Stored {
    number: u64,
    document: Document,
}

impl Config {
    /// The number in force; 0 before the first read.
    pub fn number(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |pin| pin.number)
    }

    /// What a request that is admitted now is pinned to.
    pub fn pin(&self) -> Option<Pin> {
        self.current.borrow().clone()
    }
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            refresh(&shared).await;
            sleep(PAUSE).await;
        }
    });
}

async fn refresh(shared: &Shared) {
    let read = shared
        .objects
        .read(Purpose::Config, CONFIG, CONFIG_NAME)
        .await;
    let Ok(Some(object)) = read else { return };
    match serde_json::from_value::<Stored>(object.value) {
        Ok(stored) if stored.number > shared.config.number() => {
            shared.config.current.replace(Some(Pin {
                number: stored.number,
                document: Rc::new(stored.document),
            }));
        }
        Ok(_) => {}
        Err(e) => log::error!("configuration unreadable: {e}"),
    }
}
