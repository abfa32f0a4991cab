//! Faults that concern the start of a process, in series of which two overlap, beside all other faults.

use super::{
    AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch, start_instance, start_with_present_settings,
};
use crate::{
    child_process::Signal,
    hosting::site::{FIRST_PEER_PORT, METRICS_PORT, Site},
};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Longest time from the start of a process until a signal is sent to it.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which the settings file is not whole, or a port is held.
const MAX_OBSTACLE_TIME: Duration = Duration::from_secs(2);
/// Longest time from the creation of a process until it executes the program.
const MAX_EXEC_TIME: Duration = Duration::from_secs(2);
/// Time in which a process that was killed ends.
const KILL_TIME: Duration = Duration::from_secs(1);
/// Time from SIGTERM until the platform kills a process, with a margin.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(9);
/// Most states of the settings file before it is whole.
const MAX_PARTIAL_STATES: usize = 3;

/// A kind of fault. The log of a failed seed contains the names of the variants.
#[derive(Clone, Copy, Debug)]
enum StartFault {
    /// Sends SIGHUP up to [`MAX_SIGNAL_DELAY`] after the start.
    EarlyHangup,
    /// Sends SIGTERM up to [`MAX_SIGNAL_DELAY`] after the start.
    EarlyTermination,
    /// Writes the settings file in pieces while the process starts.
    PartialSettings,
    /// Sends SIGTERM, and starts the successor at once, so that both run for a while.
    StartBesidePredecessor,
    /// Sends SIGKILL, and starts the process at once.
    KillAndStart,
    /// Holds a port of the process while it starts.
    HeldPort,
    /// Kills all processes, and starts them at once.
    KillAndStartAll,
}

const FAULTS: [StartFault; 7] = [
    StartFault::EarlyHangup,
    StartFault::EarlyTermination,
    StartFault::PartialSettings,
    StartFault::StartBesidePredecessor,
    StartFault::KillAndStart,
    StartFault::HeldPort,
    StartFault::KillAndStartAll,
];

/// Injects faults until their ends.
struct Injector {
    site: Rc<RefCell<Site>>,
    periods: Rc<RefCell<Vec<FaultPeriod>>>,
    started: Instant,
    /// Instances with such a fault. None of them gets another one.
    affected: RefCell<BTreeSet<usize>>,
    injected: RefCell<Vec<String>>,
}

/// Injects faults until `end`, and returns them, each with its time since the start in milliseconds. The draws have
/// generators of their own, so that the other faults of a seed do not depend on them.
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
        injected: RefCell::default(),
    };
    let series = [1, 2].map(|stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0073_7461_7274);
        rng.set_stream(stream);
        injector.run_series(rng, end)
    });
    futures_util::future::join_all(series).await;
    injector.injected.take()
}

impl Injector {
    async fn run_series(&self, mut rng: ChaCha8Rng, end: Instant) {
        loop {
            sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
            let fault = *FAULTS.choose(&mut rng).expect("the list is not empty");
            let index = rng.random_range(0..self.site.borrow().instances.len());
            if Instant::now() + MAX_OBSTACLE_TIME >= end {
                return;
            }
            match fault {
                StartFault::KillAndStartAll => self.kill_and_start_all(),
                _ => self.inject(fault, index, &mut rng).await,
            }
        }
    }

    fn record(&self, fault: StartFault, detail: &str) {
        let millis = self.started.elapsed().as_millis();
        let line = format!("{millis} ms {fault:?} {detail}");
        self.injected.borrow_mut().push(line);
    }

    fn record_period(&self, index: usize, graceful: bool, length: Duration) {
        let from = Instant::now();
        self.periods.borrow_mut().push(FaultPeriod {
            instance: Some(index),
            graceful,
            out_of_touch: OutOfTouch::Instance(index),
            from,
            to: from + length + AFTER_EFFECT_TIME,
        });
    }

    /// Whether the process of an instance runs and is not paused.
    fn is_running(&self, index: usize) -> bool {
        let instance = &mut self.site.borrow_mut().instances[index];
        instance.is_running() && !instance.paused
    }

    async fn inject(&self, fault: StartFault, index: usize, rng: &mut ChaCha8Rng) {
        if !self.is_running(index) || !self.affected.borrow_mut().insert(index) {
            return;
        }
        match fault {
            StartFault::StartBesidePredecessor => {
                self.record(fault, &index.to_string());
                self.record_period(index, true, MAX_SHUTDOWN_TIME);
                self.start_beside_predecessor(index);
            }
            StartFault::EarlyHangup => self.signal_early(fault, Signal::HUP, index, rng).await,
            StartFault::EarlyTermination => {
                self.signal_early(fault, Signal::TERM, index, rng).await;
            }
            StartFault::PartialSettings => self.start_with_partial_settings(index, rng).await,
            StartFault::HeldPort => self.start_with_held_port(index, rng).await,
            _ => {
                self.record(fault, &index.to_string());
                self.kill_and_start(index);
            }
        }
        self.affected.borrow_mut().remove(&index);
    }

    fn start_beside_predecessor(&self, index: usize) {
        let site = &mut *self.site.borrow_mut();
        let instance = &mut site.instances[index];
        instance.signal(Signal::TERM);
        if let Err(error) = instance.start_beside_predecessor() {
            let violation = format!("{} does not start: {error}", instance.name);
            site.recorder.record_violation(violation);
        }
    }

    /// Kills a process with its open connections, and starts it again without a delay.
    fn kill_and_start(&self, index: usize) {
        self.record_period(index, false, Duration::ZERO);
        start_instance(&mut self.site.borrow_mut(), index);
    }

