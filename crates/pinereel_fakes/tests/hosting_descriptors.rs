//! An instance that runs out of file descriptors, and the metrics of its process, with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    caller::post,
    instance::metrics,
    site::{Site, Size},
};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::{
    fs,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

const SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 1,
};
/// Descriptors that the instance may open in addition to those that it has.
const SPARE_DESCRIPTORS: u64 = 8;
const CONNECTIONS: usize = 100;
/// Time without descriptors.
const SHORTAGE: Duration = Duration::from_secs(2);
/// Time after its end within which a request is served.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_millis(1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest share of a core in the shortage; a loop without a wait takes a whole one.
const MAX_CPU_SHARE: f64 = 0.5;
/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time of a process so far, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let (_, fields) = stat.rsplit_once(')').expect("a name");
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks = ticks.map(|ticks| ticks.parse::<f64>().expect("a number"));
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

async fn is_served(site: &Site, id: &str) -> bool {
    let address = site.instances[0].caller_address();
    let answer = post(address, "/live/x", id.to_owned(), DEADLINE, "", DEADLINE).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Failed accepts must not end the accept loop, and must not be repeated without a wait.
#[actix_rt::test]
async fn an_instance_without_descriptors_waits_and_serves_again_afterwards() {
    let mut site = Site::start(SIZE, 7_700).await.unwrap();
    assert!(is_served(&site, "before").await);
    let instance = &site.instances[0];
    let pid = instance.pid().expect("it runs");
    let open = instance.open_descriptors().expect("it runs") as u64;
    let limit = Some(open + SPARE_DESCRIPTORS);
    let limits = Rlimit {
        current: limit,
        maximum: limit,
    };
    let process = Pid::from_raw(i32::try_from(pid).expect("an id"));
    prlimit(process, Resource::Nofile, limits).expect("the limit of a child may be lowered");

    let cpu_before = cpu_seconds(pid);
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        // The rest waits in the listener's queue.
        let opened = timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(instance.caller_address()),
        )
        .await;
        connections.extend(opened.into_iter().flatten());
    }
    let reached = instance.open_descriptors().expect("it runs") as u64;
    assert!(reached >= open + SPARE_DESCRIPTORS, "{open} and {reached}");
    sleep(SHORTAGE).await;
    let cpu_share = (cpu_seconds(pid) - cpu_before) / SHORTAGE.as_secs_f64();
    assert!(cpu_share < MAX_CPU_SHARE, "{cpu_share} cores");
    drop(connections);

    let ended_at = Instant::now();
    while !is_served(&site, "after").await {
        assert!(ended_at.elapsed() < RECOVERY_TIME);
        sleep(Duration::from_millis(100)).await;
    }
    assert!(site.instances[0].is_running());
    assert_eq!(site.instances[0].pid(), Some(pid));
}

/// Without them, a process that had ended by itself and was started again looked like one that had run on.
#[actix_rt::test]
async fn the_metrics_show_the_start_of_the_process_and_restarts_of_tasks() {
    let site = Site::start(SIZE, 7_701).await.unwrap();
    let address = site.instances[0].metrics_address();
    let value = async |name: &str| {
        let lines = metrics(address, &format!("pinereel_hosted_{name} ")).await;
        let (_, value) = lines.first()?.rsplit_once(' ')?;
        value.parse::<f64>().ok()
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the clock is set").as_secs_f64();
    let started_at = value("process_start_time_seconds").await.expect("a value");
    assert!((now - 60.0..=now).contains(&started_at), "{started_at}");
    assert_eq!(value("task_restarts").await, Some(0.0));
}
