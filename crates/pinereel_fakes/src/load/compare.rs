//! An entry next to a direct call to the same endpoint, in one run.

use super::{
    open_loop::{Outcome, Source},
    stage::{ENGINES, SERVICES, Stage},
    target::{Kind, Target},
};
use serde::Serialize;
use std::{fmt::Write as _, fs, io, time::Duration};
use tokio::time::sleep;

/// Requests a second at which the added latency is measured.
const RATE: u32 = 200;
/// Slices of each side, in turn, so that both see the same machine.
const SLICES: u32 = 5;
/// Length of a slice.
const SLICE: Duration = Duration::from_secs(1);
/// Length of a step of the search.
const STEP: Duration = Duration::from_millis(500);
/// How long the idle entry is watched.
const IDLE: Duration = Duration::from_secs(2);
/// Connections of each side.
const CONNECTIONS: usize = 64;
/// Rates of the search for the one at which the 99th percentile breaks.
const LADDER: [u32; 9] = [
    1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000,
];
/// A 99th percentile beyond this counts as broken, in microseconds.
const BROKEN: u64 = 20_000;
/// Bytes of a page, as Linux counts resident memory on this machine's kind.
const PAGE: u64 = 4_096;

/// One side's figures.
#[derive(Clone, Debug, Serialize)]
pub struct Side {
    /// Answers.
    pub answers: u64,
    /// Requests without a whole answer.
    pub failed: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// Highest rate of the ladder at which the 99th percentile held; 0 if none.
    pub holds_at: u32,
    /// The 99th percentile there, in microseconds.
    pub holds_p99_us: u64,
    /// Lowest rate of the ladder at which it broke; none if it never did.
    pub breaks_at: Option<u32>,
}

/// One kind of request, both sides.
#[derive(Clone, Debug, Serialize)]
pub struct Pair {
    /// The kind.
    pub kind: &'static str,
    /// Direct calls.
    pub direct: Side,
    /// Through the entry.
    pub entry: Side,
    /// Direct calls over a connection for each; the entry does so for plain services.
    pub fresh: Side,
    /// Seconds of the entry's thread for 1,000 requests, beyond what it uses when idle.
    pub cpu_per_1000_s: f64,
}

/// The whole comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Each kind.
    pub pairs: Vec<Pair>,
    /// Share of a core that the entry's thread uses when idle.
    pub idle_share: f64,
    /// Resident memory of the whole process before the entry and its stand-ins started, in bytes.
    pub memory_before: u64,
    /// With the entry and its stand-ins idle.
    pub memory_idle: u64,
    /// After all load.
    pub memory_after: u64,
}

/// Starts the stage and compares; `decisions` says whether the entry logs them.
///
/// # Errors
/// The stage did not come up.
pub async fn run(decisions: bool) -> io::Result<Comparison> {
    let memory_before = resident();
    let stage = Stage::start(decisions)?;
    let memory_idle = resident();
    let before = stage.processor_time()?;
    sleep(IDLE).await;
    let idle = stage.processor_time()?.saturating_sub(before);
    let idle_share = idle.as_secs_f64() / IDLE.as_secs_f64();
    let completion = pair(&stage, idle_share, Kind::Completion).await?;
    let service = pair(&stage, idle_share, Kind::Service).await?;
    Ok(Comparison {
        idle_share,
        pairs: vec![completion, service],
        memory_before,
        memory_idle,
        memory_after: resident(),
    })
}

