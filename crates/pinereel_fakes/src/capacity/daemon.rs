//! Entries at rest and under control traffic, against the number of entries and of engines.

use super::{
    fit::Slope,
    meter::{again, cpu, resident},
    platform::{Options, Platform, Reported, zone},
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

/// Length of one measurement; the better of two counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for links and polls to settle.
const SETTLE: Duration = Duration::from_secs(2);
/// Availability zones of these sites.
const ZONES: usize = 3;

/// Entries on the calling thread.
pub struct Entries {
    /// The entries.
    pub all: Vec<Entry>,
    folder: PathBuf,
}

impl Drop for Entries {
    fn drop(&mut self) {
        // What is left behind in the folder for temporary files harms nobody.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Entries {
    /// Starts entries and waits until all are ready and know `endpoints` endpoints.
    ///
    /// # Errors
    /// A listener or a file could not be opened, or they were not ready in time.
    pub async fn start(platform: &Platform, count: usize, endpoints: usize) -> io::Result<Self> {
        let folder = site::create_config_dir()?;
        let mut entries = Self {
            all: Vec::new(),
            folder,
        };
        for i in 0..count {
            let settings = entries.settings(platform, i)?;
            let entry = Entry::start(settings).await.map_err(io::Error::other)?;
            list(platform, &entry, i).await?;
            entries.all.push(entry);
        }
        wait_until(|| {
            entries.all.iter().all(|entry| {
                let known = &entry.shared.endpoints;
                let all = known.list.endpoints().len() >= endpoints;
                all && known.is_synced() && pinereel::filters::pin::ready(&entry.shared).is_ok()
            })
        })
        .await?;
        sleep(SETTLE).await;
        Ok(entries)
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
        let path = self.folder.join(format_compact!("entry-{i}.ini"));
        Settings::parse(path, &text).map_err(io::Error::other)
    }

    /// Calls of the object API by all entries since their start: reads, writes, watches.
    fn calls(&self) -> u64 {
        let calls = self.all.iter().map(|e| e.shared.objects.call_counts());
        calls.map(|calls| calls.values().sum::<u64>()).sum()
    }

    /// Bytes of frames sent by all entries.
    fn sent(&self) -> u64 {
        self.all.iter().map(|e| e.shared.mesh.byte_counts().0).sum()
    }

    /// Calls by purpose and kind since the start.
    fn purposes(&self) -> String {
        let mut sums = std::collections::BTreeMap::new();
        for entry in &self.all {
            for ((purpose, kind), count) in entry.shared.objects.call_counts() {
                *sums.entry((purpose.as_str(), kind)).or_insert(0) += count;
            }
        }
        let texts = sums
            .iter()
            .map(|((purpose, kind), count)| format!("{purpose} {kind} {count}"));
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Lets all entries leave.
    async fn stop(self) {
        for entry in &self.all {
            entry.shared.drain.request_stop();
        }
        for entry in &self.all {
            entry.run_until_drained().await;
        }
    }
}

/// Puts an entry into the platform's list; one that it lacks counts as gone.
async fn list(platform: &Platform, entry: &Entry, i: usize) -> io::Result<()> {
    let instance = Instance {
        incarnation: entry.shared.incarnation,
        address: format_compact!("{}", entry.callers.address),
        zone: zone(i, ZONES),
        pool: "entry".into(),
        state: InstanceState::Live,
    };
    let url = format!("http://{}/instances/{}", platform.api, entry.shared.name());
    let sent = awc::Client::default().post(url).send_json(&instance).await;
    let sent = sent.map_err(|e| io::Error::other(e.to_string()))?;
    if sent.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(sent.status().to_string()))
    }
}

/// What one entry of a site spends.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Spent {
    /// Share of a core, in percent.
    cpu: f64,
    /// Calls of the object API a second.
    calls: f64,
    /// Bytes sent to peers a second.
    sent: f64,
    /// Load reports a second.
    reports: f64,
    /// Bytes of load reports a second, both directions.
    reported: f64,
    /// Resident memory, in MB.
    resident: f64,
}

