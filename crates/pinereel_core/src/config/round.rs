//! A proposer's part: one patch on its way to being accepted or refused.
//!
//! Level-triggered: after anything that is not a plain success the round reads the object again
//! and goes on from what stands there, so a lost answer is never taken for a failure.

use super::{
    Action, Answer, Document, Event, Fault, Pending, Prepare, Proposal, Stored, Write,
    check_change, merge, validate,
};
use crate::{Time, hash::Digest};
use compact_str::CompactString;
use std::{collections::BTreeSet, time::Duration};

/// Members that have not confirmed by then make the patch fail.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// A pending patch of another round that stands unchanged for so long is taken back.
pub const TAKE_OVER: Duration = Duration::from_secs(3);
/// Pause before the object API is asked again, and between two prepare messages to a member.
const RETRY: Duration = Duration::from_millis(250);
/// A call without an answer for so long is taken for lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the round waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    Read,
    Rest,
    Write,
    List,
    Prepare,
    Over,
}

/// One patch on its way.
pub struct Round {
    proposal: Proposal,
    digest: Digest,
    stage: Stage,
    since: Time,
    /// The object as last read or written by this round.
    version: u64,
    stored: Stored,
    /// The content of the write that is under way.
    writing: Stored,
    answered: bool,
    /// When this round first knew its patch to be pending.
    pending_since: Option<Time>,
    /// The version that holds this round's pending patch.
    pending_at: u64,
    /// Whether the accepting write was ever sent.
    accepting: bool,
    /// Once set, the round never accepts: it only takes its patch back.
    refusal: Option<Answer>,
    members: BTreeSet<CompactString>,
    waiting: BTreeSet<CompactString>,
    prepared_at: Time,
    /// A foreign pending patch: its version, and when it was first seen.
    foreign: Option<(u64, Time)>,
}

