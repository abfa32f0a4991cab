//! Publications of the topics. A node receives them from the store or its parent, caches them, and forwards
//! them to the children that have subscribed and to the other modules of this process.

use super::{Frame, Node, Topic, encoded_object::EncodedObject, node::State};
use crate::hosted::list_watch::Update;
use bytes::Bytes;
use pinereel_core::tree::ChildKey;
use pinereel_port::store::{Change, Object};
use std::{collections::BTreeMap, time::Duration};
use tokio::sync::mpsc;

/// The sender's side of the link to a child.
pub(super) struct ChildLink {
    /// Queue of encoded frames.
    pub(super) frames: mpsc::Sender<Bytes>,
    /// The topics that the child has subscribed to. The value is the revision that the child has, while it
    /// still has to be brought up to date, and `None` from then on.
    pub(super) topics: BTreeMap<Topic, Option<u64>>,
}

/// State of the store when a publication was read from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Header {
    /// The store's revision after the publication.
    pub(super) revision: u64,
    /// For how long the store had answered all calls of the root.
    pub(super) store_uptime: Duration,
}

/// All objects of a topic or changes to them, in encoded form.
pub(super) struct Publication {
    pub(super) topic: Topic,
    /// Whether `objects` are all objects of the topic, not changes.
    pub(super) full: bool,
    pub(super) objects: Vec<EncodedObject>,
}

impl Publication {
    /// Decodes the publication for this process.
    fn update(&self) -> Update {
        if self.full {
            Update::All(
                self.objects
                    .iter()
                    .filter_map(EncodedObject::object)
                    .collect(),
            )
        } else {
            Update::Changes(
                self.objects
                    .iter()
                    .filter_map(EncodedObject::change)
                    .collect(),
            )
        }
    }

    /// The publication in a frame of another instance; `None` if it has none.
    pub(super) fn from_frame(frame: Frame) -> Option<(Self, Header)> {
        let (topic, full, objects, revision, store_uptime) = match frame {
            Frame::Snapshot {
                topic,
                revision,
                objects,
                store_uptime,
            } => (topic, true, objects, revision, store_uptime),
            Frame::Changes {
                topic,
                revision,
                changes,
                store_uptime,
            } => (topic, false, changes, revision, store_uptime),
            _ => return None,
        };
        let publication = Self {
            topic,
            full,
            objects,
        };
        let header = Header {
            revision,
            store_uptime,
        };
        Some((publication, header))
    }

    /// The frame for children.
    fn frame(&self, header: Header) -> Frame {
        let Header {
            revision,
            store_uptime,
        } = header;
        let (topic, objects) = (self.topic, self.objects.clone());
        if self.full {
            Frame::Snapshot {
                topic,
                revision,
                objects,
                store_uptime,
            }
        } else {
            Frame::Changes {
                topic,
                revision,
                changes: objects,
                store_uptime,
            }
        }
    }
}

impl Node {
    /// Publishes what was read from the store, as of a revision.
    pub(super) fn publish_update(&self, topic: Topic, update: Update, revision: u64) {
        self.observe_data_age();
        let store_uptime = self.deps.store.uptime();
        for (topic, update) in self.split_engines(topic, update) {
            // An answer may be late, while the same data have arrived over another way.
            let is_late = self.has_other_source() && revision < self.state.borrow().revision(topic);
            if matches!(update, Update::All(_)) {
                self.state.borrow_mut().listed.insert(topic);
            }
            if is_late {
                continue;
            }
            let since = self.state.borrow().revision(topic);
            let publication = self.diff_from_cache(encode_update(topic, &update), revision);
            let header = Header {
                revision,
                store_uptime,
            };
            let frame: Bytes = publication
                .frame(header)
                .encode()
                .unwrap_or_default()
                .into();
            self.send_backup(topic, since, &frame);
            // Nothing has changed, but the cached objects are valid at a later revision.
            if !publication.full && publication.objects.is_empty() {
                self.set_revision(topic, revision);
                continue;
            }
            self.apply(publication, header, frame, None);
        }
        self.catch_up_children();
    }