/// Measures one site in this process.
///
/// # Errors
/// It did not come up.
pub async fn site(count: usize, engines: usize) -> io::Result<Spent> {
    let platform = Platform::start(Options {
        light: engines,
        engines: 0,
        services: 0,
        zones: ZONES,
    })?;
    let before = resident()?;
    let entries = Entries::start(&platform, count, engines).await?;
    let reported = || {
        let Reported { count, bytes } = &*platform.reported;
        [count.load(Ordering::Relaxed), bytes.load(Ordering::Relaxed)]
    };
    let (calls, sent, reports) = (entries.calls(), entries.sent(), reported());
    let start = Instant::now();
    let first = share().await;
    let middle = reported();
    let spent = first.min(share().await);
    let seconds = start.elapsed().as_secs_f64() * count as f64;
    let after = reported();
    let result = Spent {
        cpu: 100.0 * spent / count as f64,
        calls: (entries.calls() - calls) as f64 / seconds,
        sent: (entries.sent() - sent) as f64 / seconds,
        reports: (after[0] - reports[0]) as f64 / seconds,
        reported: (after[1] - reports[1]) as f64 / seconds,
        resident: resident()?.saturating_sub(before) as f64 / count as f64 / 1e6,
    };
    eprintln!(
        "  {count} entries, {engines} engines: load reports {} before, {} and {} in the windows; \
         object API calls since the start: {}",
        reports[0],
        middle[0] - reports[0],
        after[0] - middle[0],
        entries.purposes()
    );
    entries.stop().await;
    Ok(result)
}

/// Processor time of this thread as a share of one window.
async fn share() -> f64 {
    let (spent, start) = (cpu(), Instant::now());
    sleep(WINDOW).await;
    let spent = cpu() - spent;
    spent.as_secs_f64() / start.elapsed().as_secs_f64()
}

/// Measures sites in processes of their own, since memory that one freed would not count again.
fn sites(sizes: &[(usize, usize)]) -> io::Result<Vec<(f64, f64, Spent)>> {
    let sites = sizes.iter().map(|(entries, engines)| {
        let text = again(&[
            "--site",
            &entries.to_string(),
            "--count",
            &engines.to_string(),
        ])?;
        let spent = serde_json::from_str(&text).map_err(io::Error::other)?;
        Ok((*entries as f64, *engines as f64, spent))
    });
    sites.collect()
}

/// Against the number of entries before 8 engines: up to 16 each is linked with every other one.
///
/// # Errors
/// A site did not come up.
pub fn mesh() -> io::Result<Vec<Slope>> {
    let sites = sites(&[(3, 8), (9, 8), (16, 8)])?;
    let of = |name, unit, value: fn(&Spent) -> f64| {
        let points = sites.iter().map(|(x, _, spent)| (*x, value(spent)));
        Slope::of(name, unit, "entry", points.collect())
    };
    Ok(vec![
        of("mesh_cpu", "% of a core, an entry", |s| s.cpu),
        of("mesh_calls", "object API calls/s, an entry", |s| s.calls),
        of("mesh_sent", "bytes/s to peers, an entry", |s| s.sent),
        of("mesh_resident", "MB resident, an entry", |s| s.resident),
    ])
}

/// The same with so many that each is linked with few.
///
/// # Errors
/// A site did not come up.
pub fn sparse() -> io::Result<Vec<Slope>> {
    let sites = sites(&[(20, 8), (40, 8), (60, 8)])?;
    let of = |name, unit, value: fn(&Spent) -> f64| {
        let points = sites.iter().map(|(x, _, spent)| (*x, value(spent)));
        Slope::of(name, unit, "entry", points.collect())
    };
    let calls = sites.iter().map(|(x, _, spent)| (*x, x * spent.calls));
    Ok(vec![
        of("sparse_cpu", "% of a core, an entry", |s| s.cpu),
        of("sparse_sent", "bytes/s to peers, an entry", |s| s.sent),
        of("sparse_resident", "MB resident, an entry", |s| s.resident),
        Slope::of(
            "sparse_calls",
            "object API calls/s, all entries",
            "entry",
            calls.collect(),
        ),
    ])
}

/// Against the load reports, and against engines beyond the bound on load reports, with one entry.
///
/// # Errors
/// A site did not come up.
pub fn engines() -> io::Result<Vec<Slope>> {
    let few = sites(&[(1, 2), (1, 4), (1, 8), (1, 16)])?;
    let many = sites(&[(1, 80), (1, 400), (1, 800)])?;
    let reports = few.iter().map(|(_, _, s)| (s.reports, s.cpu)).collect();
    let sizes = few
        .iter()
        .map(|(_, _, s)| (s.reports, s.reported / s.reports))
        .collect();
    let of = |name, unit, value: fn(&Spent) -> f64| {
        let points = many.iter().map(|(_, x, spent)| (*x, value(spent)));
        Slope::of(name, unit, "engine", points.collect())
    };
    Ok(vec![
        Slope::of(
            "reports_cpu",
            "% of a core, an entry",
            "load report/s",
            reports,
        ),
        Slope::of(
            "reports_size",
            "bytes a load report",
            "load report/s",
            sizes,
        ),
        of("engines_cpu", "% of a core, an entry", |s| s.cpu),
        of("engines_reports", "load reports/s, an entry", |s| s.reports),
        of("engines_resident", "MB resident, an entry", |s| s.resident),
    ])
}
