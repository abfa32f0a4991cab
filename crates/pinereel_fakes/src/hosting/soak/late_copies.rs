//! Endpoints that send further copies of their answers late, beside runs and scorings that fail.

use crate::hosting::{engine, proxy, service, site::Site};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Lets one engine and one endpoint of a plain service at a time fail and send copies, until `end`. The draws
/// have a generator of their own, so that the other faults of a seed do not depend on them.
pub(super) async fn send_until(site: &Rc<RefCell<Site>>, seed: u64, end: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0063_6f70_6965);
    loop {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        let length = Duration::from_millis(rng.random_range(500..4_000));
        if Instant::now() + length >= end {
            return;
        }
        let copies = proxy::Faults {
            duplicate_every: rng.random_range(1..4),
            ..proxy::Faults::default()
        };
        let fail_every = rng.random_range(2..4);
        let (engine, service) = {
            let site = site.borrow();
            let engine = &site.engines[rng.random_range(0..site.engines.len())];
            let service = &site.services[rng.random_range(0..site.services.len())];
            engine.proxy.set_faults(copies);
            engine.endpoint.set_faults(engine::Faults {
                fail_every,
                ..engine::Faults::default()
            });
            service.proxy.set_faults(copies);
            service.endpoint.set_faults(service::Faults {
                fail_every,
                ..service::Faults::default()
            });
            let engine = (engine.proxy.clone(), engine.endpoint.clone());
            (engine, (service.proxy.clone(), service.endpoint.clone()))
        };
        sleep(length).await;
        engine.0.set_faults(proxy::Faults::default());
        engine.1.set_faults(engine::Faults::default());
        service.0.set_faults(proxy::Faults::default());
        service.1.set_faults(service::Faults::default());
    }
}