    fn kill_and_start_all(&self) {
        self.record(StartFault::KillAndStartAll, "all");
        let count = self.site.borrow().instances.len();
        for index in 0..count {
            self.site.borrow_mut().instances[index].signal(Signal::KILL);
        }
        for index in 0..count {
            self.kill_and_start(index);
        }
    }

    async fn signal_early(
        &self,
        fault: StartFault,
        signal: Signal,
        index: usize,
        rng: &mut ChaCha8Rng,
    ) {
        // Squared, so that a third of the signals come within 6 ms, in which a process has hardly begun.
        let share: f64 = rng.random();
        let delay = MAX_SIGNAL_DELAY.mul_f64(share * share);
        self.record(fault, &format!("{index} after {} ms", delay.as_millis()));
        self.kill_and_start(index);
        let executes = async {
            while !self.site.borrow().instances[index].executes_program() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        // A process that ended meanwhile receives no signal.
        if timeout(MAX_EXEC_TIME, executes).await.is_err() {
            return;
        }
        sleep(delay).await;
        let pid = {
            let instance = &mut self.site.borrow_mut().instances[index];
            instance.signal(signal);
            instance.pid()
        };
        if signal == Signal::TERM {
            self.record_period(index, true, MAX_SHUTDOWN_TIME);
            while self.runs_as(index, pid) {
                sleep(Duration::from_millis(10)).await;
            }
            self.start_if_ended(index);
        }
    }

    /// Whether an instance still runs as this process; another series of faults may have started it again.
    fn runs_as(&self, index: usize, pid: Option<u32>) -> bool {
        let instance = &mut self.site.borrow_mut().instances[index];
        instance.pid() == pid && instance.is_running()
    }

    fn start_if_ended(&self, index: usize) {
        let site = &mut *self.site.borrow_mut();
        if !site.instances[index].is_running() {
            start_with_present_settings(site, index);
        }
    }

    async fn kill(&self, index: usize) {
        let pid = {
            let instance = &mut self.site.borrow_mut().instances[index];
            instance.signal(Signal::KILL);
            instance.pid()
        };
        let ended = async {
            while self.runs_as(index, pid) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        // If the process has not ended, the start kills it.
        let _ = timeout(KILL_TIME, ended).await;
    }

    /// Starts a process while its settings file is absent, empty or torn inside a line, and completes the file
    /// within [`MAX_OBSTACLE_TIME`].
    async fn start_with_partial_settings(&self, index: usize, rng: &mut ChaCha8Rng) {
        let count = rng.random_range(1..=MAX_PARTIAL_STATES);
        let length = rng.random_range(Duration::ZERO..=MAX_OBSTACLE_TIME);
        let states: Vec<PartialFile> = (0..count).map(|_| PartialFile::draw(rng)).collect();
        self.record(
            StartFault::PartialSettings,
            &format!("{index} for {} ms: {states:?}", length.as_millis()),
        );
        self.record_period(index, false, length);
        self.kill(index).await;
        for state in states {
            state.write(&self.site.borrow(), index);
            self.start_if_ended(index);
            sleep(length / u32::try_from(count).unwrap_or(1)).await;
        }
        self.site.borrow().instances[index].restore_settings();
    }

    /// Starts a process while another listener holds one of its ports for up to [`MAX_OBSTACLE_TIME`].
    async fn start_with_held_port(&self, index: usize, rng: &mut ChaCha8Rng) {
        let addresses = {
            let instance = &self.site.borrow().instances[index];
            let callers = instance.caller_address();
            let peers = SocketAddr::new(callers.ip(), FIRST_PEER_PORT);
            let metrics = SocketAddr::new(callers.ip(), METRICS_PORT);
            [callers, instance.readiness_address, metrics, peers]
        };
        let address = *addresses.choose(rng).expect("the list is not empty");
        let length = rng.random_range(Duration::ZERO..=MAX_OBSTACLE_TIME);
        self.record_period(index, false, length);
        self.kill(index).await;
        // Fails if another series has started the process meanwhile.
        let held = TcpListener::bind(address);
        let (port, millis) = (address.port(), length.as_millis());
        let state = if held.is_ok() { "held" } else { "not free" };
        self.record(
            StartFault::HeldPort,
            &format!("{index}, port {port} {state} for {millis} ms"),
        );
        self.start_if_ended(index);
        sleep(length).await;
    }
}

/// A settings file that is not whole.
#[derive(Clone, Copy, Debug)]
enum PartialFile {
    Absent,
    Empty,
    /// The beginning of the contents, as a share, torn inside a line.
    Torn(f64),
}

impl PartialFile {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::Absent,
            1 => Self::Empty,
            _ => Self::Torn(rng.random_range(0.0..1.0)),
        }
    }

    fn write(self, site: &Site, index: usize) {
        let instance = &site.instances[index];
        match self {
            Self::Absent => instance.write_settings(None),
            Self::Empty => instance.write_settings(Some("")),
            Self::Torn(share) => {
                instance.write_settings(Some(torn(instance.valid_settings(), share)));
            }
        }
    }
}

/// Returns the beginning of `text`, about `share` of it, that ends inside a section's name or a key, so that it is
/// no shorter file that is valid itself.
fn torn(text: &str, share: f64) -> &str {
    let wanted = (text.len() as f64 * share) as usize;
    let mut kept = 0;
    let mut cut = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') || line.contains('=') {
            cut = kept + line.find(['=', ']']).unwrap_or(line.len()) / 2;
        }
        kept += line.len();
        if kept > wanted && cut > 0 {
            break;
        }
    }
    &text[..cut]
}
