//! Commits a patch with this entry as its proposer: drives the two-phase commit's [`Coordinator`].

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

/// Interval between two ticks of the coordinator, which needs one at least every 250 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of a patch: enough to resolve another proposer's pending patch and run an own round.
const PATCH_DEADLINE: Duration = Duration::from_secs(8);
/// Consecutive failed reads that end a round in which nothing was written.
const MAX_FAILED_READS: u32 = 3;
/// A round that has neither read nor written the object within this time ends.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Most rounds that run at one entry at a time.
const MAX_ROUNDS_IN_FLIGHT: u32 = 32;
/// Longest id of a patch, in bytes; bounded because the object keeps the ids of the last patches.
const MAX_PATCH_ID_BYTES: usize = 128;
/// Largest document, in bytes of JSON; the object holds two documents and the accepted ids.
const MAX_DOCUMENT_BYTES: usize = 400_000;
/// Retry delay that an answer gives an operator whose patch was not accepted for now.
const RETRY_AFTER_MS: u64 = 1_000;

/// Checks a patch against the configuration in force here; returns the document that results.
///
/// # Errors
/// `Conflict`, `InvalidPatch`, or `Unavailable` before the first read.
pub fn check_patch(shared: &Shared, patch: &Patch) -> Result<Document, Problem> {
    let snapshot = crate::filters::pin::last_known(shared)?;
    if patch.base != snapshot.number {
        return Err(conflict(snapshot.number));
    }
    let document = validate(&merge(&snapshot.document, &patch.merge)).map_err(|f| invalid(&f))?;
    let mut faults = check_change(&snapshot.document, &document);
    faults.extend(size_fault(&document));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(invalid(&faults))
    }
}

/// Commits a patch at all entries; returns the number of the new configuration.
///
/// # Errors
/// A refusal if the patch will certainly not come into force, `Unknown` if that is not known.
pub async fn propose(shared: &Rc<Shared>, patch: Patch) -> Result<u64, Problem> {
    if patch.id.is_empty() || patch.id.len() > MAX_PATCH_ID_BYTES {
        let message =
            format_compact!("the patch's id is empty or longer than {MAX_PATCH_ID_BYTES} bytes");
        return Err(not_run(Code::BadRequest, message));
    }
    // A patch that is not tried here is answered as "unknown" all the same: an earlier submission of
    // it may have been accepted.
    if shared.drain.refuses_requests() {
        return Err(retryable(may_have_run(
            Code::Unavailable,
            "this instance is draining",
        )));
    }
    let in_flight = shared.config.rounds_in_flight.get();
    if in_flight >= MAX_ROUNDS_IN_FLIGHT {
        return Err(retryable(may_have_run(
            Code::Overloaded,
            "too many patches at once",
        )));
    }
    shared.config.rounds_in_flight.set(in_flight + 1);
    let (outcome_sender, outcome) = oneshot::channel();
    let id = patch.id.clone();
    spawn(shared, async move |shared| {
        // Keeps a graceful shutdown waiting until the round has ended.
        let _guard = shared.drain.track_request();
        let driver = RoundDriver::new(Rc::clone(&shared), patch, outcome_sender);
        driver.run().await;
        shared
            .config
            .rounds_in_flight
            .set(shared.config.rounds_in_flight.get() - 1);
    });
    let outcome = outcome
        .await
        .unwrap_or(PatchOutcome::Round(Answer::Unknown));
    log::info!(entry = shared.name().as_str(), patch = id.as_str(); "config: patch: {outcome:?}");
    outcome.into_result()
}

/// Outcome of a patch, as reported to the operator.
#[derive(Debug)]
enum PatchOutcome {
    /// The coordinator's answer.
    Round(Answer),
    /// The object API could not be read and nothing had been written.
    NotReached,
}

/// Carries out the actions of one patch's [`Coordinator`] until it is done.
struct RoundDriver {
    shared: Rc<Shared>,
    coordinator: Coordinator,
    write_id: CompactString,
    outcome_sender: Option<oneshot::Sender<PatchOutcome>>,
    events: mpsc::UnboundedReceiver<CoordinatorEvent>,
    event_sender: mpsc::UnboundedSender<CoordinatorEvent>,
    attempt: u64,
    started_at: Time,
    was_read: bool,
    failed_reads: u32,
    has_written: bool,
    is_aborted: bool,
}

impl RoundDriver {
    fn new(
        shared: Rc<Shared>,
        patch: Patch,
        outcome_sender: oneshot::Sender<PatchOutcome>,
    ) -> Self {
        let now = shared.now();
        let round_number = shared.config.next_round.get();
        shared.config.next_round.set(round_number + 1);
        let write_id = format_compact!("{}-{:x}-{round_number}", shared.name(), shared.incarnation);
        let proposal = Proposal {
            patch: patch.id,
            base: patch.base,
            content: patch.merge,
            proposer: shared.name().clone(),
            write_id: write_id.clone(),
            deadline: now + PATCH_DEADLINE,
        };
        // Unbounded channel, but bounded use: each call in flight sends one event.
        let (event_sender, events) = mpsc::unbounded_channel();
        Self {
            coordinator: Coordinator::new(now, proposal),
            shared,
            write_id,
            outcome_sender: Some(outcome_sender),
            events,
            event_sender,
            attempt: 0,
            started_at: now,
            was_read: false,
            failed_reads: 0,
            has_written: false,
            is_aborted: false,
        }
    }

