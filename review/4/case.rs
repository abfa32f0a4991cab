//! Case 4: a front machine that stands still for half a second while a batch job is ended loses slots of
//! the model workers for good; a later step, in calm, runs out of time beside idle workers.
#[path = "../standins-2/lib.rs"]
mod standins;
use standins::*;
use std::{
    process::exit,
    sync::{Arc, atomic::Ordering},
    thread::sleep,
    time::Duration,
};

const MODEL: &str = "m0";
const SLOTS: usize = 8;
const ENGINES: usize = 3;
/// Most freezes of the run.
const MAX_ROUNDS: u32 = 24;
/// Length of a freeze. The bench's `node_freeze` of the site lasts 3.2 s.
const FREEZE: Duration = Duration::from_millis(450);
/// Time budget of a step, and the time at no worker that breaks the rule.
const BUDGET_S: f64 = 12.0;
const IDLE_S: f64 = 5.0;

fn ms(millis: u64) {
    sleep(Duration::from_millis(millis));
}

fn main() {
    let record = Record::create("review/4/record.txt");
    let trouble = has_trouble();
    let place = Place::new("4");
    let store = Store::start(place.ip(2));
    let routes = [
        RouteSpec { name: "r-lot", prefix: "/lot/", kind: "rollout", service: "llm", timeout_ms: 10000, target_ms: 500 },
        RouteSpec { name: "r-score", prefix: "/score/", kind: "safe", service: "app", timeout_ms: 2000, target_ms: 400 },
    ];
    let services = vec![engine_service("llm", SLOTS as u32, &[MODEL]), plain_service("app")];
    configure(&store, 3, &routes, services);
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|i| Engine::start(&store, &record, place.ip(20 + i as u8), (&format!("e{i}"), "llm", MODEL), SLOTS))
        .collect();
    // Workers of one service differ in speed.
    engines[2].event_ms.store(400, Ordering::Relaxed);
    let _scorers: Vec<_> = (0..2)
        .map(|i| Plain::start(&store, &record, place.ip(40 + i), (&format!("p{i}"), "app"), 24))
        .collect();
    let instances: Vec<_> = (0..3)
        .map(|i| Instance::start(&place.folder, &format!("front-{i}"), place.ip(10 + i), store.address))
        .collect();
    if !instances.iter().all(|i| i.wait_ready()) {
        record.say("the instances did not become ready");
        exit(2);
    }
    ms(4000);
    let running = || -> usize { engines.iter().map(|e| e.running.load(Ordering::SeqCst)).sum() };
    let total = SLOTS * ENGINES;
    let duty = format!("lots-{MODEL}");

    // Jobs that are ended a second after they were accepted, as a client may; the machine that runs the
    // model's jobs stands still meanwhile.
    let mut fewest = total;
    for round in 0..MAX_ROUNDS {
        let id = format!("a{round:03}");
        let (body, _) = job(&id, "/lot/x/", MODEL, 10, round);
        let holder = store.holder(&duty);
        let fronts: Vec<_> = instances.iter().filter(|i| i.name != holder).map(|i| i.callers).collect();
        let Some(frozen) = instances.iter().find(|i| i.name == holder) else {
            ms(500);
            continue;
        };
        if job_call(&record, &fronts, "POST", "/lot/x", &id, &body).is_none_or(|a| a.status != 202) {
            record.say("a job was not accepted");
            exit(2);
        }
        ms(700);
        let busy = running();
        record.line(format!("round {round}: {busy} of {total} slots of the workers are taken"));
        fewest = fewest.min(busy);
        if trouble && busy * 2 < total {
            job_call(&record, &fronts, "DELETE", &format!("/v1/lots/{id}"), &id, b"");
            break;
        }
        if trouble {
            record.line(format!("freeze of {}", frozen.name));
            frozen.signal(SIGSTOP);
        }
        ms(FREEZE.as_millis() as u64 - 100);
        job_call(&record, &fronts, "DELETE", &format!("/v1/lots/{id}"), &id, b"");
        ms(100);
        if trouble {
            frozen.signal(SIGCONT);
            record.line(format!("thaw of {}", frozen.name));
        }
        ms(900);
    }
    // Past `contactMs`, all machines are in touch.
    ms(4000);
    let fronts: Vec<_> = instances.iter().map(|i| i.callers).collect();
    let (id, began) = ("final", record.now());
    let (body, ids) = job(id, "/lot/x/", MODEL, 11, 99);
    if job_call(&record, &fronts, "POST", "/lot/x", id, &body).is_none_or(|a| a.status != 202) {
        record.say("the last job was not accepted");
        exit(2);
    }
    let mut most = 0;
    let mut done = 0;
    while record.now() < began + BUDGET_S {
        ms(250);
        most = most.max(running());
        if done < ids.len() && (record.now() - began) as u64 % 2 == 0 {
            done = listed(&record, &fronts, id);
        }
    }
    done = listed(&record, &fronts, id);
    let end = began + BUDGET_S;
    // For each item: whether a worker has finished it, and for how long it has been at none.
    let runs: Vec<Run> = engines.iter().flat_map(|e| e.runs.lock().unwrap().clone()).collect();
    let of_job = |item: &str| runs.iter().filter(|r| r.item == item).cloned().collect::<Vec<_>>();
    let begun = ids.iter().filter(|item| !of_job(item).is_empty()).count();
    let mut waiting = 0;
    for item in &ids {
        let runs = of_job(item);
        if runs.iter().any(|r| r.finished) {
            continue;
        }
        let last = runs.iter().map(|r| r.ended.unwrap_or(end)).fold(began, f64::max);
        if end - last >= IDLE_S {
            waiting += 1;
        }
    }
    record.say(format!(
        "the last step: {done} of {} items listed in {BUDGET_S} s, {begun} begun, {waiting} at no worker for {IDLE_S} s; \
         the workers had at most {most} of {total} slots taken",
        ids.len()
    ));
    for instance in &instances {
        instance.stop();
    }
    place.remove();
    let broken = waiting > 0 && begun > 0 && most * 2 < total;
    record.say(if broken { "LOST: broken" } else { "LOST: held" });
    exit(i32::from(broken));
}
