//! The engines of one service, as the runner of its lots sees them.
//!
//! One instance runs all lots of a model, so it knows the runs at each engine exactly. What counts
//! for a step is its last sample: engines differ in pace, and some turn slow for seconds. So the
//! fastest engine with a free slot comes first, and a run on a slow engine is moved to a fast one
//! as soon as that has a slot that nothing waits for.

use super::{Engine, Halt, Listed};
use crate::{Time, crash::ISOLATE_AT_CRASHES};
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

slotmap::new_key_type! {
    /// One start of one engine in a [`Fleet`].
    pub struct Key;
}

/// Share of a new gap between events in the moving average of an engine's pace.
const PACE_GAIN: f64 = 0.06;
/// The same in the moving average of all engines.
const FLEET_PACE_GAIN: f64 = 0.01;
/// A run is moved if its engine takes so many times as long as the one that it would go to. Engines
/// differ by 1.3 (47 ms and 60 ms an event, measured), and reading the prompt and the
/// text again takes less than an event.
const MOVE_FACTOR: f64 = 1.2;
/// Events that a run must have made before it is moved for less than [`FAR_SLOWER`]: it is then one
/// of the long ones, which hold up their step.
const LONG_RUN: u64 = 10;
/// A run moves at once if its engine takes so many times as long.
const FAR_SLOWER: f64 = 2.0;
/// Gaps that an engine's pace must rest on before it decides about a move: the arrival of single
/// events depends on this process as well.
const MOVE_GAPS: u32 = 12;
/// First wait after an engine broke a run off or could not be reached; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest such wait: an engine that is back is found again soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);
/// Wait after an engine said that it is full or loads weights: a load takes about a second.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// An engine is kept free for an item with a last chance for so long: the runs that are there leave a slot by then.
const RESERVATION: Duration = Duration::from_millis(1_500);

/// A run whose engine makes no event for so many of its usual gaps has lost it.
const SILENT_GAPS: f64 = 8.0;
/// But not sooner: a slow engine takes up to eight times its usual gap from one event to the next.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
/// Nor later.
const MOST_SILENCE: Duration = Duration::from_millis(1_500);

/// The engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    arena: SlotMap<Key, Engine>,
    ids: BTreeMap<CompactString, Key>,
    /// Moving average of the time between two events of a run at any engine, in milliseconds; none before the first.
    pace: Option<f64>,
}

impl Fleet {
    /// Takes over the endpoint list; says whether an engine has started again, so that runs are lost.
    pub fn sync(&mut self, listed: impl IntoIterator<Item = Listed>) -> bool {
        let mut left = std::mem::take(&mut self.ids);
        let mut lost = false;
        for listed in listed {
            let id = listed.id.clone();
            let known = left.remove(&id);
            let same =
                known.filter(|key| self.arena[*key].listed.incarnation == listed.incarnation);
            if let Some(before) = known.filter(|key| same != Some(*key)) {
                self.arena[before].restarted = true;
                lost |= self.arena[before].runs > 0;
                self.drop(before);
            }
            let key = match same {
                Some(key) => key,
                None => self.arena.insert(Engine::new(listed.clone())),
            };
            self.arena[key].listed = listed;
            self.ids.insert(id, key);
        }
        for key in left.into_values() {
            self.drop(key);
        }
        lost
    }

    /// Ids of the engines with runs.
    pub fn busy(&self) -> Vec<CompactString> {
        let busy = self.arena.values().filter(|engine| engine.runs > 0);
        busy.map(|engine| engine.listed.id.clone()).collect()
    }

    /// An engine is not listed any more.
    fn drop(&mut self, key: Key) {
        self.arena[key].gone = true;
        self.forget_if_idle(key);
    }

    /// Whether a run at the engine is lost, since that has started again.
    pub fn has_lost(&self, key: Key) -> bool {
        self.arena.get(key).is_none_or(|engine| engine.restarted)
    }

    /// The engine, if it is still known.
    pub fn get(&self, key: Key) -> Option<&Engine> {
        self.arena.get(key)
    }

