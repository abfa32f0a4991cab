//! Applies the platform's endpoint list and its changes.

use super::{Endpoints, ListedEntry, Scope};
use crate::hosted::list_watch::Update;
use compact_str::CompactString;
use log::Level;
use pinereel_core::endpoint::{self, Event};
use pinereel_port::{DecodeError, endpoint::Entry, store::Object};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Time for which an entry that disappeared after a store outage still counts as listed. Entries
/// may reappear within about two seconds (the platform's figure), but an endpoint that has left must
/// get no request after two seconds, so this is shorter.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_800);
/// Time after the store's return by which all entries that lapsed during the outage have
/// reappeared: about two seconds (the platform's figure), and the time until the instance that
/// reads the store has received them.
const ENTRY_RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Time after a failed store call during which entries may still be missing because of the failure:
/// three heartbeats of an endpoint, and the time until its entry is back.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of changes in one update that are logged one by one; of more only the number is
/// logged.
const MAX_LOGGED_CHANGES: usize = 16;
/// Maximum number of refused entries in one update that are logged one by one; of more only the number is logged.
const MAX_LOGGED_REJECTIONS: usize = 16;
/// Maximum number of requests that an endpoint may have from this instance, per slot: it queues a
/// few itself.
const REQUESTS_PER_SLOT: u32 = 2;

impl Endpoints {
    /// Applies a whole list or changes of it. A whole list also removes the known entries within
    /// `scope` that it does not contain.
    pub(super) fn apply_update(self: &Rc<Self>, update: Update, scope: Scope) {
        self.remove_unfollowed(scope);
        let mut rejections = 0;
        match update {
            Update::All(objects) => {
                let present: BTreeSet<_> = objects.iter().map(|o| &o.name).collect();
                // An entry that names no endpoint is not in the list of the engines.
                if scope != Scope::Engines {
                    self.rejected
                        .borrow_mut()
                        .retain(|id, _| present.contains(id));
                }
                let entries = self.entries.borrow();
                let known = entries.iter().filter(|(_, l)| scope.contains(&l.entry));
                let removed = known.filter(|(id, _)| !present.contains(id));
                let removed: Vec<_> = removed.map(|(id, _)| id.clone()).collect();
                drop(entries);
                removed.iter().for_each(|id| self.handle_removed(id));
                log::info!(scope:? = scope, listed = objects.len(), gone = removed.len(); "endpoint list read");
                for object in &objects {
                    self.apply_entry(object, Level::Debug, &mut rejections);
                }
            }
            Update::Changes(changes) => {
                let level = if changes.len() > MAX_LOGGED_CHANGES {
                    log::info!(changes = changes.len(); "endpoint list changed");
                    Level::Debug
                } else {
                    Level::Info
                };
                for change in changes {
                    if change.deleted {
                        self.rejected.borrow_mut().remove(&change.object.name);
                        self.handle_removed(&change.object.name);
                    } else {
                        self.apply_entry(&change.object, level, &mut rejections);
                    }
                }
            }
        }
        if rejections > MAX_LOGGED_REJECTIONS {
            log::error!(count = rejections, logged = MAX_LOGGED_REJECTIONS; "list entries refused");
        }
        self.notify_changed();
    }

    /// Continues with the changes that another instance forwards, which cover `scope`. The list that
    /// was read from the store is newer than the forwarded one and stays in use.
    pub(super) fn narrow_to(&self, scope: Scope) {
        let before = self.entries.borrow().len();
        self.remove_unfollowed(scope);
        let listed = self.entries.borrow().len();
        log::info!(scope:? = scope, listed, gone = before - listed; "endpoint list read");
        self.notify_changed();
    }

    /// Removes the engines if `scope` is without them and this instance does not follow them.
    fn remove_unfollowed(&self, scope: Scope) {
        if scope == Scope::Others && !self.deps.feed.is_subscribed_to_engines() {
            self.remove_engines();
        }
    }

    /// Applies an entry and logs at `level` what is new in it. An entry of an earlier start of the
    /// endpoint is ignored, and a new rejection is added to `rejections`.
    fn apply_entry(&self, object: &Object, level: Level, rejections: &mut usize) {
        let entry = match (self.deps.adapter.decode_endpoint)(&object.name, &object.spec) {
            Ok(entry) => entry,
            Err(fault) => {
                self.reject_entry(object, &fault, rejections);
                return;
            }
        };
        let before = self
            .entries
            .borrow()
            .get(&entry.id)
            .map(|l| l.entry.clone());
        if let Some(before) = &before
            && before.incarnation != entry.incarnation
        {
            if before.incarnation > entry.incarnation {
                log::info!(endpoint = entry.id.as_str(); "endpoint entry of an earlier start ignored");
                return;
            }
            self.deps.pool.close_idle(before.address);
        }
        log_entry(before.as_ref(), &entry, object.revision, level);
        let listing = to_listing(&entry);
        let listed = ListedEntry {
            entry,
            missing_since: None,
        };
        let id = listed.entry.id.clone();
        let mut index = self.index.borrow_mut();
        if listed.entry.draining {
            index.remove(&id);
        } else {
            index.insert(&id, &listed.entry.service, listed.entry.slots);
        }
        drop(index);
        self.entries.borrow_mut().insert(id, listed);
        self.apply_event_at(level, Event::Listed(listing));
    }

