//! Faults between the instances and the store, and of the instances themselves, in series of which two overlap.
//! The root of the broadcast tree is affected in half of them.

use super::{AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch, start_instance};
use crate::{
    child_process::Signal,
    hosting::{
        proxy::{self, Connection},
        site::{Instance, Site},
        store,
    },
};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Time that a throttled process runs, and time that it is stopped, in turns.
const THROTTLE_TURNS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(75)];
/// Longest fault of the whole store. An endpoint removes its entry 4 s after it has announced that it leaves; an
/// instance that sees neither cannot tell it from one whose entry has lapsed in the outage and may return.
const MAX_STORE_FAULT: Duration = Duration::from_millis(3_500);
/// Longest time between the starts of instances that were killed together.
const MAX_START_LAG: Duration = Duration::from_millis(800);

/// A kind of fault. The log of a failed seed contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ControlFault {
    /// Drops all bytes between an instance and the store.
    StoreSilent,
    /// Drops the bytes of the store's answers.
    AnswersSilent,
    /// Drops the bytes of the connections to the store that are open; new connections work.
    ConnectionsSilent,
    /// The same for the connections that await an answer, which are those of watches.
    WatchesSilent,
    /// Closes new connections to the store, and resets open ones.
    StoreRefuses,
    /// Makes the store answer the calls of an instance with status 503. Changes still reach it over others.
    StoreRejects,
    /// The same for a share of the instances.
    StoreRejectsMany,
    /// Drops all bytes between a share of the instances and the store.
    StoreSilentToMany,
    /// Resets the connections to the store.
    StoreResets,
    /// Stops the process with SIGSTOP.
    Freeze,
    /// Stops and continues the process in turns, so that it runs for a quarter of the time.
    Throttle,
    /// Kills the process with SIGKILL, and starts it again.
    Kill,
    /// Shuts the process down with SIGTERM, and starts it again.
    Terminate,
    /// Kills all processes, and starts them again while the store is silent to some of them.
    KillAll,
    /// Makes the store discard its history of changes.
    StoreForgets,
    /// Makes the store answer all calls with status 503.
    StoreDown,
    /// Makes the store delay all calls.
    StoreSlow,
}

/// The kinds from which faults are drawn; the more frequent ones are listed more than once.
const WEIGHTED_FAULTS: &[ControlFault] = &[
    ControlFault::StoreSilent,
    ControlFault::StoreSilent,
    ControlFault::StoreSilent,
    ControlFault::AnswersSilent,
    ControlFault::AnswersSilent,
    ControlFault::ConnectionsSilent,
    ControlFault::WatchesSilent,
    ControlFault::WatchesSilent,
    ControlFault::StoreRefuses,
    ControlFault::StoreRejects,
    ControlFault::StoreRejectsMany,
    ControlFault::StoreRejectsMany,
    ControlFault::StoreSilentToMany,
    ControlFault::StoreResets,
    ControlFault::StoreResets,
    ControlFault::Freeze,
    ControlFault::Freeze,
    ControlFault::Throttle,
    ControlFault::Throttle,
    ControlFault::Kill,
    ControlFault::Kill,
    ControlFault::Kill,
    ControlFault::Terminate,
    ControlFault::Terminate,
    ControlFault::StoreForgets,
    ControlFault::StoreForgets,
    ControlFault::StoreDown,
    ControlFault::StoreSlow,
    ControlFault::KillAll,
];

/// Injects faults until their ends.
struct Injector {
    site: Rc<RefCell<Site>>,
    periods: Rc<RefCell<Vec<FaultPeriod>>>,
    started: Instant,
    /// Instances with a fault. None of them gets another one.
    affected: RefCell<BTreeSet<usize>>,
    /// Instances that the store rejects.
    rejected: RefCell<BTreeSet<String>>,
    is_store_affected: Cell<bool>,
    injected: RefCell<Vec<String>>,
}

/// Injects faults until `end`, and returns them, each with its time since the start in milliseconds.
pub(super) async fn inject_until(
    site: &Rc<RefCell<Site>>,
    periods: &Rc<RefCell<Vec<FaultPeriod>>>,
    seed: u64,
    end: Instant,
) -> Vec<String> {
    let injector = Injector {
        site: Rc::clone(site),
        periods: Rc::clone(periods),
        started: Instant::now(),
        affected: RefCell::default(),
        rejected: RefCell::default(),
        is_store_affected: Cell::default(),
        injected: RefCell::default(),
    };
    let series = [1, 2].map(|stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        injector.run_series(rng, end)
    });
    futures_util::future::join_all(series).await;
    injector.injected.take()
}

