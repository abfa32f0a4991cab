//! An entry whose standard output cannot be written, as a real process.

use pinereel_fakes::child_process::binary_path;
use std::{
    env,
    fs::{self, File, Permissions},
    os::unix::fs::PermissionsExt as _,
    process::{self, Command, Stdio},
    thread,
    time::Duration,
};

/// Time for which the entry is watched. It prints its addresses within a few milliseconds.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Printing the addresses panicked, and the entry ended with status 101 right after its start.
#[test]
fn an_entry_runs_without_a_writable_standard_output() {
    let folder = env::temp_dir().join(format!("pinereel-output-{}", process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let settings = "[entry]\nname = a\nzone = z\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
        operators = 127.0.0.1:0\n[object_api]\nurl = http://127.0.0.1:1\n\
        [secrets]\noperator_token_file = token\npeer_secret_file = secret\n";
    let path = folder.join("a.ini");
    fs::write(&path, settings).expect("the settings");
    for name in ["token", "secret"] {
        let file = folder.join(name);
        fs::write(&file, "0123456789abcdef0123456789abcdef").expect("a secret");
        // Files that others may read are refused.
        fs::set_permissions(&file, Permissions::from_mode(0o600)).expect("the file exists");
    }
    // Each write to it fails.
    let full = File::options().write(true).open("/dev/full");
    let mut entry = Command::new(binary_path("pinereel").expect("it is built"))
        .arg("entry")
        .arg("--config")
        .arg(&path)
        .stdout(full.expect("Linux has it"))
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    thread::sleep(WATCH_TIME);
    let status = entry.try_wait().expect("a child");
    // Fails only if it has ended.
    let _ = entry.kill();
    entry.wait().expect("a child");
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert_eq!(status, None, "it ended by itself");
}
