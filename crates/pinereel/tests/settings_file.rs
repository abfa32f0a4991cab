//! Settings file: defaults, all keys, and each kind of validation error.

use pinereel::settings::{Error, Secret, Settings};
use std::{
    fs,
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
};

const MINIMAL_SETTINGS: &str = "\
[entry]
name = entry-1
zone = toledo-hall
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
operators = 127.0.0.1:8082

[object_api]
url = http://127.0.0.1:9000/

[secrets]
operator_token_file = token
peer_secret_file = secret
";

/// Creates a directory for one test, with a token file and a secret file.
fn test_folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).expect("a folder");
    write(&folder.join("token"), "  operators-token-1\n", 0o600);
    write(&folder.join("secret"), "peers-secret-0001", 0o640);
    folder
}

fn write(path: &Path, text: &str, mode: u32) {
    fs::write(path, text).expect("a file");
    fs::set_permissions(path, fs::Permissions::from_mode(mode)).expect("its mode");
}

/// The validation errors of `text`, without the directory's name.
fn validation_errors(test: &str, text: &str) -> String {
    let folder = test_folder(test);
    let errors = Settings::parse(folder.join("pinereel.ini"), text).expect_err("faults");
    let prefix = format!("{}/", folder.display());
    errors.to_string().replace(&prefix, "")
}

