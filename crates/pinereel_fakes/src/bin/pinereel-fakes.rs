//! Runs one stand-in or tool as a process: `pinereel-fakes NAME [flags]`.

use lexopt::{Arg::Long, Parser};
use pinereel::settings::Settings;
use pinereel_fakes::{
    capacity, demo, engine, experiment, hosting, load, object_api,
    process::{self, Common, Error, value},
    service, trainer, weight_store,
};
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// One row of the table of tools.
struct Tool {
    name: &'static str,
    summary: &'static str,
    /// Help on its flags.
    flags: &'static [&'static str],
    run: fn(Parser) -> ExitCode,
}

/// A new tool is a new row here.
const TOOLS: &[Tool] = &[
    Tool {
        name: "engine",
        summary: "a model engine",
        flags: &[
            "  --address IP:PORT      listen there (default 127.0.0.1:0: any free port)
  --name NAME            its name
  --slots N              sequences it runs at once
  --tokens-per-second X  speed of a sequence that runs alone
  --swap-ms N            time of a swap of weights
  --warm-up-ms N         time after a swap at half speed
  --lag-ms N             age of the load that it reports
  --seed N               seed of its texts
  --version N            weights at the start (0: none)
  --ignore-fencing       take orders with old fencing tokens
  --max-seconds N        end by itself after N seconds (default 600)
  --until-stdin-closes   end when standard input closes
  --help                 print this",
        ],
        run: engine::process::main,
    },
    Tool {
        name: "object-api",
        summary: "the platform's object API",
        flags: &[
            "  --reads-per-second N   limit of reads, lists and begun watches (default 2000)
  --writes-per-second N  limit of creates, updates and deletes (default 400)
  --lag-ms N             lag of the list of instances (default 1000)
  --history N            changes of each kind kept for watches (default 10000)
  --records N            accepted writes kept for GET /history (default 100000)",
            process::HELP,
        ],
        run: |parser| finish(run_object_api(parser)),
    },
    Tool {
        name: "weight-store",
        summary: "the rate-limited weight store",
        flags: &[
            "  --bytes N              size of the weights of each version (default 1048576)
  --bytes-per-second N   rate of all loads together (default 104857600)
  --loads N              most loads at once (default 8)",
            process::HELP,
        ],
        run: |parser| finish(run_weight_store(parser)),
    },
    Tool {
        name: "trainer",
        summary: "a trainer; prints its report",
        flags: &["  --entry HOST:PORT      an entry to talk to; once or more
  --name NAME            its name in the configuration
  --steps N              steps to run
  --groups N             groups a step
  --samples N            samples a group
  --max-tokens N         most tokens a sample
  --train-ms N           time that a step's training takes
  --bound N              its staleness bound, in versions
  --version N            the version that it starts with
  --any-text             take texts that the engine stand-in did not make
  --deadline-ms N        time within which a step's samples are wanted
  --patience-ms N        how long a call is repeated before the run fails
  --seed N               makes lots and prompts differ between runs
  --print-samples        print each sample that is taken
  --max-seconds N        end by itself after N seconds (default 600)
  --help                 print this"],
        run: trainer::process::main,
    },
    Tool {
        name: "entry",
        summary: "an entry, as `pinereel entry` runs it",
        flags: &["  --config FILE          its settings
  --help                 print this"],
        run: run_entry,
    },
    Tool {
        name: "service",
        summary: "a plain service",
        flags: &[
            "  --incarnation N        incarnation to name on each answer (default 1)
  --records N            executions kept for GET /record (default 100000)",
            process::HELP,
        ],
        run: |parser| finish(run_service(parser)),
    },
    Tool {
        name: "experiment",
        summary: "policies against a baseline, in virtual time",
        flags: &[experiment::cli::HELP],
        run: experiment::cli::main,
    },
    Tool {
        name: "demo",
        summary: "everything on loopback, with a short summary",
        flags: &[demo::HELP],
        run: demo::main,
    },
    Tool {
        name: "load",
        summary: "open-loop load, and the latency that an entry adds",
        flags: &[load::HELP],
        run: load::main,
    },
    Tool {
        name: "soak",
        summary: "the hosted instances as real processes, under seeded faults",
        flags: &[hosting::cli::HELP],
        run: hosting::cli::main,
    },
    Tool {
        name: "fragile",
        summary: "an endpoint that crashes when a request tells it to",
        flags: &[hosting::crashing_endpoint::HELP],
        run: hosting::crashing_endpoint::main,
    },
    Tool {
        name: "capacity",
        summary: "slopes of state, messages, time and memory, and the two-year size",
        flags: &[capacity::HELP],
        run: capacity::main,
    },
];

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let name = args.next().unwrap_or_default();
    let Some(tool) = TOOLS.iter().find(|tool| name == tool.name) else {
        println!("{}", overview());
        return ExitCode::from(if name == "--help" { 0 } else { 2 });
    };
    let args: Vec<_> = args.collect();
    if args.iter().any(|arg| arg == "--help") {
        println!("{}", help(tool));
        return ExitCode::SUCCESS;
    }
    (tool.run)(Parser::from_args(args))
}

/// Runs a stand-in to its end, on this thread.
fn finish(run: impl Future<Output = Result<(), Error>>) -> ExitCode {
    match actix_rt::System::new().block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::from(if matches!(error, Error::Usage(_)) {
                2
            } else {
                1
            })
        }
    }
}

