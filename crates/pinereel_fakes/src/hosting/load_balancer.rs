//! A fake of the platform's load balancer: distributes callers' new connections over the ready
//! instances.

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

/// Pause between two readiness probes of an instance, and timeout of each probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed probes after which an instance gets no more connections.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// An instance to which the load balancer can send connections.
#[derive(Clone, Debug)]
pub struct Target {
    /// Index of the instance in the site.
    pub index: usize,
    /// Address for callers' connections.
    pub caller_address: SocketAddr,
    /// Number of consecutive failed probes.
    failed_probes: Rc<Cell<u32>>,
}

impl Target {
    fn is_healthy(&self) -> bool {
        self.failed_probes.get() < UNHEALTHY_THRESHOLD
    }
}

/// A round-robin load balancer with readiness probes.
#[derive(Default)]
pub struct LoadBalancer {
    targets: RefCell<Vec<Target>>,
    pick_count: Cell<usize>,
}

impl LoadBalancer {
    /// Adds an instance, and probes it from now on.
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
                let answer = call(
                    readiness_address,
                    Method::GET,
                    path,
                    &headers,
                    Bytes::new(),
                    PROBE_INTERVAL,
                );
                let is_ready = answer.await.is_ok_and(|answer| answer.status.is_success());
                failed_probes.set(if is_ready { 0 } else { failed_probes.get() + 1 });
                sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Returns the instance for the next connection. If none is healthy, it may be any.
    pub fn pick(&self) -> Target {
        let targets = self.targets.borrow();
        let number = self.pick_count.get();
        self.pick_count.set(number + 1);
        let healthy: Vec<_> = targets
            .iter()
            .filter(|target| target.is_healthy())
            .collect();
        match healthy.len() {
            0 => targets[number % targets.len()].clone(),
            count => healthy[number % count].clone(),
        }
    }
}
