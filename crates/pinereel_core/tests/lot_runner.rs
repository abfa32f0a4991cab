//! A single runner: refusals, order of starts, speculative attempts, resume, retry budget, handover.

use pinereel_core::{
    Span, Time, Version,
    cursor::{self, Token},
    fair::Class,
    hash::Digest,
    lot::{
        Action, AttemptKey, Chunk, CollectRequest, Event, Failure, Finish, Group, Limits, Offer,
        Policy, Refusal, Runner, Sample, Spec, Start,
    },
    provenance::Stamp,
};

const NOW: Time = Time::from_millis(1_000);

fn digest(step: u64) -> Digest {
    Digest::of(&step.to_be_bytes())
}

fn spec(step: u64, groups: &[(u32, u32)]) -> Spec {
    let group = |(index, max_tokens): &(u32, u32)| Group {
        index: *index,
        first: index * 2,
        prompt: format!("p{index}"),
        samples: 2,
        max_tokens: *max_tokens,
    };
    Spec {
        lot: format!("lot{step}").into(),
        digest: digest(step),
        trainer: "t".into(),
        weight: 1,
        model: "m".into(),
        step,
        version: Version(5),
        bound: 1,
        deadline: Time::from_millis(60_000),
        scored: false,
        groups: groups.iter().map(group).collect(),
    }
}

fn offer(endpoint: &str, slots: u32) -> Event {
    Event::Offer(Offer {
        endpoint: endpoint.into(),
        model: "m".into(),
        version: Version(5),
        slots,
    })
}

fn collect(step: u64, token: Token, version: u64, bound: u64) -> Event {
    Event::Collect(CollectRequest {
        call: 9,
        lot: format!("lot{step}").into(),
        groups: vec![0, 1],
        token,
        version: Version(version),
        bound,
        max_samples: 100,
    })
}

fn chunk(attempt: AttemptKey, offset: u32, text: &str, finish: Option<Finish>) -> Event {
    let stamp = Stamp {
        offset,
        tokens: 1,
        version: Some(Version(5)),
        reused: Vec::new(),
    };
    let text = text.into();
    Event::Chunk(Chunk {
        attempt,
        stamp,
        text,
        finish,
    })
}

fn starts(actions: &[Action]) -> Vec<Start> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

fn answer(actions: &[Action]) -> (Vec<Sample>, Vec<u32>) {
    let found = actions.iter().find_map(|action| match action {
        Action::Answer {
            samples, missing, ..
        } => Some((samples.clone(), missing.clone())),
        _ => None,
    });
    found.expect("an answer")
}

fn runner(policy: Policy) -> Runner {
    Runner::new(policy, Limits::default())
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

#[test]
fn assign_is_idempotent_and_refuses_other_content() {
    let mut runner = runner(Policy::default());
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8), (1, 8)])));
    assert_eq!(runner.lots().next().unwrap().samples(), 4);
    let mut other = spec(7, &[(0, 8)]);
    other.digest = digest(99);
    let actions = runner.step(NOW, Event::Assign(other));
    assert_eq!(refusal(&actions), Some(Refusal::Conflict));
    let mut overlap = spec(7, &[(2, 8)]);
    overlap.groups[0].first = 1;
    let actions = runner.step(NOW, Event::Assign(overlap));
    assert_eq!(refusal(&actions), Some(Refusal::Malformed));
}

#[test]
fn a_lot_more_than_one_step_behind_is_dropped() {
    let mut runner = runner(Policy::default());
    for step in [7, 8] {
        runner.step(NOW, Event::Assign(spec(step, &[(0, 8)])));
    }
    assert_eq!(runner.lots().count(), 2);
    let running = starts(&runner.step(NOW, offer("a", 1)));
    assert_eq!(running[0].lot, "lot7");
    let actions = runner.step(NOW, Event::Assign(spec(9, &[(0, 8)])));
    let (attempt, endpoint) = (running[0].attempt, "a".into());
    assert!(actions.contains(&Action::Cancel { attempt, endpoint }));
    assert_eq!(
        runner.in_flight(),
        1,
        "a sample of the next lot uses the slot"
    );
    let (lot, reason) = ("lot7".into(), Refusal::Superseded);
    assert!(actions.contains(&Action::Dropped { lot, reason }));
    let actions = runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    assert_eq!(refusal(&actions), Some(Refusal::Superseded));
}

