//! Events of a run, and the queue that orders them by time.

use super::trainer::CollectCall;
use compact_str::CompactString;
use pinereel_api::engine;
use pinereel_core::{
    Time, Version,
    cursor::Token,
    endpoint::{AttemptEnd, LoadReport},
    lot::{AttemptKey, Failure, Sample, Spec},
    rollout::Status,
};
use std::{collections::BTreeMap, time::Duration};

/// Identifies one incarnation of an entry. An event for an earlier incarnation is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryId {
    pub(super) index: usize,
    /// Number of restarts before this incarnation.
    pub(super) incarnation: u32,
}

/// Sender of a request to an engine, which gets the chunks of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// An entry's runner, for an attempt of a sample.
    Sample(EntryId, AttemptKey),
    /// An entry, for a live request: number of the request and of the attempt.
    Live(u64, u32),
}

/// Finished samples from a runner, and the requested groups that it does not have.
pub(super) type RunnerSamples = (Vec<Sample>, Vec<u32>);

/// An event. Trainers, engines, entries and faults are named by index, unless an [`EntryId`] names
/// the incarnation as well.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A step or a weight swap of an engine ends.
    EngineDue(usize),
    /// A request arrives at an engine.
    Request(usize, Origin, engine::Request),
    /// The cancellation of a request, named by its id, arrives at an engine.
    Cancel(usize, CompactString),
    /// A chunk arrives at the sender of the request.
    Chunk(Origin, engine::Chunk),
    /// The sender of a request learns that its attempt failed.
    AttemptFailed(Origin, AttemptEnd, Failure),
    /// An entry requests an engine's load report.
    PollEngine(EntryId, usize),
    /// A load report arrives: entry, engine, the engine's incarnation, report.
    Report(EntryId, usize, u64, LoadReport),
    /// Periodic tick of an entry's runner.
    RunnerTick(EntryId),
    /// A lot arrives at an entry: trainer, step, entry.
    Submit(usize, u64, usize),
    /// Groups of a lot arrive at the entry whose runner is to run them.
    Assign(usize, Spec),
    /// A collect arrives at the entry that its trainer calls.
    Collect(CollectCall),
    /// A query arrives at a runner: number of the collect, entry of the runner, token, version.
    Query(u64, usize, Token, Version),
    /// The wait of a query at a runner is over: entry, number of the query.
    QueryTimeout(EntryId, u64),
    /// A runner's reply to a query arrives: number of the collect, entry of the runner, samples.
    /// `None` if the runner cannot be reached.
    Reply(u64, usize, Option<RunnerSamples>),
    /// The wait for further replies is over: number of the collect, and its value of
    /// `PendingCollect::generation` when the wait began.
    GraceOver(u64, u32),
    /// The next round of queries of a collect begins: number of the collect.
    NextRound(u64),
    /// The answer to a collect arrives at its trainer; `None` if the entry cannot be reached or
    /// does not know the lot.
    Collected(CollectCall, Option<(Token, Vec<Sample>)>),
    /// A trainer ends its training on a step's samples.
    TrainingDone(usize),
    /// A trainer begins its next step.
    NextStep(usize),
    /// A trainer's publication of a version arrives at its entry.
    Publish(usize, Version),
    /// An entry learns that a version is published.
    VersionKnown(EntryId, Version),
    /// An entry lists the weights and the instances at the object API.
    ListObjects(EntryId),
    /// Periodic tick of the rollout.
    RolloutTick,
    /// An order to load a version arrives at an engine.
    Order(usize, Version),
    /// A read of the status, sent by the rollout, arrives at an engine.
    ReadStatus(usize),
    /// An engine's answer arrives at the rollout: engine, status. `None` for the status if the
    /// engine is down. With a fencing token, it answers an order, otherwise a read.
    Status(usize, Option<u64>, Option<Status>),
    /// A live request arrives at an entry: number of the request.
    LiveRequest(u64),
    /// An entry tries again to route the live requests that wait for a free slot.
    RouteWaiting(EntryId),
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends.
    FaultEnd(usize),
}

/// Pending events, ordered by time; events of the same time keep the order in which they were
/// scheduled.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// By time and sequence number.
    events: BTreeMap<(Time, u64), Event>,
    last_sequence: u64,
}

impl Queue {
    /// Schedules an event at `now + delay`.
    pub(super) fn schedule(&mut self, now: Time, delay: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.insert((now + delay, self.last_sequence), event);
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let ((time, _), event) = self.events.pop_first()?;
        Some((time, event))
    }
}
