//! The engines of one service, as the runner of its lots sees them.
//!
//! One instance runs all lots of a model, so it knows the runs at each engine exactly. What counts
//! for a step is its last sample: engines differ in pace, and some turn slow for seconds. So the
//! fastest engine with a free slot comes first, and a run on a slow engine is moved to a fast one
//! as soon as that has a slot that nothing waits for.

use super::{Engine, Listing, RunOutcome};
use crate::{Time, crash::LAST_CHANCE};
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

slotmap::new_key_type! {
    /// One start of one engine in a [`Fleet`].
    pub struct EngineKey;
}

/// Share of a new gap between events in the moving average of an engine's pace.
const ENGINE_AVERAGE_WEIGHT: f64 = 0.06;
/// The same in the moving average of all engines.
const FLEET_AVERAGE_WEIGHT: f64 = 0.01;
/// A run is moved if its engine takes so many times as long as the one that it would go to. Engines
/// differ by 1.3 (47 ms and 60 ms an event, measured), and reading the prompt and the
/// text again takes less than an event.
const LONG_RUN_MOVE_RATIO: f64 = 1.2;
/// Events that a run must have made before it is moved for less than [`FAR_SLOWER`]: it is then one
/// of the long ones, which hold up their step.
const LONG_RUN_EVENTS: u64 = 10;
/// A run moves at once if its engine takes so many times as long.
const SHORT_RUN_MOVE_RATIO: f64 = 2.0;
/// Gaps that an engine's pace must rest on before it decides about a move: the arrival of single
/// events depends on this process as well.
const MIN_INTERVAL_SAMPLES: u32 = 12;
/// First wait after an engine broke a run off or could not be reached; doubles with each further one.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(300);
/// Longest such wait: an engine that is back is found again soon.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(2_400);
/// Wait after an engine said that it is full or loads weights: a load takes about a second.
const REJECTION_BACKOFF: Duration = Duration::from_millis(120);

/// An engine is kept free for an item with a last chance for so long: the runs that are there leave a slot by then.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A run whose engine makes no event for so many of its usual gaps has lost it.
const STALL_TIMEOUT_INTERVALS: f64 = 8.0;
/// But not sooner: a slow engine takes up to eight times its usual gap from one event to the next.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Nor later.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: SlotMap<EngineKey, Engine>,
    keys_by_id: BTreeMap<CompactString, EngineKey>,
    /// Moving average of the time between two events of a run at any engine, in milliseconds; none before the first.
    event_interval_ms: Option<f64>,
}

impl Fleet {
    /// Takes over the endpoint list; says whether an engine has started again, so that runs are lost.
    pub fn update(&mut self, listings: impl IntoIterator<Item = Listing>) -> bool {
        let mut left = std::mem::take(&mut self.keys_by_id);
        let mut lost = false;
        for listing in listings {
            let id = listing.id.clone();
            let known = left.remove(&id);
            let same =
                known.filter(|key| self.engines[*key].listing.incarnation == listing.incarnation);
            if let Some(before) = known.filter(|key| same != Some(*key)) {
                self.engines[before].restarted = true;
                lost |= self.engines[before].active_runs > 0;
                self.delist(before);
            }
            let key = match same {
                Some(key) => key,
                None => self.engines.insert(Engine::new(listing.clone())),
            };
            self.engines[key].listing = listing;
            self.keys_by_id.insert(id, key);
        }
        for key in left.into_values() {
            self.delist(key);
        }
        lost
    }

    /// Ids of the engines with runs.
    pub fn busy_ids(&self) -> Vec<CompactString> {
        let busy = self
            .engines
            .values()
            .filter(|engine| engine.active_runs > 0);
        busy.map(|engine| engine.listing.id.clone()).collect()
    }

    /// An engine is not listed any more.
    fn delist(&mut self, key: EngineKey) {
        self.engines[key].delisted = true;
        self.remove_if_idle(key);
    }

    /// Whether a run at the engine is lost, since that has started again.
    pub fn has_restarted(&self, key: EngineKey) -> bool {
        self.engines.get(key).is_none_or(|engine| engine.restarted)
    }

    /// The engine, if it is still known.
    pub fn get(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// All listed engines.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.keys_by_id
            .values()
            .map(|key| (*key, &self.engines[*key]))
    }

    /// Slots of all engines that may get work, and those that are in use.
    pub fn slot_usage(&self) -> (u32, u32) {
        let open = self.iter().filter(|(_, engine)| !engine.listing.leaving);
        open.fold((0, 0), |(slots, runs), (_, engine)| {
            (slots + engine.listing.slots, runs + engine.active_runs)
        })
    }

    /// The engine for a run that needs weights of `oldest_version` or newer.
    pub fn pick(
        &self,
        now: Time,
        oldest_version: u64,
        except: Option<EngineKey>,
    ) -> Option<EngineKey> {
        let is_allowed = |key, engine: &Engine| Some(key) != except && engine.admits(now, 0);
        self.cheapest(now, oldest_version, is_allowed)
    }

    /// Whether any engine takes a run that needs weights of `oldest_version` or newer, of whatever item.
    pub fn has_free_slot(&self, now: Time, oldest_version: u64) -> bool {
        self.cheapest(now, oldest_version, |_, _| true).is_some()
    }

    /// The engine for a run of an item that so many endpoints have crashed under.
    pub fn pick_for_item(
        &self,
        now: Time,
        oldest_version: u64,
        crash_count: usize,
    ) -> Option<EngineKey> {
        self.cheapest(now, oldest_version, |_, engine| {
            engine.admits(now, crash_count)
        })
    }

