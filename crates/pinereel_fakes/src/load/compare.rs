//! Comparison of requests through an entry with direct requests to the same endpoint, in one run.

use super::{
    open_loop::{Generator, Outcome},
    target::{Kind, Target},
    testbed::{ENGINES, SERVICES, Testbed},
};
use serde::Serialize;
use std::{fmt::Write as _, fs, io, time::Duration};
use tokio::time::sleep;

/// Request rate at which the added latency is measured, per second.
const LATENCY_RATE: u32 = 200;
/// Number of time slices per side. The sides take turns, so that both are measured under the same
/// conditions of the machine.
const SLICES: u32 = 5;
/// Duration of a time slice.
const SLICE_DURATION: Duration = Duration::from_secs(1);
/// Duration of a step of the search for the maximum rate.
const STEP_DURATION: Duration = Duration::from_millis(500);
/// Duration for which the CPU time of the idle entry is measured.
const IDLE_DURATION: Duration = Duration::from_secs(2);
/// Number of connections per side.
const CONNECTIONS: usize = 64;
/// Request rates of the search for the maximum rate, per second.
const SEARCH_RATES: [u32; 9] = [
    1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000,
];
/// Maximum 99th percentile of the latency at a rate that the target can sustain, in microseconds.
const MAX_P99_US: u64 = 20_000;
/// Size of the pages in which Linux counts resident memory on the platforms that this tool runs on,
/// in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Figures of one side of the comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Side {
    /// Number of complete responses of status 200.
    pub answers: u64,
    /// Number of requests without a complete response of status 200.
    pub failed: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// Highest searched rate that the target sustained, per second; 0 if there is none.
    pub holds_at: u32,
    /// 99th percentile of the latency at this rate, in microseconds.
    pub holds_p99_us: u64,
    /// Lowest searched rate that the target did not sustain, per second; `None` if it sustained all.
    pub breaks_at: Option<u32>,
}

/// Comparison for one kind of requests.
#[derive(Clone, Debug, Serialize)]
pub struct KindComparison {
    /// Name of the kind.
    pub kind: &'static str,
    /// Direct requests.
    pub direct: Side,
    /// Requests through the entry.
    pub entry: Side,
    /// Direct requests with a new connection for each, as the entry opens one for each request to a
    /// plain service.
    pub fresh: Side,
    /// CPU time of the entry's thread per 1,000 requests beyond its CPU time when idle, in seconds.
    pub cpu_per_1000_s: f64,
}

/// Comparison for all kinds of requests.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Comparison for each kind.
    #[serde(rename = "pairs")]
    pub kinds: Vec<KindComparison>,
    /// CPU time of the entry's thread when idle, as a fraction of a core.
    pub idle_share: f64,
    /// Resident memory of the process before the start of the entry and the fakes, in bytes.
    pub memory_before: u64,
    /// Resident memory of the process while the entry and the fakes are idle, in bytes.
    pub memory_idle: u64,
    /// Resident memory of the process after all load, in bytes.
    pub memory_after: u64,
}

/// Starts a testbed and runs the comparison. With `decisions`, the entry logs its decisions.
///
/// # Errors
/// The testbed could not be started, or its entry has stopped.
pub async fn run(decisions: bool) -> io::Result<Comparison> {
    let memory_before = resident_bytes();
    let testbed = Testbed::start(decisions)?;
    let memory_idle = resident_bytes();
    let before = testbed.entry_cpu_time()?;
    sleep(IDLE_DURATION).await;
    let idle = testbed.entry_cpu_time()?.saturating_sub(before);
    let idle_share = idle.as_secs_f64() / IDLE_DURATION.as_secs_f64();
    let completion = compare_kind(&testbed, idle_share, Kind::Completion).await?;
    let service = compare_kind(&testbed, idle_share, Kind::Service).await?;
    Ok(Comparison {
        idle_share,
        kinds: vec![completion, service],
        memory_before,
        memory_idle,
        memory_after: resident_bytes(),
    })
}

