//! Help texts of the commands.

pub(super) const MAIN: &str = "\
pinereel: rollout service for reinforcement learning

usage: pinereel COMMAND [OPTIONS]

commands:
  entry    run an entry
  hosted   run an instance whose state the platform keeps
  config   show, check or patch the configuration
  status   print what an entry knows of the system
  drain    stop an entry gracefully

  --help, -h     help, also after each command
  --version, -V  the version

exit codes:
  0  done
  1  failed: nobody answered, or the server had an error
  2  the command line or the settings are at fault
  3  refused: a conflict, an invalid patch, or a patch that was not confirmed
  4  unknown: it may or may not have been done";

pub(super) const ENTRY: &str = "\
usage: pinereel entry --config FILE [--check]

Runs an entry until it is told to stop.

  --config FILE  settings, see docs/SETTINGS.md
  --check        read the settings, list all faults, and stop

exit codes: 0 done, 1 failed, 2 bad usage or settings";

pub(super) const HOSTED: &str = "\
usage: pinereel hosted [--config FILE] [--check]

Runs an instance whose state the platform keeps, until it is told to stop.

  --config FILE  settings, or PINEREEL_SETTINGS; see docs/SETTINGS.md
  --check        read the settings, list all faults, and stop

exit codes: 0 done, 1 failed, 2 bad usage or settings";

pub(super) const CONFIG: &str = "\
usage: pinereel config show [TARGET]
       pinereel config check --base N FILE [TARGET]
       pinereel config patch --base N [--id ID] FILE [TARGET]

  show   print the configuration in force, with its number
  check  print what the patch would give; change nothing
  patch  submit the patch; done means in force everywhere

  FILE      JSON merge patch (RFC 7396); `-` is standard input
  --base N  number that the patch was written against
  --id ID   id of the patch, made from its content if absent; a repeat with
            the same id is answered like the first and changes nothing

target:
  --operators IP:PORT  operators' address of an entry, or PINEREEL_OPERATORS
  --token-file FILE    operators' token, or PINEREEL_TOKEN_FILE
  --json               print JSON

exit codes: 0 done, 1 failed, 2 bad usage, 3 refused, 4 unknown outcome";

pub(super) const STATUS: &str = "\
usage: pinereel status [TARGET]

Prints what an entry knows of the system.

target:
  --operators IP:PORT  operators' address of an entry, or PINEREEL_OPERATORS
  --token-file FILE    operators' token, or PINEREEL_TOKEN_FILE
  --json               print JSON

exit codes: 0 done, 1 failed, 2 bad usage";

pub(super) const DRAIN: &str = "\
usage: pinereel drain [TARGET]

Tells an entry to stop gracefully: it takes no new work, finishes what is in
flight and exits.

target:
  --operators IP:PORT  operators' address of the entry, or PINEREEL_OPERATORS
  --token-file FILE    operators' token, or PINEREEL_TOKEN_FILE
  --json               print JSON

exit codes: 0 told, 1 failed, 2 bad usage, 4 unknown outcome";