impl Injector {
    async fn run_series(&self, mut rng: ChaCha8Rng, end: Instant) {
        loop {
            sleep(Duration::from_millis(rng.random_range(100..1_200))).await;
            let fault = *WEIGHTED_FAULTS
                .choose(&mut rng)
                .expect("the list is not empty");
            let length = match rng.random_bool(0.3) {
                true => Duration::from_millis(rng.random_range(100..700)),
                false => Duration::from_millis(rng.random_range(700..5_000)),
            };
            let count = self.site.borrow().instances.len();
            let index = match rng.random_bool(0.5) {
                true => self.site.borrow().root(),
                false => rng.random_range(0..count),
            };
            let share = rng.random_range(0.3..0.9);
            if Instant::now() + length >= end {
                return;
            }
            match fault {
                ControlFault::KillAll => self.kill_all(share, length, &mut rng).await,
                ControlFault::StoreForgets | ControlFault::StoreDown | ControlFault::StoreSlow => {
                    self.impair_store(fault, length).await;
                }
                ControlFault::StoreRejectsMany => {
                    let many = self.draw_many(index, share, &mut rng);
                    self.impair_many(ControlFault::StoreRejects, many, length)
                        .await;
                }
                ControlFault::StoreSilentToMany => {
                    let many = self.draw_many(index, share, &mut rng);
                    self.impair_many(ControlFault::StoreSilent, many, length)
                        .await;
                }
                _ => self.impair_instance(fault, index, length).await,
            }
        }
    }

    fn record(&self, fault: ControlFault, index: Option<usize>, length: Duration) {
        let millis = self.started.elapsed().as_millis();
        let (index, length) = (
            index.map_or("all".into(), |i| i.to_string()),
            length.as_millis(),
        );
        let line = format!("{millis} ms {fault:?} {index} for {length} ms");
        self.injected.borrow_mut().push(line);
    }

    /// Records that instances are out of touch from now on for `length` and after it.
    fn record_period(&self, out_of_touch: OutOfTouch, length: Duration) {
        let from = Instant::now();
        // Other checks excuse all instances, as a fault at one of them affects the work of others.
        self.periods.borrow_mut().push(FaultPeriod {
            instance: None,
            graceful: false,
            out_of_touch,
            from,
            to: from + length + AFTER_EFFECT_TIME,
        });
    }

    /// Injects a fault that may affect all instances.
    async fn impair_store(&self, fault: ControlFault, length: Duration) {
        if self.is_store_affected.replace(true) {
            return;
        }
        let length = length.min(MAX_STORE_FAULT);
        let faults = match fault {
            ControlFault::StoreDown => store::Faults::DOWN,
            ControlFault::StoreSlow => store::Faults {
                delay: Duration::from_millis(300),
                ..store::Faults::default()
            },
            _ => {
                self.record(fault, None, Duration::ZERO);
                self.site.borrow().store.compact();
                self.is_store_affected.set(false);
                return;
            }
        };
        self.record(fault, None, length);
        self.record_period(OutOfTouch::All, length);
        self.site.borrow().store.set_faults(faults);
        sleep(length).await;
        self.site.borrow().store.set_faults(Default::default());
        self.is_store_affected.set(false);
    }

    /// The instance `first` and a share of the others.
    fn draw_many(&self, first: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let count = self.site.borrow().instances.len();
        let is_drawn = |index: &usize| *index == first || rng.random_bool(share);
        (0..count).filter(is_drawn).collect()
    }

    /// Injects the same fault at several instances.
    async fn impair_many(&self, fault: ControlFault, indices: Vec<usize>, length: Duration) {
        let faults = indices.into_iter();
        let faults = faults.map(|index| self.impair_instance(fault, index, length));
        futures_util::future::join_all(faults).await;
    }

    async fn impair_instance(&self, fault: ControlFault, index: usize, length: Duration) {
        let is_running = {
            let instance = &mut self.site.borrow_mut().instances[index];
            instance.is_running() && !instance.paused
        };
        if !is_running || !self.affected.borrow_mut().insert(index) {
            return;
        }
        self.record(fault, Some(index), length);
        match fault {
            ControlFault::StoreRejects => self.record_period(OutOfTouch::None, length),
            // Lost like connections that are reset.
            ControlFault::ConnectionsSilent | ControlFault::WatchesSilent => {
                self.record_period(OutOfTouch::Instance(index), Duration::ZERO);
            }
            _ => self.record_period(OutOfTouch::Instance(index), length),
        }
        match fault {
            ControlFault::Freeze => {
                self.signal(index, Signal::STOP);
                sleep(length).await;
                self.signal(index, Signal::CONT);
            }
            ControlFault::Throttle => {
                // The process always runs when the turns end.
                let _ = timeout(length, self.throttle(index)).await;
                self.signal(index, Signal::CONT);
            }
            ControlFault::Kill => {
                self.signal(index, Signal::KILL);
                sleep(length).await;
                start_instance(&mut self.site.borrow_mut(), index);
            }
            ControlFault::Terminate => {
                let pid = self.site.borrow().instances[index].pid();
                self.signal(index, Signal::TERM);
                while self.is_running_as(index, pid) {
                    self.record_period(OutOfTouch::Instance(index), Duration::ZERO);
                    sleep(Duration::from_millis(50)).await;
                }
                let site = &mut *self.site.borrow_mut();
                if !site.instances[index].is_running() {
                    start_instance(site, index);
                }
            }
            _ => {
                self.cut_store(fault, index);
                sleep(length).await;
                self.restore_store(fault, index);
            }
        }
        self.affected.borrow_mut().remove(&index);
    }