fn overview() -> String {
    let mut text = String::from("pinereel-fakes NAME [flags]; NAME --help prints the flags\n");
    for tool in TOOLS {
        text += &format!("\n  {:<14}{}", tool.name, tool.summary);
    }
    text
}

fn help(tool: &Tool) -> String {
    let flags = tool.flags.join("\n");
    format!(
        "pinereel-fakes {} [flags]: {}\n\n{flags}",
        tool.name, tool.summary
    )
}

async fn run_object_api(mut parser: Parser) -> Result<(), Error> {
    let mut options = object_api::Options::default();
    let common = Common::parse(&mut parser, |name, parser| {
        match name {
            "reads-per-second" => options.reads_per_second = value(parser)?,
            "writes-per-second" => options.writes_per_second = value(parser)?,
            "lag-ms" => options.lag = Duration::from_millis(value(parser)?),
            "history" => options.history = value(parser)?,
            "records" => options.records = value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = common.port;
    let api = object_api::Api::start(options).await?;
    common.serve(api.address).await
}

async fn run_weight_store(mut parser: Parser) -> Result<(), Error> {
    let mut options = weight_store::Options::default();
    let common = Common::parse(&mut parser, |name, parser| {
        match name {
            "bytes" => options.bytes = value(parser)?,
            "bytes-per-second" => options.bytes_per_second = value(parser)?,
            "loads" => options.loads = value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = common.port;
    let store = weight_store::Store::start(options).await?;
    common.serve(store.address).await
}

async fn run_service(mut parser: Parser) -> Result<(), Error> {
    let mut options = service::Options::default();
    let common = Common::parse(&mut parser, |name, parser| {
        match name {
            "incarnation" => options.incarnation = value(parser)?,
            "records" => options.records = value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = common.port;
    let service = service::Service::start(options).await?;
    common.serve(service.address).await
}

fn run_entry(parser: Parser) -> ExitCode {
    let result = entry_config(parser)
        .map_err(|e| e.to_string())
        .and_then(|path| Settings::load(path).map_err(|e| e.to_string()))
        .and_then(|settings| pinereel::entry::run(settings).map_err(|e| e.to_string()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn entry_config(mut parser: Parser) -> Result<PathBuf, lexopt::Error> {
    let mut path = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => path = Some(PathBuf::from(parser.value()?)),
            arg => return Err(arg.unexpected()),
        }
    }
    path.ok_or(lexopt::Error::MissingValue {
        option: Some("--config".into()),
    })
}
