//! The rollout's state machine.

use super::{
    Action, Event, Lease, Plan, Settings, Status,
    engine::{Engine, Phase},
};
use crate::{Time, Version};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Share of a new load's time in the moving average.
const LOAD_GAIN: f64 = 0.1;

/// Brings one pool's engines to the newest published version, while it holds the lease.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) lease: Option<Lease>,
    pub(super) target: Option<Version>,
    since: Time,
    complete: bool,
    load_time: Duration,
    pub(super) engines: BTreeMap<CompactString, Engine>,
    /// Fencing token of the last lease held.
    held: Option<u64>,
    /// Highest fencing token that an engine has refused.
    lost: Option<u64>,
}

impl Controller {
    /// A controller without lease, engines or target.
    pub fn new(settings: Settings) -> Self {
        Self {
            load_time: settings.initial_load_time,
            settings,
            lease: None,
            held: None,
            target: None,
            since: Time::ZERO,
            complete: false,
            engines: BTreeMap::new(),
            lost: None,
        }
    }

    /// Takes in one event; returns what to do, in order. Orders and reads come only while the
    /// lease may be acted on.
    ///
    /// Answers are only noted. What follows from them is decided at the next `Tick`, `Published`
    /// or `Lease`, since that looks at all engines: with thousands of answers at once it would
    /// cost too much after each.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let decides = matches!(event, Event::Tick | Event::Published(_) | Event::Lease(_));
        match event {
            Event::Lease(lease) => self.set_lease(now, lease),
            Event::Published(version) => self.published(now, version),
            Event::Listed {
                name,
                zone,
                outstanding,
                leaving,
            } => {
                let engine = self
                    .engines
                    .entry(name)
                    .or_insert_with(|| Engine::new(zone.clone(), now));
                engine.zone = zone;
                engine.outstanding = outstanding;
                engine.leaving = leaving;
            }
            Event::Unlisted { name } => {
                self.engines.remove(&name);
            }
            Event::Reported {
                name,
                version,
                loading,
            } => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.reported(version, loading);
                }
            }
            Event::Observed { name, status } => self.seen(now, &name, status, &mut actions),
            Event::Accepted { name, fence, status } => {
                self.taken(now, &name, fence, status, &mut actions);
            }
            Event::Fenced { name, fence } => self.refused(now, &name, fence, &mut actions),
            Event::NoAnswer { name } => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.silent(now, &self.settings);
                    engine.unreached = 0;
                }
            }
            Event::Unreachable { name } => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.silent(now, &self.settings);
                    engine.unreached += 1;
                }
            }
            Event::Tick => {}
        }
        if decides && self.acts(now) {
            self.time_out(now, &mut actions);
            self.order(now, &mut actions);
            self.read(now, &mut actions);
            self.check_complete(now, &mut actions);
        }
        actions
    }

    /// Sets how many engines may load at once from now on.
    pub const fn set_max_loads(&mut self, max_loads: usize) {
        self.settings.max_loads = max_loads;
    }

    /// Whether orders may be given now.
    pub fn acts(&self, now: Time) -> bool {
        self.lease.is_some_and(|lease| now < lease.expires_at)
    }

    /// What is left to do; `None` before a version is published.
    pub fn plan(&self) -> Option<Plan> {
        let target = self.target?;
        let mut counts = (0, 0, 0);
        for engine in self.engines.values().filter(|e| !e.leaving) {
            let differs = matches!(engine.phase, Phase::Unknown { .. })
                || engine.status.loading.is_some()
                || engine.status.version != Some(target);
            let quarantined = engine.phase == Phase::Quarantine;
            counts.0 += 1;
            counts.1 += usize::from(differs && !quarantined);
            counts.2 += usize::from(quarantined);
        }
        let (engines, pending, quarantined) = counts;
        let (load, settings) = (self.load_time, &self.settings);
        Some(Plan::new(
            target,
            engines,
            pending,
            quarantined,
            load,
            settings,
        ))
    }

    /// Engines in quarantine: failures in a row and the time of the next trial.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CompactString, u32, Time)> {
        let held = self
            .engines
            .iter()
            .filter(|(_, e)| e.phase == Phase::Quarantine);
        held.map(|(name, e)| (name, e.failures, e.not_before))
    }

    fn set_lease(&mut self, now: Time, lease: Option<Lease>) {
        // A token that an engine has refused is behind another holder's.
        self.lease = lease.filter(|l| Some(l.fence) > self.lost);
        let Some(lease) = self.lease else {
            return;
        };
        // Whatever happened while another may have held the lease is unknown. Under the same token nobody has:
        // a holder of 2,200 engines that renewed late forgot and read them all again, was late by that, and
        // gave no order at all.
        if self.held.replace(lease.fence) != Some(lease.fence) {
            self.engines.values_mut().for_each(|e| e.forget(now));
            self.since = now;
            self.complete = false;
        }
    }

    fn published(&mut self, now: Time, version: Version) {
        if self.target.is_some_and(|target| target >= version) {
            return;
        }
        self.target = Some(version);
        self.since = now;
        self.complete = false;
        // Other weights may load where the last ones didn't.
        for engine in self.engines.values_mut() {
            engine.not_before = now;
        }
    }

    fn seen(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let target = self.target;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.reading = None;
        engine.silences = 0;
        engine.unreached = 0;
        let before = engine.status;
        if before.incarnation != status.incarnation {
            self.restarted(now, name, status, actions);
            return;
        }
        match engine.phase {
            // The order may still be on its way; what was seen may be older than it.
            Phase::Ordered {
                answered: false, ..
            } => return,
            Phase::Ordered { .. } => self.loaded(now, name, status, actions),
            Phase::Unknown { .. } => engine.adopt(status, now, &self.settings),
            Phase::Rest | Phase::Quarantine if engine.is_outdated(&status, now) => {
                engine.differs_by_report = true;
                return;
            }
            Phase::Rest | Phase::Quarantine => {
                let unexpected = before.version != status.version && status.version != target;
                if unexpected {
                    let name = name.into();
                    let version = status.version;
                    actions.push(Action::UnexpectedVersion { name, version });
                    self.complete = false;
                }
            }
        }
        if let Some(engine) = self.engines.get_mut(name) {
            if engine.status.version != status.version {
                engine.version_at = now;
            }
            engine.differs_by_report = false;
            engine.status = status;
            engine.seen_at = Some(now);
        }
    }

    /// An engine shows another incarnation. If it had an order, the load may have ended it.
    fn restarted(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let ordered = matches!(engine.phase, Phase::Ordered { .. });
        engine.status = status;
        engine.seen_at = Some(now);
        if !ordered {
            engine.adopt(status, now, &settings);
        } else if engine.fail(now, name, &settings) {
            actions.push(quarantined(name, engine));
        }
    }

    /// An engine with an order shows its state.
    fn loaded(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let expected = self.load_time;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Phase::Ordered {
            version, at, own, ..
        } = engine.phase
        else {
            return;
        };
        let took = now.since(at);
        let done = status.loading.is_none() && status.version == Some(version);
        let loads = status.loading == Some(version) && took < settings.load_timeout;
        let not_begun = status.loading.is_none() && !status.failed && took < expected;
        if done {
            let loaded = engine.status.loading == Some(version);
            engine.succeed();
            // A load that was under way or over before says nothing about the time of one.
            if own && loaded {
                self.learn(took);
            }
        } else if loads || not_begun {
            // Goes on.
        } else if status.loading.is_some_and(|other| other != version) {
            // Another's order came after ours: not the engine's fault.
            engine.phase = Phase::Rest;
        } else if engine.fail(now, name, &settings) {
            actions.push(quarantined(name, engine));
        }
    }

    fn taken(
        &mut self,
        now: Time,
        name: &str,
        fence: u64,
        status: Status,
        actions: &mut Vec<Action>,
    ) {
        let held = self.lease.is_some_and(|lease| lease.fence == fence);
        let Some(engine) = self.engines.get_mut(name).filter(|_| held) else {
            return;
        };
        if let Phase::Ordered { answered, .. } = &mut engine.phase {
            *answered = true;
            // A restart before the order was taken is no failure of its load.
            engine.status.incarnation = status.incarnation;
            engine.status.loading = status.loading;
        }
        self.seen(now, name, status, actions);
    }

    fn refused(&mut self, now: Time, name: &str, fence: u64, actions: &mut Vec<Action>) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.forget(now);
        }
        // A refusal of an earlier lease's order says nothing about this one.
        if self.lease.is_some_and(|lease| lease.fence == fence) {
            self.lease = None;
            self.lost = Some(fence);
            actions.push(Action::LeaseLost { fence });
        }
    }

    /// Orders and reads without an answer, and loads without an end.
    fn time_out(&mut self, now: Time, actions: &mut Vec<Action>) {
        let settings = self.settings;
        for (name, engine) in &mut self.engines {
            let late = |at: Time, limit: Duration| now.since(at) >= limit;
            if engine
                .reading
                .is_some_and(|at| late(at, settings.answer_timeout))
            {
                engine.silent(now, &settings);
            }
            let Phase::Ordered { at, answered, .. } = engine.phase else {
                continue;
            };
            if !answered && late(at, settings.answer_timeout) {
                engine.silent(now, &settings);
            } else if answered
                && late(at, settings.load_timeout)
                && engine.fail(now, name, &settings)
            {
                actions.push(quarantined(name, engine));
            }
        }
    }

    fn read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let reading = self.engines.values().filter(|e| e.reading.is_some());
        let room = self.settings.max_reads.saturating_sub(reading.count());
        let (load_time, settings) = (self.load_time, self.settings);
        let due = self
            .engines
            .iter_mut()
            .filter(|(_, e)| e.wants_read(now, load_time, &settings));
        for (name, engine) in due.take(room) {
            engine.reading = Some(now);
            let name = name.clone();
            actions.push(Action::Read { name });
        }
    }

    fn check_complete(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(plan) = self.plan().filter(|p| p.engines > 0 && p.pending == 0) else {
            return;
        };
        if !self.complete {
            self.complete = true;
            actions.push(Action::Complete {
                version: plan.target,
                took: now.since(self.since),
            });
        }
    }

    fn learn(&mut self, took: Duration) {
        let mean = self.load_time.as_secs_f64();
        let next = mean + LOAD_GAIN * (took.as_secs_f64() - mean);
        self.load_time = Duration::from_secs_f64(next);
    }
}

fn quarantined(name: &str, engine: &Engine) -> Action {
    Action::Quarantined {
        name: name.into(),
        failures: engine.failures,
        until: engine.not_before,
    }
}
