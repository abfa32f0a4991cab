//! State machine that brings the engines of one pool to the newest published version.

use super::{
    Action, Event, Lease, Plan, Settings, Status,
    engine::{Engine, Phase},
};
use crate::{Time, Version};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Weight of a new sample in the moving average of load times.
const LOAD_TIME_GAIN: f64 = 0.1;

/// Brings one pool's engines to the newest published version while its instance holds the lease.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) lease: Option<Lease>,
    pub(super) target: Option<Version>,
    /// When the target became known or the lease was acquired, whichever was later.
    pub(super) target_since: Time,
    /// Whether [`Action::Complete`] was returned for the target.
    is_complete: bool,
    /// Moving average of the time that a load takes.
    mean_load_time: Duration,
    pub(super) engines: BTreeMap<CompactString, Engine>,
    /// Fencing token of the last lease that was held.
    last_fence: Option<u64>,
    /// Highest fencing token that an engine has refused; leases up to it are ignored.
    highest_fenced: Option<u64>,
}

impl Controller {
    /// Creates a controller without lease, engines or target version.
    pub fn new(settings: Settings) -> Self {
        Self {
            mean_load_time: settings.initial_load_time,
            settings,
            lease: None,
            last_fence: None,
            target: None,
            target_since: Time::ZERO,
            is_complete: false,
            engines: BTreeMap::new(),
            highest_fenced: None,
        }
    }