#[test]
fn lots_and_samples_are_bounded() {
    let limits = Limits {
        max_lots: 1,
        max_samples: 2,
        ..Limits::default()
    };
    let mut runner = Runner::new(Policy::default(), limits);
    let actions = runner.step(NOW, Event::Assign(spec(7, &[(0, 8), (1, 8)])));
    assert_eq!(refusal(&actions), Some(Refusal::Full));
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let actions = runner.step(NOW, Event::Assign(spec(8, &[])));
    assert_eq!(refusal(&actions), Some(Refusal::Full));
    let actions = runner.step(Time::from_millis(400_000), Event::Tick);
    let (lot, reason) = ("lot7".into(), Refusal::Idle);
    assert_eq!(actions, [Action::Dropped { lot, reason }]);
}

#[test]
fn finished_text_is_bounded_and_collects_free_its_space() {
    let limits = Limits {
        max_text_bytes: 3,
        ..Limits::default()
    };
    let mut runner = Runner::new(all_slots(), limits);
    let mut running = starts(&runner.step(NOW, offer("a", 2)));
    running.extend(starts(&runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])))));
    for start in &running {
        runner.step(NOW, chunk(start.attempt, 0, "ab", Some(Finish::Complete)));
    }
    let more = Event::Assign(spec(7, &[(0, 8), (1, 8)]));
    let actions = runner.step(NOW, more.clone());
    assert_eq!(refusal(&actions), Some(Refusal::Full));
    let again = runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    assert_eq!(
        refusal(&again),
        None,
        "known groups take no additional space"
    );
    let token = Token::empty(digest(7), 7, 4).with_samples([0, 1]).unwrap();
    runner.step(NOW, collect(7, token, 5, 1));
    assert_eq!(refusal(&runner.step(NOW, more)), None);
}

/// The default policy, with all slots open to lots from which no trainer has collected yet.
fn all_slots() -> Policy {
    Policy {
        prefetch_slots: u32::MAX,
        ..Policy::default()
    }
}

#[test]
fn a_lot_that_its_trainer_collects_goes_first_and_on_all_slots() {
    let started = |policy| {
        let mut runner = runner(policy);
        runner.step(NOW, Event::Assign(spec(7, &[(0, 8), (1, 8)])));
        runner.step(NOW, Event::Assign(spec(8, &[(0, 8)])));
        runner.step(NOW, collect(8, Token::empty(digest(8), 8, 2), 5, 1));
        let started = starts(&runner.step(NOW, offer("a", 8)));
        let started = started.iter().map(|s| (s.lot.to_string(), s.class));
        started.collect::<Vec<_>>()
    };
    let expected = ("lot8".into(), Class::Straggler);
    assert_eq!(started(Policy::default()), [expected.clone(), expected]);
    let order: Vec<_> = started(Policy::BASELINE);
    assert_eq!(order[0], ("lot7".into(), Class::Bulk));
    assert_eq!(order.len(), 6);
}

#[test]
fn no_attempt_starts_at_an_endpoint_whose_cached_prefix_is_too_old() {
    let started = |policy| {
        let mut runner = runner(policy);
        runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
        let first = starts(&runner.step(NOW, offer("a", 1)));
        let mut reused = chunk(first[0].attempt, 0, " x", Some(Finish::Complete));
        if let Event::Chunk(chunk) = &mut reused {
            chunk.stamp.reused = vec![Span {
                version: Version(3),
                tokens: 4,
            }];
        }
        // The other sample is queued; its trainer is at version 5 with bound 1.
        runner.step(NOW, offer("a", 0));
        runner.step(NOW, reused);
        runner.step(NOW, collect(7, Token::empty(digest(7), 7, 2), 5, 1));
        starts(&runner.step(NOW, offer("a", 1))).len()
    };
    assert_eq!(started(Policy::default()), 0);
    assert_eq!(started(Policy::BASELINE), 1);
}