    /// All listed engines.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Engine)> {
        self.ids.values().map(|key| (*key, &self.arena[*key]))
    }

    /// Slots of all engines that may get work, and those that are in use.
    pub fn usage(&self) -> (u32, u32) {
        let open = self.iter().filter(|(_, engine)| !engine.listed.leaving);
        open.fold((0, 0), |(slots, runs), (_, engine)| {
            (slots + engine.listed.slots, runs + engine.runs)
        })
    }

    /// The engine for a run that needs weights of `oldest_version` or newer.
    pub fn pick(&self, now: Time, oldest_version: u64, except: Option<Key>) -> Option<Key> {
        let admits = |key, engine: &Engine| Some(key) != except && engine.admits(now, 0);
        self.best(now, oldest_version, admits)
    }

    /// Whether any engine takes a run that needs weights of `oldest_version` or newer, of whatever item.
    pub fn has_room(&self, now: Time, oldest_version: u64) -> bool {
        self.best(now, oldest_version, |_, _| true).is_some()
    }

    /// The engine for a run of an item that so many endpoints have crashed under.
    pub fn pick_in_doubt(&self, now: Time, oldest_version: u64, doubts: usize) -> Option<Key> {
        self.best(now, oldest_version, |_, engine| engine.admits(now, doubts))
    }

    /// Keeps an engine free for an item with a last chance: nothing begins there until that item can run alone. One engine at a
    /// time, the one whose last run began first.
    pub fn reserve(&mut self, now: Time, oldest_version: u64) {
        let waits = |engine: &Engine| engine.last_chance || now < engine.reserved_until;
        if self.iter().any(|(_, engine)| waits(engine)) {
            return;
        }
        let fits = |engine: &Engine| engine.listed.version.is_some_and(|v| v >= oldest_version);
        let open = self.iter().filter(|(_, engine)| {
            fits(engine) && !engine.listed.leaving && now >= engine.not_before
        });
        let idle = open.filter(|(_, engine)| engine.doubted == 0);
        let first = idle.min_by_key(|(_, engine)| engine.last_began);
        if let Some(key) = first.map(|(key, _)| key) {
            self.arena[key].reserved_until = now + RESERVATION;
        }
    }

    fn best(
        &self,
        now: Time,
        oldest_version: u64,
        admits: impl Fn(Key, &Engine) -> bool,
    ) -> Option<Key> {
        let open = self
            .iter()
            .filter(|(key, engine)| engine.takes(now, oldest_version) && admits(*key, engine));
        let best = open.min_by(|(_, a), (_, b)| a.cost(self.pace).total_cmp(&b.cost(self.pace)));
        best.map(|(key, _)| key)
    }

    /// Where a run at `from`, which has made so many events, should go instead if that is faster.
    pub fn better(&self, now: Time, from: Key, oldest_version: u64, events: u64) -> Option<Key> {
        let engine = self.arena.get(from)?;
        let pace = engine.pace.filter(|_| engine.gaps >= MOVE_GAPS)?;
        let to = self.pick(now, oldest_version, Some(from))?;
        let factor = if events < LONG_RUN {
            FAR_SLOWER
        } else {
            MOVE_FACTOR
        };
        (pace > factor * self.arena[to].pace(self.pace)).then_some(to)
    }

    /// How long a run at an engine that has made events waits for the next one. The longest texts decide about a step and have
    /// less than a second to spare: 1.5 s at an engine that fell silent made them late.
    pub fn patience(&self, key: Key) -> Duration {
        let engine = self
            .arena
            .get(key)
            .filter(|engine| engine.gaps >= MOVE_GAPS);
        let Some(pace) = engine.and_then(|engine| engine.pace) else {
            return MOST_SILENCE;
        };
        let silence = Duration::from_secs_f64(SILENT_GAPS * pace / 1_000.0);
        silence.clamp(LEAST_SILENCE, MOST_SILENCE)
    }

    /// A run begins at the engine, of an item that so many endpoints have crashed under.
    pub fn started(&mut self, now: Time, key: Key, doubts: usize) {
        let Some(engine) = self.arena.get_mut(key) else {
            return;
        };
        engine.runs += 1;
        engine.last_began = now;
        if doubts > 0 {
            engine.doubted += 1;
        }
        if doubts >= ISOLATE_AT_CRASHES {
            engine.last_chance = true;
            engine.reserved_until = Time::ZERO;
        }
    }

    /// A run that began in doubt ends.
    pub fn doubt_ended(&mut self, key: Key) {
        if let Some(engine) = self.arena.get_mut(key) {
            engine.doubted = engine.doubted.saturating_sub(1);
            engine.last_chance &= engine.doubted > 0;
        }
    }

    /// A run at the engine made its first event: the engine takes work.
    pub fn began(&mut self, key: Key) {
        if let Some(engine) = self.arena.get_mut(key) {
            engine.breaks = 0;
            engine.suspect = false;
        }
    }

    /// A run at the engine made an event, `gap` after the one before.
    pub fn made(&mut self, key: Key, gap: Duration) {
        let Some(engine) = self.arena.get_mut(key) else {
            return;
        };
        let gap = gap.as_secs_f64() * 1_000.0;
        engine.gaps = engine.gaps.saturating_add(1);
        engine.pace = Some(averaged(engine.pace, gap, PACE_GAIN));
        self.pace = Some(averaged(self.pace, gap, FLEET_PACE_GAIN));
    }

    /// A run ended. Every `started` needs exactly one.
    pub fn ended(&mut self, now: Time, key: Key, halt: Halt) {
        let Some(engine) = self.arena.get_mut(key) else {
            return;
        };
        engine.runs = engine.runs.saturating_sub(1);
        match halt {
            Halt::Finished => {
                engine.breaks = 0;
                engine.suspect = false;
            }
            Halt::Cancelled => {}
            Halt::Full => {
                engine.suspect = true;
                engine.not_before = engine.not_before.max(now + FULL_PAUSE);
            }
            Halt::Broken => {
                engine.suspect = true;
                let pause = FIRST_PAUSE * 2u32.pow(engine.breaks.min(8));
                engine.breaks += 1;
                let until = now + pause.min(LONGEST_PAUSE);
                engine.not_before = engine.not_before.max(until);
            }
        }
        self.forget_if_idle(key);
    }

    fn forget_if_idle(&mut self, key: Key) {
        let idle = self.arena.get(key).is_some_and(|e| e.gone && e.runs == 0);
        if idle {
            self.arena.remove(key);
        }
    }
}

/// A moving average with one more value in it.
fn averaged(average: Option<f64>, value: f64, gain: f64) -> f64 {
    average.map_or(value, |average| average + gain * (value - average))
}
