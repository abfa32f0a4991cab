//! Participant of the two-phase commit at one instance: holds the configuration in force here and
//! decides whether requests may be admitted under it.
//!
//! State is ordered by the object's version. While a patch is pending at version `v`, the next
//! change of the object either accepts or aborts it, so any later version resolves an in-doubt
//! patch.

use super::{Document, Prepare, StoredConfig};
use crate::{Time, hash};
use compact_str::CompactString;
use std::{collections::VecDeque, time::Duration};

/// Maximum gap between two events. A longer gap counts as a pause of the process.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);
/// Time after a prepare from which an unresolved patch stops admission. A patch is only accepted
/// after this instance confirmed the prepare, so no request is admitted under the old number later
/// than this after the acceptance.
const IN_DOUBT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a confirmation that the number is current after which the instance stops admitting.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after a prepare from which the instance reads the object to resolve the in-doubt patch.
const IN_DOUBT_READ_DELAY: Duration = Duration::from_secs(1);
/// Time after a prepare from which the instance aborts the pending patch itself, plus a jitter of
/// up to half a second derived from its name. It is later than the coordinator's prepare timeout
/// and, with the jitter, earlier than [`IN_DOUBT_TIMEOUT`].
const ABORT_DELAY: Duration = Duration::from_millis(2_200);
/// Minimum interval between two reads of the object.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a confirmation that the number is current after which the instance reads the
/// object.
const QUIET_READ_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of aborted writes that are remembered.
const MAX_ABORTED_WRITES: usize = 16;

/// Why an instance does not admit a request. A refused request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The instance has not read the configuration since its start.
    #[error("the configuration has not been read yet")]
    Starting,
    /// The process was paused and its number has not been confirmed as current since.
    #[error("the process was paused and must confirm its configuration")]
    Paused,
    /// The configuration with this higher number is in force, but has not reached this instance.
    #[error("configuration {0} is in force and not here yet")]
    Behind(u64),
    /// The patch to this number was prepared and its result is not known.
    #[error("the result of configuration {0} is not known")]
    InDoubt(u64),
    /// Neither the object API nor a peer has confirmed the number for too long.
    #[error("neither the object API nor a peer can be reached")]
    Isolated,
}

/// Input of a participant.
#[derive(Clone, Debug, PartialEq)]
pub enum ParticipantEvent {
    /// Time has passed; ticks must come at least every 250 ms.
    Tick,
    /// The object was read from the object API, not from a cache.
    Read {
        /// When the read was sent.
        sent_at: Time,
        /// The object's version.
        version: u64,
        /// The object's content.
        stored: StoredConfig,
    },
    /// A coordinator asks to prepare a patch.
    Prepare(Prepare),
    /// A coordinator reports that its patch was accepted.
    Commit {
        /// The number now in force.
        number: u64,
        /// Id of the write.
        write_id: CompactString,
    },
    /// A coordinator reports that its patch will never be accepted.
    Abort {
        /// Id of the write.
        write_id: CompactString,
    },
    /// Periodic state message of a peer.
    PeerState {
        /// When this instance sent the latest of its own state messages that the peer had received.
        /// The arrival time of the peer's message is no substitute, since a link may delay a
        /// message.
        echoed_at: Time,
        /// The number in force at the peer.
        number: u64,
        /// [`Participant::is_up_to_date`] at the peer.
        up_to_date: bool,
        /// The peer's name.
        from: CompactString,
    },
    /// A peer's response to [`ParticipantAction::Fetch`].
    Fetched {
        /// The number in force at the peer.
        number: u64,
        /// The document in force at the peer.
        document: Document,
    },
}

/// Output of a participant.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    clippy::large_enum_variant,
    reason = "a value is moved once, and few exist at a time"
)]
pub enum ParticipantAction {
    /// Read the object and report [`ParticipantEvent::Read`].
    Read,
    /// Abort the pending patch: write the object, conditional on its version, then read it.
    AbortPending {
        /// The version that the object must have.
        version: u64,
        /// The new content.
        stored: StoredConfig,
    },
    /// Confirm the prepare to its coordinator.
    Confirm {
        /// Id of the write.
        write_id: CompactString,
    },
    /// Fetch the configuration from a peer and report [`ParticipantEvent::Fetched`].
    Fetch {
        /// The peer's name.
        from: CompactString,
    },
    /// A new number is in force for all requests admitted from now on.
    Apply {
        /// The number.
        number: u64,
    },
}

struct Prepared {
    prepare: Prepare,
    /// Earliest time at which the patch can have been accepted.
    prepared_at: Time,
}

