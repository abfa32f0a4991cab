//! Selection of engines that report the slowdown of their machines, and of engines that do not.

use pinereel_core::{
    Time,
    batch::{EngineKey, Fleet, Listing, RunOutcome},
    hash,
};
use pinereel_port::headers::Load;
use std::{collections::BTreeMap, time::Duration};

const SLOTS: u32 = 6;

fn fleet(count: u16) -> (Fleet, Vec<EngineKey>) {
    let mut fleet = Fleet::default();
    fleet.update((0..count).map(|number| Listing {
        incarnation: 1,
        id: format!("engine-{number:02}").into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        slots: SLOTS,
        leaving: false,
        assigned: true,
        version: Some(1),
    }));
    let keys = fleet.iter().map(|(key, _)| key).collect();
    (fleet, keys)
}

fn load(running: u32, slowdown_percent: Option<u32>) -> Load {
    Load {
        running,
        waiting: 0,
        slots: SLOTS,
        slowdown_percent,
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Failure: the longest texts, which start first, start on slow engines until these have shown their
/// speed by 12 intervals.
#[test]
fn the_first_runs_go_to_engines_that_report_to_be_fast() {
    let (mut fleet, keys) = fleet(6);
    let now = at(1_000);
    for (number, key) in keys.iter().enumerate() {
        let slowdown = if number < 4 { 120 } else { 55 };
        fleet.load_reported(now, *key, load(0, Some(slowdown)));
    }
    let mut runs = Vec::new();
    for _ in 0..12 {
        let key = fleet.pick(now, 1, None).expect("a free slot");
        assert!(keys[4..].contains(&key));
        runs.extend(fleet.start_run(key));
    }
    let key = fleet.pick(now, 1, None).expect("a free slot");
    assert!(keys[..4].contains(&key), "the fast engines are full");
    for run in runs {
        fleet.end_run(now, run, RunOutcome::Finished);
    }
    assert_eq!(fleet.pick(at(5_900), 1, None), Some(keys[4]));
    assert_eq!(
        fleet.pick(at(6_100), 1, None),
        Some(keys[0]),
        "an estimate from reports alone expires"
    );
}

/// Failure: two intervals of an engine in a moment make it a slow one for the runs that follow.
#[test]
fn an_engine_with_few_intervals_is_rated_by_its_reports() {
    let (mut fleet, keys) = fleet(2);
    for millis in 0..24 {
        fleet.event_received(at(millis * 50), keys[0], Duration::from_millis(50));
        fleet.load_reported(at(millis * 50), keys[0], load(0, Some(120)));
    }
    let now = at(1_200);
    fleet.load_reported(now, keys[1], load(0, Some(55)));
    for _ in 0..2 {
        fleet.event_received(now, keys[1], Duration::from_millis(57));
    }
    assert_eq!(fleet.pick(now, 1, None), Some(keys[1]));
    let speed = fleet.reported_speed(now, keys[1]).expect("reported");
    assert!((20.0..26.0).contains(&speed.interval_ms), "{speed:?}");
}

/// Failure: an engine whose slots other runners use gets runs that then wait in its queue.
#[test]
fn requests_of_other_runners_count_while_the_report_is_recent() {
    let (mut fleet, keys) = fleet(2);
    let now = at(1_000);
    fleet.load_reported(now, keys[0], load(6, Some(100)));
    fleet.load_reported(now, keys[1], load(0, Some(120)));
    assert_eq!(fleet.pick(now, 1, None), Some(keys[1]));
    assert_eq!(
        fleet.pick(now, 1, Some(keys[1])),
        None,
        "it has no free slot"
    );
    let later = at(1_300);
    assert_eq!(fleet.pick(later, 1, None), Some(keys[0]));
    // Its own runs are no load of others.
    let mut runs = Vec::new();
    for _ in 0..3 {
        runs.extend(fleet.start_run(keys[0]));
    }
    fleet.load_reported(later, keys[0], load(3, Some(100)));
    assert_eq!(fleet.pick(later, 1, Some(keys[1])), Some(keys[0]));
    fleet.load_reported(later, keys[0], load(u32::MAX, Some(100)));
    assert_eq!(fleet.pick(later, 1, Some(keys[1])), None);
}

/// Time until a text on the first engine moves to the second one, in milliseconds after the first
/// engine's slowdown becomes `percent` for `duration_ms`; `None` if it does not move within 5 s.
/// Without `reports` the policy is the former one.
fn moved_after(reports: bool, percent: u64, duration_ms: u64) -> Option<u64> {
    let (mut fleet, keys) = fleet(2);
    let start = 3_000;
    let _run = fleet.start_run(keys[0]).expect("listed");
    let mut next = [0, 0];
    let mut events = 0;
    for millis in 0..start + 5_000 {
        let now = at(millis);
        for (number, key) in keys.iter().enumerate() {
            if millis < next[number] {
                continue;
            }
            let is_slow = number == 0 && (start..start + duration_ms).contains(&millis);
            let slowdown = if is_slow { percent } else { 100 };
            let interval = 42 * slowdown / 100;
            fleet.load_reported(
                now,
                *key,
                load(
                    0,
                    reports.then_some(u32::try_from(slowdown).expect("small")),
                ),
            );
            if millis > 0 {
                fleet.event_received(now, *key, Duration::from_millis(interval));
            }
            next[number] = millis + interval;
            events += u64::from(number == 0);
            if number == 0 && fleet.move_target(now, *key, 1, events).is_some() {
                return Some(millis.saturating_sub(start));
            }
        }
    }
    None
}

/// Failure: a text of 5 s moves since its engine is slow for a moment, and has its prompt read again.
#[test]
fn a_momentary_slowdown_moves_no_text_and_a_lasting_one_does() {
    assert!(moved_after(false, 250, 600).is_some(), "the former policy");
    assert_eq!(moved_after(true, 250, 600), None);
    assert_eq!(moved_after(true, 250, 900), None);
    let lasting = moved_after(true, 250, 5_000).expect("it moves");
    assert!((1_000..=1_600).contains(&lasting), "{lasting} ms");
    let fault = moved_after(true, 650, 5_000).expect("it moves");
    assert!(fault <= 1_100, "{fault} ms");
}

/// Failure: an engine sends figures that are no numbers, are 0 or are absurd, which count as absent.
/// The intervals that are observed must apply as if it sent none.
#[test]
fn an_engine_with_bad_figures_is_rated_by_its_intervals() {
    let (mut fleet, keys) = fleet(2);
    for millis in 0..40 {
        let now = at(millis * 50);
        fleet.load_reported(now, keys[0], load(0, Some(100)));
        fleet.load_reported(
            now,
            keys[0],
            load(0, if millis % 2 == 0 { None } else { Some(0) }),
        );
        fleet.event_received(now, keys[0], Duration::from_millis(50));
        fleet.event_received(now, keys[1], Duration::from_millis(40));
    }
    let now = at(2_000);
    assert!(fleet.reported_speed(now, keys[0]).is_none());
    assert_eq!(fleet.pick(now, 1, None), Some(keys[1]));
    assert_eq!(fleet.move_target(now, keys[0], 1, 10), Some(keys[1]));
}

/// Failure: a report is wrong. An engine that reports to be fast and is slow must lose its runs.
#[test]
fn observed_intervals_apply_where_reports_are_wrong() {
    let (mut fleet, keys) = fleet(2);
    for millis in 0..40 {
        let now = at(millis * 50);
        fleet.load_reported(now, keys[0], load(0, Some(1)));
        fleet.load_reported(now, keys[1], load(0, Some(10_000)));
        fleet.event_received(now, keys[0], Duration::from_millis(150));
        fleet.event_received(now, keys[1], Duration::from_millis(40));
    }
    let now = at(2_000);
    assert_eq!(fleet.pick(now, 1, None), Some(keys[1]));
    assert_eq!(fleet.move_target(now, keys[0], 1, 10), Some(keys[1]));
}

/// The former policy, with the constants that it had: the average interval of an engine, or of the
/// fleet, weighted by this runner's runs.
#[derive(Default)]
struct Former {
    average_ms: Option<f64>,
    /// Average and number of intervals, and runs, by engine.
    engines: BTreeMap<EngineKey, (Option<f64>, u32, u32)>,
}

impl Former {
    fn observe(&mut self, key: EngineKey, interval_ms: f64) {
        let average = |old: Option<f64>, weight: f64| {
            Some(old.map_or(interval_ms, |old| old + weight * (interval_ms - old)))
        };
        self.average_ms = average(self.average_ms, 0.01);
        let engine = self.engines.entry(key).or_default();
        engine.0 = average(engine.0, 0.06);
        engine.1 += 1;
    }

    fn interval_ms(&self, key: EngineKey) -> f64 {
        let own = self.engines.get(&key).and_then(|engine| engine.0);
        own.or(self.average_ms).unwrap_or(40.0)
    }

    fn pick(&self, keys: &[EngineKey], except: Option<EngineKey>) -> Option<EngineKey> {
        let runs = |key: &EngineKey| self.engines.get(key).map_or(0, |engine| engine.2);
        let cost = |key: &EngineKey| {
            self.interval_ms(*key) * (1.0 + 0.25 * (f64::from(runs(key)) / f64::from(SLOTS)))
        };
        let free = keys
            .iter()
            .filter(|key| runs(key) < SLOTS && Some(**key) != except);
        free.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    }

    fn move_target(&self, keys: &[EngineKey], from: EngineKey, events: u64) -> Option<EngineKey> {
        let (interval_ms, samples, _) = *self.engines.get(&from)?;
        let interval_ms = interval_ms.filter(|_| samples >= 12)?;
        let to = self.pick(keys, Some(from))?;
        let ratio = if events < 10 { 2.0 } else { 1.2 };
        (interval_ms > ratio * self.interval_ms(to)).then_some(to)
    }
}

/// Failure: a deployment whose endpoints send no fourth figure is affected by rules that are meant for
/// those that do. Every choice must be that of the former policy, whatever load is reported.
#[test]
fn without_the_fourth_figure_every_choice_is_that_of_the_former_policy() {
    for seed in 0..20 {
        let (mut fleet, keys) = fleet(8);
        let mut former = Former::default();
        let mut runs = Vec::new();
        for step in 0..2_000 {
            let chance = hash::mix(seed * 10_000 + step);
            let key = keys[(chance % 8) as usize];
            let now = at(step * 7);
            match (chance >> 8) % 8 {
                0 | 1 => {
                    let picked = fleet.pick(now, 1, None);
                    assert_eq!(picked, former.pick(&keys, None), "seed {seed}, step {step}");
                    if let Some(key) = picked {
                        runs.extend(fleet.start_run(key));
                        former.engines.entry(key).or_default().2 += 1;
                    }
                }
                2 => {
                    if let Some(index) = runs.iter().position(|run| run.engine() == key) {
                        fleet.end_run(now, runs.remove(index), RunOutcome::Finished);
                        former.engines.entry(key).or_default().2 -= 1;
                    }
                }
                3 => {
                    let figures = Load {
                        running: (chance >> 16) as u32 % 20,
                        waiting: (chance >> 24) as u32 % 20,
                        slots: SLOTS,
                        slowdown_percent: None,
                    };
                    fleet.load_reported(now, key, figures);
                }
                _ => {
                    let interval_us = 20_000 + (chance >> 16) % 200_000;
                    fleet.event_received(now, key, Duration::from_micros(interval_us));
                    former.observe(
                        key,
                        Duration::from_micros(interval_us).as_secs_f64() * 1_000.0,
                    );
                }
            }
            let events = (chance >> 40) % 20;
            assert_eq!(
                fleet.move_target(now, key, 1, events),
                former.move_target(&keys, key, events),
                "seed {seed}, step {step}"
            );
        }
    }
}
