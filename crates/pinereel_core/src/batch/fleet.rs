//! Selection of engines for the runs of a model's lots.
//!
//! A single instance runs all lots of a model, so the load of each engine is known exactly. A step
//! completes with its last sample, engines differ in speed, and some become slow for seconds.
//! Therefore a run goes to the fastest engine with a free slot, and a run on a slow engine moves
//! to a fast one that has a free slot while nothing is queued. Where other models share the
//! engines, runs use the engines assigned to their model while one of them serves the version that
//! is needed: other runners fill the other engines, and their load is not known here. A [`Run`]
//! occupies a slot of its engine for as long as it exists.

use super::{
    Engine, Listing, Run, RunOutcome,
    placement::{
        FleetAverage, ReportedSpeed, expected_interval_ms, interval_for_moves_ms, move_ratio,
    },
    reported_load::ReportedLoad,
    timeout,
};
use crate::{Time, average::moving_average};
use compact_str::CompactString;
use pinereel_port::headers::Load;
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

slotmap::new_key_type! {
    /// Key of one process of an engine in a [`Fleet`]; a restarted engine gets a new key.
    pub struct EngineKey;
}

/// Weight of a new interval in the moving average of one engine.
const ENGINE_AVERAGE_WEIGHT: f64 = 0.06;
/// Backoff after an engine's first failed run; doubles with each further one in a row.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(300);
/// Upper bound of that backoff, so that a recovered engine is used again soon.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(2_400);
/// Backoff after an engine is full or loads weights; loading takes about a second.
const REJECTION_BACKOFF: Duration = Duration::from_millis(120);

/// The engines of one service, with their load and health.
#[derive(Debug, Default)]
pub struct Fleet {
    engines: SlotMap<EngineKey, Engine>,
    keys_by_id: BTreeMap<CompactString, EngineKey>,
    average: FleetAverage,
}

impl Fleet {
    /// Applies a new endpoint list. Returns `true` if an engine has restarted and its runs are lost.
    pub fn update(&mut self, listings: impl IntoIterator<Item = Listing>) -> bool {
        let mut unlisted = std::mem::take(&mut self.keys_by_id);
        let mut runs_lost = false;
        for listing in listings {
            let id = listing.id.clone();
            let known = unlisted.remove(&id);
            let same_process =
                known.filter(|key| self.engines[*key].listing.incarnation == listing.incarnation);
            if let Some(replaced) = known.filter(|key| same_process != Some(*key)) {
                self.engines[replaced].restarted = true;
                runs_lost |= self.engines[replaced].active_runs() > 0;
                self.delist(replaced);
            }
            let key = match same_process {
                Some(key) => key,
                None => self.engines.insert(Engine::new(listing.clone())),
            };
            self.engines[key].listing = listing;
            self.keys_by_id.insert(id, key);
        }
        for key in unlisted.into_values() {
            self.delist(key);
        }
        // A run that was dropped without its end may have been the last one on a delisted engine.
        let engines = &mut self.engines;
        engines.retain(|_, engine| !engine.delisted || engine.active_runs() > 0);
        runs_lost
    }

    /// Ids of the engines with runs in progress.
    pub fn busy_ids(&self) -> Vec<CompactString> {
        let busy = self
            .engines
            .values()
            .filter(|engine| engine.active_runs() > 0);
        busy.map(|engine| engine.listing.id.clone()).collect()
    }

    fn delist(&mut self, key: EngineKey) {
        self.engines[key].delisted = true;
        self.remove_if_idle(key);
    }

    /// Whether the engine has restarted, or is unknown, so that a run on it is lost.
    pub fn has_restarted(&self, key: EngineKey) -> bool {
        self.engines.get(key).is_none_or(|engine| engine.restarted)
    }

    /// The engine; `None` if it left the list and its last run has ended.
    pub fn get(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// All engines in the endpoint list, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.keys_by_id
            .values()
            .map(|key| (*key, &self.engines[*key]))
    }

    /// Number of slots of all engines that may get new runs, and how many are in use.
    pub fn slot_usage(&self) -> (u32, u32) {
        let accepting = self.iter().filter(|(_, engine)| !engine.listing.leaving);
        accepting.fold((0, 0), |(slots, runs), (_, engine)| {
            (slots + engine.listing.slots, runs + engine.active_runs())
        })
    }

    /// Number of runs in progress on all engines, including those that left the list.
    pub fn active_runs(&self) -> u32 {
        self.engines.values().map(Engine::active_runs).sum()
    }

