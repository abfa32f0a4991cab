//! One patch on its way, with this entry as its proposer.

use super::{read_stored, relay, write_stored};
use crate::{
    controllers::members,
    filters::{may_have_run, not_run},
    state::{Shared, spawn},
};
use compact_str::{CompactString, format_compact};
use pinereel_api::{Problem, operator::Patch, problem::Code};
use pinereel_core::{
    Time,
    config::{
        Answer, Coordinator, CoordinatorAction, CoordinatorEvent, Document, Fault, Proposal,
        check_change, merge, validate,
    },
};
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

/// Pause between ticks of a round, which wants one at least every 250 ms.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait of an operator for an answer: a foreign patch's take-over and an own round.
const DEADLINE: Duration = Duration::from_secs(8);
/// Failed reads in a row, before anything was written, that end a round.
const MAX_FAILED_READS: u32 = 3;
/// A round that has read nothing for so long ends.
const READ_PATIENCE: Duration = Duration::from_secs(2);
/// Most rounds under way at one entry.
const MAX_OPEN: u32 = 32;
/// Longest id of a patch, in bytes: the object keeps the last ones.
const MAX_ID: usize = 128;
/// Largest document, in bytes of JSON: the object holds two, and the accepted ids.
const MAX_DOCUMENT: usize = 400_000;
/// When an operator shall come back.
const RETRY_AFTER_MS: u64 = 1_000;

/// Checks a patch against what is in force here, and gives the document that it would make.
///
/// # Errors
/// `Conflict`, `InvalidPatch`, or `Unavailable` before the first read.
pub fn check(shared: &Shared, patch: &Patch) -> Result<Document, Problem> {
    let pin = crate::filters::pin::last_known(shared)?;
    if patch.base != pin.number {
        return Err(conflict(pin.number));
    }
    let document = validate(&merge(&pin.document, &patch.merge)).map_err(|f| invalid(&f))?;
    let mut faults = check_change(&pin.document, &document);
    faults.extend(too_large(&document));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(invalid(&faults))
    }
}

/// Brings a patch into force everywhere; gives its number.
///
/// # Errors
/// A refusal if it will certainly not be in force, `Unknown` if that is not known.
pub async fn propose(shared: &Rc<Shared>, patch: Patch) -> Result<u64, Problem> {
    if patch.id.is_empty() || patch.id.len() > MAX_ID {
        let message = format_compact!("the patch's id is empty or longer than {MAX_ID} bytes");
        return Err(not_run(Code::BadRequest, message));
    }
    // What is not tried is "unknown": an earlier sending of the patch may have been accepted.
    if shared.drain.refuses() {
        return Err(later(may_have_run(
            Code::Unavailable,
            "this instance is draining",
        )));
    }
    let open = shared.config.open.get();
    if open >= MAX_OPEN {
        return Err(later(may_have_run(
            Code::Overloaded,
            "too many patches at once",
        )));
    }
    shared.config.open.set(open + 1);
    let (sender, answer) = oneshot::channel();
    let id = patch.id.clone();
    spawn(shared, async move |shared| {
        // A graceful stop waits for it.
        let _guard = shared.drain.enter();
        let driver = Driver::new(Rc::clone(&shared), patch, sender);
        driver.run().await;
        shared.config.open.set(shared.config.open.get() - 1);
    });
    let answer = answer.await.unwrap_or(Ending::Round(Answer::Unknown));
    log::info!(entry = shared.name().as_str(), patch = id.as_str(); "config: patch: {answer:?}");
    answer.into_result()
}

/// How a round ended for the operator.
#[derive(Debug)]
enum Ending {
    /// By its own decision.
    Round(Answer),
    /// The object API could not be read and nothing had been written.
    NotReached,
}

/// Carries out what a round wants until it is over.
struct Driver {
    shared: Rc<Shared>,
    round: Coordinator,
    write: CompactString,
    answer: Option<oneshot::Sender<Ending>>,
    events: mpsc::UnboundedReceiver<CoordinatorEvent>,
    sender: mpsc::UnboundedSender<CoordinatorEvent>,
    attempt: u64,
    started: Time,
    was_read: bool,
    failed_reads: u32,
    wrote: bool,
    ended: bool,
}

