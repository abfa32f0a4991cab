//! The entries: this one's member object, the others', and the links to them.

use crate::{
    objects::{Error, Purpose},
    peer::Peer,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use pinereel_api::object::{MEMBERS, Presence};
use pinereel_core::hash;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between lists.
const PAUSE: Duration = Duration::from_secs(1);

/// A member object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Changes with each start.
    pub incarnation: u64,
    /// `IP:PORT` of the peer listener.
    pub address: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether it is leaving.
    pub state: Presence,
}

/// The controller's state.
#[derive(Debug, Default)]
pub struct Members {
    known: RefCell<BTreeMap<CompactString, Member>>,
    own: RefCell<Option<Member>>,
}

impl Members {
    /// The known entries.
    pub fn all(&self) -> BTreeMap<CompactString, Member> {
        self.known.borrow().clone()
    }

    /// Entries that may run work, best first for `key`, at most `count`.
    pub fn ranked(&self, key: u64, count: usize) -> Vec<CompactString> {
        let known = self.known.borrow();
        let mut names: Vec<_> = known
            .iter()
            .filter(|(_, member)| member.state == Presence::Live)
            .map(|(name, _)| name)
            .collect();
        names.sort_by_key(|name| Reverse(hash::score(key, name)));
        names.into_iter().take(count).cloned().collect()
    }
}

/// Writes this entry's member object; tries until it is written.
pub async fn register(shared: &Shared, address: CompactString) {
    let member = Member {
        incarnation: shared.incarnation,
        address,
        zone: shared.zone().clone(),
        state: Presence::Live,
    };
    shared.members.own.replace(Some(member));
    while let Err(e) = write_own(shared).await {
        log::warn!("member object not written: {e}");
        sleep(PAUSE).await;
    }
}

/// Writes the own member object, whatever stands there.
async fn write_own(shared: &Shared) -> Result<(), Error> {
    let Some(own) = shared.members.own.borrow().clone() else {
        return Ok(());
    };
    let name = shared.name();
    let present = shared.objects.read(Purpose::Members, MEMBERS, name).await?;
    let value = serde_json::to_value(&own).map_err(|e| Error::Malformed(e.to_string()))?;
    match present {
        Some(object) if object.value == value => Ok(()),
        Some(object) => {
            let written =
                shared
                    .objects
                    .update(Purpose::Members, MEMBERS, name, object.version, &own);
            written.await.map(drop)
        }
        None => {
            let written = shared.objects.create(Purpose::Members, MEMBERS, name, &own);
            written.await.map(drop)
        }
    }
}

/// Removes the own member object, at the end of a graceful stop.
pub async fn leave(shared: &Shared) -> Result<(), Error> {
    let name = shared.name();
    let Some(object) = shared.objects.read(Purpose::Members, MEMBERS, name).await? else {
        return Ok(());
    };
    shared
        .objects
        .delete(Purpose::Members, MEMBERS, name, object.version)
        .await
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
    let Ok(list) = shared.objects.list(Purpose::Members, MEMBERS, "").await else {
        return;
    };
    let mut known = BTreeMap::new();
    for object in list.items {
        if let Ok(member) = serde_json::from_value::<Member>(object.value) {
            known.insert(object.name, member);
        }
    }
    let peers: Vec<_> = known
        .iter()
        .map(|(name, member)| Peer {
            name: name.clone(),
            address: member.address.clone(),
        })
        .collect();
    shared.members.known.replace(known);
    shared.mesh.want(peers);
}