impl Round {
    /// A round that starts with its first tick.
    pub fn new(now: Time, proposal: Proposal) -> Self {
        let text = format!("{}:{}", proposal.base, proposal.content);
        Self {
            digest: Digest::of(text.as_bytes()),
            proposal,
            stage: Stage::Start,
            since: now,
            version: 0,
            stored: Stored::default(),
            writing: Stored::default(),
            answered: false,
            pending_since: None,
            pending_at: 0,
            accepting: false,
            refusal: None,
            members: BTreeSet::new(),
            waiting: BTreeSet::new(),
            prepared_at: now,
            foreign: None,
        }
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// Takes one event and returns what is to be done.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_over() {
            return actions;
        }
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Read(read) => self.read(now, read, &mut actions),
            Event::Written { version, write } => self.written(now, version, write, &mut actions),
            Event::Members(members) => self.listed(now, members, &mut actions),
            Event::Confirmed { from, write } => self.confirmed(now, &from, &write, &mut actions),
        }
        actions
    }

    fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.since = now;
    }

    fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.enter(now, Stage::Read);
        actions.push(Action::Read);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.proposal.deadline {
            self.give_up(now, actions);
            return;
        }
        let waited = now.since(self.since);
        match self.stage {
            Stage::Start => self.ask(now, actions),
            Stage::Rest if waited >= RETRY => self.ask(now, actions),
            Stage::Read | Stage::Write | Stage::List if waited >= CALL_TIMEOUT => {
                self.ask(now, actions);
            }
            Stage::Prepare => self.remind(now, actions),
            _ => {}
        }
        self.check_patience(now, actions);
    }

    /// The prepare timeout counts from the pending write, whatever the round waits for.
    fn check_patience(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(since) = self.pending_since else {
            return;
        };
        let late = now.since(since) >= PREPARE_TIMEOUT;
        if !late || self.accepting || self.refusal.is_some() {
            return;
        }
        let missing = self.waiting.iter().cloned().collect();
        self.refuse(now, Answer::NotConfirmed(missing), actions);
    }

    /// Decides never to accept, which is final without any write, and cleans up.
    fn refuse(&mut self, now: Time, answer: Answer, actions: &mut Vec<Action>) {
        self.refusal = Some(answer.clone());
        let write = self.proposal.write.clone();
        actions.push(Action::Abort {
            to: self.members.clone(),
            write,
        });
        self.tell(answer, actions);
        if self.stage == Stage::Prepare {
            self.take_back(now, actions);
        }
    }

    fn take_back(&mut self, now: Time, actions: &mut Vec<Action>) {
        let stored = self.stored.taken_back();
        self.write(now, stored, actions);
    }

    fn write(&mut self, now: Time, stored: Stored, actions: &mut Vec<Action>) {
        self.enter(now, Stage::Write);
        self.writing = stored.clone();
        actions.push(Action::Write {
            version: self.version,
            stored,
        });
    }

    /// At the deadline. Refused for certain only if the own patch was seen pending, so that no
    /// earlier round of the same patch had been accepted, and the accepting write was never sent.
    fn give_up(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.refusal.is_none() && (self.accepting || self.pending_since.is_none()) {
            self.answer(now, Answer::Unknown, actions);
            return;
        }
        if self.refusal.is_none() {
            let write = self.proposal.write.clone();
            actions.push(Action::Abort {
                to: self.members.clone(),
                write,
            });
        }
        let answer = self.refusal.take().unwrap_or(Answer::Late);
        self.answer(now, answer, actions);
    }

    fn answer(&mut self, now: Time, answer: Answer, actions: &mut Vec<Action>) {
        self.enter(now, Stage::Over);
        self.tell(answer, actions);
    }

    fn tell(&mut self, answer: Answer, actions: &mut Vec<Action>) {
        if !self.answered {
            self.answered = true;
            actions.push(Action::Answer(answer));
        }
    }

    fn remind(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.prepared_at) < RETRY {
            return;
        }
        self.prepared_at = now;
        self.send_prepare(actions);
    }

    fn send_prepare(&self, actions: &mut Vec<Action>) {
        let Some(pending) = &self.stored.pending else {
            return;
        };
        let prepare = Prepare {
            version: self.pending_at,
            number: pending.number,
            document: pending.document.clone(),
            write: pending.write.clone(),
        };
        actions.push(Action::Prepare {
            to: self.waiting.clone(),
            prepare,
        });
    }

    fn read(&mut self, now: Time, read: Option<(u64, Stored)>, actions: &mut Vec<Action>) {
        if self.stage != Stage::Read {
            return;
        }
        let Some((version, stored)) = read else {
            self.enter(now, Stage::Rest);
            return;
        };
        if version < self.version {
            // An answer to an earlier read that was late.
            self.enter(now, Stage::Rest);
            return;
        }
        self.version = version;
        self.stored = stored;
        self.decide(now, actions);
    }

    /// Goes on from what stands in the object.
    fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(accepted) = self.stored.find(&self.proposal.patch) {
            let number = accepted.number;
            if accepted.digest != self.digest {
                self.answer(now, Answer::Reused(number), actions);
                return;
            }
            self.accepted(now, number, actions);
            return;
        }
        let own = self
            .stored
            .pending
            .as_ref()
            .map(|p| p.write == self.proposal.write);
        match own {
            Some(true) => self.proceed(now, actions),
            Some(false) if self.pending_since.is_none() => self.wait_for_other(now, actions),
            None if self.pending_since.is_none() => self.open(now, actions),
            _ => self.lost(now, actions),
        }
    }

    /// The patch was pending, is so no more, and was not accepted.
    fn lost(&mut self, now: Time, actions: &mut Vec<Action>) {
        let oldest = self.stored.accepted.first().map_or(u64::MAX, |a| a.number);
        let forgotten = self.accepting && oldest > self.proposal.base + 1;
        if forgotten && self.stored.number > self.proposal.base {
            self.answer(now, Answer::Unknown, actions);
            return;
        }
        let answer = self.refusal.take().unwrap_or(Answer::TakenBack);
        self.answer(now, answer, actions);
    }

    fn accepted(&mut self, now: Time, number: u64, actions: &mut Vec<Action>) {
        let write = self.proposal.write.clone();
        let to = self.members.clone();
        actions.push(Action::Commit { to, number, write });
        self.answer(now, Answer::Accepted(number), actions);
    }

    fn wait_for_other(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.stored.number != self.proposal.base {
            self.answer(now, Answer::Conflict(self.stored.number), actions);
            return;
        }
        match self.foreign {
            Some((version, since)) if version == self.version => {
                if now.since(since) >= TAKE_OVER {
                    self.take_back(now, actions);
                    return;
                }
            }
            _ => self.foreign = Some((self.version, now)),
        }
        self.enter(now, Stage::Rest);
    }

    /// Checks the patch against the number in force and writes it as pending.
    fn open(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.stored.number != self.proposal.base {
            self.answer(now, Answer::Conflict(self.stored.number), actions);
            return;
        }
        let document = match self.checked() {
            Ok(document) => document,
            Err(faults) => {
                self.answer(now, Answer::Invalid(faults), actions);
                return;
            }
        };
        let mut stored = self.stored.clone();
        stored.pending = Some(Pending {
            number: self.stored.number + 1,
            document,
            patch: self.proposal.patch.clone(),
            digest: self.digest,
            proposer: self.proposal.proposer.clone(),
            write: self.proposal.write.clone(),
        });
        self.write(now, stored, actions);
    }

    fn checked(&self) -> Result<Document, Vec<Fault>> {
        let document = validate(&merge(&self.stored.document, &self.proposal.content))?;
        let faults = check_change(&self.stored.document, &document);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    /// The own patch is pending: take it back, accept it, or ask the members.
    fn proceed(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.pending_at = self.version;
        self.pending_since.get_or_insert(now);
        if self.refusal.is_some() {
            self.take_back(now, actions);
        } else if self.accepting {
            self.accept(now, actions);
        } else {
            // The list must be read after the pending write: an entry that it lacks registers
            // later, reads the configuration after that, and so finds the pending patch.
            self.enter(now, Stage::List);
            actions.push(Action::List);
        }
    }

    fn accept(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(stored) = self.stored.committed() else {
            return;
        };
        self.accepting = true;
        self.write(now, stored, actions);
    }

    fn written(&mut self, now: Time, version: u64, write: Write, actions: &mut Vec<Action>) {
        if self.stage != Stage::Write || version != self.version {
            return;
        }
        match write {
            Write::Done(version) => {
                self.version = version;
                self.stored = self.writing.clone();
                self.decide(now, actions);
            }
            Write::Stale => self.ask(now, actions),
            Write::Lost => self.enter(now, Stage::Rest),
        }
    }

    fn listed(
        &mut self,
        now: Time,
        members: Option<BTreeSet<CompactString>>,
        actions: &mut Vec<Action>,
    ) {
        if self.stage != Stage::List {
            return;
        }
        let Some(members) = members else {
            self.enter(now, Stage::Rest);
            return;
        };
        // The own instance is asked like all others.
        self.waiting = members.clone();
        self.members = members;
        self.enter(now, Stage::Prepare);
        self.prepared_at = now;
        if self.waiting.is_empty() {
            self.accept(now, actions);
            return;
        }
        self.send_prepare(actions);
    }

    fn confirmed(&mut self, now: Time, from: &str, write: &str, actions: &mut Vec<Action>) {
        if self.stage != Stage::Prepare || write != self.proposal.write {
            return;
        }
        let late = self
            .pending_since
            .is_some_and(|since| now.since(since) >= PREPARE_TIMEOUT);
        if late {
            // Not removed first: the refusal names who was not in time.
            self.check_patience(now, actions);
            return;
        }
        self.waiting.remove(from);
        if self.waiting.is_empty() {
            self.accept(now, actions);
        }
    }
}
