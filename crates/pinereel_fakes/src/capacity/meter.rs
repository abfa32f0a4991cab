//! Processor time of a thread, and the memory of the process.

use super::memory;
use rustix::time::{ClockId, clock_gettime};
use std::{env, fs, hint::black_box, io, process::Command, time::Duration};

/// Least processor time of one round.
const ROUND: Duration = Duration::from_millis(30);
/// Rounds; the least counts, since others share the processors and their caches.
const ROUNDS: usize = 3;
/// Size of a page, in bytes, on the platforms that this tool runs on.
const PAGE: u64 = 4_096;

/// Processor time of the calling thread since its start.
pub fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resident memory of the process, in bytes.
///
/// # Errors
/// The kernel doesn't tell.
pub fn resident() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).map(str::parse::<u64>);
    match pages {
        Some(Ok(pages)) => Ok(pages * PAGE),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Microseconds of processor time that one call of `run` takes.
pub fn micros<T>(mut run: impl FnMut() -> T) -> f64 {
    let mut least = f64::MAX;
    for _ in 0..ROUNDS {
        let start = cpu();
        let (mut calls, mut batch) = (0u64, 1u64);
        let spent = loop {
            for _ in 0..batch {
                black_box(run());
            }
            calls += batch;
            batch = batch.saturating_mul(2);
            let spent = cpu().saturating_sub(start);
            if spent >= ROUND {
                break spent;
            }
        };
        least = least.min(spent.as_secs_f64() * 1e6 / calls as f64);
    }
    least
}

/// Resident bytes that `count` things of `name` take up, measured in a process of its own: one
/// that has freed memory before would give that out again.
///
/// # Errors
/// The process could not be run, or knows no such name.
pub fn bytes(name: &str, count: usize) -> io::Result<f64> {
    let text = again(&["--bytes", name, "--count", &count.to_string()])?;
    text.trim().parse().map_err(io::Error::other)
}

/// What this tool prints with `args`, run in a process of its own.
///
/// # Errors
/// The process could not be run, or failed.
pub fn again(args: &[&str]) -> io::Result<String> {
    let output = Command::new(env::current_exe()?)
        .arg("capacity")
        .args(args)
        .output()?;
    if !output.status.success() {
        let text = String::from_utf8_lossy(&output.stderr);
        return Err(io::Error::other(text.into_owned()));
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// The same in this process.
///
/// # Errors
/// There is no such name, or the kernel doesn't tell.
pub fn bytes_here(name: &str, count: usize) -> io::Result<u64> {
    let before = resident()?;
    let built = memory::build(name, count);
    let built = built.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
    let after = resident()?;
    drop(black_box(built));
    Ok(after.saturating_sub(before))
}
