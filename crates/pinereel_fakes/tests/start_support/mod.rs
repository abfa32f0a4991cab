//! A `pinereel hosted` process whose settings file, ports and signals a test controls from the start.

use pinereel_fakes::{
    child_process::{Child, binary_path},
    hosting::{site::unique_loopback_ip, template::render},
};
use serde_json::{Value, json};
use std::{
    env,
    fs::{self, OpenOptions},
    io::Write as _,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::Command,
    time::Duration,
};

/// Longest wait for a line, an answer or an exit.
pub const TIMEOUT: Duration = Duration::from_secs(8);
/// The deployment's settings template.
pub const TEMPLATE: &str = include_str!("../../../../deploy/instance.ini");

/// An instance whose process is not started yet. Nothing answers at its store.
pub struct Start {
    /// Address of the listeners.
    pub ip: IpAddr,
    /// Path of the settings file.
    pub path: PathBuf,
}

impl Start {
    /// Returns an instance whose settings file does not exist yet, in a folder named after the `test`.
    pub fn new(test: &str) -> Self {
        let folder = env::temp_dir().join(format!("pinereel-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        Self {
            ip: unique_loopback_ip().into(),
            path: folder.join("instance.ini"),
        }
    }

    /// The address of the listener with this port.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// The complete settings, as the platform renders them.
    pub fn settings(&self) -> String {
        render(TEMPLATE, &fields(self.ip))
    }

    /// Writes the settings file in place.
    pub fn write(&self, text: &str) {
        fs::write(&self.path, text).expect("a settings file");
    }

    /// Starts the process.
    pub fn spawn(&self) -> Child {
        let mut command = Command::new(binary_path("pinereel").expect("a binary"));
        command.arg("hosted").arg("--config").arg(&self.path);
        Child::spawn(&command).expect("a process")
    }

    /// Starts the process, and calls `act` once it reads its settings, which are complete only afterwards.
    pub fn spawn_and_act_before_settings(&self, act: impl FnOnce(&mut Child)) -> Child {
        let status = Command::new("mkfifo").arg(&self.path).status();
        assert!(status.is_ok_and(|status| status.success()), "a pipe");
        let mut child = self.spawn();
        // Blocks until the process opens the pipe, which it reads until the other end is closed.
        let pipe = OpenOptions::new().write(true).open(&self.path);
        let mut pipe = pipe.expect("the process reads its settings");
        let file = self.path.with_extension("tmp");
        fs::write(&file, self.settings()).expect("a settings file");
        fs::rename(&file, &self.path).expect("a file in place of the pipe");
        act(&mut child);
        // Fails if the signal has ended the process, which the test notices by its exit status.
        let _ = pipe.write_all(self.settings().as_bytes());
        child
    }
}

impl Drop for Start {
    fn drop(&mut self) {
        if let Some(folder) = self.path.parent() {
            // The folder contains only the settings file.
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// Returns the fields of the platform that the template uses.
pub fn fields(ip: IpAddr) -> Value {
    json!({
        "node": "front-1",
        "zone": "here",
        "ip": ip.to_string(),
        "listen": {"front": format!("{ip}:9465"), "ready": format!("{ip}:9466")},
        "portRange": [9_470, 9_485],
        "seeds": [format!("{ip}:9467")],
        "limits": {"maxFds": 1_024, "cpuShare": 0.5, "memoryMb": 260},
        "provider": {"addr": format!("{ip}:9")},
        "bounds": {"graceS": 8, "drainMs": 2_000, "leaseMs": 3_000, "statusS": 120},
    })
}
