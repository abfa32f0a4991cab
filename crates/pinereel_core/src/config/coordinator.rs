//! Coordinator of the two-phase commit of one patch, run by the instance that got it from the
//! operator.
//!
//! It is level-triggered: after any result but a plain success it reads the object again and goes
//! on from the content it finds, so it never takes a lost response for a failure.

use super::{
    Answer, CoordinatorAction, CoordinatorEvent, Document, Fault, PendingPatch, Prepare, Proposal,
    StoredConfig, WriteResult, check_change, merge, validate,
};
use crate::{Time, hash::Digest};
use compact_str::CompactString;
use std::{collections::BTreeSet, time::Duration};

/// Time after the pending write by which all members must have confirmed, or the patch is refused.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unchanged pending patch of another coordinator is aborted.
pub const FOREIGN_PENDING_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the object API is called again, and interval between prepare messages to a member.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a call without a response counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the coordinator waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    Reading,
    Backoff,
    Writing,
    Listing,
    Preparing,
    Done,
}

/// State machine that carries one patch to an answer.
pub struct Coordinator {
    proposal: Proposal,
    digest: Digest,
    stage: Stage,
    stage_since: Time,
    /// Version of the object as last read or written here.
    version: u64,
    stored: StoredConfig,
    /// Content of the write in flight.
    in_flight: StoredConfig,
    answered: bool,
    /// When this coordinator first knew its patch to be pending.
    pending_since: Option<Time>,
    /// Version of the object that holds this coordinator's pending patch.
    pending_version: u64,
    /// Whether the write that accepts the patch was ever sent.
    accept_write_sent: bool,
    /// Once set, the coordinator never accepts its patch and only aborts it.
    refusal: Option<Answer>,
    members: BTreeSet<CompactString>,
    unconfirmed: BTreeSet<CompactString>,
    prepare_sent_at: Time,
    /// Another coordinator's pending patch: the object's version, and when it was first seen.
    foreign_pending: Option<(u64, Time)>,
}

impl Coordinator {
    /// Creates a coordinator that starts with its first tick.
    pub fn new(now: Time, proposal: Proposal) -> Self {
        let text = format!("{}:{}", proposal.base, proposal.content);
        Self {
            digest: Digest::of(text.as_bytes()),
            proposal,
            stage: Stage::Start,
            stage_since: now,
            version: 0,
            stored: StoredConfig::default(),
            in_flight: StoredConfig::default(),
            answered: false,
            pending_since: None,
            pending_version: 0,
            accept_write_sent: false,
            refusal: None,
            members: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            prepare_sent_at: now,
            foreign_pending: None,
        }
    }

