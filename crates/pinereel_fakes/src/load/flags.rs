//! The load tool's command line.

use super::{
    compare,
    open_loop::{Outcome, Source},
    target::{Kind, Loopback, Target},
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

const MAX_RATE: u32 = 50_000;
const MAX_SECONDS: u64 = 300;
const MAX_CONNECTIONS: usize = 1_024;

/// What the command line asks for.
struct Flags {
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
    let flags = match parse(parser) {
        Ok(flags) => flags,
        Err(error) => {
            eprintln!("load: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let run = async {
        match flags.target {
            Some(target) => Ok(outside(&flags, target).await),
            None => embedded(&flags).await,
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

async fn embedded(flags: &Flags) -> std::io::Result<bool> {
    let comparison = compare::run(flags.decisions).await?;
    if flags.json {
        println!("{}", json!(comparison));
    } else {
        print!("{}", comparison.text());
    }
    Ok(comparison.whole())
}

/// Loads what runs already. Returns whether every request had its whole answer.
async fn outside(flags: &Flags, target: SocketAddr) -> bool {
    let sides = [("entry", Some(target)), ("direct", flags.direct)];
    let mut sides: Vec<_> = sides
        .into_iter()
        .filter_map(|(name, address)| {
            Some((name, source(flags, name, address?), Outcome::default()))
        })
        .collect();
    // Second by second in turn, so that both sides see the same machine.
    for _ in 0..flags.seconds {
        for (_, source, outcome) in &mut sides {
            outcome.add(&source.run(flags.rate, Duration::from_secs(1)).await);
        }
    }
    for (name, _, outcome) in &sides {
        print(flags.json, name, outcome);
    }
    sides.iter().all(|(_, _, outcome)| outcome.failed == 0)
}

fn source(flags: &Flags, name: &str, address: SocketAddr) -> Source {
    let target = Target {
        address,
        kind: flags.kind,
        pool: (name == "entry").then(|| flags.pool.clone()),
    };
    Source::new(target, flags.connections)
}

fn print(as_json: bool, name: &str, outcome: &Outcome) {
    let figures: Value = json!({
        "side": name,
        "answers": outcome.latency.len(),
        "failed": outcome.failed,
        "rate": outcome.rate(),
        "p50_us": outcome.micros(0.5),
        "p99_us": outcome.micros(0.99),
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
        outcome.micros(0.5),
        outcome.micros(0.99),
        outcome.latency.max()
    );
}

fn parse(mut parser: Parser) -> Result<Flags, lexopt::Error> {
    let mut flags = Flags {
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
            "embedded" => flags.embedded = true,
            "no-decisions" => flags.decisions = false,
            "json" => flags.json = true,
            "target" => flags.target = Some(parser.value()?.parse::<Loopback>()?.0),
            "direct" => flags.direct = Some(parser.value()?.parse::<Loopback>()?.0),
            "kind" => flags.kind = parser.value()?.parse()?,
            "pool" => flags.pool = parser.value()?.string()?,
            "rate" => flags.rate = parser.value()?.parse()?,
            "seconds" => flags.seconds = parser.value()?.parse()?,
            "connections" => flags.connections = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    let bounded = (1..=MAX_RATE).contains(&flags.rate)
        && (1..=MAX_SECONDS).contains(&flags.seconds)
        && (1..=MAX_CONNECTIONS).contains(&flags.connections);
    if !bounded {
        return Err("rate, seconds or connections out of bounds".into());
    }
    if flags.embedded == flags.target.is_some() {
        return Err("either --embedded or --target".into());
    }
    Ok(flags)
}
