//! Case 5: an extra answer that a faulty worker sends late is taken for the answer to the item's next run,
//! which goes over the same channel and bears the same id. An item is listed as `errored` before
//! `maxAttempts` answers of 500.
#[path = "../standins-2/lib.rs"]
mod standins;
use standins::*;
use std::{
    collections::BTreeMap,
    process::exit,
    sync::{Arc, atomic::Ordering},
    thread::sleep,
    time::Duration,
};

const MODEL: &str = "m0";
const SLOTS: usize = 8;
const MAX_ATTEMPTS: usize = 3;
/// The dose: `garble` of the site's list, "extra late", at 0.6 of the workers for 0.03 of their answers, 5 s long.
const GARBLED_WORKERS: usize = 2;
const PER_MILLE: u64 = 30;
const GARBLE_S: f64 = 5.0;
const PAUSE_S: f64 = 2.0;
const LENGTH_S: f64 = 84.0;

fn ms(millis: u64) {
    sleep(Duration::from_millis(millis));
}

struct Open {
    id: String,
    next: usize,
    total: usize,
    began: f64,
}

fn main() {
    let record = Record::create("review/5/record.txt");
    let trouble = has_trouble();
    let place = Place::new("5");
    let store = Store::start(place.ip(2));
    let routes = [
        RouteSpec { name: "r-lot", prefix: "/lot/", kind: "rollout", service: "llm", timeout_ms: 10000, target_ms: 500 },
        RouteSpec { name: "r-score", prefix: "/score/", kind: "safe", service: "app", timeout_ms: 2000, target_ms: 400 },
    ];
    let services = vec![engine_service("llm", SLOTS as u32, &[MODEL]), plain_service("app")];
    configure(&store, 3, &routes, services);
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|i| Engine::start(&store, &record, place.ip(20 + i as u8), (&format!("e{i}"), "llm", MODEL), SLOTS))
        .collect();
    for engine in &engines {
        engine.event_ms.store(20, Ordering::Relaxed);
        engine.events.store(4, Ordering::Relaxed);
        // The last item of each group fails at its first two runs; the third is the last that it may have.
        engine.failing_runs.store(MAX_ATTEMPTS - 1, Ordering::Relaxed);
        *engine.failing_suffix.lock().unwrap() = "7".into();
    }
    let scorers: Vec<_> = (0..3)
        .map(|i| Plain::start(&store, &record, place.ip(40 + i), (&format!("p{i}"), "app"), 24))
        .collect();
    scorers.iter().for_each(|p| p.work_ms.store(5, Ordering::Relaxed));
    let instances: Vec<_> = (0..3)
        .map(|i| Instance::start(&place.folder, &format!("front-{i}"), place.ip(10 + i), store.address))
        .collect();
    if !instances.iter().all(|i| i.wait_ready()) {
        record.say("the instances did not become ready");
        exit(2);
    }
    ms(4000);
    let fronts: Vec<_> = instances.iter().map(|i| i.callers).collect();
    let began = record.now();
    let (mut open, mut number): (Vec<Open>, u32) = (Vec::new(), 0);
    let (mut early, mut errored, mut completed) = (Vec::new(), 0, 0);
    let mut states: BTreeMap<String, String> = BTreeMap::new();
    let mut next_job = began;
    while record.now() < began + LENGTH_S {
        let now = record.now();
        let in_trouble = trouble && (now - began) % (GARBLE_S + PAUSE_S) < GARBLE_S;
        for engine in engines.iter().take(GARBLED_WORKERS) {
            engine.extra_per_mille.store(if in_trouble { PER_MILLE } else { 0 }, Ordering::Relaxed);
        }
        if now >= next_job && now < began + LENGTH_S - 6.0 {
            next_job = now + 1.0;
            number += 1;
            let id = format!("j{number:03}");
            let (body, ids) = job(&id, "/lot/x/", MODEL, 11, number);
            let front = number as usize % 3;
            let accepted = job_call(&record, &fronts[front..], "POST", "/lot/x", &id, &body);
            if accepted.is_none_or(|a| a.status != 202) {
                record.say("a job was not accepted");
                exit(2);
            }
            open.push(Open { id, next: 0, total: ids.len(), began: record.now() });
        }
        for job in &mut open {
            let target = format!("/v1/lots/{}?after={}", job.id, job.next);
            let Some(answer) = job_call(&record, &fronts, "GET", &target, &job.id, b"") else { continue };
            let read_at = record.now();
            let page = Json::parse(&answer.body).unwrap_or(Json::Null);
            for result in page.get("results").arr() {
                let (item, state) = (result.get("id").str(), result.get("state").str());
                states.insert(item.into(), state.into());
                if state != "errored" {
                    completed += 1;
                    continue;
                }
                errored += 1;
                let answers: usize = engines
                    .iter()
                    .map(|e| e.failures.lock().unwrap().get(item).map_or(0, |t| t.len()))
                    .sum();
                let age = read_at - job.began;
                record.line(format!("client reads {item} as errored after {answers} answers of 500, {age:.1} s old"));
                if answers < MAX_ATTEMPTS && age < 12.0 {
                    early.push(item.to_owned());
                }
            }
            job.next = page.get("nextToken").num().unwrap_or(0.0) as usize;
        }
        open.retain(|job| {
            let done = job.next >= job.total;
            if done {
                job_call(&record, &fronts, "DELETE", &format!("/v1/lots/{}", job.id), &job.id, b"");
            }
            !done
        });
        ms(150);
    }
    let extras: u64 = engines.iter().map(|e| e.extras.load(Ordering::Relaxed)).sum();
    record.say(format!(
        "{number} jobs, {completed} items completed, {errored} errored; {extras} extra answers; \
         {} items errored before {MAX_ATTEMPTS} answers of 500: {}",
        early.len(),
        early.join(" ")
    ));
    for instance in &instances {
        instance.stop();
    }
    place.remove();
    let broken = !early.is_empty();
    record.say(if broken { "MIXED: broken" } else { "MIXED: held" });
    exit(i32::from(broken));
}