/// The configuration in force at one instance. Its number never decreases.
pub struct Participant {
    name: CompactString,
    has_read: bool,
    number: u64,
    document: Document,
    /// Highest version of the object that was read here or prepared.
    seen_version: u64,
    /// Highest number known to be in force anywhere.
    known_number: u64,
    prepared: Option<Prepared>,
    aborted_writes: VecDeque<CompactString>,
    /// Latest time at which the number was known to be the newest in force.
    confirmed_at: Time,
    last_step_at: Time,
    /// When a pause was noticed that no confirmation has ended yet.
    paused_at: Option<Time>,
    last_read_at: Option<Time>,
}

impl Participant {
    /// Creates the participant of a starting instance. The instance must write its member object
    /// before it sends the first read, so that later patches wait for its confirmation.
    pub fn new(now: Time, name: impl Into<CompactString>) -> Self {
        Self {
            name: name.into(),
            has_read: false,
            number: 0,
            document: Document::default(),
            seen_version: 0,
            known_number: 0,
            prepared: None,
            aborted_writes: VecDeque::new(),
            confirmed_at: now,
            last_step_at: now,
            paused_at: None,
            last_read_at: None,
        }
    }

    /// Number of the configuration in force here; 0 before the first read.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// The document in force here.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Latest time at which the number was known to be the newest in force.
    pub const fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// The configuration number for a request that is admitted now.
    ///
    /// # Errors
    /// Why no request may be admitted.
    pub fn admits(&self, now: Time) -> Result<u64, Refusal> {
        if !self.has_read {
            return Err(Refusal::Starting);
        }
        // A request may arrive before the first event after a pause.
        if self.paused_at.is_some() || now.since(self.last_step_at) > MAX_STEP_GAP {
            return Err(Refusal::Paused);
        }
        if self.known_number > self.number {
            return Err(Refusal::Behind(self.known_number));
        }
        if let Some(prepared) = &self.prepared
            && now.since(prepared.prepared_at) >= IN_DOUBT_TIMEOUT
        {
            return Err(Refusal::InDoubt(prepared.prepare.number));
        }
        if now.since(self.confirmed_at) > ISOLATION_TIMEOUT {
            return Err(Refusal::Isolated);
        }
        Ok(self.number)
    }