async fn compare_kind(
    testbed: &Testbed,
    idle_share: f64,
    kind: Kind,
) -> io::Result<KindComparison> {
    let (endpoint, pool) = match kind {
        Kind::Completion => (testbed.engine, ENGINES),
        Kind::Service => (testbed.service, SERVICES),
    };
    let target = |address, pool: Option<&str>| Target {
        address,
        kind,
        pool: pool.map(Into::into),
    };
    let direct = Generator::new(target(endpoint, None), CONNECTIONS);
    let fresh = Generator::without_reuse(target(endpoint, None), CONNECTIONS);
    let entry = Generator::new(target(testbed.entry, Some(pool)), CONNECTIONS);
    // Warm up connections, caches and the allocator, which are not to be measured.
    direct.run(LATENCY_RATE, SLICE_DURATION).await;
    entry.run(LATENCY_RATE, SLICE_DURATION).await;
    let (mut direct_outcome, mut fresh_outcome, mut entry_outcome) = Default::default();
    let mut cpu_time = Duration::ZERO;
    for _ in 0..SLICES {
        Outcome::add(
            &mut direct_outcome,
            &direct.run(LATENCY_RATE, SLICE_DURATION).await,
        );
        Outcome::add(
            &mut fresh_outcome,
            &fresh.run(LATENCY_RATE, SLICE_DURATION).await,
        );
        let before = testbed.entry_cpu_time()?;
        Outcome::add(
            &mut entry_outcome,
            &entry.run(LATENCY_RATE, SLICE_DURATION).await,
        );
        cpu_time += testbed.entry_cpu_time()?.saturating_sub(before);
    }
    let requests = entry_outcome.latency.len() + entry_outcome.failed;
    let busy_seconds = cpu_time.as_secs_f64() - idle_share * entry_outcome.duration.as_secs_f64();
    Ok(KindComparison {
        kind: kind.name(),
        direct: find_maximum_rate(side_of(&direct_outcome), &direct).await,
        fresh: side_of(&fresh_outcome),
        entry: find_maximum_rate(side_of(&entry_outcome), &entry).await,
        cpu_per_1000_s: busy_seconds * 1_000.0 / requests.max(1) as f64,
    })
}

/// Figures of `outcome`, without a maximum rate.
fn side_of(outcome: &Outcome) -> Side {
    Side {
        answers: outcome.latency.len(),
        failed: outcome.failed,
        p50_us: outcome.latency_us(0.5),
        p99_us: outcome.latency_us(0.99),
        holds_at: 0,
        holds_p99_us: 0,
        breaks_at: None,
    }
}

/// Searches for the maximum rate that the target sustains, and adds it to `side`. A rate counts as
/// not sustained if it fails twice in a row, since a busy machine may pause any thread for some
/// milliseconds.
async fn find_maximum_rate(mut side: Side, generator: &Generator) -> Side {
    for rate in SEARCH_RATES {
        let mut step = generator.run(rate, STEP_DURATION).await;
        if is_overloaded(&step) {
            step = generator.run(rate, STEP_DURATION).await;
        }
        if is_overloaded(&step) {
            side.breaks_at = Some(rate);
            break;
        }
        side.holds_at = rate;
        side.holds_p99_us = step.latency_us(0.99);
    }
    side
}

fn is_overloaded(step: &Outcome) -> bool {
    step.failed > 0 || step.latency_us(0.99) > MAX_P99_US
}

/// Resident memory of this process, in bytes; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

impl Comparison {
    /// Whether every direct request and every request through the entry at the rate of the latency
    /// measurement had a complete response.
    pub fn succeeded(&self) -> bool {
        let succeeded = |side: &Side| side.failed == 0 && side.answers > 0;
        self.kinds
            .iter()
            .all(|kind| succeeded(&kind.direct) && succeeded(&kind.entry))
    }

    /// The comparison as a table of text.
    pub fn table(&self) -> String {
        let mut table = format!(
            "{LATENCY_RATE} requests/s, {SLICES} slices of {SLICE_DURATION:?} each in turn, \
             {CONNECTIONS} connections\n\
             {:<12}{:<8}{:>8}{:>8}{:>10}{:>10}{:>13}{:>14}\n",
            "kind", "side", "answers", "failed", "p50 us", "p99 us", "holds req/s", "breaks req/s"
        );
        for comparison in &self.kinds {
            write_row(&mut table, comparison.kind, "direct", &comparison.direct);
            write_row(&mut table, comparison.kind, "fresh", &comparison.fresh);
            write_row(&mut table, comparison.kind, "entry", &comparison.entry);
            let added = |entry: u64, direct: u64| entry as i64 - direct as i64;
            // Writing to a string cannot fail.
            let _ = writeln!(
                table,
                "{:<12}added: p50 {} us, p99 {} us; entry's thread {:.3} CPU s for 1,000 requests",
                comparison.kind,
                added(comparison.entry.p50_us, comparison.direct.p50_us),
                added(comparison.entry.p99_us, comparison.direct.p99_us),
                comparison.cpu_per_1000_s
            );
        }
        let _ = writeln!(
            table,
            "entry's thread when idle: {:.2} % of a core",
            self.idle_share * 100.0
        );
        let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        let _ = writeln!(
            table,
            "resident: {:.1} MiB before, {:.1} MiB with entry and stand-ins, {:.1} MiB after all load",
            mib(self.memory_before),
            mib(self.memory_idle),
            mib(self.memory_after)
        );
        table
    }
}

fn write_row(table: &mut String, kind: &str, name: &str, side: &Side) {
    let breaks = match (side.holds_at, side.breaks_at) {
        (0, None) => "-".into(),
        (_, None) => "never".into(),
        (_, Some(rate)) => rate.to_string(),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "{kind:<12}{name:<8}{:>8}{:>8}{:>10}{:>10}{:>13}{breaks:>14}",
        side.answers, side.failed, side.p50_us, side.p99_us, side.holds_at
    );
}
