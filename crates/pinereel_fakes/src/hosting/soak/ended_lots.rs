//! Lots that are ended while the process that runs them is frozen for less time than it notices.

use super::{AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch};
use crate::{
    child_process::Signal,
    hosting::{
        http::call,
        instance::{LotLoad, lot_load},
        load_balancer::LoadBalancer,
        site::{API_KEY, HOST, MODEL, Site},
    },
};
use actix_http::Method;
use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Deadline of a call.
const CALL_DEADLINE: Duration = Duration::from_secs(2);
/// Number of items of a lot, so many that most are queued when it is ended.
const ITEMS: usize = 400;
/// Time within which no slot is counted as used after the last run.
const MAX_TIME_TO_IDLE: Duration = Duration::from_secs(8);

/// Submits lots and ends them beside freezes until `end`. The draws have a generator of their own, so that the
/// other faults of a seed do not depend on them.
pub(super) async fn end_until(
    site: &Rc<RefCell<Site>>,
    load_balancer: &LoadBalancer,
    periods: &RefCell<Vec<FaultPeriod>>,
    seed: u64,
    end: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x656e_6465_6400);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let lot = format!("ended-{seed}-{number}");
        let submission = submission(&lot);
        let address = load_balancer.pick().caller_address;
        send(address, Method::POST, "/lots/ended", &lot, submission).await;
        sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
        let length = Duration::from_millis(rng.random_range(300..3_000));
        // Short ones are the more frequent.
        let length = if rng.random_bool(0.7) {
            length.min(Duration::from_millis(600))
        } else {
            length
        };
        let frozen = freeze(&mut site.borrow_mut(), periods, length);
        sleep(length.mul_f64(rng.random_range(0.0..0.9))).await;
        let target = format!("/v1/lots/{lot}");
        let address = other_address(&site.borrow(), frozen, &mut rng);
        let ended = send(address, Method::DELETE, &target, &lot, Bytes::new());
        tokio::join!(ended, sleep(length / 2));
        if let Some(index) = frozen {
            let instance = &mut site.borrow_mut().instances[index];
            // Another fault may have ended the freeze, and begun one of its own.
            if instance.paused {
                instance.signal(Signal::CONT);
                instance.paused = false;
            }
        }
    }
}

/// Freezes the instance that opened a lot last. Returns its index; `None` if it does not run.
fn freeze(site: &mut Site, periods: &RefCell<Vec<FaultPeriod>>, length: Duration) -> Option<usize> {
    let opened = |index: &usize| site.instances[*index].count_lines("lot opened");
    let index = (0..site.instances.len()).max_by_key(opened)?;
    let instance = &mut site.instances[index];
    if !instance.is_running() || instance.paused {
        return None;
    }
    instance.signal(Signal::STOP);
    instance.paused = true;
    let from = Instant::now();
    periods.borrow_mut().push(FaultPeriod {
        instance: Some(index),
        graceful: false,
        out_of_touch: OutOfTouch::Instance(index),
        from,
        to: from + length + CALL_DEADLINE + AFTER_EFFECT_TIME,
    });
    Some(index)
}

/// Address of an instance other than the frozen one.
fn other_address(site: &Site, frozen: Option<usize>, rng: &mut ChaCha8Rng) -> SocketAddr {
    let others = (0..site.instances.len()).filter(|index| Some(*index) != frozen);
    let index = others.choose(rng).unwrap_or_default();
    site.instances[index].caller_proxy.address
}

fn submission(lot: &str) -> Bytes {
    let item = |number: usize| {
        json!({
            "id": format!("{lot}.{number}"), "path": "/lots/x", "headers": {"X-Model": MODEL},
            "body": "cHJvbXB0", "tokens": 10, "group": lot,
        })
    };
    let items: Vec<_> = (0..ITEMS).map(item).collect();
    let submission = json!({
        "step": 1, "model": MODEL, "minVersion": 1, "desiredCount": 1, "items": items,
    });
    submission.to_string().into()
}

async fn send(address: SocketAddr, method: Method, target: &str, id: &str, body: Bytes) {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", CALL_DEADLINE.as_millis().to_string()),
        ("authorization", format!("Bearer {API_KEY}")),
    ];
    // A call may fail under the other faults; a lot that is not ended expires.
    let _ = call(address, method, target, &headers, body, CALL_DEADLINE).await;
}

/// Checks that an instance counts no more slots as used than it has tasks, and none once no item is at any
/// engine.
pub(super) async fn check_slots(site: &Rc<RefCell<Site>>) {
    let deadline = Instant::now() + MAX_TIME_TO_IDLE;
    let count = site.borrow().instances.len();
    for index in 0..count {
        loop {
            let address = site.borrow().instances[index].metrics_address();
            let Some(LotLoad { used_slots, tasks }) = lot_load(address).await else {
                break;
            };
            let is_idle = {
                let site = site.borrow();
                let runs = site.engines.iter().map(|engine| engine.endpoint.running());
                runs.sum::<u32>() == 0
            };
            let recorder = Rc::clone(&site.borrow().recorder);
            if used_slots > tasks {
                recorder.record_violation(format!(
                    "instance {index} counts {used_slots} slots as used by {tasks} tasks"
                ));
                break;
            }
            if used_slots == 0 {
                break;
            }
            if Instant::now() >= deadline {
                if is_idle {
                    recorder.record_violation(format!(
                        "instance {index} counts {used_slots} slots as used without a run"
                    ));
                }
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}