impl Driver {
    fn new(shared: Rc<Shared>, patch: Patch, answer: oneshot::Sender<Ending>) -> Self {
        let now = shared.now();
        let count = shared.config.rounds.get();
        shared.config.rounds.set(count + 1);
        let write = format_compact!("{}-{:x}-{count}", shared.name(), shared.incarnation);
        let proposal = Proposal {
            patch: patch.id,
            base: patch.base,
            content: patch.merge,
            proposer: shared.name().clone(),
            write_id: write.clone(),
            deadline: now + DEADLINE,
        };
        // Bounded by the calls under way: each sends one event.
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            round: Coordinator::new(now, proposal),
            shared,
            write,
            answer: Some(answer),
            events,
            sender,
            attempt: 0,
            started: now,
            was_read: false,
            failed_reads: 0,
            wrote: false,
            ended: false,
        }
    }

    async fn run(mut self) {
        let mut event = CoordinatorEvent::Tick;
        loop {
            self.note(&event);
            if self.is_stuck() {
                self.tell(Ending::NotReached);
                return;
            }
            let now = self.shared.now();
            for action in self.round.step(now, event) {
                self.act(action);
            }
            if self.ended || self.round.is_done() {
                return;
            }
            event = tokio::select! {
                Some(event) = self.events.recv() => event,
                () = sleep(TICK) => CoordinatorEvent::Tick,
            };
        }
    }

    /// Whether the object API cannot be read, and nothing was written that could take effect.
    fn is_stuck(&self) -> bool {
        let waited = self.shared.now().since(self.started);
        let silent = !self.was_read && waited >= READ_PATIENCE;
        !self.wrote && (silent || self.failed_reads >= MAX_FAILED_READS)
    }

    fn note(&mut self, event: &CoordinatorEvent) {
        match event {
            CoordinatorEvent::Read(None) => self.failed_reads += 1,
            CoordinatorEvent::Read(Some(_)) => {
                self.failed_reads = 0;
                self.was_read = true;
            }
            _ => {}
        }
    }

    fn act(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Read => {
                self.call(async |shared| CoordinatorEvent::Read(read_stored(&shared).await));
            }
            CoordinatorAction::Write { version, stored } => {
                let pending = stored.pending.as_ref();
                if let Some(fault) = pending.and_then(|p| too_large(&p.document)) {
                    self.tell(Ending::Round(Answer::Invalid(vec![fault])));
                    self.ended = true;
                    return;
                }
                self.wrote = true;
                self.call(async move |shared| {
                    let result = write_stored(&shared, version, &stored).await;
                    CoordinatorEvent::Written { version, result }
                });
            }
            CoordinatorAction::List => {
                self.call(async |shared| CoordinatorEvent::Listed(members::list(&shared).await));
            }
            CoordinatorAction::Prepare { to, prepare } => {
                let (sender, write) = (self.sender.clone(), self.write.clone());
                let heard = move |names: relay::Names| confirm(&sender, &write, names);
                self.attempt += 1;
                relay::prepare_all(&self.shared, to, self.attempt, &prepare, heard);
            }
            CoordinatorAction::Commit {
                to,
                number,
                write_id,
            } => {
                relay::commit_all(&self.shared, to, number, &write_id);
            }
            CoordinatorAction::Abort { to, write_id } => {
                relay::abort_all(&self.shared, to, &write_id);
            }
            CoordinatorAction::Answer(answer) => self.tell(Ending::Round(answer)),
        }
    }

    fn tell(&mut self, ending: Ending) {
        if let Some(answer) = self.answer.take() {
            // The operator may have gone; the patch goes on.
            let _ = answer.send(ending);
        }
    }

    /// Runs a call of the object API and feeds its event.
    fn call(&self, call: impl AsyncFnOnce(Rc<Shared>) -> CoordinatorEvent + 'static) {
        let sender = self.sender.clone();
        spawn(&self.shared, async move |shared| {
            // A round that is over has no use for it.
            let _ = sender.send(call(shared).await);
        });
    }
}

fn confirm(
    sender: &mpsc::UnboundedSender<CoordinatorEvent>,
    write: &CompactString,
    names: relay::Names,
) {
    for from in names {
        let write_id = write.clone();
        // A round that is over has no use for it.
        let _ = sender.send(CoordinatorEvent::Confirmed { from, write_id });
    }
}

impl Ending {
    fn into_result(self) -> Result<u64, Problem> {
        let answer = match self {
            Self::Round(answer) => answer,
            Self::NotReached => {
                // This call wrote nothing, but an earlier one of the same patch may have done.
                let message = "the object API cannot be read; send the patch again";
                return Err(later(may_have_run(Code::ObjectApi, message)));
            }
        };
        let text = answer.to_string();
        Err(match answer {
            Answer::Accepted(number) => return Ok(number),
            Answer::Conflict(number) => conflict(number),
            Answer::Reused(_) => not_run(Code::KeyConflict, text),
            Answer::Invalid(faults) => invalid(&faults),
            Answer::NotConfirmed(names) => {
                let message = format!("refused: not confirmed by {}", names.join(", "));
                later(not_run(Code::NotConfirmed, message))
            }
            Answer::TakenBack => later(not_run(Code::NotConfirmed, format!("refused: {text}"))),
            Answer::Late => later(not_run(Code::Deadline, format!("refused: {text}"))),
            Answer::Unknown => later(may_have_run(Code::Unknown, text)),
        })
    }
}

/// The fault of a document that does not fit the object.
fn too_large(document: &Document) -> Option<Fault> {
    let size = serde_json::to_vec(document).map_or(usize::MAX, |bytes| bytes.len());
    (size > MAX_DOCUMENT).then(|| Fault {
        path: "".into(),
        reason: format_compact!("{size} bytes of JSON are more than {MAX_DOCUMENT}"),
    })
}

fn later(problem: Problem) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..problem
    }
}

fn conflict(number: u64) -> Problem {
    let message = format!("refused: configuration {number} is in force");
    not_run(Code::Conflict, message)
}

fn invalid(faults: &[Fault]) -> Problem {
    let texts: Vec<_> = faults.iter().map(Fault::to_string).collect();
    not_run(Code::InvalidPatch, texts.join("; "))
}
