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
const PAUSE: Duration = Duration::from_millis(500);
/// Questions in a row without a good answer that take an instance out.
const MISSES: u32 = 2;

/// One instance, as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its index in the site.
    pub index: usize,
    /// Where callers connect.
    pub callers: SocketAddr,
    misses: Rc<Cell<u32>>,
}

impl Target {
    fn is_in(&self) -> bool {
        self.misses.get() < MISSES
    }
}

/// The balancer.
#[derive(Default)]
pub struct Balance {
    targets: RefCell<Vec<Target>>,
    turn: Cell<usize>,
}

impl Balance {
    /// Adds an instance and asks it from now on.
    pub fn add(&self, index: usize, callers: SocketAddr, readiness: SocketAddr) {
        let target = Target {
            index,
            callers,
            misses: Rc::default(),
        };
        let misses = Rc::clone(&target.misses);
        self.targets.borrow_mut().push(target);
        actix_rt::spawn(async move {
            loop {
                let headers = [("host", "here".to_owned())];
                let path = "/v1/readiness";
                let answer = call(readiness, Method::GET, path, &headers, Bytes::new(), PAUSE);
                let good = answer.await.is_ok_and(|answer| answer.status.is_success());
                misses.set(if good { 0 } else { misses.get() + 1 });
                sleep(PAUSE).await;
            }
        });
    }

    /// The instance for the next connection; any, if none is in.
    pub fn next(&self) -> Target {
        let targets = self.targets.borrow();
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let all: Vec<_> = targets.iter().filter(|target| target.is_in()).collect();
        match all.len() {
            0 => targets[turn % targets.len()].clone(),
            count => all[turn % count].clone(),
        }
    }
}