#[test]
fn the_longest_samples_are_started_first() {
    let order = |policy| {
        let mut runner = runner(policy);
        runner.step(NOW, Event::Assign(spec(7, &[(0, 8), (1, 90)])));
        let started = starts(&runner.step(NOW, offer("a", 4)));
        started.iter().map(|s| s.index).collect::<Vec<_>>()
    };
    assert_eq!(order(all_slots()), [2, 3, 0, 1]);
    assert_eq!(order(Policy::BASELINE), [0, 1, 2, 3]);
}

#[test]
fn trainers_share_slots_by_weight() {
    let started = |policy| {
        let mut runner = runner(policy);
        for (trainer, weight) in [("a", 1), ("b", 3)] {
            let mut lot = spec(7, &[(0, 8), (1, 8), (2, 8), (3, 8)]);
            lot.lot = trainer.into();
            lot.trainer = trainer.into();
            lot.weight = weight;
            runner.step(NOW, Event::Assign(lot));
        }
        let started = starts(&runner.step(NOW, offer("e", 8)));
        started.iter().filter(|s| s.lot == "b").count()
    };
    assert_eq!(started(all_slots()), 6);
    assert_eq!(started(Policy::BASELINE), 0);
}

#[test]
fn a_start_waits_for_newer_weights_if_it_would_end_too_old() {
    let started = |policy| {
        let mut runner = runner(policy);
        for (version, at) in [(4, 1_000), (5, 2_000), (6, 3_000)] {
            let (model, version) = ("m".into(), Version(version));
            runner.step(Time::from_millis(at), Event::Published { model, version });
        }
        let newer = Offer {
            endpoint: "new".into(),
            model: "m".into(),
            version: Version(6),
            slots: 1,
        };
        let now = Time::from_millis(3_500);
        runner.step(now, Event::Offer(newer));
        runner.step(now, Event::Assign(spec(7, &[(0, 8)])));
        // Within the bound now (5 of 6, bound 1), but version 7 is due before the sample completes.
        let later = Time::from_millis(4_100);
        starts(&runner.step(later, offer("old", 1))).len()
    };
    assert_eq!(started(Policy::default()), 0);
    assert_eq!(started(Policy::BASELINE), 1);
}

#[test]
fn a_straggler_is_duplicated_and_the_first_complete_attempt_wins() {
    let mut runner = runner(Policy {
        speculative_attempts: true,
        ..Policy::default()
    });
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let first = starts(&runner.step(NOW, offer("a", 2)));
    runner.step(NOW, chunk(first[0].attempt, 0, " x", None));
    let later = Time::from_millis(2_000);
    let speculative = starts(&runner.step(later, offer("b", 1)));
    assert_eq!(speculative.len(), 1);
    let second = &speculative[0];
    assert_eq!(
        (second.index, second.class),
        (first[0].index, Class::Straggler)
    );
    assert_eq!((second.resume.as_str(), second.resume_tokens), (" x", 1));
    let done = runner.step(
        later,
        chunk(second.attempt, 1, " y", Some(Finish::Complete)),
    );
    let (attempt, endpoint) = (first[0].attempt, "a".into());
    assert!(done.contains(&Action::Cancel { attempt, endpoint }));
    runner.step(later, chunk(first[0].attempt, 1, " y", None));
    assert_eq!(runner.stats().late_events, 1);
}

#[test]
fn a_lost_attempt_resumes_only_where_versions_fit() {
    let mut runner = runner(Policy::default());
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let first = starts(&runner.step(NOW, offer("a", 2)));
    for start in &first {
        runner.step(NOW, chunk(start.attempt, 0, " x", None));
    }
    let endpoint = "a".into();
    runner.step(NOW, Event::EndpointLost { endpoint });
    let resumed = starts(&runner.step(NOW, offer("b", 1)));
    assert_eq!(resumed[0].resume, " x");
    let (model, version) = ("m".into(), Version(7));
    runner.step(NOW, Event::Published { model, version });
    // A publication does not show which version the trainer is at; the trainer's own collect does.
    assert_eq!(runner.stats().aborted, 0);
    runner.step(NOW, collect(7, Token::empty(digest(7), 7, 2), 7, 1));
    assert_eq!(runner.stats().aborted, 1);
    let newer = Offer {
        endpoint: "c".into(),
        model: "m".into(),
        version: Version(7),
        slots: 2,
    };
    let fresh = starts(&runner.step(NOW, Event::Offer(newer)));
    assert!(fresh.iter().all(|start| start.resume.is_empty()));
    assert_eq!((fresh.len(), runner.stats().aborted), (2, 1));
}