    async fn run(mut self) {
        let mut event = CoordinatorEvent::Tick;
        loop {
            self.track_reads(&event);
            if self.is_stuck() {
                self.report_outcome(PatchOutcome::NotReached);
                return;
            }
            let now = self.shared.now();
            for action in self.coordinator.step(now, event) {
                self.execute(action);
            }
            if self.is_aborted || self.coordinator.is_done() {
                return;
            }
            event = tokio::select! {
                Some(event) = self.events.recv() => event,
                () = sleep(TICK_INTERVAL) => CoordinatorEvent::Tick,
            };
        }
    }

    /// Whether the object API cannot be read, and nothing was written that could take effect.
    fn is_stuck(&self) -> bool {
        let waited = self.shared.now().since(self.started_at);
        let silent = !self.was_read && waited >= FIRST_READ_TIMEOUT;
        !self.has_written && (silent || self.failed_reads >= MAX_FAILED_READS)
    }

    fn track_reads(&mut self, event: &CoordinatorEvent) {
        match event {
            CoordinatorEvent::Read(None) => self.failed_reads += 1,
            CoordinatorEvent::Read(Some(_)) => {
                self.failed_reads = 0;
                self.was_read = true;
            }
            _ => {}
        }
    }

    fn execute(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Read => {
                self.call(async |shared| CoordinatorEvent::Read(read_stored(&shared).await));
            }
            CoordinatorAction::Write { version, stored } => {
                let pending = stored.pending.as_ref();
                if let Some(fault) = pending.and_then(|p| size_fault(&p.document)) {
                    self.report_outcome(PatchOutcome::Round(Answer::Invalid(vec![fault])));
                    self.is_aborted = true;
                    return;
                }
                self.has_written = true;
                self.call(async move |shared| {
                    let result = write_stored(&shared, version, &stored).await;
                    CoordinatorEvent::Written { version, result }
                });
            }
            CoordinatorAction::List => {
                self.call(async |shared| CoordinatorEvent::Listed(members::list(&shared).await));
            }
            CoordinatorAction::Prepare { to, prepare } => {
                let (sender, write_id) = (self.event_sender.clone(), self.write_id.clone());
                let on_confirmed =
                    move |names: relay::EntryNames| confirm(&sender, &write_id, names);
                self.attempt += 1;
                relay::prepare_all(&self.shared, to, self.attempt, &prepare, on_confirmed);
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
            CoordinatorAction::Answer(answer) => self.report_outcome(PatchOutcome::Round(answer)),
        }
    }

    fn report_outcome(&mut self, outcome: PatchOutcome) {
        if let Some(sender) = self.outcome_sender.take() {
            // The operator may have disconnected; the round continues.
            let _ = sender.send(outcome);
        }
    }

    /// Spawns a call of the object API that sends its result as an event.
    fn call(&self, call: impl AsyncFnOnce(Rc<Shared>) -> CoordinatorEvent + 'static) {
        let event_sender = self.event_sender.clone();
        spawn(&self.shared, async move |shared| {
            // The round may have ended.
            let _ = event_sender.send(call(shared).await);
        });
    }
}

fn confirm(
    event_sender: &mpsc::UnboundedSender<CoordinatorEvent>,
    write_id: &CompactString,
    names: relay::EntryNames,
) {
    for from in names {
        let write_id = write_id.clone();
        // The round may have ended.
        let _ = event_sender.send(CoordinatorEvent::Confirmed { from, write_id });
    }
}

impl PatchOutcome {
    fn into_result(self) -> Result<u64, Problem> {
        let answer = match self {
            Self::Round(answer) => answer,
            Self::NotReached => {
                // This round wrote nothing, but an earlier one of the same patch may have.
                let message = "the object API cannot be read; send the patch again";
                return Err(retryable(may_have_run(Code::ObjectApi, message)));
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
                retryable(not_run(Code::NotConfirmed, message))
            }
            Answer::TakenBack => retryable(not_run(Code::NotConfirmed, format!("refused: {text}"))),
            Answer::Late => retryable(not_run(Code::Deadline, format!("refused: {text}"))),
            Answer::Unknown => retryable(may_have_run(Code::Unknown, text)),
        })
    }
}

/// Returns a fault if the document is larger than [`MAX_DOCUMENT_BYTES`].
fn size_fault(document: &Document) -> Option<Fault> {
    let size = serde_json::to_vec(document).map_or(usize::MAX, |bytes| bytes.len());
    (size > MAX_DOCUMENT_BYTES).then(|| Fault {
        path: "".into(),
        reason: format_compact!("{size} bytes of JSON are more than {MAX_DOCUMENT_BYTES}"),
    })
}

fn retryable(problem: Problem) -> Problem {
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