    /// Keeps an engine free for an item with a last chance: nothing begins there until that item can run alone. One engine at a
    /// time, the one whose last run began first.
    pub fn reserve(&mut self, now: Time, oldest_version: u64) {
        let waits = |engine: &Engine| engine.has_isolated_run || now < engine.reserved_until;
        if self.iter().any(|(_, engine)| waits(engine)) {
            return;
        }
        let fits = |engine: &Engine| engine.listing.version.is_some_and(|v| v >= oldest_version);
        let open = self.iter().filter(|(_, engine)| {
            fits(engine) && !engine.listing.leaving && now >= engine.backoff_until
        });
        let idle = open.filter(|(_, engine)| engine.suspect_runs == 0);
        let first = idle.min_by_key(|(_, engine)| engine.last_run_started);
        if let Some(key) = first.map(|(key, _)| key) {
            self.engines[key].reserved_until = now + RESERVATION_TIMEOUT;
        }
    }

    fn cheapest(
        &self,
        now: Time,
        oldest_version: u64,
        is_allowed: impl Fn(EngineKey, &Engine) -> bool,
    ) -> Option<EngineKey> {
        let open = self.iter().filter(|(key, engine)| {
            engine.accepts(now, oldest_version) && is_allowed(*key, engine)
        });
        let cheapest = open.min_by(|(_, a), (_, b)| {
            a.cost(self.event_interval_ms)
                .total_cmp(&b.cost(self.event_interval_ms))
        });
        cheapest.map(|(key, _)| key)
    }

    /// Where a run at `from`, which has made so many events, should go instead if that is faster.
    pub fn move_target(
        &self,
        now: Time,
        from: EngineKey,
        oldest_version: u64,
        events: u64,
    ) -> Option<EngineKey> {
        let engine = self.engines.get(from)?;
        let interval_ms = engine
            .event_interval_ms
            .filter(|_| engine.interval_samples >= MIN_INTERVAL_SAMPLES)?;
        let to = self.pick(now, oldest_version, Some(from))?;
        let ratio = if events < LONG_RUN_EVENTS {
            SHORT_RUN_MOVE_RATIO
        } else {
            LONG_RUN_MOVE_RATIO
        };
        (interval_ms > ratio * self.engines[to].estimated_interval_ms(self.event_interval_ms))
            .then_some(to)
    }

    /// How long a run at an engine that has made events waits for the next one. The longest texts decide about a step and have
    /// less than a second to spare: 1.5 s at an engine that fell silent made them late.
    pub fn stall_timeout(&self, key: EngineKey) -> Duration {
        let engine = self
            .engines
            .get(key)
            .filter(|engine| engine.interval_samples >= MIN_INTERVAL_SAMPLES);
        let Some(interval_ms) = engine.and_then(|engine| engine.event_interval_ms) else {
            return MAX_STALL_TIMEOUT;
        };
        let timeout = Duration::from_secs_f64(STALL_TIMEOUT_INTERVALS * interval_ms / 1_000.0);
        timeout.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
    }

    /// A run begins at the engine, of an item that so many endpoints have crashed under.
    pub fn run_started(&mut self, now: Time, key: EngineKey, crash_count: usize) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.active_runs += 1;
        engine.last_run_started = now;
        if crash_count > 0 {
            engine.suspect_runs += 1;
        }
        if crash_count >= LAST_CHANCE {
            engine.has_isolated_run = true;
            engine.reserved_until = Time::ZERO;
        }
    }

    /// A run that began in doubt ends.
    pub fn suspect_run_ended(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.suspect_runs = engine.suspect_runs.saturating_sub(1);
            engine.has_isolated_run &= engine.suspect_runs > 0;
        }
    }

    /// A run at the engine made its first event: the engine takes work.
    pub fn first_event_received(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.consecutive_failures = 0;
            engine.probe_needed = false;
        }
    }

    /// A run at the engine made an event, `gap` after the one before.
    pub fn event_received(&mut self, key: EngineKey, interval: Duration) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let interval = interval.as_secs_f64() * 1_000.0;
        engine.interval_samples = engine.interval_samples.saturating_add(1);
        engine.event_interval_ms = Some(moving_average(
            engine.event_interval_ms,
            interval,
            ENGINE_AVERAGE_WEIGHT,
        ));
        self.event_interval_ms = Some(moving_average(
            self.event_interval_ms,
            interval,
            FLEET_AVERAGE_WEIGHT,
        ));
    }

    /// A run ended. Every `started` needs exactly one.
    pub fn run_ended(&mut self, now: Time, key: EngineKey, outcome: RunOutcome) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.active_runs = engine.active_runs.saturating_sub(1);
        match outcome {
            RunOutcome::Finished => {
                engine.consecutive_failures = 0;
                engine.probe_needed = false;
            }
            RunOutcome::Cancelled => {}
            RunOutcome::Rejected => {
                engine.probe_needed = true;
                engine.backoff_until = engine.backoff_until.max(now + REJECTION_BACKOFF);
            }
            RunOutcome::Failed => {
                engine.probe_needed = true;
                let backoff = MIN_FAILURE_BACKOFF * 2u32.pow(engine.consecutive_failures.min(8));
                engine.consecutive_failures += 1;
                let until = now + backoff.min(MAX_FAILURE_BACKOFF);
                engine.backoff_until = engine.backoff_until.max(until);
            }
        }
        self.remove_if_idle(key);
    }

    fn remove_if_idle(&mut self, key: EngineKey) {
        let idle = self
            .engines
            .get(key)
            .is_some_and(|e| e.delisted && e.active_runs == 0);
        if idle {
            self.engines.remove(key);
        }
    }
}

/// A moving average with one more value in it.
fn moving_average(average: Option<f64>, value: f64, weight: f64) -> f64 {
    average.map_or(value, |average| average + weight * (value - average))
}