    /// The engine for a run that needs weights of `oldest_version` or newer, other than `except`.
    pub fn pick(
        &self,
        now: Time,
        oldest_version: u64,
        except: Option<EngineKey>,
    ) -> Option<EngineKey> {
        self.cheapest(now, oldest_version, |key| Some(key) != except)
    }

    /// Whether an assigned engine serves `oldest_version` or newer, so that no other engine is used.
    fn uses_only_assigned(&self, oldest_version: u64) -> bool {
        let mut engines = self.iter();
        engines.any(|(_, engine)| engine.is_assigned_with(oldest_version))
    }

    /// The engine of least cost among those that accept a run and that `admits` allows.
    fn cheapest(
        &self,
        now: Time,
        oldest_version: u64,
        admits: impl Fn(EngineKey) -> bool,
    ) -> Option<EngineKey> {
        let only_assigned = self.uses_only_assigned(oldest_version);
        let candidates = self.iter().filter(|(key, engine)| {
            (engine.listing.assigned || !only_assigned)
                && engine.accepts(now, oldest_version)
                && admits(*key)
        });
        let cost = |engine: &Engine| engine.cost(now, self.average);
        let cheapest = candidates.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        cheapest.map(|(key, _)| key)
    }

    /// A faster engine to which a run on `from` with this number of events should move.
    pub fn move_target(
        &self,
        now: Time,
        from: EngineKey,
        oldest_version: u64,
        events: u64,
    ) -> Option<EngineKey> {
        let engine = self.engines.get(from)?;
        let interval_ms = interval_for_moves_ms(engine)?;
        let to = self.pick(now, oldest_version, Some(from))?;
        let ratio = move_ratio(engine, events);
        let target_ms = expected_interval_ms(now, &self.engines[to], self.average);
        (interval_ms > ratio * target_ms).then_some(to)
    }

    /// How long a run waits for its next event before it is taken for lost.
    pub fn stall_timeout(&self, key: EngineKey) -> Duration {
        let engine = self.engines.get(key);
        engine.map_or(timeout::MAX_TIMEOUT, timeout::between_events)
    }

    /// How long a run waits for its response head, and again for its first event, before it is taken
    /// for lost. A later report of a queue extends it.
    pub fn first_event_timeout(&self, now: Time, key: EngineKey) -> Duration {
        let engine = self.engines.get(key);
        engine.map_or(timeout::MAX_TIMEOUT, |engine| {
            timeout::before_first_event(now, engine)
        })
    }

    /// Records the load that the engine reported with a response head of one of its runs.
    pub fn load_reported(&mut self, now: Time, key: EngineKey, load: Load) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.reported_load = Some(ReportedLoad::new(now, load, engine.active_runs()));
            engine.slowdown.report(now, load.slowdown_percent);
        }
    }

    /// The speed of an engine; `None` unless it reports its slowdown.
    pub fn reported_speed(&self, now: Time, key: EngineKey) -> Option<ReportedSpeed> {
        let engine = self.engines.get(key)?;
        let reported_at = engine.slowdown.reported_at()?;
        Some(ReportedSpeed {
            interval_ms: expected_interval_ms(now, engine, self.average),
            slowdown: engine.slowdown.lasting(now),
            report_age: now.since(reported_at),
        })
    }

    /// Starts a run, which occupies a slot until it ends or is dropped; `None` if the engine is unknown.
    pub fn start_run(&self, key: EngineKey) -> Option<Run> {
        let engine = self.engines.get(key)?;
        Some(engine.slots.occupy(key))
    }

    /// Records the first event of a run: the engine is healthy.
    pub fn first_event_received(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.consecutive_failures = 0;
            engine.probe_needed = false;
        }
    }

    /// Records a further event of a run, `interval` after the one before.
    pub fn event_received(&mut self, now: Time, key: EngineKey, interval: Duration) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let interval_ms = interval.as_secs_f64() * 1_000.0;
        engine.interval_samples = engine.interval_samples.saturating_add(1);
        engine.event_interval_ms = Some(moving_average(
            engine.event_interval_ms,
            interval_ms,
            ENGINE_AVERAGE_WEIGHT,
        ));
        engine.intervals.observe(now, interval_ms);
        self.average.add(now, engine, interval);
    }

    /// Ends a run and records its outcome for the health of its engine.
    pub fn end_run(&mut self, now: Time, run: Run, outcome: RunOutcome) {
        let key = run.engine();
        drop(run);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
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
            .is_some_and(|e| e.delisted && e.active_runs() == 0);
        if idle {
            self.engines.remove(key);
        }
    }
}
