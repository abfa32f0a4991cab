//! The subcommand `soak` of `pinereel-fakes`: runs the soak test with one seed after another.

use super::soak::{Options, Report, run};
use lexopt::{Arg::Long, Parser};
use std::{fs, io, path::PathBuf, process::ExitCode, time::Duration};

/// Help text for the flags.
pub const HELP: &str = "  --seed N               first seed (default 1)
  --runs N               seeds to run, one after the other (default 1)
  --seconds N            how long faults go on in each (default 20)
  --instances N          instances of pinereel (default 4)
  --engines N            model engines (default 4)
  --services N           endpoints of the plain service (default 3)
  --callers N            live callers of each kind (default 4)
  --pause-ms N           mean pause between two faults (default 900)
  --crashing             requests come that crash the endpoints that run them
  --crowds               crowds of clients exhaust the memory and the connections of instances
  --cuts                 links to endpoints are cut, and the store is silent to the root of the tree
  --configurations       the configuration changes three times a second, beside faults of the store and its readers
  --copies               endpoints send late copies of answers, and lots end beside freezes
  --starts               signals, incomplete settings, held ports and predecessors meet processes that start
  --foreign              entries of another writer come and go in the store
  --logs FOLDER          where the logs of failed seeds are written
  --help                 print this";

struct Flags {
    options: Options,
    /// Number of seeds to run.
    runs: u64,
    /// Folder for the logs of failed seeds.
    log_folder: Option<PathBuf>,
}

/// Runs the soak test with each seed. The exit code is 1 if a seed violated a guarantee or could
/// not run, and 2 if the flags are invalid.
pub fn main(parser: Parser) -> ExitCode {
    let flags = match parse_flags(parser) {
        Ok(flags) => flags,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let mut failed = Vec::new();
    for seed in flags.options.seed..flags.options.seed + flags.runs {
        let options = Options {
            seed,
            ..flags.options
        };
        match actix_rt::System::new().block_on(run(options)) {
            Ok(report) => {
                println!("{report}");
                if !report.violations.is_empty() {
                    failed.push(seed);
                    if let Err(error) = write_log(&flags, &report) {
                        eprintln!("pinereel-fakes: logs of seed {seed}: {error}");
                    }
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed.push(seed);
            }
        }
    }
    println!(
        "{} of {} seeds failed: {failed:?}",
        failed.len(),
        flags.runs
    );
    ExitCode::from(u8::from(!failed.is_empty()))
}

/// Writes the violations, faults and logs of a failed seed to a file, if the flags name a folder.
fn write_log(flags: &Flags, report: &Report) -> io::Result<()> {
    let Some(folder) = &flags.log_folder else {
        return Ok(());
    };
    fs::create_dir_all(folder)?;
    let mut text = format!("{report}\n\nbroken:\n{}\n", report.violations.join("\n"));
    text += &format!("\ninjected:\n{}\n", report.injected_faults.join("\n"));
    text += &format!("\nlogs:\n{}\n", report.logs.join("\n"));
    fs::write(folder.join(format!("seed-{}.log", report.seed)), text)
}

fn parse_flags(mut parser: Parser) -> Result<Flags, lexopt::Error> {
    let mut options = Options::default();
    let (mut runs, mut log_folder) = (1, None);
    while let Some(arg) = parser.next()? {
        let Long(name) = arg else {
            return Err(arg.unexpected());
        };
        let name = name.to_owned();
        if name == "logs" {
            log_folder = Some(PathBuf::from(parser.value()?));
            continue;
        }
        if name == "crashing" {
            options.crashing_requests = true;
            continue;
        }
        if name == "copies" {
            options.late_copies = true;
            continue;
        }
        if name == "crowds" {
            options.crowds = true;
            continue;
        }
        if name == "configurations" {
            options.config_changes = true;
            continue;
        }
        if name == "starts" {
            options.start_faults = true;
            continue;
        }
        if name == "foreign" {
            options.foreign_entries = true;
            continue;
        }
        if name == "cuts" {
            options.link_cuts = true;
            continue;
        }
        let number: u64 = crate::cli::parse_value(&mut parser)?;
        let count = usize::try_from(number).unwrap_or(usize::MAX);
        match name.as_str() {
            "seed" => options.seed = number,
            "runs" => runs = number,
            "seconds" => options.duration = Duration::from_secs(number),
            "instances" => options.size.instances = count,
            "engines" => options.size.engines = count,
            "services" => options.size.services = count,
            "callers" => options.callers_per_kind = count,
            "pause-ms" => options.mean_pause = Duration::from_millis(number.max(4)),
            _ => return Err(Long(&name).unexpected()),
        }
    }
    Ok(Flags {
        options,
        runs,
        log_folder,
    })
}
