//! Usage of idle entries by control traffic, as a function of the number of entries and of engines.

use super::{
    fit::Measurement,
    meter::{resident_bytes, run_subprocess, thread_cpu_time},
    platform::{Options, Platform, ReportCounters, zone},
};
use crate::site::{self, wait_until};
use compact_str::format_compact;
use pinereel::{entry::Entry, settings::Settings};
use pinereel_api::object::{Instance, InstanceState};
use serde::{Deserialize, Serialize};
use std::{
    fs, io,
    path::PathBuf,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Duration of each of the two measurement windows. The lower CPU time of the two counts.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(4);
/// Delay after which the rates of links and polls have settled.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Number of availability zones of a site.
const ZONES: usize = 3;

/// Entries that run on the calling thread.
pub struct EntryGroup {
    /// The entries, in the order of their start.
    pub entries: Vec<Entry>,
    directory: PathBuf,
}

impl Drop for EntryGroup {
    fn drop(&mut self) {
        // A directory that could not be removed does no harm, as it is a temporary one.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl EntryGroup {
    /// Starts `count` entries and waits until all of them are ready and know at least `endpoints`
    /// endpoints.
    ///
    /// # Errors
    /// A listener or a file could not be opened, or the entries were not ready in time.
    pub async fn start(platform: &Platform, count: usize, endpoints: usize) -> io::Result<Self> {
        let directory = site::create_config_dir()?;
        let mut group = Self {
            entries: Vec::new(),
            directory,
        };
        for i in 0..count {
            let settings = group.settings(platform, i)?;
            let entry = Entry::start(settings).await.map_err(io::Error::other)?;
            list_entry(platform, &entry, i).await?;
            group.entries.push(entry);
        }
        wait_until(|| {
            group.entries.iter().all(|entry| {
                let known = &entry.shared.endpoints;
                let enough = known.list.endpoints().len() >= endpoints;
                enough && known.is_synced() && pinereel::filters::pin::ready(&entry.shared).is_ok()
            })
        })
        .await?;
        sleep(SETTLE_DELAY).await;
        Ok(group)
    }

    fn settings(&self, platform: &Platform, i: usize) -> io::Result<Settings> {
        let text = format!(
            "[entry]\nname = entry-{i}\nzone = {}\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[object_api]\nurl = http://{}\n\
             [secrets]\noperator_token_file = token\npeer_secret_file = secret\n\
             [drain]\nbalancer_lag = 10ms\nlongest = 1s\n[log]\ndecisions = false\n",
            zone(i, ZONES),
            platform.api
        );
        let path = self.directory.join(format_compact!("entry-{i}.ini"));
        Settings::parse(path, &text).map_err(io::Error::other)
    }

    /// Number of object API calls by all entries since their start, including watches.
    fn object_api_calls(&self) -> u64 {
        let calls = self.entries.iter().map(|e| e.shared.objects.call_counts());
        calls.map(|calls| calls.values().sum::<u64>()).sum()
    }

    /// Bytes of frames that all entries have sent to peers since their start.
    fn sent_bytes(&self) -> u64 {
        self.entries
            .iter()
            .map(|e| e.shared.mesh.byte_counts().0)
            .sum()
    }

    /// Numbers of object API calls by purpose and kind since the start, as text.
    fn call_summary(&self) -> String {
        let mut counts = std::collections::BTreeMap::new();
        for entry in &self.entries {
            for ((purpose, kind), count) in entry.shared.objects.call_counts() {
                *counts.entry((purpose.as_str(), kind)).or_insert(0) += count;
            }
        }
        let texts = counts
            .iter()
            .map(|((purpose, kind), count)| format!("{purpose} {kind} {count}"));
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Drains and stops all entries.
    async fn stop(self) {
        for entry in &self.entries {
            entry.shared.drain.request_stop();
        }
        for entry in &self.entries {
            entry.run_until_drained().await;
        }
    }
}

/// Adds an entry to the platform's list of instances. An entry that is not listed counts as
/// gone.
async fn list_entry(platform: &Platform, entry: &Entry, i: usize) -> io::Result<()> {
    let instance = Instance {
        incarnation: entry.shared.incarnation,
        address: format_compact!("{}", entry.callers.address),
        zone: zone(i, ZONES),
        pool: "entry".into(),
        state: InstanceState::Live,
    };
    let url = format!("http://{}/instances/{}", platform.api, entry.shared.name());
    let response = awc::Client::default().post(url).send_json(&instance).await;
    let response = response.map_err(|e| io::Error::other(e.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(response.status().to_string()))
    }
}

/// Average resource usage per entry of a site.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time, in percent of a core.
    cpu: f64,
    /// Object API calls per second.
    calls: f64,
    /// Bytes sent to peers per second.
    sent: f64,
    /// Load reports per second.
    reports: f64,
    /// Bytes of load reports per second, in both directions.
    #[serde(rename = "reported")]
    report_bytes: f64,
    /// Resident memory, in MB.
    resident: f64,
}

/// Measures a site with `count` entries and `engines` engines in this process.
///
/// # Errors
/// The site did not become ready, or the resident memory could not be read.
pub async fn measure_site(count: usize, engines: usize) -> io::Result<Usage> {
    let platform = Platform::start(Options {
        state_only_engines: engines,
        engines: 0,
        services: 0,
        zones: ZONES,
    })?;
    let resident_before = resident_bytes()?;
    let group = EntryGroup::start(&platform, count, engines).await?;
    let report_counts = || {
        let ReportCounters { reports, bytes } = &*platform.report_counters;
        [
            reports.load(Ordering::Relaxed),
            bytes.load(Ordering::Relaxed),
        ]
    };
    let (calls_before, sent_before, before) = (
        group.object_api_calls(),
        group.sent_bytes(),
        report_counts(),
    );
    let start = Instant::now();
    let first_share = cpu_share().await;
    let middle = report_counts();
    let share = first_share.min(cpu_share().await);
    let entry_seconds = start.elapsed().as_secs_f64() * count as f64;
    let after = report_counts();
    let usage = Usage {
        cpu: 100.0 * share / count as f64,
        calls: (group.object_api_calls() - calls_before) as f64 / entry_seconds,
        sent: (group.sent_bytes() - sent_before) as f64 / entry_seconds,
        reports: (after[0] - before[0]) as f64 / entry_seconds,
        report_bytes: (after[1] - before[1]) as f64 / entry_seconds,
        resident: resident_bytes()?.saturating_sub(resident_before) as f64 / count as f64 / 1e6,
    };
    eprintln!(
        "  {count} entries, {engines} engines: load reports {} before, {} and {} in the windows; \
         object API calls since the start: {}",
        before[0],
        middle[0] - before[0],
        after[0] - middle[0],
        group.call_summary()
    );
    group.stop().await;
    Ok(usage)
}

/// CPU time of this thread during one [`MEASUREMENT_WINDOW`], as a fraction of a core.
async fn cpu_share() -> f64 {
    let (cpu_time, start) = (thread_cpu_time(), Instant::now());
    sleep(MEASUREMENT_WINDOW).await;
    let cpu_time = thread_cpu_time() - cpu_time;
    cpu_time.as_secs_f64() / start.elapsed().as_secs_f64()
}

/// Measures sites, each in a new process, as memory freed by an earlier site would be reused and not
/// be counted. `sizes` are pairs of the number of entries and of engines, with which the usage is
/// returned.
fn measure_sites(sizes: &[(usize, usize)]) -> io::Result<Vec<(f64, f64, Usage)>> {
    let sites = sizes.iter().map(|(entries, engines)| {
        let text = run_subprocess(&[
            "--site",
            &entries.to_string(),
            "--count",
            &engines.to_string(),
        ])?;
        let usage = serde_json::from_str(&text).map_err(io::Error::other)?;
        Ok((*entries as f64, *engines as f64, usage))
    });
    sites.collect()
}

/// Usage as a function of the number of entries, with 8 engines and at most 16 entries, which are
/// linked in a full mesh.
///
/// # Errors
/// A site did not become ready.
pub fn measure_full_mesh() -> io::Result<Vec<Measurement>> {
    let sites = measure_sites(&[(3, 8), (9, 8), (16, 8)])?;
    let measurement = |name, unit, value: fn(&Usage) -> f64| {
        let points = sites.iter().map(|(x, _, usage)| (*x, value(usage)));
        Measurement::new(name, unit, "entry", points.collect())
    };
    Ok(vec![
        measurement("mesh_cpu", "% of a core, an entry", |s| s.cpu),
        measurement("mesh_calls", "object API calls/s, an entry", |s| s.calls),
        measurement("mesh_sent", "bytes/s to peers, an entry", |s| s.sent),
        measurement("mesh_resident", "MB resident, an entry", |s| s.resident),
    ])
}

/// Usage as a function of the number of entries, with 8 engines and so many entries that each is
/// linked with only a few others.
///
/// # Errors
/// A site did not become ready.
pub fn measure_sparse_mesh() -> io::Result<Vec<Measurement>> {
    let sites = measure_sites(&[(20, 8), (40, 8), (60, 8)])?;
    let measurement = |name, unit, value: fn(&Usage) -> f64| {
        let points = sites.iter().map(|(x, _, usage)| (*x, value(usage)));
        Measurement::new(name, unit, "entry", points.collect())
    };
    let calls = sites.iter().map(|(x, _, usage)| (*x, x * usage.calls));
    Ok(vec![
        measurement("sparse_cpu", "% of a core, an entry", |s| s.cpu),
        measurement("sparse_sent", "bytes/s to peers, an entry", |s| s.sent),
        measurement("sparse_resident", "MB resident, an entry", |s| s.resident),
        Measurement::new(
            "sparse_calls",
            "object API calls/s, all entries",
            "entry",
            calls.collect(),
        ),
    ])
}

/// Usage of a single entry as a function of the rate of load reports, and of the number of engines
/// where that rate has reached its limit.
///
/// # Errors
/// A site did not become ready.
pub fn measure_engines() -> io::Result<Vec<Measurement>> {
    let few = measure_sites(&[(1, 2), (1, 4), (1, 8), (1, 16)])?;
    let many = measure_sites(&[(1, 80), (1, 400), (1, 800)])?;
    let reports = few.iter().map(|(_, _, s)| (s.reports, s.cpu)).collect();
    let sizes = few
        .iter()
        .map(|(_, _, s)| (s.reports, s.report_bytes / s.reports))
        .collect();
    let measurement = |name, unit, value: fn(&Usage) -> f64| {
        let points = many.iter().map(|(_, x, usage)| (*x, value(usage)));
        Measurement::new(name, unit, "engine", points.collect())
    };
    Ok(vec![
        Measurement::new(
            "reports_cpu",
            "% of a core, an entry",
            "load report/s",
            reports,
        ),
        Measurement::new(
            "reports_size",
            "bytes a load report",
            "load report/s",
            sizes,
        ),
        measurement("engines_cpu", "% of a core, an entry", |s| s.cpu),
        measurement("engines_reports", "load reports/s, an entry", |s| s.reports),
        measurement("engines_resident", "MB resident, an entry", |s| s.resident),
    ])
}
