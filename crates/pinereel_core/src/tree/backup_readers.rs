//! Which children read the store for an instance that it does not answer: for the root, or for a reader that
//! the root has appointed.

use super::MAX_AGE;
use crate::Time;
use compact_str::CompactString;
use std::time::Duration;

/// Children that are asked at the same time, since the store may not answer some of them either.
const GROUP_SIZE: usize = 3;
/// Groups that a root asks one after the other. If the store answers none of them, it most likely answers
/// nobody, and further calls would only add to its load.
pub const MAX_ROOT_GROUPS: usize = 3;
/// Groups that an appointed reader asks in its turn. A root may have a single child, the former root, which
/// the store does not answer either.
pub const MAX_READER_GROUPS: usize = 1;
/// Levels of the tree on which readers ask their own children, counted from the root.
pub const MAX_READER_LEVEL: u32 = 3;
/// Time for which a group may deliver its first data before the next one is asked: three round trips to
/// another region, one of them for a new connection.
const GROUP_PATIENCE: Duration = Duration::from_millis(250);
/// Time after which an instance that has asked all groups in vain begins again.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Age from which on the data of a reader no longer count as delivered. It reads at least every 0.7 s and
/// reports every 0.3 s, over a link.
const MAX_READER_AGE: Duration = Duration::from_millis(1_200);

/// Appoints a few children of an instance that the store does not answer to read it and send the data up.
///
/// The instance publishes the data as if it had read them itself, so that nobody has to find another parent
/// within the time that a change may take. The number of calls that this costs does not depend on the
/// number of instances.
#[derive(Clone, Debug, Default)]
pub struct BackupReaders {
    appointed: Vec<CompactString>,
    /// Children that have been asked since the last retry, the appointed ones included.
    asked: Vec<CompactString>,
    asked_groups: usize,
    /// When the last group was appointed.
    appointed_at: Time,
    /// The reader whose data were received last, with their age and the time of its report.
    last_report: Option<(CompactString, Duration, Time)>,
}

impl BackupReaders {
    /// Updates the appointments and returns whether they have changed. Must be called several times a
    /// second. At most `max_groups` are asked in a row; 0 while the store answers this instance, or if nobody
    /// waits for its data. `children` are the addresses of its children, preferred readers first.
    pub fn step(&mut self, now: Time, max_groups: usize, children: &[CompactString]) -> bool {
        let before = self.appointed.clone();
        if max_groups == 0 {
            *self = Self::default();
            return !before.is_empty();
        }
        self.appointed.retain(|reader| children.contains(reader));
        if let Some(reader) = self.delivering_reader(now).cloned() {
            self.appointed = vec![reader];
            return self.appointed != before;
        }
        let waited = now.since(self.appointed_at);
        let has_asked_all = self.asked_groups >= max_groups;
        if has_asked_all && waited >= RETRY_INTERVAL {
            self.asked.clear();
            self.asked_groups = 0;
            self.appoint_next(now, children);
        } else if has_asked_all && waited >= MAX_AGE {
            self.appointed.clear();
        } else if !has_asked_all && (self.appointed.is_empty() || waited >= GROUP_PATIENCE) {
            self.appoint_next(now, children);
        }
        self.appointed != before
    }

    /// Records that `reader` has sent all data that the store had `age` ago. Returns whether it is
    /// appointed; the report of any other instance is ignored.
    pub fn on_report(&mut self, now: Time, reader: &CompactString, age: Duration) -> bool {
        let appointed = self.is_appointed(reader);
        let is_fresher = self.age(now).is_none_or(|known| age <= known);
        if appointed && is_fresher {
            self.last_report = Some((reader.clone(), age, now));
        }
        appointed
    }

    /// Whether this instance is appointed.
    pub fn is_appointed(&self, reader: &str) -> bool {
        self.appointed.iter().any(|appointed| appointed == reader)
    }

    /// The appointed readers.
    pub fn appointed(&self) -> &[CompactString] {
        &self.appointed
    }

    /// Age of the data received from the readers; `None` if there are none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let (_, age, at) = self.last_report.as_ref()?;
        Some(age.saturating_add(now.since(*at)))
    }

    /// The appointed reader that delivers, if there is one.
    fn delivering_reader(&self, now: Time) -> Option<&CompactString> {
        let (reader, _, _) = self.last_report.as_ref()?;
        let is_current = self.age(now).is_some_and(|age| age < MAX_READER_AGE);
        (is_current && self.is_appointed(reader)).then_some(reader)
    }

    /// Appoints the next group. The previous one goes on reading: its answers may only be slow.
    fn appoint_next(&mut self, now: Time, children: &[CompactString]) {
        let fresh = children.iter().filter(|child| !self.asked.contains(child));
        let group: Vec<_> = fresh.take(GROUP_SIZE).cloned().collect();
        self.asked.extend(group.iter().cloned());
        self.appointed.extend(group);
        self.asked_groups += 1;
        self.appointed_at = now;
    }
}
