//! Clients that exhaust an instance, beside all other faults.

use super::{AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch};
use crate::hosting::{
    crowd::{Crowd, Framing, Shape},
    site::{Limits, Site},
};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Limits of a site with crowds.
pub(super) const LIMITS: Limits = Limits {
    memory_mb: Some(64),
    file_descriptors: 512,
    head_bytes: 16_384,
    body_bytes: MAX_BODY_BYTES,
};
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time after which a client gives up a request.
const HOLD: Duration = Duration::from_secs(2);
/// Requests of each client, unless the crowd ends before.
const MAX_ROUNDS: usize = 100;

const SHAPES: [Shape; 8] = [
    Shape::one_byte_short("/live/x", MAX_BODY_BYTES),
    Shape::one_byte_short("/lots/1", MAX_BODY_BYTES),
    Shape::complete("/once/x", MAX_BODY_BYTES),
    Shape::chunked("/live/x", MAX_BODY_BYTES, 64 << 10),
    Shape::chunked("/live/x", 128 << 10, 1),
    Shape::chunked("/live/x", 4 * MAX_BODY_BYTES, 64 << 10),
    Shape {
        framing: Framing::Length(1 << 40),
        ..Shape::complete("/live/x", MAX_BODY_BYTES)
    },
    Shape::unfinished_head(120_000),
];

/// Runs crowds one after the other until `end`. The draws have a generator of their own, so that the other
/// faults of a seed do not depend on them.
pub(super) async fn run_until(
    site: &Rc<RefCell<Site>>,
    periods: &RefCell<Vec<FaultPeriod>>,
    seed: u64,
    end: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6372_6f77_6473);
    loop {
        sleep(Duration::from_millis(rng.random_range(300..2_000))).await;
        let length = Duration::from_millis(rng.random_range(500..4_000));
        if Instant::now() + length >= end {
            return;
        }
        let (index, address) = {
            let instances = &site.borrow().instances;
            let index = rng.random_range(0..instances.len());
            (index, instances[index].caller_address())
        };
        let from = Instant::now();
        periods.borrow_mut().push(FaultPeriod {
            instance: Some(index),
            graceful: false,
            out_of_touch: OutOfTouch::Instance(index),
            from,
            to: from + length + AFTER_EFFECT_TIME,
        });
        let shape = *SHAPES.choose(&mut rng).expect("the list is not empty");
        let clients = rng.random_range(24..150);
        // Without a thread there is no crowd, which the peak of memory cannot show.
        let Ok(crowd) = Crowd::start(address, shape, clients, MAX_ROUNDS, HOLD) else {
            continue;
        };
        sleep(length).await;
        crowd.stop();
        crowd.join().await;
    }
}