    /// Handles one event and returns the actions that follow, in order. Orders and reads are
    /// returned only while the lease is valid.
    ///
    /// Answers of engines only update their status. Decisions are made at the next `Tick`,
    /// `Published` or `Lease`, because they scan all engines: a scan after each of thousands of
    /// simultaneous answers would be too slow.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let decides = matches!(event, Event::Tick | Event::Published(_) | Event::Lease(_));
        match event {
            Event::Lease(lease) => self.set_lease(now, lease),
            Event::Published(version) => self.set_target(now, version),
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
                    engine.note_report(version, loading);
                }
            }
            Event::Observed { name, status } => self.on_status(now, &name, status, &mut actions),
            Event::Accepted {
                name,
                fence,
                status,
            } => {
                self.on_accepted(now, &name, fence, status, &mut actions);
            }
            Event::Fenced { name, fence } => self.on_fenced(now, &name, fence, &mut actions),
            Event::NoAnswer { name } => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.note_no_answer(now, &self.settings);
                    engine.failed_connects = 0;
                }
            }
            Event::OrderNotSent { name, fence } => {
                let is_current = self.lease.is_some_and(|lease| lease.fence == fence);
                if let Some(engine) = self.engines.get_mut(&name) {
                    let was_idle = engine.was_idle_before_order();
                    engine.note_no_answer(now, &self.settings);
                    engine.failed_connects = 0;
                    engine.load_ruled_out = is_current && was_idle;
                }
            }
            Event::Unreachable { name } => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.note_no_answer(now, &self.settings);
                    engine.failed_connects += 1;
                }
            }
            Event::Tick => {}
        }
        if decides && self.may_order(now) {
            self.check_timeouts(now, &mut actions);
            self.issue_orders(now, &mut actions);
            self.issue_reads(now, &mut actions);
            self.check_complete(now, &mut actions);
        }
        actions
    }

    /// Changes [`Settings::max_loads`]; loads that already run are not affected.
    pub const fn set_max_loads(&mut self, max_loads: usize) {
        self.settings.max_loads = max_loads;
    }

    /// Whether the lease is held and has not expired, so that orders may be issued.
    pub fn may_order(&self, now: Time) -> bool {
        self.lease.is_some_and(|lease| now < lease.expires_at)
    }

    /// Remaining work of the rollout; `None` before a version is published.
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
        let (load_time, settings) = (self.mean_load_time, &self.settings);
        Some(Plan::new(
            target,
            engines,
            pending,
            quarantined,
            load_time,
            settings,
        ))
    }

    /// Engines in quarantine, each with its consecutive failed loads and the time from which it may
    /// be ordered again.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CompactString, u32, Time)> {
        let in_quarantine = self
            .engines
            .iter()
            .filter(|(_, e)| e.phase == Phase::Quarantine);
        in_quarantine.map(|(name, e)| (name, e.failures, e.next_order_at))
    }

    fn set_lease(&mut self, now: Time, lease: Option<Lease>) {
        // An engine that refused this token has seen the higher token of another holder.
        self.lease = lease.filter(|l| Some(l.fence) > self.highest_fenced);
        let Some(lease) = self.lease else {
            return;
        };
        // Another instance may have held the lease and changed the engines, so their status is read
        // again. An unchanged token rules that out: with 2,200 engines, reading all of them again
        // after a late renewal delays the next renewal as well, and the holder never issues an
        // order.
        if self.last_fence.replace(lease.fence) != Some(lease.fence) {
            for engine in self.engines.values_mut() {
                engine.reset_phase(now);
                engine.load_ruled_out = false;
            }
            self.target_since = now;
            self.is_complete = false;
        }
    }

    fn set_target(&mut self, now: Time, version: Version) {
        if self.target.is_some_and(|target| target >= version) {
            return;
        }
        self.target = Some(version);
        self.target_since = now;
        self.is_complete = false;
        // The new version may load where the previous one failed.
        for engine in self.engines.values_mut() {
            engine.next_order_at = now;
        }
    }

    fn on_status(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let target = self.target;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.read_since = None;
        engine.unanswered_calls = 0;
        engine.failed_connects = 0;
        engine.load_ruled_out = false;
        let before = engine.status;
        if before.incarnation != status.incarnation {
            self.on_restart(now, name, status, actions);
            return;
        }
        match engine.phase {
            // The order may still be in transit, and this status may predate it.
            Phase::Ordered {
                is_accepted: false, ..
            } => return,
            Phase::Ordered { .. } => self.on_load_status(now, name, status, actions),
            Phase::Unknown { .. } => engine.init_phase(status, now, &self.settings),
            Phase::Idle | Phase::Quarantine if engine.is_stale(&status, now) => {
                engine.report_differs = true;
                return;
            }
            Phase::Idle | Phase::Quarantine => {
                let unexpected = before.version != status.version && status.version != target;
                if unexpected {
                    let name = name.into();
                    let version = status.version;
                    actions.push(Action::UnexpectedVersion { name, version });
                    self.is_complete = false;
                }
            }
        }
        if let Some(engine) = self.engines.get_mut(name) {
            if engine.status.version != status.version {
                engine.version_since = now;
            }
            engine.report_differs = false;
            engine.status = status;
            engine.status_at = Some(now);
        }
    }

    /// Handles a status with another incarnation: the engine restarted. If it had an order, the
    /// load may have crashed it, which counts as a failed load.
    fn on_restart(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let was_ordered = matches!(engine.phase, Phase::Ordered { .. });
        engine.status = status;
        engine.status_at = Some(now);
        if !was_ordered {
            engine.init_phase(status, now, &settings);
        } else if engine.note_load_failure(now, name, &settings) {
            actions.push(quarantine_action(name, engine));
        }
    }

    /// Handles a status of an engine that has accepted an order.
    fn on_load_status(&mut self, now: Time, name: &str, status: Status, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let expected = self.mean_load_time;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Phase::Ordered {
            version,
            ordered_at,
            start_observed,
            ..
        } = engine.phase
        else {
            return;
        };
        let took = now.since(ordered_at);
        let is_done = status.loading.is_none() && status.version == Some(version);
        let is_loading = status.loading == Some(version) && took < settings.load_timeout;
        let has_not_started = status.loading.is_none() && !status.failed && took < expected;
        if is_done {
            let was_loading = engine.status.loading == Some(version);
            engine.note_load_success();
            // The duration is known only if this holder ordered the load and saw it in progress.
            if start_observed && was_loading {
                self.update_load_time(took);
            }
        } else if is_loading || has_not_started {
            // The load continues.
        } else if status.loading.is_some_and(|other| other != version) {
            // Another holder's order replaced this one, which is not a failure of the engine.
            engine.phase = Phase::Idle;
        } else if engine.note_load_failure(now, name, &settings) {
            actions.push(quarantine_action(name, engine));
        }
    }

    fn on_accepted(
        &mut self,
        now: Time,
        name: &str,
        fence: u64,
        status: Status,
        actions: &mut Vec<Action>,
    ) {
        let is_current = self.lease.is_some_and(|lease| lease.fence == fence);
        let Some(engine) = self.engines.get_mut(name).filter(|_| is_current) else {
            return;
        };
        if let Phase::Ordered { is_accepted, .. } = &mut engine.phase {
            *is_accepted = true;
            // A restart before the order was accepted is not a failed load.
            engine.status.incarnation = status.incarnation;
            engine.status.loading = status.loading;
        }
        self.on_status(now, name, status, actions);
    }

    fn on_fenced(&mut self, now: Time, name: &str, fence: u64, actions: &mut Vec<Action>) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.reset_phase(now);
        }
        // A refused order of an earlier lease does not invalidate the present one.
        if self.lease.is_some_and(|lease| lease.fence == fence) {
            self.lease = None;
            self.highest_fenced = Some(fence);
            actions.push(Action::LeaseLost { fence });
        }
    }

    /// Handles orders and reads whose answer is overdue, and loads that take too long.
    fn check_timeouts(&mut self, now: Time, actions: &mut Vec<Action>) {
        let settings = self.settings;
        for (name, engine) in &mut self.engines {
            let is_overdue = |since: Time, limit: Duration| now.since(since) >= limit;
            if engine
                .read_since
                .is_some_and(|at| is_overdue(at, settings.answer_timeout))
            {
                engine.note_no_answer(now, &settings);
            }
            let Phase::Ordered {
                ordered_at,
                is_accepted,
                ..
            } = engine.phase
            else {
                continue;
            };
            if !is_accepted && is_overdue(ordered_at, settings.answer_timeout) {
                engine.note_no_answer(now, &settings);
            } else if is_accepted
                && is_overdue(ordered_at, settings.load_timeout)
                && engine.note_load_failure(now, name, &settings)
            {
                actions.push(quarantine_action(name, engine));
            }
        }
    }

    fn issue_reads(&mut self, now: Time, actions: &mut Vec<Action>) {
        let in_flight = self.engines.values().filter(|e| e.read_since.is_some());
        let free_reads = self.settings.max_reads.saturating_sub(in_flight.count());
        let (mean_load_time, settings) = (self.mean_load_time, self.settings);
        let due = self
            .engines
            .iter_mut()
            .filter(|(_, e)| e.needs_read(now, mean_load_time, &settings));
        for (name, engine) in due.take(free_reads) {
            engine.read_since = Some(now);
            let name = name.clone();
            actions.push(Action::Read { name });
        }
    }

    fn check_complete(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(plan) = self.plan().filter(|p| p.engines > 0 && p.pending == 0) else {
            return;
        };
        if !self.is_complete {
            self.is_complete = true;
            actions.push(Action::Complete {
                version: plan.target,
                took: now.since(self.target_since),
            });
        }
    }

    fn update_load_time(&mut self, load_time: Duration) {
        let mean = self.mean_load_time.as_secs_f64();
        let next = mean + LOAD_TIME_GAIN * (load_time.as_secs_f64() - mean);
        self.mean_load_time = Duration::from_secs_f64(next);
    }
}

fn quarantine_action(name: &str, engine: &Engine) -> Action {
    Action::Quarantined {
        name: name.into(),
        failures: engine.failures,
        until: engine.next_order_at,
    }
}