    /// Whether the coordinator has answered and has nothing left to clean up.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now: Time, event: CoordinatorEvent) -> Vec<CoordinatorAction> {
        let mut actions = Vec::new();
        if self.is_done() {
            return actions;
        }
        match event {
            CoordinatorEvent::Tick => self.on_tick(now, &mut actions),
            CoordinatorEvent::Read(read) => self.on_read(now, read, &mut actions),
            CoordinatorEvent::Written { version, result } => {
                self.on_written(now, version, result, &mut actions);
            }
            CoordinatorEvent::Listed(members) => self.on_listed(now, members, &mut actions),
            CoordinatorEvent::Confirmed { from, write_id } => {
                self.on_confirmed(now, &from, &write_id, &mut actions);
            }
        }
        actions
    }

    fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_since = now;
    }

    fn start_read(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        self.enter(now, Stage::Reading);
        actions.push(CoordinatorAction::Read);
    }

    fn on_tick(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if now >= self.proposal.deadline {
            self.on_deadline(now, actions);
            return;
        }
        let waited = now.since(self.stage_since);
        match self.stage {
            Stage::Start => self.start_read(now, actions),
            Stage::Backoff if waited >= RETRY_INTERVAL => self.start_read(now, actions),
            Stage::Reading | Stage::Writing | Stage::Listing if waited >= CALL_TIMEOUT => {
                self.start_read(now, actions);
            }
            Stage::Preparing => self.resend_prepare(now, actions),
            _ => {}
        }
        self.check_prepare_timeout(now, actions);
    }

    /// Refuses the patch after the prepare timeout, which counts from the pending write regardless
    /// of the current stage.
    fn check_prepare_timeout(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        let Some(since) = self.pending_since else {
            return;
        };
        let late = now.since(since) >= PREPARE_TIMEOUT;
        if !late || self.accept_write_sent || self.refusal.is_some() {
            return;
        }
        let missing = self.unconfirmed.iter().cloned().collect();
        self.refuse(now, Answer::NotConfirmed(missing), actions);
    }

    /// Decides never to accept the patch and cleans up. The decision is final without a write,
    /// because only this coordinator may accept the patch.
    fn refuse(&mut self, now: Time, answer: Answer, actions: &mut Vec<CoordinatorAction>) {
        self.refusal = Some(answer.clone());
        let write_id = self.proposal.write_id.clone();
        actions.push(CoordinatorAction::Abort {
            to: self.members.clone(),
            write_id,
        });
        self.send_answer(answer, actions);
        if self.stage == Stage::Preparing {
            self.abort_pending(now, actions);
        }
    }

    fn abort_pending(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        let stored = self.stored.without_pending();
        self.send_write(now, stored, actions);
    }

    fn send_write(
        &mut self,
        now: Time,
        stored: StoredConfig,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        self.enter(now, Stage::Writing);
        self.in_flight = stored.clone();
        actions.push(CoordinatorAction::Write {
            version: self.version,
            stored,
        });
    }

    /// Answers at the deadline. The patch is certainly refused only if it was seen pending, so that
    /// no earlier attempt of the same patch had been accepted, and the accepting write was never
    /// sent.
    fn on_deadline(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if self.refusal.is_none() && (self.accept_write_sent || self.pending_since.is_none()) {
            self.finish(now, Answer::Unknown, actions);
            return;
        }
        if self.refusal.is_none() {
            let write_id = self.proposal.write_id.clone();
            actions.push(CoordinatorAction::Abort {
                to: self.members.clone(),
                write_id,
            });
        }
        let answer = self.refusal.take().unwrap_or(Answer::Late);
        self.finish(now, answer, actions);
    }

    fn finish(&mut self, now: Time, answer: Answer, actions: &mut Vec<CoordinatorAction>) {
        self.enter(now, Stage::Done);
        self.send_answer(answer, actions);
    }

    fn send_answer(&mut self, answer: Answer, actions: &mut Vec<CoordinatorAction>) {
        if !self.answered {
            self.answered = true;
            actions.push(CoordinatorAction::Answer(answer));
        }
    }

    fn resend_prepare(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if now.since(self.prepare_sent_at) < RETRY_INTERVAL {
            return;
        }
        self.prepare_sent_at = now;
        self.send_prepare(actions);
    }

    fn send_prepare(&self, actions: &mut Vec<CoordinatorAction>) {
        let Some(pending) = &self.stored.pending else {
            return;
        };
        let prepare = Prepare {
            version: self.pending_version,
            number: pending.number,
            document: pending.document.clone(),
            write_id: pending.write_id.clone(),
        };
        actions.push(CoordinatorAction::Prepare {
            to: self.unconfirmed.clone(),
            prepare,
        });
    }

    fn on_read(
        &mut self,
        now: Time,
        read: Option<(u64, StoredConfig)>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.stage != Stage::Reading {
            return;
        }
        let Some((version, stored)) = read else {
            self.enter(now, Stage::Backoff);
            return;
        };
        if version < self.version {
            // The late response to an earlier read.
            self.enter(now, Stage::Backoff);
            return;
        }
        self.version = version;
        self.stored = stored;
        self.advance(now, actions);
    }

    /// Selects the next step from the content of the object.
    fn advance(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if let Some(accepted) = self.stored.find_accepted(&self.proposal.patch) {
            let number = accepted.number;
            if accepted.digest != self.digest {
                self.finish(now, Answer::Reused(number), actions);
                return;
            }
            self.finish_accepted(now, number, actions);
            return;
        }
        let is_own = self
            .stored
            .pending
            .as_ref()
            .map(|p| p.write_id == self.proposal.write_id);
        match is_own {
            Some(true) => self.on_own_pending(now, actions),
            Some(false) if self.pending_since.is_none() => self.wait_for_foreign(now, actions),
            None if self.pending_since.is_none() => self.write_pending(now, actions),
            _ => self.on_pending_removed(now, actions),
        }
    }

    /// Finishes a patch that is no longer pending and not among the accepted ones. If the list of
    /// accepted patches no longer reaches back far enough, the result of the patch is unknown.
    fn on_pending_removed(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        let oldest = self.stored.accepted.first().map_or(u64::MAX, |a| a.number);
        let may_be_forgotten = self.accept_write_sent && oldest > self.proposal.base + 1;
        if may_be_forgotten && self.stored.number > self.proposal.base {
            self.finish(now, Answer::Unknown, actions);
            return;
        }
        let answer = self.refusal.take().unwrap_or(Answer::TakenBack);
        self.finish(now, answer, actions);
    }

    fn finish_accepted(&mut self, now: Time, number: u64, actions: &mut Vec<CoordinatorAction>) {
        let write_id = self.proposal.write_id.clone();
        let to = self.members.clone();
        actions.push(CoordinatorAction::Commit {
            to,
            number,
            write_id,
        });
        self.finish(now, Answer::Accepted(number), actions);
    }

    fn wait_for_foreign(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if self.stored.number != self.proposal.base {
            self.finish(now, Answer::Conflict(self.stored.number), actions);
            return;
        }
        match self.foreign_pending {
            Some((version, since)) if version == self.version => {
                if now.since(since) >= FOREIGN_PENDING_TIMEOUT {
                    self.abort_pending(now, actions);
                    return;
                }
            }
            _ => self.foreign_pending = Some((self.version, now)),
        }
        self.enter(now, Stage::Backoff);
    }

    /// Validates the patch against the configuration in force and writes it as pending.
    fn write_pending(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        if self.stored.number != self.proposal.base {
            self.finish(now, Answer::Conflict(self.stored.number), actions);
            return;
        }
        let document = match self.checked_document() {
            Ok(document) => document,
            Err(faults) => {
                self.finish(now, Answer::Invalid(faults), actions);
                return;
            }
        };
        let mut stored = self.stored.clone();
        stored.pending = Some(PendingPatch {
            number: self.stored.number + 1,
            document,
            patch: self.proposal.patch.clone(),
            digest: self.digest,
            proposer: self.proposal.proposer.clone(),
            write_id: self.proposal.write_id.clone(),
        });
        self.send_write(now, stored, actions);
    }

    fn checked_document(&self) -> Result<Document, Vec<Fault>> {
        let document = validate(&merge(&self.stored.document, &self.proposal.content))?;
        let faults = check_change(&self.stored.document, &document);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    /// Proceeds with the coordinator's own patch, which is pending: aborts it, accepts it, or asks the
    /// members to prepare.
    fn on_own_pending(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        self.pending_version = self.version;
        self.pending_since.get_or_insert(now);
        if self.refusal.is_some() {
            self.abort_pending(now, actions);
        } else if self.accept_write_sent {
            self.write_accepted(now, actions);
        } else {
            // The members must be listed after the pending write: an instance missing from the list
            // registers later, reads the configuration after that, and so finds the pending patch.
            self.enter(now, Stage::Listing);
            actions.push(CoordinatorAction::List);
        }
    }

    fn write_accepted(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        let Some(stored) = self.stored.with_pending_accepted() else {
            return;
        };
        self.accept_write_sent = true;
        self.send_write(now, stored, actions);
    }

    fn on_written(
        &mut self,
        now: Time,
        version: u64,
        result: WriteResult,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.stage != Stage::Writing || version != self.version {
            return;
        }
        match result {
            WriteResult::Written(version) => {
                self.version = version;
                self.stored = self.in_flight.clone();
                self.advance(now, actions);
            }
            WriteResult::Conflict => self.start_read(now, actions),
            WriteResult::Unknown => self.enter(now, Stage::Backoff),
        }
    }

    fn on_listed(
        &mut self,
        now: Time,
        members: Option<BTreeSet<CompactString>>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.stage != Stage::Listing {
            return;
        }
        let Some(members) = members else {
            self.enter(now, Stage::Backoff);
            return;
        };
        // The coordinator's own instance is asked like all others.
        self.unconfirmed = members.clone();
        self.members = members;
        self.enter(now, Stage::Preparing);
        self.prepare_sent_at = now;
        if self.unconfirmed.is_empty() {
            self.write_accepted(now, actions);
            return;
        }
        self.send_prepare(actions);
    }

    fn on_confirmed(
        &mut self,
        now: Time,
        from: &str,
        write_id: &str,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.stage != Stage::Preparing || write_id != self.proposal.write_id {
            return;
        }
        let late = self
            .pending_since
            .is_some_and(|since| now.since(since) >= PREPARE_TIMEOUT);
        if late {
            // Not removed from `unconfirmed`: the refusal names the instances that were late.
            self.check_prepare_timeout(now, actions);
            return;
        }
        self.unconfirmed.remove(from);
        if self.unconfirmed.is_empty() {
            self.write_accepted(now, actions);
        }
    }
}