#[test]
fn a_tighter_bound_aborts_attempts_that_can_no_longer_meet_it() {
    let mut runner = runner(Policy::default());
    let mut lot = spec(7, &[(0, 8)]);
    lot.version = Version(6);
    runner.step(NOW, Event::Assign(lot));
    let first = starts(&runner.step(NOW, offer("a", 1)));
    runner.step(NOW, chunk(first[0].attempt, 0, " x", None));
    let (trainer, bound) = ("t".into(), 0);
    let actions = runner.step(NOW, Event::BoundChanged { trainer, bound });
    let (attempt, endpoint) = (first[0].attempt, "a".into());
    assert_eq!(actions, [Action::Cancel { attempt, endpoint }]);
}

#[test]
fn retries_are_bounded_by_the_budget() {
    let limits = Limits {
        retry_burst: 1,
        retry_percent: 0,
        ..Limits::default()
    };
    let mut runner = Runner::new(Policy::default(), limits);
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    runner.step(NOW, Event::Tick);
    let mut running = starts(&runner.step(NOW, offer("a", 1)));
    let mut attempts = 0;
    while let Some(start) = running.pop() {
        attempts += 1;
        let (attempt, failure) = (start.attempt, Failure::Lost);
        running = starts(&runner.step(NOW, Event::Failed { attempt, failure }));
    }
    assert_eq!(attempts, 3, "two samples and one retry");
    let later = Time::from_millis(1_200);
    assert_eq!(starts(&runner.step(later, Event::Tick)).len(), 1);
}

#[test]
fn an_endpoint_that_refused_gets_nothing_until_offered_again() {
    let mut runner = runner(Policy::default());
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let first = starts(&runner.step(NOW, offer("a", 1)));
    let (attempt, failure) = (first[0].attempt, Failure::NotRun);
    let actions = runner.step(NOW, Event::Failed { attempt, failure });
    assert_eq!(starts(&actions), []);
    assert_eq!(starts(&runner.step(NOW, offer("a", 1))).len(), 1);
}

#[test]
fn collects_report_what_is_missing_and_refuse_foreign_tokens() {
    let mut runner = runner(Policy::default());
    let token = Token::empty(digest(7), 7, 4);
    let none = runner.step(NOW, collect(7, token.clone(), 5, 1));
    assert_eq!(answer(&none), (vec![], vec![0, 1]));
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let some = runner.step(NOW, collect(7, token, 5, 1));
    assert_eq!(answer(&some).1, [1]);
    let foreign = Token::empty(digest(8), 7, 4);
    let actions = runner.step(NOW, collect(7, foreign, 5, 1));
    let (call, error) = (9, cursor::Error::OtherLot);
    assert_eq!(actions, [Action::Rejected { call, error }]);
}

#[test]
fn a_finished_sample_too_old_for_the_collect_is_generated_again() {
    let mut runner = runner(Policy::BASELINE);
    runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let first = starts(&runner.step(NOW, offer("a", 1)));
    runner.step(
        NOW,
        chunk(first[0].attempt, 0, " x", Some(Finish::Complete)),
    );
    let token = Token::empty(digest(7), 7, 2);
    let fits = runner.step(NOW, collect(7, token.clone(), 6, 1));
    assert_eq!(answer(&fits).0.len(), 1);
    let old = runner.step(NOW, collect(7, token, 6, 0));
    assert_eq!(answer(&old).0, []);
    assert_eq!(runner.lots().next().unwrap().queued(), 1);
}

