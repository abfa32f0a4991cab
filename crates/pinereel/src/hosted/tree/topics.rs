//! What is told of each topic: taken in, kept for children, and passed on to those that want it.

use super::{Frame, Node, Topic, encoded_object::EncodedObject, node::State};
use crate::hosted::follow::Update;
use bytes::Bytes;
use pinereel_core::tree::ChildKey;
use pinereel_port::store::{Change, Object};
use std::{collections::BTreeMap, time::Duration};
use tokio::sync::mpsc;

/// The link to a child.
pub(super) struct ChildLink {
    pub(super) frames: mpsc::Sender<Bytes>,
    /// The topics that the child wants. Until it is brought up to date: the revision as of which it knows the topic.
    pub(super) topics: BTreeMap<Topic, Option<u64>>,
}

/// When something was told.
#[derive(Clone, Copy, Debug)]
pub(super) struct Header {
    /// The store's revision.
    pub(super) revision: u64,
    /// For how long the store had answered all calls of the root.
    pub(super) store_uptime: Duration,
}

/// What is told of a topic, encoded.
pub(super) struct Publication {
    pub(super) topic: Topic,
    /// Whether these are all objects of the topic, and not changes alone.
    pub(super) full: bool,
    pub(super) objects: Vec<EncodedObject>,
}

impl Publication {
    /// The same for the parts of this process.
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
    /// The store has told of a topic.
    pub(super) fn publish_update(&self, topic: Topic, update: Update, revision: u64) {
        let store_uptime = self.parts.store.calm();
        for (topic, update) in self.split_engines(topic, update) {
            if matches!(update, Update::All(_)) {
                self.state.borrow_mut().listed.insert(topic);
            }
            let publication = self.diff_from_cache(encode_update(topic, &update), revision);
            // Nothing differs, but the topic is known as of a later revision.
            if !publication.full && publication.objects.is_empty() {
                self.state
                    .borrow_mut()
                    .topics
                    .entry(topic)
                    .or_default()
                    .revision = revision;
                self.publish_missing();
                continue;
            }
            let header = Header {
                revision,
                store_uptime,
            };
            let frame = publication.frame(header).encode().unwrap_or_default();
            self.apply(publication, header, frame.into());
        }
        self.catch_up_children();
    }

    /// The parent has told of a topic; `frame` is how it did, and how children are told.
    pub(super) fn on_publication(&self, publication: Publication, header: Header, frame: Bytes) {
        // Another parent may lag behind the one before.
        let known_revision = self.state.borrow().revision(publication.topic);
        if header.revision >= known_revision {
            self.apply(publication, header, frame);
            self.catch_up_children();
        }
    }

    /// Takes a publication in and passes it on.
    fn apply(&self, publication: Publication, header: Header, frame: Bytes) {
        let topic = publication.topic;
        self.send_to_subscribers(topic, &frame);
        let feed = &self.parts.feed;
        feed.set_store_uptime(header.store_uptime);
        // Changes alone say nothing to a part that has not been told the rest.
        let publishes_locally =
            feed.is_subscribed(topic) && (publication.full || feed.is_current(topic));
        if publishes_locally {
            feed.publish(topic, publication.update(), header.revision);
        }
        let mut state = self.state.borrow_mut();
        let cache = state.topics.entry(topic).or_default();
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

    /// Tells the parts of this process all that they want and were not told.
    pub(super) fn publish_missing(&self) {
        let feed = &self.parts.feed;
        let state = self.state.borrow();
        for (topic, cache) in &state.topics {
            if feed.is_subscribed(*topic) && !feed.is_current(*topic) {
                feed.publish(*topic, Update::All(cache.objects()), cache.revision);
                log::info!(topic:serde = topic, revision = cache.revision; "bulletin: updates resumed");
            }
        }
    }

    /// Engines are told to those alone that want to know of them: their versions change all the time, and most instances
    /// have nothing to do with them.
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

    /// Whether an entry of the endpoint list is an engine's.
    fn is_engine(&self, object: &Object) -> bool {
        let entry = (self.parts.adapter.endpoint)(&object.name, &object.spec);
        entry.is_ok_and(|entry| !entry.models.is_empty())
    }

    /// The topic that an entry of the endpoint list is told under.
    fn topic_of(&self, name: &str) -> Option<Topic> {
        let state = self.state.borrow();
        let has_entry = |topic: &Topic| state.topics.get(topic).is_some_and(|c| c.contains(name));
        [Topic::Endpoints, Topic::Engines]
            .into_iter()
            .find(has_entry)
    }

    /// A list that was read again is told as what has changed in it.
    fn diff_from_cache(&self, publication: Publication, revision: u64) -> Publication {
        let state = self.state.borrow();
        let cache = state.topics.get(&publication.topic);
        match cache.filter(|cache| cache.revision > 0 && cache.revision <= revision) {
            // Those who hear of leases need all of them.
            Some(cache) if publication.full && publication.topic != Topic::Leases => Publication {
                topic: publication.topic,
                full: false,
                objects: cache.diff(&publication.objects),
            },
            _ => publication,
        }
    }

    /// This instance, or one below it, wants a topic from now on.
    pub(super) fn subscribe(&self, topic: Topic) {
        if Topic::BASE.contains(&topic) {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.subscribed.insert(topic) {
            let revision = state.revision(topic);
            drop(state);
            if let Some(bytes) = (Frame::Subscribe { topic, revision }).encode() {
                // A parent that is found later is told with the first frame.
                let _ = self.to_parent.send(bytes.into());
            }
        }
    }

    /// What this instance wants to be told, and as of which revision it knows that.
    pub(super) fn subscriptions(&self) -> BTreeMap<Topic, u64> {
        let state = self.state.borrow();
        let topics = Topic::BASE.iter().chain(&state.subscribed);
        topics
            .map(|topic| (*topic, state.revision(*topic)))
            .collect()
    }

    /// Forgets the topics that no parent will tell of.
    pub(super) fn drop_unsubscribed(&self) {
        let state = &mut *self.state.borrow_mut();
        let subscribed = &state.subscribed;
        state
            .topics
            .retain(|topic, _| Topic::BASE.contains(topic) || subscribed.contains(topic));
    }

    /// Brings children up to date that wait for it, once what is known here is fresh.
    pub(super) fn catch_up_children(&self) {
        if !self.is_fresh() {
            return;
        }
        let store_uptime = self.parts.feed.store_uptime();
        let State { links, topics, .. } = &mut *self.state.borrow_mut();
        links.retain(|_, link| {
            let mut sent = true;
            for (topic, known_revision) in &mut link.topics {
                let Some(cache) = topics.get_mut(topic) else {
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

    /// Sends what is told of a topic to the children that want it; one that cannot take it is cut.
    fn send_to_subscribers(&self, topic: Topic, frame: &Bytes) {
        let mut state = self.state.borrow_mut();
        state.links.retain(|_, link| {
            let is_current = link.topics.get(&topic) == Some(&None);
            !is_current || link.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// A child wants a topic, which it knows as of a revision.
    pub(super) fn on_subscribe(&self, key: ChildKey, topic: Topic, revision: u64) {
        if let Some(link) = self.state.borrow_mut().links.get_mut(&key) {
            link.topics.entry(topic).or_insert(Some(revision));
        }
        self.subscribe(topic);
        self.catch_up_children();
    }
}

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
