//! The steps of a demo run, in order: start a site, traffic and a trainer, patch the configuration,
//! drain an entry and replace it, then wait for the trainer and check the results.

use super::{
    deployment::Deployment,
    operator,
    summary::{Propagation, Summary},
    traffic::{self, Traffic},
};
use crate::{
    site::{self, Site, wait_until},
    trainer,
};
use pinereel_api::operator::Patch;
use pinereel_core::{Version, hash::Digest};
use serde_json::json;
use std::{collections::BTreeMap, io, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Number of steps of the trainer.
const STEPS: u64 = 6;
/// Number of groups in the lot of a step.
const GROUPS_PER_STEP: u32 = 8;
/// Number of samples in a group.
const SAMPLES_PER_GROUP: u32 = 4;
/// Maximum number of output tokens of a sample.
const MAX_SAMPLE_TOKENS: u32 = 120;
/// Time that a step's training takes.
const TRAIN_TIME: Duration = Duration::from_millis(300);
/// Interval at which the configuration in force at an entry is polled.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Guaranteed maximum time until a patch is in force at every entry. The demo waits longer, so that
/// a late patch fails a check and doesn't abort the run.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Runs one deployment.
///
/// # Errors
/// If a step could not be carried out. A violated guarantee is no error but a failed check of the
/// summary.
pub async fn run(deployment: &Deployment) -> io::Result<Summary> {
    let start = Instant::now();
    let options = deployment.site_options();
    let mut site = Site::start(options.clone()).await?;
    let traffic = Traffic::new(site.caller_addresses());
    let callers = traffic.start(*deployment);
    let trainer = actix_rt::spawn(new_trainer(deployment, &site).run());
    let mut summary = Summary {
        deployment: deployment.name,
        zones: deployment.zones.len(),
        entries: deployment.entry_count,
        engines: deployment.engine_pool.1,
        services: deployment.service_pool.1,
        ..Summary::default()
    };
    summary.patch = propagate_patch(&site).await?;
    summary.drain_ms = drain_entry(&mut site, &traffic).await?;
    summary.replace_ms = start_replacement(&mut site, &options, &traffic).await?;
    let report = trainer.await.map_err(io::Error::other)?;
    summary.trainer = report.map_err(io::Error::other)?;
    let is_rolled_out = wait_until_rolled_out(&site).await;
    traffic.stop();
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    let traffic_report = traffic.report.borrow();
    summary.completions = (&traffic_report.completion_micros).into();
    summary.service_calls = (&traffic_report.service_call_micros).into();
    summary.retries = traffic_report.retries;
    check_trainer(&mut summary, deployment);
    summary.check("the last weights are on every engine", is_rolled_out, "");
    check_traffic(&mut summary, deployment, &site, &traffic_report);
    if let Some(patch) = summary.patch {
        let max_ms = MAX_PROPAGATION_TIME.as_millis() as u64;
        let held = patch.duration_ms <= max_ms;
        summary.check("the patch is in force everywhere in 5 s", held, "later");
    }
    summary.run_ms = elapsed_millis(start);
    Ok(summary)
}

fn new_trainer(deployment: &Deployment, site: &Site) -> trainer::Trainer {
    trainer::Trainer::new(trainer::Options {
        name: deployment.trainer.into(),
        entries: site.caller_addresses(),
        steps: STEPS,
        groups_per_step: GROUPS_PER_STEP,
        samples_per_group: SAMPLES_PER_GROUP,
        max_tokens: MAX_SAMPLE_TOKENS,
        train_time: TRAIN_TIME,
        staleness_bound: deployment.staleness_bound,
        ..trainer::Options::default()
    })
}

/// Patches the configuration through one entry and waits until the new configuration is in force at
/// every entry. `None` if the entries are built without patches.
async fn propagate_patch(site: &Site) -> io::Result<Option<Propagation>> {
    let operators: Vec<_> = site.entries.iter().map(|e| e.operators.address).collect();
    let Some(base) = operator::fetch_config(operators[0]).await? else {
        return Ok(None);
    };
    let patch = Patch {
        base: base.number,
        id: "demo".into(),
        merge: json!({ "limits": { "default_deadline_ms": 20_000 } }),
    };
    let start = Instant::now();
    let number = operator::submit_patch(operators[0], &patch).await?.number;
    for address in operators {
        let in_force = async {
            while operator::fetch_config(address)
                .await?
                .map_or(0, |c| c.number)
                < number
            {
                sleep(CONFIG_POLL_INTERVAL).await;
            }
            Ok::<_, io::Error>(())
        };
        timeout(2 * MAX_PROPAGATION_TIME, in_force).await??;
    }
    Ok(Some(Propagation {
        number,
        duration_ms: elapsed_millis(start),
    }))
}

/// Drains the first entry by a call to its operators' listener, as an operator does, and waits
/// until it has drained. Returns the duration in milliseconds.
async fn drain_entry(site: &mut Site, traffic: &Traffic) -> io::Result<u64> {
    let entry = site.entries.remove(0);
    let start = Instant::now();
    operator::start_drain(entry.operators.address).await?;
    // A load balancer polls readiness, so it stops using the entry after a delay.
    let address = entry.callers.address.to_string();
    let load_balancer = async {
        sleep(entry.shared.settings.drain.balancer_lag / 2).await;
        traffic.entries.borrow_mut().retain(|e| *e != address);
    };
    tokio::join!(load_balancer, entry.run_until_drained());
    Ok(elapsed_millis(start))
}

/// Starts an entry in place of the drained one and waits until every entry is ready. Returns the
/// duration in milliseconds.
async fn start_replacement(
    site: &mut Site,
    options: &site::Options,
    traffic: &Traffic,
) -> io::Result<u64> {
    let start = Instant::now();
    site.start_entry(options, options.entry_count).await?;
    site.wait_until_ready().await?;
    *traffic.entries.borrow_mut() = site.caller_addresses();
    Ok(elapsed_millis(start))
}

/// Waits until every engine serves the version that was published last. Returns whether this
/// happened in time.
async fn wait_until_rolled_out(site: &Site) -> bool {
    let shared = &site.entries[0].shared;
    let newest = Some(Version(STEPS + 1));
    let is_rolled_out = || {
        let set = shared.endpoints.set();
        let up_to_date = set.iter().filter(|(_, e)| e.version == newest);
        up_to_date.count() == site.engines.len()
    };
    wait_until(is_rolled_out).await.is_ok()
}

fn check_trainer(summary: &mut Summary, deployment: &Deployment) {
    let report = summary.trainer.clone();
    let expected = STEPS * u64::from(GROUPS_PER_STEP * SAMPLES_PER_GROUP);
    summary.check(
        "every sample comes once",
        report.duplicates == 0 && report.samples == expected,
        report.samples,
    );
    let within_bound = report.stale == 0 && report.staleness.max <= deployment.staleness_bound;
    summary.check(
        "no sample is older than the bound",
        within_bound,
        report.staleness.max,
    );
    summary.check(
        "every sample names its weights",
        report.invalid_versions == 0,
        report.invalid_versions,
    );
    summary.check(
        "every sample's text is whole",
        report.invalid_texts == 0,
        report.invalid_texts,
    );
}

fn check_traffic(
    summary: &mut Summary,
    deployment: &Deployment,
    site: &Site,
    report: &traffic::Report,
) {
    summary.check(
        "every live answer is whole and its own",
        report.invalid_completions == 0,
        report.invalid_completions,
    );
    let all_succeeded = report.failures.is_empty()
        && !report.service_call_micros.is_empty()
        && !report.completion_micros.is_empty();
    summary.check(
        "every live request is answered",
        all_succeeded,
        report.failures.join("; "),
    );
    let counts = count_executions(deployment, site);
    let successful_ran_once = report
        .successful_calls
        .iter()
        .all(|body| counts.get(body) == Some(&1));
    let none_ran_twice = counts.values().all(|count| *count == 1);
    summary.check(
        "every service call ran once",
        successful_ran_once && none_ran_twice,
        counts.len(),
    );
}

/// Number of recorded executions at all services, by digest of the request body.
fn count_executions(deployment: &Deployment, site: &Site) -> BTreeMap<Digest, usize> {
    let mut counts = BTreeMap::new();
    for service in &site.services {
        for execution in service.handle.executions() {
            if let (true, Some(body)) = (
                execution.path == deployment.non_idempotent_path,
                execution.body,
            ) {
                *counts.entry(body).or_insert(0) += 1;
            }
        }
    }
    counts
}

fn elapsed_millis(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