    /// Rejects an invalid entry, which is logged and counted once a revision. If it was valid before, its
    /// endpoint is removed, since another writer may have replaced the entry.
    fn reject_entry(&self, object: &Object, fault: &DecodeError, rejections: &mut usize) {
        let id = &object.name;
        let already_logged = self.rejected.borrow().get(id) == Some(&object.revision);
        if !already_logged {
            *rejections += 1;
            if *rejections <= MAX_LOGGED_REJECTIONS {
                log::error!(endpoint = id.as_str(), revision = object.revision; "list entry refused: {fault}");
            }
            let metrics = &self.deps.metrics;
            metrics.count(&metrics.endpoint_entries, &["refused"]);
            let rejected = (id.clone(), object.revision);
            self.rejected.borrow_mut().extend([rejected]);
        }
        let was_listed = self.entries.borrow_mut().remove(id).is_some();
        if was_listed {
            self.index.borrow_mut().remove(id);
            self.apply_event(Event::Unlisted { name: id.clone() });
        }
    }

    /// Handles an entry's removal from the list. The endpoint is removed immediately, or after
    /// [`MISSING_ENTRY_GRACE`] if the entry may have lapsed because of a store outage.
    fn handle_removed(self: &Rc<Self>, id: &CompactString) {
        let now = Instant::now();
        let may_return = {
            let mut entries = self.entries.borrow_mut();
            let Some(listed) = entries.get_mut(id) else {
                return;
            };
            if listed.missing_since.is_some() {
                return;
            }
            listed.missing_since = Some(now);
            !listed.entry.draining && self.may_have_lapsed()
        };
        log::info!(endpoint = id.as_str(), may_return; "endpoint no longer listed");
        if !may_return {
            self.remove_if_still_missing(id, now);
            return;
        }
        let (state, id) = (Rc::clone(self), id.clone());
        actix_rt::spawn(async move {
            sleep(MISSING_ENTRY_GRACE).await;
            state.remove_if_still_missing(&id, now);
            state.notify_changed();
        });
    }

    /// Whether an entry may have lapsed because of a store outage. Not if the instance that reads
    /// the store for all has had answers from it for longer than entries take to reappear: then
    /// only this instance was cut off, and waiting would send requests for 1.8 s more to an
    /// endpoint that left meanwhile.
    fn may_have_lapsed(&self) -> bool {
        self.deps.store.has_failed_within(STORE_FAILURE_WINDOW)
            && self.deps.feed.store_uptime() < ENTRY_RECOVERY_TIME
    }

    /// Removes the engines. They are known from a whole list that was read from the store while no
    /// other instance forwarded changes, and would not be updated any more.
    fn remove_engines(&self) {
        self.engines_revision.set(0);
        let mut entries = self.entries.borrow_mut();
        let engines = entries.extract_if(.., |_, listed| Scope::Engines.contains(&listed.entry));
        let ids: Vec<_> = engines.map(|(id, _)| id).collect();
        drop(entries);
        for id in ids {
            self.index.borrow_mut().remove(&id);
            self.apply_event_at(Level::Debug, Event::Unlisted { name: id });
        }
    }

    /// Removes an endpoint if its entry has been missing ever since `since`.
    fn remove_if_still_missing(&self, id: &CompactString, since: Instant) {
        {
            let mut entries = self.entries.borrow_mut();
            let missing = entries.get(id).and_then(|listed| listed.missing_since);
            if missing != Some(since) {
                return;
            }
            entries.remove(id);
            self.index.borrow_mut().remove(id);
        }
        self.apply_event(Event::Unlisted { name: id.clone() });
    }
}

/// Logs an entry that is new or has changed. A change of only the versions is logged at debug
/// level, since the instance that orders it logs it too: with 165 instances such changes made up
/// 45,000 of 66,000 log lines.
fn log_entry(before: Option<&Entry>, entry: &Entry, revision: u64, level: Level) {
    if before == Some(entry) {
        return;
    }
    let only_versions_changed =
        before.is_some_and(|before| without_versions(before) == without_versions(entry));
    let level = if only_versions_changed {
        Level::Debug
    } else {
        level
    };
    log::log!(
        level,
        endpoint = entry.id.as_str(),
        incarnation = entry.incarnation,
        service = entry.service.as_str(),
        leaving = entry.draining,
        versions:serde = entry.models,
        revision;
        "endpoint listed"
    );
}

/// All parts of an entry except the versions that its endpoint serves and whether the platform may
/// remove that endpoint at short notice (spot). Changes of only these two are logged at debug level.
fn without_versions(entry: &Entry) -> impl PartialEq + '_ {
    let Entry {
        id,
        incarnation,
        service,
        address,
        zone,
        slots,
        draining: leaving,
        models: _,
        spot: _,
    } = entry;
    (id, incarnation, service, address, zone, slots, leaving)
}

/// The entry in the form that the set of endpoints takes.
fn to_listing(entry: &Entry) -> endpoint::Listing {
    endpoint::Listing {
        name: entry.id.clone(),
        incarnation: entry.incarnation,
        address: entry.address.to_string().into(),
        zone: entry.zone.clone(),
        pool: entry.service.clone(),
        slots: entry.slots.saturating_mul(REQUESTS_PER_SLOT),
        leaving: entry.draining,
    }
}
