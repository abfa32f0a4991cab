//! Runs one fake or tool as a process: `pinereel-fakes NAME [flags]`.

use lexopt::{Arg::Long, Parser};
use pinereel::settings::Settings;
use pinereel_fakes::{
    capacity,
    child_process::{BOUND_TO_PARENT, exec_bound_to_parent},
    cli::{self, CommonFlags, Error, parse_value},
    demo, engine, experiment, hosting, load, object_api, service, trainer, weight_store,
};
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// A subcommand.
struct Tool {
    name: &'static str,
    /// One line for the list of tools.
    summary: &'static str,
    /// Help text for its flags, in blocks that are printed one after the other.
    flags_help: &'static [&'static str],
    run: fn(Parser) -> ExitCode,
}

/// All subcommands, in the order in which they are listed.
const TOOLS: &[Tool] = &[
    Tool {
        name: "engine",
        summary: "a model engine",
        flags_help: &[
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
        flags_help: &[
            "  --reads-per-second N   limit of reads, lists and begun watches (default 2000)
  --writes-per-second N  limit of creates, updates and deletes (default 400)
  --lag-ms N             lag of the list of instances (default 1000)
  --history N            changes of each kind kept for watches (default 10000)
  --records N            accepted writes kept for GET /history (default 100000)",
            cli::COMMON_FLAGS_HELP,
        ],
        run: |parser| block_on(run_object_api(parser)),
    },
    Tool {
        name: "weight-store",
        summary: "the rate-limited weight store",
        flags_help: &[
            "  --bytes N              size of the weights of each version (default 1048576)
  --bytes-per-second N   rate of all loads together (default 104857600)
  --loads N              most loads at once (default 8)",
            cli::COMMON_FLAGS_HELP,
        ],
        run: |parser| block_on(run_weight_store(parser)),
    },
    Tool {
        name: "trainer",
        summary: "a trainer; prints its report",
        flags_help: &["  --entry HOST:PORT      an entry to talk to; once or more
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
        run: trainer::cli::main,
    },
    Tool {
        name: "entry",
        summary: "an entry, as `pinereel entry` runs it",
        flags_help: &["  --config FILE          its settings
  --help                 print this"],
        run: run_entry,
    },
    Tool {
        name: "service",
        summary: "a plain service",
        flags_help: &[
            "  --incarnation N        incarnation to name on each answer (default 1)
  --records N            executions kept for GET /record (default 100000)",
            cli::COMMON_FLAGS_HELP,
        ],
        run: |parser| block_on(run_service(parser)),
    },
    Tool {
        name: "experiment",
        summary: "policies against a baseline, in virtual time",
        flags_help: &[experiment::cli::HELP],
        run: experiment::cli::main,
    },
    Tool {
        name: "demo",
        summary: "everything on loopback, with a short summary",
        flags_help: &[demo::HELP],
        run: demo::main,
    },
    Tool {
        name: "load",
        summary: "open-loop load, and the latency that an entry adds",
        flags_help: &[load::HELP],
        run: load::main,
    },
    Tool {
        name: "soak",
        summary: "the hosted instances as real processes, under seeded faults",
        flags_help: &[hosting::cli::HELP],
        run: hosting::cli::main,
    },
    Tool {
        name: "fragile",
        summary: "an endpoint that crashes when a request tells it to",
        flags_help: &[hosting::crashing_endpoint::HELP],
        run: hosting::crashing_endpoint::main,
    },
    Tool {
        name: "capacity",
        summary: "slopes of state, messages, time and memory, and the two-year size",
        flags_help: &[capacity::HELP],
        run: capacity::main,
    },
];

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let name = args.next().unwrap_or_default();
    if name == BOUND_TO_PARENT {
        // Not a tool: all further arguments are those of another program.
        return exec_bound_to_parent(args);
    }
    let Some(tool) = TOOLS.iter().find(|tool| name == tool.name) else {
        println!("{}", usage());
        return ExitCode::from(if name == "--help" { 0 } else { 2 });
    };
    let args: Vec<_> = args.collect();
    if args.iter().any(|arg| arg == "--help") {
        println!("{}", tool_help(tool));
        return ExitCode::SUCCESS;
    }
    (tool.run)(Parser::from_args(args))
}

/// Runs a fake on this thread until it exits.
fn block_on(run: impl Future<Output = Result<(), Error>>) -> ExitCode {
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

fn usage() -> String {
    let mut text = String::from("pinereel-fakes NAME [flags]; NAME --help prints the flags\n");
    for tool in TOOLS {
        text += &format!("\n  {:<14}{}", tool.name, tool.summary);
    }
    text
}

fn tool_help(tool: &Tool) -> String {
    let flags = tool.flags_help.join("\n");
    format!(
        "pinereel-fakes {} [flags]: {}\n\n{flags}",
        tool.name, tool.summary
    )
}

async fn run_object_api(mut parser: Parser) -> Result<(), Error> {
    let mut options = object_api::Options::default();
    let flags = CommonFlags::parse(&mut parser, |name, parser| {
        match name {
            "reads-per-second" => options.reads_per_second = parse_value(parser)?,
            "writes-per-second" => options.writes_per_second = parse_value(parser)?,
            "lag-ms" => options.lag = Duration::from_millis(parse_value(parser)?),
            "history" => options.max_watch_changes = parse_value(parser)?,
            "records" => options.max_records = parse_value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = flags.port;
    let api = object_api::Api::start(options).await?;
    flags.run_until_stopped(api.address).await
}

async fn run_weight_store(mut parser: Parser) -> Result<(), Error> {
    let mut options = weight_store::Options::default();
    let flags = CommonFlags::parse(&mut parser, |name, parser| {
        match name {
            "bytes" => options.weight_bytes = parse_value(parser)?,
            "bytes-per-second" => options.bytes_per_second = parse_value(parser)?,
            "loads" => options.max_loads = parse_value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = flags.port;
    let store = weight_store::Store::start(options).await?;
    flags.run_until_stopped(store.address).await
}

async fn run_service(mut parser: Parser) -> Result<(), Error> {
    let mut options = service::Options::default();
    let flags = CommonFlags::parse(&mut parser, |name, parser| {
        match name {
            "incarnation" => options.incarnation = parse_value(parser)?,
            "records" => options.max_executions = parse_value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    options.port = flags.port;
    let service = service::Service::start(options).await?;
    flags.run_until_stopped(service.address).await
}

fn run_entry(parser: Parser) -> ExitCode {
    let result = parse_config_path(parser)
        .map_err(|e| e.to_string())
        .and_then(|path| Settings::load(path).map_err(|e| e.to_string()))
        .and_then(|settings| {
            pinereel::entry::run(settings, pinereel::signals::Flag::default())
                .map_err(|e| e.to_string())
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_config_path(mut parser: Parser) -> Result<PathBuf, lexopt::Error> {
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
