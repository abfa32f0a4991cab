//! Cuts of the links to endpoints, and a store that is silent to the root of the broadcast tree, beside all
//! other faults.

use super::{AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch};
use crate::hosting::{
    proxy::{self, Cut},
    site::Site,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Cuts links one after the other until `end`. The draws have a generator of their own, so that the other
/// faults of a seed do not depend on them.
pub(super) async fn cut_until(
    site: &Rc<RefCell<Site>>,
    periods: &RefCell<Vec<FaultPeriod>>,
    seed: u64,
    end: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0063_7574_7300);
    loop {
        sleep(Duration::from_millis(rng.random_range(500..3_000))).await;
        let length = Duration::from_millis(rng.random_range(300..5_000));
        if Instant::now() + length >= end {
            return;
        }
        let from = Instant::now();
        periods.borrow_mut().push(FaultPeriod {
            instance: None,
            graceful: false,
            out_of_touch: OutOfTouch::All,
            from,
            to: from + length + AFTER_EFFECT_TIME,
        });
        if rng.random_bool(0.5) {
            let proxy = {
                let services = &site.borrow().services;
                services[rng.random_range(0..services.len())].proxy.clone()
            };
            let is_silent = rng.random_bool(0.5);
            proxy.cut(if is_silent { Cut::Silent } else { Cut::Refused });
            sleep(length).await;
            proxy.heal();
        } else {
            let proxy = {
                let site = site.borrow();
                site.instances[site.root()].store_proxy.clone()
            };
            proxy.set_faults(proxy::Faults::DROP_ALL);
            sleep(length).await;
            proxy.set_faults(proxy::Faults::default());
            proxy.reset_connections();
        }
    }
}
