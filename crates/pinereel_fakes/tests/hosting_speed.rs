//! Engines that report the slowdown of their machines, at real instances.

use pinereel_fakes::hosting::{
    engine::Faults,
    site::{Site, Size},
    trainer::{Shape, Trainer},
};
use serde_json::Value;
use std::rc::Rc;

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 2,
    services: 1,
};
const LOT_SHAPE: Shape = Shape {
    groups: 2,
    group_size: 4,
    wanted_groups: 2,
};

/// The JSON lines of all instances with this message.
fn lines(site: &Site, message: &str) -> Vec<Value> {
    let lines = site.instances.iter().flat_map(|instance| instance.lines());
    let parsed = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    parsed.filter(|line| line["msg"] == message).collect()
}

fn reporting(slowdown: &'static str) -> Faults {
    Faults {
        slowdown: Some(slowdown),
        ..Faults::default()
    }
}

/// Starts a site and a trainer for steps of eight items.
async fn start(seed: u64) -> (Site, Trainer) {
    let site = Site::start(SITE_SIZE, seed).await.expect("a site");
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let trainer = Trainer::new("t", &load_balancer, &site.store, &recorder, LOT_SHAPE, 1);
    (site, trainer)
}

/// Failure: an engine hangs from the first byte of its runs, and each was ended only after 1.5 s.
#[actix_rt::test]
async fn runs_on_an_engine_that_hangs_end_after_half_a_second() {
    let (site, mut trainer) = start(181).await;
    for engine in &site.engines {
        engine.endpoint.set_faults(reporting("120"));
    }
    trainer.step(0).await;
    site.engines[0].endpoint.set_faults(Faults {
        hangs: true,
        ..reporting("120")
    });
    trainer.step(1).await;
    assert_eq!(trainer.done, 2);
    let timeouts = lines(&site, "no first event in time");
    assert!(
        !timeouts.is_empty(),
        "runs started on the engine that hangs"
    );
    for line in &timeouts {
        assert_eq!(line["endpoint"], *site.engines[0].endpoint.id, "{line}");
        // A late timer of the instance extends the wait of 500 ms.
        let waited_ms = line["waited_ms"].as_u64().expect("a number");
        assert!((500..1_500).contains(&waited_ms), "{line}");
    }
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

/// Failure: texts stay on an engine that is slow for seconds, or their moves cannot be explained from
/// the log.
#[actix_rt::test]
async fn runs_leave_an_engine_that_is_slow_for_a_lasting_time() {
    let (site, mut trainer) = start(182).await;
    site.engines[0].endpoint.set_faults(Faults {
        slow_factor: 13,
        ..reporting("650")
    });
    site.engines[1].endpoint.set_faults(reporting("50"));
    for step in 0..3 {
        trainer.step(step).await;
    }
    assert_eq!(trainer.done, 3);
    let moves = lines(&site, "run moves to a faster engine");
    assert!(!moves.is_empty(), "a text of the slow engine moves");
    for line in &moves {
        assert_eq!(line["endpoint"], *site.engines[0].endpoint.id, "{line}");
        assert_eq!(line["to"], *site.engines[1].endpoint.id, "{line}");
        assert_eq!(line["slowdown"], 6.5, "{line}");
    }
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

/// Failure: a figure that is not valid disturbs the runs, or fills the log.
#[actix_rt::test]
async fn an_invalid_slowdown_is_logged_once_and_ignored() {
    let (site, mut trainer) = start(183).await;
    for (engine, slowdown) in site.engines.iter().zip(["0", "fast"]) {
        engine.endpoint.set_faults(reporting(slowdown));
    }
    for step in 0..2 {
        trainer.step(step).await;
    }
    assert_eq!(trainer.done, 2);
    // One instance runs the lots of the model, so each engine has one line.
    let invalid = lines(&site, "endpoint reports an invalid slowdown, ignored");
    assert_eq!(invalid.len(), 2, "{invalid:?}");
    assert_eq!(lines(&site, "run moves to a faster engine").len(), 0);
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}
