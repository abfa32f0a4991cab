//! CPU time of a thread, and resident memory of a process.

use super::memory;
use rustix::time::{ClockId, clock_gettime};
use std::{env, fs, hint::black_box, io, process::Command, time::Duration};

/// Minimum CPU time of a round, which repeats a call to measure its average time.
const MIN_ROUND_CPU_TIME: Duration = Duration::from_millis(30);
/// Number of rounds. The lowest average counts, as other processes share the CPUs and their caches.
const ROUNDS: usize = 3;
/// Size of a memory page on the platforms that this tool runs on, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// CPU time of the calling thread since its start.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resident memory of this process, in bytes.
///
/// # Errors
/// `/proc/self/statm` could not be read or parsed.
pub fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).map(str::parse::<u64>);
    match pages {
        Some(Ok(pages)) => Ok(pages * PAGE_BYTES),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// CPU time of one call of `call`, in microseconds: the lowest average of the rounds.
pub fn cpu_micros_per_call<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut min_micros = f64::MAX;
    for _ in 0..ROUNDS {
        let start = thread_cpu_time();
        let (mut calls, mut batch) = (0u64, 1u64);
        let cpu_time = loop {
            for _ in 0..batch {
                black_box(call());
            }
            calls += batch;
            batch = batch.saturating_mul(2);
            let cpu_time = thread_cpu_time().saturating_sub(start);
            if cpu_time >= MIN_ROUND_CPU_TIME {
                break cpu_time;
            }
        };
        min_micros = min_micros.min(cpu_time.as_secs_f64() * 1e6 / calls as f64);
    }
    min_micros
}

/// Resident bytes of the data structure `name` of size `count`, measured in a new process: in one
/// that has freed memory before, the allocator would reuse that memory.
///
/// # Errors
/// The process could not be started, or it failed, for instance because `name` is unknown.
pub fn measure_bytes(name: &str, count: usize) -> io::Result<f64> {
    let text = run_subprocess(&["--bytes", name, "--count", &count.to_string()])?;
    text.trim().parse().map_err(io::Error::other)
}

/// Runs this tool with `args` in a new process and returns its standard output.
///
/// # Errors
/// The process could not be started, or it failed; the error then holds its standard error.
pub fn run_subprocess(args: &[&str]) -> io::Result<String> {
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

/// Like [`measure_bytes`], but in this process.
///
/// # Errors
/// `name` is unknown, or the resident memory could not be read.
pub fn measure_bytes_in_process(name: &str, count: usize) -> io::Result<u64> {
    let before = resident_bytes()?;
    let data = memory::build(name, count);
    let data = data.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
    let after = resident_bytes()?;
    drop(black_box(data));
    Ok(after.saturating_sub(before))
}
