//! Command line of the load tool.

use super::{
    compare,
    open_loop::{Generator, Outcome},
    target::{Kind, LoopbackAddr, Target},
};
use lexopt::{Arg, Parser, ValueExt as _};
use serde_json::{Value, json};
use std::{net::SocketAddr, process::ExitCode, time::Duration};

/// Help text of the flags.
pub const HELP: &str = "  --embedded             start stand-ins and an entry, and compare the two
  --no-decisions         the embedded entry logs no decisions
  --target IP:PORT       an entry on loopback
  --direct IP:PORT       the endpoint behind it, for direct calls in turn
  --kind completion|service  what to ask (default service)
  --pool NAME            pool that the entry is asked for (default orders-app)
  --rate N               requests a second, at most 50000 (default 100)
  --seconds N            how long, at most 300 (default 5)
  --connections N        connections, at most 1024 (default 16)
  --json                 print JSON
  --help                 print this

  Latency counts from the intended time of each request. Exit code: 0 if every request had its whole
  answer, 1 if not, 2 if a flag is wrong.";

/// Maximum value of `--rate`, in requests per second.
const MAX_RATE: u32 = 50_000;
/// Maximum value of `--seconds`.
const MAX_SECONDS: u64 = 300;
/// Maximum value of `--connections`.
const MAX_CONNECTIONS: usize = 1_024;

/// Options given on the command line.
struct Options {
    embedded: bool,
    decisions: bool,
    target: Option<SocketAddr>,
    direct: Option<SocketAddr>,
    kind: Kind,
    pool: String,
    rate: u32,
    seconds: u64,
    connections: usize,
    json: bool,
}

/// Runs the tool as a process.
pub fn main(parser: Parser) -> ExitCode {
    let options = match parse(parser) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("load: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let run = async {
        match options.target {
            Some(target) => Ok(load_running(&options, target).await),
            None => run_embedded(&options).await,
        }
    };
    match actix_rt::System::new().block_on(run) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_embedded(options: &Options) -> std::io::Result<bool> {
    let comparison = compare::run(options.decisions).await?;
    if options.json {
        println!("{}", json!(comparison));
    } else {
        print!("{}", comparison.table());
    }
    Ok(comparison.succeeded())
}

/// Loads a running entry, and if given the endpoint behind it. Returns whether every request had a
/// complete response.
async fn load_running(options: &Options, target: SocketAddr) -> bool {
    let sides = [("entry", Some(target)), ("direct", options.direct)];
    let mut sides: Vec<_> = sides
        .into_iter()
        .filter_map(|(name, address)| {
            Some((name, generator(options, name, address?), Outcome::default()))
        })
        .collect();
    // The sides take turns every second, so that both are measured under the same conditions.
    for _ in 0..options.seconds {
        for (_, generator, outcome) in &mut sides {
            outcome.add(&generator.run(options.rate, Duration::from_secs(1)).await);
        }
    }
    for (name, _, outcome) in &sides {
        print_outcome(options.json, name, outcome);
    }
    sides.iter().all(|(_, _, outcome)| outcome.failed == 0)
}

fn generator(options: &Options, name: &str, address: SocketAddr) -> Generator {
    let target = Target {
        address,
        kind: options.kind,
        pool: (name == "entry").then(|| options.pool.clone()),
    };
    Generator::new(target, options.connections)
}

fn print_outcome(as_json: bool, name: &str, outcome: &Outcome) {
    let figures: Value = json!({
        "side": name,
        "answers": outcome.latency.len(),
        "failed": outcome.failed,
        "rate": outcome.rate(),
        "p50_us": outcome.latency_us(0.5),
        "p99_us": outcome.latency_us(0.99),
        "max_us": outcome.latency.max(),
    });
    if as_json {
        println!("{figures}");
        return;
    }
    println!(
        "{name}: {} answers ({:.0}/s), {} failed, p50 {} us, p99 {} us, max {} us",
        outcome.latency.len(),
        outcome.rate(),
        outcome.failed,
        outcome.latency_us(0.5),
        outcome.latency_us(0.99),
        outcome.latency.max()
    );
}

fn parse(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options {
        embedded: false,
        decisions: true,
        target: None,
        direct: None,
        kind: Kind::Service,
        pool: "orders-app".into(),
        rate: 100,
        seconds: 5,
        connections: 16,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        let Arg::Long(name) = arg else {
            return Err(arg.unexpected());
        };
        match name {
            "embedded" => options.embedded = true,
            "no-decisions" => options.decisions = false,
            "json" => options.json = true,
            "target" => options.target = Some(parser.value()?.parse::<LoopbackAddr>()?.0),
            "direct" => options.direct = Some(parser.value()?.parse::<LoopbackAddr>()?.0),
            "kind" => options.kind = parser.value()?.parse()?,
            "pool" => options.pool = parser.value()?.string()?,
            "rate" => options.rate = parser.value()?.parse()?,
            "seconds" => options.seconds = parser.value()?.parse()?,
            "connections" => options.connections = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    let within_limits = (1..=MAX_RATE).contains(&options.rate)
        && (1..=MAX_SECONDS).contains(&options.seconds)
        && (1..=MAX_CONNECTIONS).contains(&options.connections);
    if !within_limits {
        return Err("--rate, --seconds or --connections is out of range".into());
    }
    if options.embedded == options.target.is_some() {
        return Err("exactly one of --embedded and --target must be given".into());
    }
    Ok(options)
}
