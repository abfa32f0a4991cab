//! Events of a run, and their queue.

use super::trainer::Asked;
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

/// One life of an entry: its index and how often it was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Life {
    pub(super) entry: usize,
    pub(super) number: u32,
}

/// Who sent a request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A runner.
    Attempt(Life, AttemptKey),
    /// A live caller's request, by number and attempt.
    Live(u64, u32),
}

/// One thing that happens.
#[derive(Clone, Debug)]
pub(super) enum Job {
    /// An engine has something due.
    Wake(usize),
    /// A request arrives at an engine.
    Request(usize, Origin, engine::Request),
    /// A cancel arrives at an engine.
    Cancel(usize, CompactString),
    /// A chunk arrives at its origin.
    Chunk(Origin, engine::Chunk),
    /// An attempt broke off, as its origin learns.
    Broken(Origin, AttemptEnd, Failure),
    /// An entry reads an engine's state.
    Poll(Life, usize),
    /// The answer to that.
    Report(Life, usize, u64, LoadReport),
    /// An entry's regular tick.
    Tick(Life),
    /// A lot arrives at the front: trainer, step, entry.
    Submit(usize, u64, usize),
    /// Groups arrive at a runner.
    Assign(usize, Spec),
    /// A collect arrives at the front.
    Collect(Asked),
    /// The front's question arrives at a runner.
    Ask(u64, usize, Token, Version),
    /// The longest wait of a question is over.
    AskOver(Life, u64),
    /// A runner's answer arrives at the front; `None` if the runner can't be reached.
    Reply(u64, usize, Option<(Vec<Sample>, Vec<u32>)>),
    /// The front waits no longer for more answers: collect and round of it.
    Grace(u64, u32),
    /// The front asks again.
    Round(u64),
    /// The answer arrives at the trainer; `None` if its front can't be reached.
    Collected(Asked, Option<(Token, Vec<Sample>)>),
    /// A trainer finished training.
    Trained(usize),
    /// A trainer goes on with its next step.
    Resume(usize),
    /// A trainer tries to publish.
    Publish(usize, Version),
    /// The weights' version becomes known at an entry.
    Known(Life, Version),
    /// An entry lists the weights at the object API.
    List(Life),
    /// The rollout's regular tick.
    Rollout,
    /// An order arrives at an engine.
    Order(usize, Version),
    /// A read by the rollout arrives at an engine.
    Read(usize),
    /// An answer to the rollout; with a fencing token: to an order.
    Status(usize, Option<u64>, Option<Status>),
    /// A live caller's request arrives at an entry.
    Live(u64),
    /// Live requests that wait at an entry look for room.
    Room(Life),
    /// A fault begins.
    Fault(usize),
    /// A fault ends.
    Heal(usize),
}

/// Jobs by time, then by order of being sent.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<(Time, u64), Job>,
    sent: u64,
}

impl Queue {
    /// Adds a job `after` from `now`.
    pub(super) fn send(&mut self, now: Time, after: Duration, job: Job) {
        self.sent += 1;
        self.jobs.insert((now + after, self.sent), job);
    }

    /// The next job and its time.
    pub(super) fn next(&mut self) -> Option<(Time, Job)> {
        let ((time, _), job) = self.jobs.pop_first()?;
        Some((time, job))
    }
}