    /// Whether a peer may take this instance's number as proof that nothing newer is in force: the
    /// instance admits requests and has no patch prepared.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        self.prepared.is_none() && self.admits(now).is_ok()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now: Time, event: ParticipantEvent) -> Vec<ParticipantAction> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        match event {
            ParticipantEvent::Tick => self.on_tick(now, &mut actions),
            ParticipantEvent::Read {
                sent_at,
                version,
                stored,
            } => {
                self.on_read(now, sent_at, version, stored, &mut actions);
            }
            ParticipantEvent::Prepare(prepare) => self.on_prepare(now, prepare, &mut actions),
            ParticipantEvent::Commit { number, write_id } => {
                self.on_commit(number, &write_id, &mut actions);
            }
            ParticipantEvent::Abort { write_id } => self.on_abort(write_id),
            ParticipantEvent::PeerState {
                echoed_at,
                number,
                up_to_date,
                from,
            } => {
                self.on_peer_state(echoed_at, number, up_to_date, from, &mut actions);
            }
            ParticipantEvent::Fetched { number, document } => {
                if self.has_read {
                    self.apply(number, document, &mut actions);
                }
            }
        }
        actions
    }

    fn detect_pause(&mut self, now: Time) {
        if now.since(self.last_step_at) > MAX_STEP_GAP {
            self.paused_at = Some(now);
        }
        self.last_step_at = now;
    }

    fn on_tick(&mut self, now: Time, actions: &mut Vec<ParticipantAction>) {
        let in_doubt = self
            .prepared
            .as_ref()
            .is_some_and(|p| now.since(p.prepared_at) >= IN_DOUBT_READ_DELAY);
        let is_behind = self.known_number > self.number;
        let is_quiet = now.since(self.confirmed_at) >= QUIET_READ_DELAY;
        let read_wanted =
            !self.has_read || self.paused_at.is_some() || in_doubt || is_behind || is_quiet;
        let read_allowed = self
            .last_read_at
            .is_none_or(|at| now.since(at) >= MIN_READ_INTERVAL);
        if read_wanted && read_allowed {
            self.last_read_at = Some(now);
            actions.push(ParticipantAction::Read);
        }
    }

    fn on_read(
        &mut self,
        now: Time,
        sent_at: Time,
        version: u64,
        stored: StoredConfig,
        actions: &mut Vec<ParticipantAction>,
    ) {
        if version < self.seen_version {
            return;
        }
        self.seen_version = version;
        self.has_read = true;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.end_pause(sent_at);
        self.reconcile_prepared(sent_at, version, &stored);
        self.abort_overdue(now, version, &stored, actions);
        self.apply(stored.number, stored.document, actions);
    }

    /// Updates the prepared patch from the pending patch in the object.
    fn reconcile_prepared(&mut self, sent_at: Time, version: u64, stored: &StoredConfig) {
        let Some(pending) = &stored.pending else {
            self.prepared = None;
            return;
        };
        let already_prepared = self
            .prepared
            .as_ref()
            .is_some_and(|p| p.prepare.write_id == pending.write_id);
        // A read from before the acceptance still shows the patch as pending that is in force here.
        let is_superseded = pending.number <= self.number;
        if already_prepared || is_superseded || self.aborted_writes.contains(&pending.write_id) {
            return;
        }
        let prepare = Prepare {
            version,
            number: pending.number,
            document: pending.document.clone(),
            write_id: pending.write_id.clone(),
        };
        // The patch can be accepted at any time after the read was sent, perhaps long before its
        // response arrives.
        self.prepared = Some(Prepared {
            prepare,
            prepared_at: sent_at,
        });
    }

    fn abort_overdue(
        &self,
        now: Time,
        version: u64,
        stored: &StoredConfig,
        actions: &mut Vec<ParticipantAction>,
    ) {
        let Some(prepared) = &self.prepared else {
            return;
        };
        let jitter_ms = hash::stable(self.name.as_bytes()) % 500;
        let abort_delay = ABORT_DELAY + Duration::from_millis(jitter_ms);
        if now.since(prepared.prepared_at) >= abort_delay {
            actions.push(ParticipantAction::AbortPending {
                version,
                stored: stored.without_pending(),
            });
        }
    }

    fn on_prepare(&mut self, now: Time, prepare: Prepare, actions: &mut Vec<ParticipantAction>) {
        if !self.has_read || self.aborted_writes.contains(&prepare.write_id) {
            return;
        }
        let write_id = prepare.write_id.clone();
        if self
            .prepared
            .as_ref()
            .is_some_and(|p| p.prepare.write_id == write_id)
        {
            actions.push(ParticipantAction::Confirm { write_id });
            return;
        }
        if prepare.version <= self.seen_version || prepare.number <= self.number {
            return;
        }
        if prepare.number > self.number + 1 {
            self.known_number = self.known_number.max(prepare.number - 1);
            return;
        }
        self.seen_version = prepare.version;
        self.prepared = Some(Prepared {
            prepare,
            prepared_at: now,
        });
        actions.push(ParticipantAction::Confirm { write_id });
    }

    fn on_commit(&mut self, number: u64, write_id: &str, actions: &mut Vec<ParticipantAction>) {
        match self.prepared.take_if(|p| p.prepare.write_id == write_id) {
            Some(prepared) => self.apply(number, prepared.prepare.document, actions),
            None => self.known_number = self.known_number.max(number),
        }
    }

    fn on_abort(&mut self, write_id: CompactString) {
        self.prepared.take_if(|p| p.prepare.write_id == write_id);
        if self.aborted_writes.len() == MAX_ABORTED_WRITES {
            self.aborted_writes.pop_front();
        }
        self.aborted_writes.push_back(write_id);
    }

    fn on_peer_state(
        &mut self,
        echoed_at: Time,
        number: u64,
        up_to_date: bool,
        from: CompactString,
        actions: &mut Vec<ParticipantAction>,
    ) {
        if number > self.number {
            // The peer's number is most likely the accepted result of the prepared patch, which has
            // its own timeout.
            if self
                .prepared
                .as_ref()
                .is_none_or(|p| p.prepare.number != number)
            {
                self.known_number = self.known_number.max(number);
            }
            actions.push(ParticipantAction::Fetch { from });
            return;
        }
        if up_to_date && number == self.number {
            self.confirmed_at = self.confirmed_at.max(echoed_at);
            self.end_pause(echoed_at);
        }
    }

    /// Ends a pause if the number was confirmed by a message requested after the pause.
    fn end_pause(&mut self, requested_at: Time) {
        self.paused_at.take_if(|paused| requested_at >= *paused);
    }

    fn apply(&mut self, number: u64, document: Document, actions: &mut Vec<ParticipantAction>) {
        if number <= self.number {
            return;
        }
        self.number = number;
        self.document = document;
        self.known_number = self.known_number.max(number);
        self.prepared.take_if(|p| p.prepare.number <= number);
        actions.push(ParticipantAction::Apply { number });
    }
}