    /// Whether an instance still runs as this process; another series of faults may have started it again.
    fn is_running_as(&self, index: usize, pid: Option<u32>) -> bool {
        let instance = &mut self.site.borrow_mut().instances[index];
        instance.pid() == pid && instance.is_running()
    }

    /// Stops and continues a process in turns. Never ends.
    async fn throttle(&self, index: usize) {
        loop {
            for (signal, turn) in [Signal::CONT, Signal::STOP].into_iter().zip(THROTTLE_TURNS) {
                self.signal(index, signal);
                sleep(turn).await;
            }
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let instance = &mut self.site.borrow_mut().instances[index];
        instance.signal(signal);
        instance.paused = signal == Signal::STOP;
    }

    /// Begins a fault between an instance and the store.
    fn cut_store(&self, fault: ControlFault, index: usize) {
        let site = self.site.borrow();
        let instance = &site.instances[index];
        let proxy = &instance.store_proxy;
        match fault {
            ControlFault::StoreSilent => proxy.set_faults(proxy::Faults::DROP_ALL),
            ControlFault::AnswersSilent => proxy.set_faults(proxy::Faults {
                drop_requests: false,
                ..proxy::Faults::DROP_ALL
            }),
            ControlFault::ConnectionsSilent => proxy.silence_connections(|_| true),
            ControlFault::WatchesSilent => proxy.silence_connections(Connection::awaits_answer),
            ControlFault::StoreRefuses => {
                proxy.set_faults(proxy::Faults {
                    refuse_connections: true,
                    ..proxy::Faults::default()
                });
                proxy.reset_connections();
            }
            ControlFault::StoreRejects => self.set_rejected(&site, instance, true),
            _ => proxy.reset_connections(),
        }
    }

    /// Ends a fault between an instance and the store. Bytes were lost on the connections that were silent, so
    /// these are reset, as by a network that forgets them.
    fn restore_store(&self, fault: ControlFault, index: usize) {
        let site = self.site.borrow();
        let instance = &site.instances[index];
        let proxy = &instance.store_proxy;
        match fault {
            ControlFault::StoreRejects => self.set_rejected(&site, instance, false),
            ControlFault::StoreSilent | ControlFault::AnswersSilent => {
                proxy.set_faults(proxy::Faults::default());
                proxy.reset_connections();
            }
            _ => proxy.set_faults(proxy::Faults::default()),
        }
    }

    fn set_rejected(&self, site: &Site, instance: &Instance, rejected: bool) {
        let mut names = self.rejected.borrow_mut();
        match rejected {
            true => names.insert(instance.name.clone()),
            false => names.remove(&instance.name),
        };
        site.store.reject_instances(names.iter().cloned());
    }

    /// Kills all instances without another fault, and starts them again while the store is silent to a share of
    /// them.
    async fn kill_all(&self, share: f64, length: Duration, rng: &mut ChaCha8Rng) {
        let count = self.site.borrow().instances.len();
        let is_free = |index: &usize| self.affected.borrow_mut().insert(*index);
        let free: Vec<usize> = (0..count).filter(is_free).collect();
        self.record(ControlFault::KillAll, None, length);
        self.record_period(OutOfTouch::All, MAX_START_LAG + length);
        let cut: Vec<usize> = (free.iter().copied())
            .filter(|_| rng.random_bool(share))
            .collect();
        for index in &free {
            self.signal(*index, Signal::KILL);
        }
        for index in &cut {
            self.cut_store(ControlFault::StoreSilent, *index);
        }
        for index in &free {
            sleep(MAX_START_LAG / u32::try_from(count).unwrap_or(u32::MAX)).await;
            start_instance(&mut self.site.borrow_mut(), *index);
        }
        sleep(length).await;
        for index in &cut {
            self.restore_store(ControlFault::StoreSilent, *index);
        }
        for index in free {
            self.affected.borrow_mut().remove(&index);
        }
    }
}
