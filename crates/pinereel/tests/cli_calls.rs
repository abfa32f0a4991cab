//! Requests, output and exit codes of the commands, against a fake entry with scripted responses.

use pinereel::cli::{self, ExitCode};
use pinereel_platform::adapter;
use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
    thread,
};

/// How the fake entry responds to one request.
enum ScriptedResponse {
    Send(u16, &'static str),
    /// Sends these bytes and closes the connection.
    SendRaw(&'static str),
    /// Reads the request and closes the connection without a response.
    Disconnect,
}

fn folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cli_calls");
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Writes a file that only its owner may read and returns its path.
fn file(name: &str, text: &str) -> String {
    let path = folder().join(name);
    fs::write(&path, text).expect("a file");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("its mode");
    path.to_str().expect("a plain path").to_owned()
}

/// Reads one request; returns its request line, authorization and body.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request line");
    let (mut length, mut bearer) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        let lower = line.trim().to_ascii_lowercase();
        match lower.split_once(": ") {
            Some(("content-length", value)) => length = value.parse().expect("a length"),
            Some(("authorization", value)) => bearer = value.to_owned(),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    let body = String::from_utf8(body).expect("text");
    format!("{} [{bearer}] {body}", first.trim())
}

/// Starts a fake entry that handles one request per item of `script` and returns what it received.
fn start_fake_entry(
    script: Vec<ScriptedResponse>,
) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let serve = move || {
        let mut received = Vec::new();
        for response in script {
            let (mut stream, _) = listener.accept().expect("a call");
            received.push(read_request(&stream));
            let answer = match response {
                ScriptedResponse::Send(status, body) => {
                    let length = body.len();
                    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n");
                    format!("{head}connection: close\r\n\r\n{body}")
                }
                ScriptedResponse::SendRaw(answer) => answer.to_owned(),
                ScriptedResponse::Disconnect => continue,
            };
            stream.write_all(answer.as_bytes()).expect("sent");
        }
        received
    };
    (address, thread::spawn(serve))
}

/// Runs `line` against `address`; returns the exit code, and standard output with standard error.
fn run(line: &str, address: SocketAddr) -> (ExitCode, String) {
    let token = file(&format!("token-{}", address.port()), "operators-token-1\n");
    let env = |name: &str| match name {
        cli::OPERATORS_VAR => Some(address.to_string().into()),
        cli::TOKEN_FILE_VAR => Some(token.clone().into()),
        _ => None,
    };
    let command = cli::parse(line.split_whitespace(), env).expect("a command");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(command, adapter(), &mut out, &mut err);
    let text = [out, err].concat();
    let text = String::from_utf8(text).expect("text");
    (exit, text.replace(&address.to_string(), "ENTRY"))
}

/// Runs `line` against `script`; returns the requests, the exit code and the output.
fn run_against(line: &str, script: Vec<ScriptedResponse>) -> String {
    let (address, served) = start_fake_entry(script);
    let (exit, text) = run(line, address);
    let calls = served.join().expect("all calls arrived");
    format!("{}\n{exit:?}\n{text}", calls.join("\n"))
}

#[test]
fn show_prints_the_configuration() {
    let answer = r#"{"number":7,"document":{"pools":{}}}"#;
    insta::assert_snapshot!(run_against("config show", vec![ScriptedResponse::Send(200, answer)]), @r#"
    GET /v1/config HTTP/1.1 [bearer operators-token-1] 
    Done
    configuration 7
    {
      "pools": {}
    }
    "#);
    insta::assert_snapshot!(run_against("config show --json", vec![ScriptedResponse::Send(200, answer)]), @r#"
    GET /v1/config HTTP/1.1 [bearer operators-token-1] 
    Done
    {
      "number": 7,
      "document": {
        "pools": {}
      }
    }
    "#);
}

#[test]
fn check_prints_the_resulting_document() {
    let patch = file("check.json", r#"{"pools":{"a":null}}"#);
    let answer = r#"{"document":{"pools":{}}}"#;
    let line = format!("config check --base 7 --id mine {patch}");
    insta::assert_snapshot!(run_against(&line, vec![ScriptedResponse::Send(200, answer)]), @r#"
    POST /v1/config/check HTTP/1.1 [bearer operators-token-1] {"base":7,"id":"mine","merge":{"pools":{"a":null}}}
    Done
    the patch is valid and would give
    {
      "pools": {}
    }
    "#);
}

#[test]
fn a_call_without_an_answer_is_retried_with_the_same_id() {
    let patch = file("lost.json", r#"{"pools":{"a":null}}"#);
    let line = format!("config patch --base 7 {patch}");
    let script = vec![
        ScriptedResponse::Disconnect,
        ScriptedResponse::Send(200, r#"{"number":8}"#),
    ];
    insta::assert_snapshot!(run_against(&line, script), @r#"
    POST /v1/config HTTP/1.1 [bearer operators-token-1] {"base":7,"id":"patch-0a65c56c012f9a98780ae4b7d7c07c30","merge":{"pools":{"a":null}}}
    POST /v1/config HTTP/1.1 [bearer operators-token-1] {"base":7,"id":"patch-0a65c56c012f9a98780ae4b7d7c07c30","merge":{"pools":{"a":null}}}
    Done
    configuration 8 is in force
    "#);
}

#[test]
fn a_call_without_any_answer_has_an_unknown_outcome() {
    let patch = file("unknown.json", "{}");
    let line = format!("config patch --base 7 --id mine {patch}");
    let no_answers = || {
        vec![
            ScriptedResponse::Disconnect,
            ScriptedResponse::Disconnect,
            ScriptedResponse::Disconnect,
            ScriptedResponse::Disconnect,
        ]
    };
    assert!(run_against(&line, no_answers()).contains("Unknown"));
    assert!(run_against("drain", no_answers()).contains("Unknown"));
    // The entry reads one request and stops listening: that request may have been executed.
    assert!(run_against("drain", vec![ScriptedResponse::Disconnect]).contains("Unknown"));
    assert!(run_against("status", vec![ScriptedResponse::Disconnect]).contains("Failed"));
}

/// Failure: a response of which only the head arrived is reported as success, as that of a drain has no body.
#[test]
fn a_call_whose_answer_is_cut_or_malformed_has_an_unknown_outcome() {
    let answers = [
        "HTTP/1.1 202 X\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 202 X\r\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 202 X\r\ncontent-length: 4\r\n\r\nnul",
        "HTTP/1.1 202 X\r\ncontent-length : 0\r\n\r\n",
        "HTTP/1.1 202 X\r\nx-foo\t: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        let script = (0..4).map(|_| ScriptedResponse::SendRaw(answer));
        let (address, _) = start_fake_entry(script.collect());
        let (exit, text) = run("drain", address);
        assert_eq!(exit, ExitCode::Unknown, "{answer:?}: {text}");
    }
}

#[test]
fn refusals_have_their_exit_codes() {
    let patch = file("refused.json", "{}");
    let line = format!("config patch --base 7 --id mine {patch}");
    let problem = |code: &str, ran: &str| -> &'static str {
        let text = format!(r#"{{"code":"{code}","message":"no","ran":"{ran}"}}"#);
        Box::leak(text.into_boxed_str())
    };
    let cases = [
        (409, "conflict", "not_run", ExitCode::Refused),
        (422, "invalid_patch", "not_run", ExitCode::Refused),
        (409, "not_confirmed", "not_run", ExitCode::Refused),
        (401, "unauthorized", "not_run", ExitCode::Failed),
        (503, "object_api", "unknown", ExitCode::Unknown),
        (503, "unavailable", "not_run", ExitCode::Failed),
    ];
    for (status, code, ran, expected) in cases {
        let (address, served) =
            start_fake_entry(vec![ScriptedResponse::Send(status, problem(code, ran))]);
        let (exit, text) = run(&line, address);
        assert_eq!(
            (exit, served.join().unwrap().len()),
            (expected, 1),
            "{text}"
        );
    }
    let json = vec![ScriptedResponse::Send(409, problem("conflict", "not_run"))];
    insta::assert_snapshot!(run_against(&format!("{line} --json"), json), @r#"
    POST /v1/config HTTP/1.1 [bearer operators-token-1] {"base":7,"id":"mine","merge":{}}
    Refused
    {"code":"conflict","message":"no","ran":"not_run"}
    "#);
    let running = vec![
        ScriptedResponse::Send(409, problem("in_progress", "unknown")),
        ScriptedResponse::Send(200, r#"{"number":8}"#),
    ];
    assert!(run_against(&line, running).contains("configuration 8 is in force"));
}

#[test]
fn redirects_are_not_followed() {
    let text = run_against("status", vec![ScriptedResponse::Send(307, "elsewhere")]);
    insta::assert_snapshot!(text, @r#"
    GET /v1/status HTTP/1.1 [bearer operators-token-1] 
    Failed
    pinereel: unexpected answer 307: expected value at line 1 column 1
    "#);
}

#[test]
fn status_prints_the_state_of_an_entry() {
    let answer = r#"{"entry":"entry-1","number":7,
        "entries":{"entry-1":{"zone":"erie-hall","number":7,"heard_ms":null,"lags":false},
                   "entry-2":{"zone":"toledo-hall","number":6,"heard_ms":40,"lags":true}},
        "endpoints":{"draft-llm-1":{"pool":"draft-llm","zone":"erie-hall","state":"live",
                     "outstanding":3,"version":12}},
        "versions":{"draft-llm":12},"leases":{"lots-3":5},"object_calls":{"lease":9}}"#;
    insta::assert_snapshot!(run_against("status", vec![ScriptedResponse::Send(200, answer)]), @r#"
    GET /v1/status HTTP/1.1 [bearer operators-token-1] 
    Done
    entry entry-1, configuration 7
    entries:
      entry-1 in erie-hall, configuration 7, this entry
      entry-2 in toledo-hall, configuration 6, heard 40 ms ago, lags
    endpoints:
      draft-llm-1 of draft-llm in erie-hall, live, 3 outstanding, v12
    versions:
      draft-llm v12
    leases (fencing token):
      lots-3 5
    object API calls:
      lease 9
    "#);
}

#[test]
fn drain_prints_the_entry() {
    insta::assert_snapshot!(run_against("drain", vec![ScriptedResponse::Send(202, "")]), @r#"
    POST /v1/drain HTTP/1.1 [bearer operators-token-1] 
    Done
    ENTRY drains
    "#);
}

#[test]
fn a_call_to_a_closed_port_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(run("status", address).0, ExitCode::Failed);
    assert_eq!(run("drain", address).0, ExitCode::Failed);
}

#[test]
fn invalid_files_are_usage_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let patch = file("not-json.json", "pools:");
    let (exit, text) = run(&format!("config patch --base 7 {patch}"), address);
    assert_eq!(exit, ExitCode::Usage, "{text}");
    let short = file("short-token", "short");
    let (exit, text) = run(&format!("status --token-file {short}"), address);
    assert_eq!(exit, ExitCode::Usage, "{text}");
    let control = file("control-token", "operators-token\u{1}1");
    let (exit, text) = run(&format!("drain --token-file {control}"), address);
    assert_eq!(exit, ExitCode::Usage, "{text}");
}