    /// Records that the cached objects of a topic are also those at a later revision.
    pub(super) fn set_revision(&self, topic: Topic, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.caches.entry(topic).or_default().revision = revision;
        drop(state);
        self.publish_missing();
    }

    /// Handles a publication of the parent. `frame` is its encoded form, which is forwarded to the children.
    pub(super) fn on_publication(&self, publication: Publication, header: Header, frame: Bytes) {
        // A new parent may lag behind the previous one.
        let known_revision = self.state.borrow().revision(publication.topic);
        if header.revision >= known_revision {
            self.apply(publication, header, frame, None);
            self.catch_up_children();
        }
    }

    /// Forwards a publication to the children except `sender` and to this process, and updates the cache.
    pub(super) fn apply(
        &self,
        publication: Publication,
        header: Header,
        frame: Bytes,
        sender: Option<ChildKey>,
    ) {
        let topic = publication.topic;
        self.send_to_subscribers(topic, &frame, sender);
        let feed = &self.deps.feed;
        feed.set_store_uptime(header.store_uptime);
        // Changes are of no use to a subscriber without the objects before them.
        let publishes_locally =
            feed.is_subscribed(topic) && (publication.full || feed.is_current(topic));
        if publishes_locally {
            feed.publish(topic, publication.update(), header.revision);
        }
        let mut state = self.state.borrow_mut();
        let cache = state.caches.entry(topic).or_default();
        if publication.full {
            cache.replace(publication.objects, header.revision);
        } else {
            cache.apply(publication.objects, header.revision, frame);
        }
        drop(state);
        if !publishes_locally {
            self.publish_missing();
        }
    }

    /// Publishes in this process all objects of the topics that it has subscribed to and does not have.
    pub(super) fn publish_missing(&self) {
        let feed = &self.deps.feed;
        let state = self.state.borrow();
        for (topic, cache) in &state.caches {
            if feed.is_subscribed(*topic) && !feed.is_current(*topic) {
                feed.publish(*topic, Update::All(cache.objects()), cache.revision);
                log::info!(topic:serde = topic, revision = cache.revision; "broadcast tree: updates resumed");
            }
        }
    }

    /// Splits an update of the endpoint list into one without engines and one of the engines alone. Engines
    /// change their versions all the time, and most instances do not need them.
    fn split_engines(&self, topic: Topic, update: Update) -> Vec<(Topic, Update)> {
        if topic != Topic::Endpoints {
            return vec![(topic, update)];
        }
        match update {
            Update::All(objects) => {
                let engines = |object: &Object| self.is_engine(object);
                let (engines, others) = objects.into_iter().partition(engines);
                vec![
                    (Topic::Endpoints, Update::All(others)),
                    (Topic::Engines, Update::All(engines)),
                ]
            }
            Update::Changes(changes) => {
                let mut by_topic = [Topic::Endpoints, Topic::Engines].map(|topic| (topic, vec![]));
                for change in changes {
                    let old_topic = self.topic_of(&change.object.name);
                    let new_topic = match old_topic {
                        Some(old_topic) if change.deleted => old_topic,
                        _ if self.is_engine(&change.object) => Topic::Engines,
                        _ => Topic::Endpoints,
                    };
                    for (topic, changes) in &mut by_topic {
                        if *topic == new_topic {
                            changes.push(change.clone());
                        } else if old_topic == Some(*topic) {
                            let object = change.object.clone();
                            let deleted = true;
                            changes.push(Change { object, deleted });
                        }
                    }
                }
                let changed = by_topic.into_iter().filter(|(_, c)| !c.is_empty());
                changed
                    .map(|(topic, changes)| (topic, Update::Changes(changes)))
                    .collect()
            }
        }
    }

    /// Whether an entry of the endpoint list belongs to an engine, which is an endpoint with models.
    fn is_engine(&self, object: &Object) -> bool {
        let entry = (self.deps.adapter.decode_endpoint)(&object.name, &object.spec);
        entry.is_ok_and(|entry| !entry.models.is_empty())
    }

