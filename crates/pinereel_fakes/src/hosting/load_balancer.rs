//! Which instances get callers' new connections, as the platform's balancer decides it.

use super::http::call;
use actix_http::Method;
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Pause between two questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Questions in a row without a is_ready answer that take an instance out.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// One instance, as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its index in the site.
    pub index: usize,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    failed_probes: Rc<Cell<u32>>,
}

impl Target {
    fn is_healthy(&self) -> bool {
        self.failed_probes.get() < UNHEALTHY_THRESHOLD
    }
}

/// The balancer.
#[derive(Default)]
pub struct LoadBalancer {
    targets: RefCell<Vec<Target>>,
    pick_count: Cell<usize>,
}

impl LoadBalancer {
    /// Adds an instance and asks it from now on.
    pub fn add(&self, index: usize, caller_address: SocketAddr, readiness_address: SocketAddr) {
        let target = Target {
            index,
            caller_address,
            failed_probes: Rc::default(),
        };
        let failed_probes = Rc::clone(&target.failed_probes);
        self.targets.borrow_mut().push(target);
        actix_rt::spawn(async move {
            loop {
                let headers = [("host", "here".to_owned())];
                let path = "/v1/readiness";
                let answer = call(readiness_address, Method::GET, path, &headers, Bytes::new(), PROBE_INTERVAL);
                let is_ready = answer.await.is_ok_and(|answer| answer.status.is_success());
                failed_probes.set(if is_ready { 0 } else { failed_probes.get() + 1 });
                sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// The instance for the next connection; any, if none is in.
    pub fn pick(&self) -> Target {
        let targets = self.targets.borrow();
        let turn = self.pick_count.get();
        self.pick_count.set(turn + 1);
        let healthy: Vec<_> = targets.iter().filter(|target| target.is_healthy()).collect();
        match healthy.len() {
            0 => targets[turn % targets.len()].clone(),
            count => healthy[turn % count].clone(),
        }
    }
}
