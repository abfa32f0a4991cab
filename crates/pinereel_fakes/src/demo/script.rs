//! What happens in the demo, in order.

use super::{
    deployment::Deployment,
    operator,
    summary::{Patch, Summary},
    traffic::{Seen, Traffic},
};
use crate::{
    site::{self, Site, wait_until},
    trainer,
};
use pinereel_api::operator::Patch as Submitted;
use pinereel_core::{Version, hash::Digest};
use serde_json::json;
use std::{collections::BTreeMap, io, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Steps of the trainer.
const STEPS: u64 = 6;
/// Groups of each step.
const GROUPS: u32 = 8;
/// Samples of each group.
const SAMPLES: u32 = 4;
/// Most tokens of a sample.
const TOKENS: u32 = 120;
/// Time that training takes.
const TRAIN: Duration = Duration::from_millis(300);
/// Pause between looks.
const LOOK: Duration = Duration::from_millis(5);
/// Longest wait until a patch is in force everywhere.
const PATCH_LIMIT: Duration = Duration::from_secs(5);

/// Runs one deployment.
///
/// # Errors
/// Something did not come about at all; broken promises are checks of the summary.
pub async fn run(deployment: &Deployment) -> io::Result<Summary> {
    let start = Instant::now();
    let options = deployment.site();
    let mut site = Site::start(options.clone()).await?;
    let traffic = Traffic::new(site.caller_addresses());
    let callers = traffic.start(*deployment);
    let trainer = actix_rt::spawn(trainer(deployment, &site).run());
    let mut summary = Summary {
        deployment: deployment.name,
        zones: deployment.zones.len(),
        entries: deployment.entries,
        engines: deployment.engines.1,
        services: deployment.services.1,
        ..Summary::default()
    };
    summary.patch = patch(&site).await?;
    summary.drain_ms = drain(&mut site, &traffic).await?;
    summary.replace_ms = replace(&mut site, &options, &traffic).await?;
    let report = trainer.await.map_err(io::Error::other)?;
    summary.trainer = report.map_err(io::Error::other)?;
    let loaded = rolled_out(&site).await;
    traffic.stop();
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    let seen = traffic.seen.borrow();
    summary.completions = (&seen.completions).into();
    summary.calls = (&seen.calls).into();
    summary.repeats = seen.repeats;
    check_trainer(&mut summary, deployment);
    summary.check("the last weights are on every engine", loaded, "");
    check_live(&mut summary, deployment, &site, &seen);
    if let Some(patch) = summary.patch {
        let limit = PATCH_LIMIT.as_millis() as u64;
        let held = patch.everywhere_ms <= limit;
        summary.check("the patch is in force everywhere in 5 s", held, "later");
    }
    summary.run_ms = millis(start);
    Ok(summary)
}

fn trainer(deployment: &Deployment, site: &Site) -> trainer::Trainer {
    trainer::Trainer::new(trainer::Options {
        name: deployment.trainer.into(),
        entries: site.caller_addresses(),
        steps: STEPS,
        groups_per_step: GROUPS,
        samples_per_group: SAMPLES,
        max_tokens: TOKENS,
        train_time: TRAIN,
        staleness_bound: deployment.bound,
        ..trainer::Options::default()
    })
}

/// Patches the configuration through one entry and waits until all have it in force.
async fn patch(site: &Site) -> io::Result<Option<Patch>> {
    let operators: Vec<_> = site.entries.iter().map(|e| e.operators.address).collect();
    let Some(before) = operator::config(operators[0]).await? else {
        return Ok(None);
    };
    let patch = Submitted {
        base: before.number,
        id: "demo".into(),
        merge: json!({ "limits": { "default_deadline_ms": 20_000 } }),
    };
    let start = Instant::now();
    let number = operator::patch(operators[0], &patch).await?.number;
    for address in operators {
        let reached = async {
            while operator::config(address).await?.map_or(0, |c| c.number) < number {
                sleep(LOOK).await;
            }
            Ok::<_, io::Error>(())
        };
        timeout(2 * PATCH_LIMIT, reached).await??;
    }
    Ok(Some(Patch {
        number,
        everywhere_ms: millis(start),
    }))
}

/// Drains the first entry, as a volunteer would, and waits until it has left.
async fn drain(site: &mut Site, traffic: &Traffic) -> io::Result<u64> {
    let entry = site.entries.remove(0);
    let start = Instant::now();
    operator::drain(entry.operators.address).await?;
    // The balancer looks at readiness now and then.
    let address = entry.callers.address.to_string();
    let balancer = async {
        sleep(entry.shared.settings.drain.balancer_lag / 2).await;
        traffic.entries.borrow_mut().retain(|e| *e != address);
    };
    tokio::join!(balancer, entry.run_until_drained());
    Ok(millis(start))
}

/// Starts one more entry in place of the one that left.
async fn replace(site: &mut Site, options: &site::Options, traffic: &Traffic) -> io::Result<u64> {
    let start = Instant::now();
    site.start_entry(options, options.entry_count).await?;
    site.wait_until_ready().await?;
    *traffic.entries.borrow_mut() = site.caller_addresses();
    Ok(millis(start))
}

/// Whether every engine comes to serve the version that was published last.
async fn rolled_out(site: &Site) -> bool {
    let shared = &site.entries[0].shared;
    let newest = Some(Version(STEPS + 1));
    let loaded = || {
        let set = shared.endpoints.set();
        let there = set.iter().filter(|(_, e)| e.version == newest);
        there.count() == site.engines.len()
    };
    wait_until(loaded).await.is_ok()
}

fn check_trainer(summary: &mut Summary, deployment: &Deployment) {
    let t = summary.trainer.clone();
    let wanted = STEPS * u64::from(GROUPS * SAMPLES);
    summary.check(
        "every sample comes once",
        t.duplicates == 0 && t.samples == wanted,
        t.samples,
    );
    let fresh = t.stale == 0 && t.staleness.max <= deployment.bound;
    summary.check("no sample is older than the bound", fresh, t.staleness.max);
    summary.check(
        "every sample names its weights",
        t.invalid_versions == 0,
        t.invalid_versions,
    );
    summary.check(
        "every sample's text is whole",
        t.invalid_texts == 0,
        t.invalid_texts,
    );
}

fn check_live(summary: &mut Summary, deployment: &Deployment, site: &Site, seen: &Seen) {
    summary.check(
        "every live answer is whole and its own",
        seen.flawed == 0,
        seen.flawed,
    );
    let answered = seen.lost.is_empty() && !seen.calls.is_empty() && !seen.completions.is_empty();
    summary.check(
        "every live request is answered",
        answered,
        seen.lost.join("; "),
    );
    let runs = executions(deployment, site);
    let once = seen.answered.iter().all(|body| runs.get(body) == Some(&1));
    let no_more = runs.values().all(|count| *count == 1);
    summary.check("every service call ran once", once && no_more, runs.len());
}

/// How often each body ran, by what the services recorded.
fn executions(deployment: &Deployment, site: &Site) -> BTreeMap<Digest, usize> {
    let mut runs = BTreeMap::new();
    for service in &site.services {
        for execution in service.handle.executions() {
            if let (true, Some(body)) = (execution.path == deployment.path, execution.body) {
                *runs.entry(body).or_insert(0) += 1;
            }
        }
    }
    runs
}

fn millis(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