    /// The topic in whose cache an entry of the endpoint list is; `None` for a new entry.
    fn topic_of(&self, name: &str) -> Option<Topic> {
        let state = self.state.borrow();
        let has_entry = |topic: &Topic| state.caches.get(topic).is_some_and(|c| c.contains(name));
        [Topic::Endpoints, Topic::Engines]
            .into_iter()
            .find(has_entry)
    }

    /// Reduces a list that was read again to the changes since the cached one.
    fn diff_from_cache(&self, publication: Publication, revision: u64) -> Publication {
        let state = self.state.borrow();
        let cache = state.caches.get(&publication.topic);
        match cache.filter(|cache| cache.revision > 0 && cache.revision <= revision) {
            // Subscribers of the leases need all of them.
            Some(cache) if publication.full && publication.topic != Topic::Leases => Publication {
                topic: publication.topic,
                full: false,
                objects: cache.diff(&publication.objects),
            },
            _ => publication,
        }
    }

    /// Subscribes this instance to a topic, for itself or an instance below it.
    pub(super) fn subscribe(&self, topic: Topic) {
        if Topic::BASE.contains(&topic) {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.subscribed.insert(topic) {
            let revision = state.revision(topic);
            drop(state);
            self.send_to_parent(&Frame::Subscribe { topic, revision });
        }
    }

    /// The subscriptions of this instance, with the cached revision of each.
    pub(super) fn subscriptions(&self) -> BTreeMap<Topic, u64> {
        let state = self.state.borrow();
        let topics = Topic::BASE.iter().chain(&state.subscribed);
        topics
            .map(|topic| (*topic, state.revision(*topic)))
            .collect()
    }

    /// Drops cached topics without a subscription, for which the parent sends no updates.
    pub(super) fn drop_unsubscribed(&self) {
        let state = &mut *self.state.borrow_mut();
        let subscribed = &state.subscribed;
        state
            .caches
            .retain(|topic, _| Topic::BASE.contains(topic) || subscribed.contains(topic));
    }

    /// Sends children what they have missed, once the data of this instance are fresh.
    pub(super) fn catch_up_children(&self) {
        if !self.is_fresh() {
            return;
        }
        let store_uptime = self.deps.feed.store_uptime();
        let State {
            child_links,
            caches,
            ..
        } = &mut *self.state.borrow_mut();
        child_links.retain(|_, link| {
            let mut sent = true;
            for (topic, known_revision) in &mut link.topics {
                let Some(cache) = caches.get_mut(topic) else {
                    continue;
                };
                let Some(revision) = known_revision.take() else {
                    continue;
                };
                let mut frames = cache
                    .frames_since(*topic, revision, store_uptime)
                    .into_iter();
                sent &= frames.all(|frame| link.frames.try_send(frame).is_ok());
            }
            sent
        });
    }

    /// Sends a frame to the children except `sender` that have subscribed to the topic and are up to date, and
    /// drops the link of a child whose queue is full.
    fn send_to_subscribers(&self, topic: Topic, frame: &Bytes, sender: Option<ChildKey>) {
        let mut state = self.state.borrow_mut();
        state.child_links.retain(|key, link| {
            let is_current = link.topics.get(&topic) == Some(&None) && Some(*key) != sender;
            !is_current || link.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Handles the subscription of a child, which has `revision` of the topic.
    pub(super) fn on_subscribe(&self, key: ChildKey, topic: Topic, revision: u64) {
        if let Some(link) = self.state.borrow_mut().child_links.get_mut(&key) {
            link.topics.entry(topic).or_insert(Some(revision));
        }
        self.subscribe(topic);
        self.catch_up_children();
    }
}

/// Encodes an update. Objects that cannot be encoded are left out.
fn encode_update(topic: Topic, update: &Update) -> Publication {
    let (full, objects) = match update {
        Update::All(objects) => {
            let encoded = objects.iter().filter_map(|o| EncodedObject::new(o, false));
            (true, encoded.collect())
        }
        Update::Changes(changes) => {
            let encoded = changes.iter();
            let encoded =
                encoded.filter_map(|change| EncodedObject::new(&change.object, change.deleted));
            (false, encoded.collect())
        }
    };
    Publication {
        topic,
        full,
        objects,
    }
}
