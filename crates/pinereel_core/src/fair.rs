//! Start-time fair queueing between trainers that share engines.
//!
//! Each flow (a trainer) has a virtual finish time that grows with the cost of the work it was
//! given, divided by its weight. The backlogged flow with the earliest virtual start time is served
//! next. A flow that was idle starts at the present virtual time, so it accumulates no credit.

use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};

/// Priority class of work at an engine. Work of a higher class is served first, whatever the
/// weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Ordinary samples of a step.
    #[default]
    Bulk,
    /// Samples that delay the end of a step.
    Straggler,
    /// Requests of callers that wait for the answer.
    Live,
}

impl Class {
    /// All classes, highest first.
    pub const ALL: [Self; 3] = [Self::Live, Self::Straggler, Self::Bulk];

    /// The priority as engines expect it; a higher number goes first.
    pub const fn number(self) -> u8 {
        self as u8
    }
}

/// Virtual time per unit of cost at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1_000;

/// Maximum number of flows with a stored finish time. Flows whose finish time has passed are
/// evicted first.
const MAX_FLOWS: usize = 1_024;

/// Virtual times of the flows that share a resource.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    finish_times: BTreeMap<CompactString, u64>,
    virtual_time: u64,
}

impl Scheduler {
    /// The one of the `backlogged` flows that is served next; ties go to the first by name.
    pub fn next_flow<'a>(&self, backlogged: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
        let starts = backlogged
            .into_iter()
            .map(|flow| (self.start_time(flow), flow));
        starts.min().map(|(_, flow)| flow)
    }

    /// Charges `flow` for work of `cost` units. A weight or cost of 0 counts as 1.
    pub fn charge(&mut self, flow: &str, weight: u32, cost: u64) {
        let start = self.start_time(flow);
        self.virtual_time = self.virtual_time.max(start);
        let duration = cost.max(1).saturating_mul(VIRTUAL_TIME_PER_COST) / u64::from(weight.max(1));
        let finish = start.saturating_add(duration.max(1));
        self.finish_times.insert(flow.into(), finish);
        self.evict_flows();
    }

    fn start_time(&self, flow: &str) -> u64 {
        self.finish_times
            .get(flow)
            .map_or(self.virtual_time, |f| self.virtual_time.max(*f))
    }

    /// Evicts flows if there are too many. A flow whose finish time has passed is equivalent to an
    /// unknown one.
    fn evict_flows(&mut self) {
        if self.finish_times.len() <= MAX_FLOWS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.finish_times.retain(|_, finish| *finish > virtual_time);
        if self.finish_times.len() > MAX_FLOWS {
            self.finish_times.pop_first();
        }
    }
}

/// Bounded queue, ordered by class, then by fair share of the flows, then first in, first out.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    classes: BTreeMap<Class, BTreeMap<CompactString, VecDeque<Item<T>>>>,
    scheduler: Scheduler,
    len: usize,
    max_len: usize,
}

#[derive(Clone, Debug)]
struct Item<T> {
    weight: u32,
    cost: u64,
    value: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue of at most `max_len` items.
    pub const fn new(max_len: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            scheduler: Scheduler {
                finish_times: BTreeMap::new(),
                virtual_time: 0,
            },
            len: 0,
            max_len,
        }
    }

    /// Number of queued items.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue has no items.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item to the queue of `flow`. Its cost and weight are charged when it is taken.
    ///
    /// # Errors
    /// Returns the item if the queue is full.
    pub fn push(
        &mut self,
        flow: &str,
        class: Class,
        weight: u32,
        cost: u64,
        value: T,
    ) -> Result<(), T> {
        if self.len >= self.max_len {
            return Err(value);
        }
        let flows = self.classes.entry(class).or_default();
        flows.entry(flow.into()).or_default().push_back(Item {
            weight,
            cost,
            value,
        });
        self.len += 1;
        Ok(())
    }

    /// Removes the next item and charges its flow.
    pub fn pop(&mut self) -> Option<T> {
        let (class, flows) = self.classes.iter_mut().next_back()?;
        let class = *class;
        let flow = self
            .scheduler
            .next_flow(flows.keys().map(CompactString::as_str))?;
        let flow = CompactString::from(flow);
        let items = flows.get_mut(&flow)?;
        let item = items.pop_front()?;
        if items.is_empty() {
            flows.remove(&flow);
        }
        if flows.is_empty() {
            self.classes.remove(&class);
        }
        self.scheduler.charge(&flow, item.weight, item.cost);
        self.len -= 1;
        Some(item.value)
    }
}