async fn pair(stage: &Stage, idle_share: f64, kind: Kind) -> io::Result<Pair> {
    let (endpoint, pool) = match kind {
        Kind::Completion => (stage.engine, ENGINES),
        Kind::Service => (stage.service, SERVICES),
    };
    let target = |address, pool: Option<&str>| Target {
        address,
        kind,
        pool: pool.map(Into::into),
    };
    let direct = Source::new(target(endpoint, None), CONNECTIONS);
    let fresh = Source::fresh(target(endpoint, None), CONNECTIONS);
    let entry = Source::new(target(stage.entry, Some(pool)), CONNECTIONS);
    // Connections, caches and the allocator's arenas are not what is measured.
    direct.run(RATE, SLICE).await;
    entry.run(RATE, SLICE).await;
    let (mut near, mut lone, mut far) = Default::default();
    let mut cpu = Duration::ZERO;
    for _ in 0..SLICES {
        Outcome::add(&mut near, &direct.run(RATE, SLICE).await);
        Outcome::add(&mut lone, &fresh.run(RATE, SLICE).await);
        let before = stage.processor_time()?;
        Outcome::add(&mut far, &entry.run(RATE, SLICE).await);
        cpu += stage.processor_time()?.saturating_sub(before);
    }
    let requests = far.latency.len() + far.failed;
    let work = cpu.as_secs_f64() - idle_share * far.took.as_secs_f64();
    Ok(Pair {
        kind: kind.name(),
        direct: climb(side(&near), &direct).await,
        fresh: side(&lone),
        entry: climb(side(&far), &entry).await,
        cpu_per_1000_s: work * 1_000.0 / requests.max(1) as f64,
    })
}

fn side(outcome: &Outcome) -> Side {
    Side {
        answers: outcome.latency.len(),
        failed: outcome.failed,
        p50_us: outcome.micros(0.5),
        p99_us: outcome.micros(0.99),
        holds_at: 0,
        holds_p99_us: 0,
        breaks_at: None,
    }
}

/// Searches for the rate at which `source`'s target breaks: twice in a row, since a busy machine
/// may stop any thread for some milliseconds.
async fn climb(mut side: Side, source: &Source) -> Side {
    for rate in LADDER {
        let mut step = source.run(rate, STEP).await;
        if broken(&step) {
            step = source.run(rate, STEP).await;
        }
        if broken(&step) {
            side.breaks_at = Some(rate);
            break;
        }
        side.holds_at = rate;
        side.holds_p99_us = step.micros(0.99);
    }
    side
}

fn broken(step: &Outcome) -> bool {
    step.failed > 0 || step.micros(0.99) > BROKEN
}

/// Resident memory of this process, in bytes; 0 if the system does not tell.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

impl Comparison {
    /// Whether every request at the rate of the added latency had its whole answer.
    pub fn whole(&self) -> bool {
        let whole = |side: &Side| side.failed == 0 && side.answers > 0;
        self.pairs
            .iter()
            .all(|p| whole(&p.direct) && whole(&p.entry))
    }

    /// The comparison for a person.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{RATE} requests/s, {SLICES} slices of {SLICE:?} each in turn, {CONNECTIONS} connections\n\
             {:<12}{:<8}{:>8}{:>8}{:>10}{:>10}{:>13}{:>14}\n",
            "kind", "side", "answers", "failed", "p50 us", "p99 us", "holds req/s", "breaks req/s"
        );
        for pair in &self.pairs {
            row(&mut text, pair.kind, "direct", &pair.direct);
            row(&mut text, pair.kind, "fresh", &pair.fresh);
            row(&mut text, pair.kind, "entry", &pair.entry);
            let added = |entry: u64, direct: u64| entry as i64 - direct as i64;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<12}added: p50 {} us, p99 {} us; entry's thread {:.3} CPU s for 1,000 requests",
                pair.kind,
                added(pair.entry.p50_us, pair.direct.p50_us),
                added(pair.entry.p99_us, pair.direct.p99_us),
                pair.cpu_per_1000_s
            );
        }
        let _ = writeln!(
            text,
            "entry's thread when idle: {:.2} % of a core",
            self.idle_share * 100.0
        );
        let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        let _ = writeln!(
            text,
            "resident: {:.1} MiB before, {:.1} MiB with entry and stand-ins, {:.1} MiB after all load",
            mib(self.memory_before),
            mib(self.memory_idle),
            mib(self.memory_after)
        );
        text
    }
}

fn row(text: &mut String, kind: &str, name: &str, side: &Side) {
    let breaks = match (side.holds_at, side.breaks_at) {
        (0, None) => "-".into(),
        (_, None) => "never".into(),
        (_, Some(rate)) => rate.to_string(),
    };
    let _ = writeln!(
        text,
        "{kind:<12}{name:<8}{:>8}{:>8}{:>10}{:>10}{:>13}{breaks:>14}",
        side.answers, side.failed, side.p50_us, side.p99_us, side.holds_at
    );
}