#[test]
fn missing_keys_have_defaults() {
    let folder = test_folder("defaults");
    let settings = Settings::parse(folder.join("pinereel.ini"), MINIMAL_SETTINGS).unwrap();
    assert_eq!(
        settings.secrets.operator_token.reveal(),
        "operators-token-1"
    );
    assert_eq!(settings.secrets.peer_secret.reveal(), "peers-secret-0001");
    insta::assert_snapshot!(format!("{settings:#?}"), @r#"
    Settings {
        entry: Entry {
            name: "entry-1",
            zone: "toledo-hall",
            callers: 127.0.0.1:8080,
            peers: 127.0.0.1:8081,
            operators: 127.0.0.1:8082,
            advertise_callers: None,
            advertise_peers: None,
        },
        object_api: ObjectApi {
            url: "http://127.0.0.1:9000",
            max_concurrency: 8,
            timeout: 2s,
            reads_per_second: 20,
            writes_per_second: 10,
        },
        secrets: Secrets {
            operator_token: Secret(..),
            peer_secret: Secret(..),
        },
        drain: Drain {
            balancer_lag: 3s,
            longest: 30s,
        },
        log: Log {
            level: Info,
            file: None,
            stdout: false,
            queue: 8192,
            decisions: true,
        },
        limits: Limits {
            connections: 4096,
            read_timeout: 5s,
            body: 1048576,
            memory: 268435456,
            waiting: 1024,
            peer_queue: 256,
            lots: 64,
            sample_memory: 67108864,
        },
        policy: Policy {
            routing: Full,
            zone_local: true,
            prefix_affinity: true,
            subset: 64,
        },
        data: None,
    }
    "#);
}

#[test]
fn every_key_is_parsed() {
    let text = MINIMAL_SETTINGS.to_owned()
        + "
[drain]
balancer_lag = 250ms
longest = 2m
[log]
level = debug
file = logs/entry.log
queue = 16
decisions = false
[limits]
connections = 10
read_timeout = 1s
body = 64KiB
memory = 300MiB
waiting = 7
peer_queue = 9
lots = 3
sample_memory = 1GiB
[policy]
routing = baseline
zone_local = false
prefix_affinity = false
subset = 5
[data]
folder = /var/lib/pinereel
";
    let folder = test_folder("every_key");
    let settings = Settings::parse(folder.join("pinereel.ini"), &text).unwrap();
    assert_eq!(settings.log.file, Some(folder.join("logs/entry.log")));
    let Settings {
        drain,
        limits,
        policy,
        data,
        ..
    } = settings;
    insta::assert_snapshot!(format!("{drain:?}\n{limits:?}\n{policy:?}\n{data:?}"), @r#"
    Drain { balancer_lag: 250ms, longest: 120s }
    Limits { connections: 10, read_timeout: 1s, body: 65536, memory: 314572800, waiting: 7, peer_queue: 9, lots: 3, sample_memory: 1073741824 }
    Policy { routing: Baseline, zone_local: false, prefix_affinity: false, subset: 5 }
    Some("/var/lib/pinereel")
    "#);
}

#[test]
fn an_empty_file_reports_all_required_keys() {
    insta::assert_snapshot!(validation_errors("empty", ""), @r#"
    pinereel.ini:1: [entry] name: missing, expected 1 to 63 of a-z, 0-9, `-`, `.` and `_`, starting with a-z or 0-9
    pinereel.ini:1: [entry] zone: missing, expected 1 to 63 of a-z, 0-9, `-`, `.` and `_`, starting with a-z or 0-9
    pinereel.ini:1: [entry] callers: missing, expected IP:PORT
    pinereel.ini:1: [entry] peers: missing, expected IP:PORT
    pinereel.ini:1: [entry] operators: missing, expected IP:PORT
    pinereel.ini:1: [object_api] url: missing, expected http://IP:PORT
    pinereel.ini:1: [secrets] operator_token_file: missing, expected path of a secret's file
    pinereel.ini:1: [secrets] peer_secret_file: missing, expected path of a secret's file
    "#);
}

#[test]
fn unknown_and_duplicate_keys_and_sections_are_reported() {
    let text = MINIMAL_SETTINGS.replace(
        "[object_api]",
        "colour = red\nzone = erie-hall\n[object_api]",
    ) + "[entry]\n[drian]\nlongest = 3s\n";
    insta::assert_snapshot!(validation_errors("unknown", &text), @r#"
    pinereel.ini:8: [entry] colour: given "red", expected one of advertise_callers, advertise_peers, callers, name, operators, peers, zone
    pinereel.ini:9: [entry] zone: given "erie-hall", expected each key once (first on line 3)
    pinereel.ini:16: [entry]: given "[entry]", expected each section once
    pinereel.ini:17: [drian]: given "[drian]", expected one of data, drain, entry, limits, log, object_api, policy, secrets
    "#);
}

#[test]
fn a_key_before_the_first_section_is_reported() {
    insta::assert_snapshot!(validation_errors("general", &format!("name = a\n{MINIMAL_SETTINGS}")), @r#"
    pinereel.ini:1: [] name: given "a", expected a section before the first key
    "#);
}

#[test]
fn invalid_values_are_reported_with_what_is_expected() {
    let text = MINIMAL_SETTINGS
        .replace("entry-1", "Entry 1")
        .replace("127.0.0.1:8081", "localhost:8081")
        .replace("http://127.0.0.1:9000/", "https://127.0.0.1:9000")
        + "
[drain]
balancer_lag = 3
longest = 5 s
[log]
level = loud
queue = 0
decisions = yes
[limits]
connections = 1000001
read_timeout = 2d
body = 64KB
sample_memory = 2GiB
lots = -1
waiting =
[policy]
routing = best
";
    insta::assert_snapshot!(validation_errors("bad_values", &text), @r#"
    pinereel.ini:2: [entry] name: given "Entry 1", expected 1 to 63 of a-z, 0-9, `-`, `.` and `_`, starting with a-z or 0-9
    pinereel.ini:5: [entry] peers: given "localhost:8081", expected IP:PORT
    pinereel.ini:9: [object_api] url: given "https://127.0.0.1:9000", expected http://IP:PORT
    pinereel.ini:16: [drain] balancer_lag: given "3", expected a duration (ms, s, m, h) from 0ns to 3600s
    pinereel.ini:17: [drain] longest: given "5 s", expected a duration (ms, s, m, h) from 1ms to 3600s
    pinereel.ini:19: [log] level: given "loud", expected off, error, warn, info, debug or trace
    pinereel.ini:20: [log] queue: given "0", expected a number from 1 to 1000000
    pinereel.ini:21: [log] decisions: given "yes", expected true or false
    pinereel.ini:23: [limits] connections: given "1000001", expected a number from 1 to 1000000
    pinereel.ini:24: [limits] read_timeout: given "2d", expected a duration (ms, s, m, h) from 1ms to 3600s
    pinereel.ini:25: [limits] body: given "64KB", expected a size (B, MB, KiB, MiB, GiB) from 1KiB to 1GiB
    pinereel.ini:26: [limits] sample_memory: given "2GiB", expected a size (B, MB, KiB, MiB, GiB) from 1KiB to 1GiB
    pinereel.ini:27: [limits] lots: given "-1", expected a number from 1 to 1000000
    pinereel.ini:28: [limits] waiting: given "", expected a number from 1 to 1000000
    pinereel.ini:30: [policy] routing: given "best", expected full or baseline
    "#);
}

#[test]
fn a_drain_shorter_than_the_balancer_lag_is_reported() {
    let text = MINIMAL_SETTINGS.to_owned() + "[drain]\nbalancer_lag = 9s\nlongest = 8s\n";
    insta::assert_snapshot!(validation_errors("short_drain", &text), @r#"
    pinereel.ini:16: [drain] longest: given "8s", expected no shorter than balancer_lag
    "#);
}

#[test]
fn listeners_with_the_same_address_are_reported() {
    let text = MINIMAL_SETTINGS
        .replace("127.0.0.1:8081", "127.0.0.1:8080")
        .replace("127.0.0.1:8082", "0.0.0.0:8080");
    insta::assert_snapshot!(validation_errors("clash", &text), @r#"
    pinereel.ini:5: [entry] peers: given "127.0.0.1:8080", expected an address that callers does not use
    pinereel.ini:6: [entry] operators: given "0.0.0.0:8080", expected an address that callers does not use
    "#);
    let text = MINIMAL_SETTINGS
        .replace(":8080", ":0")
        .replace(":8081", ":0");
    let folder = test_folder("clash");
    Settings::parse(folder.join("pinereel.ini"), &text).unwrap();
}

#[test]
fn an_advertised_address_must_be_connectable() {
    let text = MINIMAL_SETTINGS
        .replace("127.0.0.1:8080", "0.0.0.0:8080")
        .replace("[object_api]", "advertise_peers = 10.0.0.1:0\n[object_api]");
    insta::assert_snapshot!(validation_errors("advertise", &text), @r#"
    pinereel.ini:1: [entry] advertise_callers: missing, expected IP:PORT that others can connect to
    pinereel.ini:8: [entry] advertise_peers: given "10.0.0.1:0", expected IP:PORT that others can connect to
    "#);
}

#[test]
fn missing_short_and_readable_secrets_are_reported() {
    let name = "secrets";
    let folder = test_folder(name);
    write(&folder.join("open"), "operators-token-1", 0o644);
    write(&folder.join("short"), "   too-short    \n", 0o600);
    let open = MINIMAL_SETTINGS
        .replace("= token", "= open")
        .replace("= secret", "= short");
    insta::assert_snapshot!(validation_errors(name, &open), @r#"
    pinereel.ini:12: [secrets] operator_token_file: given "open", expected a file closed to other users (its mode is 0644; use chmod o-rw)
    pinereel.ini:13: [secrets] peer_secret_file: given "short", expected a file with at least 16 bytes (it has 9)
    "#);
    let missing = MINIMAL_SETTINGS.replace("= token", "= nowhere");
    insta::assert_snapshot!(validation_errors(name, &missing), @r#"
    pinereel.ini:12: [secrets] operator_token_file: given "nowhere", expected a readable file (No such file or directory (os error 2))
    "#);
}

#[test]
fn a_file_that_is_not_ini_is_reported() {
    insta::assert_snapshot!(validation_errors("not_ini", "[entry\nname = a\n"), @r#"
    pinereel.ini:3: []: given "", expected INI: expecting "[Some(']')]" but found EOF.
    "#);
}

#[test]
fn a_load_error_names_the_file() {
    let path = test_folder("load").join("nowhere.ini");
    let error = Settings::load(&path).unwrap_err();
    assert!(matches!(error, Error::Read { path: failed, .. } if failed == path));
}

#[test]
fn debug_output_hides_secrets() {
    let folder = test_folder("debug");
    let settings = Settings::parse(folder.join("pinereel.ini"), MINIMAL_SETTINGS).unwrap();
    let debug_output = format!("{settings:?}");
    assert!(
        !debug_output.contains("operators-token-1") && !debug_output.contains("peers-secret-0001")
    );
}

#[test]
fn a_secret_matches_itself_after_its_prefix_and_nothing_else() {
    let secret = Secret::new("0123456789abcdef");
    assert!(secret.matches("Bearer ", b"Bearer 0123456789abcdef"));
    assert!(secret.matches("", b"0123456789abcdef"));
    for wrong in [
        "",
        "0123456789abcdeF",
        "0123456789abcde",
        "0123456789abcdef0",
        "Bearer 0123456789abcdef",
    ] {
        assert!(!secret.matches("", wrong.as_bytes()), "{wrong}");
    }
}