#[test]
fn a_draining_runner_hands_over_and_starts_nothing() {
    let mut old = runner(Policy::default());
    old.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
    let first = starts(&old.step(NOW, offer("a", 1)));
    old.step(
        NOW,
        chunk(first[0].attempt, 0, " x", Some(Finish::Complete)),
    );
    let actions = old.step(NOW, Event::Drain);
    assert_eq!((starts(&actions).len(), old.in_flight()), (0, 1));
    let Some(Action::Handover { spec, samples }) = actions.last().cloned() else {
        panic!("no handover: {actions:?}");
    };
    let mut next = runner(Policy::default());
    next.step(NOW, Event::Handover { spec, samples });
    let token = Token::empty(digest(7), 7, 2);
    let (samples, _) = answer(&next.step(NOW, collect(7, token, 5, 1)));
    let spans = vec![Span {
        version: Version(5),
        tokens: 1,
    }];
    assert_eq!((samples.len(), &samples[0].spans), (1, &spans));
}

#[test]
fn a_score_counts_only_for_the_text_it_was_requested_for() {
    let mut runner = runner(Policy::default());
    let mut lot = spec(7, &[(0, 8)]);
    lot.scored = true;
    runner.step(NOW, Event::Assign(lot));
    let first = starts(&runner.step(NOW, offer("a", 1)));
    let done = chunk(first[0].attempt, 0, " x", Some(Finish::Complete));
    let actions = runner.step(NOW, done);
    let ticket = actions.iter().find_map(|action| match action {
        Action::Score { ticket, .. } => Some(*ticket),
        _ => None,
    });
    let ticket = ticket.expect("a scoring");
    let version = Version(9);
    runner.step(NOW, collect(7, Token::empty(digest(7), 7, 2), 9, 1));
    let newer = Offer {
        endpoint: "b".into(),
        model: "m".into(),
        version,
        slots: 2,
    };
    for start in starts(&runner.step(NOW, Event::Offer(newer))) {
        let mut last = chunk(start.attempt, 0, " y", Some(Finish::Complete));
        if let Event::Chunk(chunk) = &mut last {
            chunk.stamp.version = Some(version);
        }
        runner.step(NOW, last);
    }
    let score = 1.0;
    assert_eq!(runner.step(NOW, Event::Scored { ticket, score }), []);
    let token = Token::empty(digest(7), 7, 2);
    assert_eq!(answer(&runner.step(NOW, collect(7, token, 9, 1))).0, []);
}

/// A chunk with valid stamps whose reused prefix is far older than the bound allows.
fn stale_chunk(attempt: AttemptKey, finish: Option<Finish>) -> Event {
    let reused = vec![Span {
        version: Version(1),
        tokens: 8,
    }];
    let stamp = Stamp {
        offset: 0,
        tokens: 1,
        version: Some(Version(5)),
        reused,
    };
    Event::Chunk(Chunk {
        attempt,
        stamp,
        text: "x".into(),
        finish,
    })
}

#[test]
fn an_engine_that_reuses_old_prefixes_is_retried_at_the_rate_of_the_budget() {
    for finish in [None, Some(Finish::Complete)] {
        let mut runner = runner(Policy::default());
        runner.step(NOW, Event::Assign(spec(7, &[(0, 8)])));
        let mut waiting = starts(&runner.step(NOW, offer("a", 2)));
        let mut count = waiting.len();
        // For ten seconds the engine answers each attempt immediately. Without the retry budget the
        // runner would start attempts without limit.
        for tick in 0..100 {
            let now = NOW + std::time::Duration::from_millis(100 * tick);
            let ticked = starts(&runner.step(now, Event::Tick));
            count += ticked.len();
            waiting.extend(ticked);
            for _ in 0..1_000 {
                let Some(start) = waiting.pop() else { break };
                let actions = runner.step(now, stale_chunk(start.attempt, finish));
                let again = starts(&actions);
                count += again.len();
                waiting.extend(again);
            }
        }
        let limits = Limits::default();
        let max_starts = limits.retry_burst + 10 * limits.retries_per_second + 2;
        assert!(
            count <= max_starts as usize,
            "{count} starts, at most {max_starts}"
        );
    }
}
