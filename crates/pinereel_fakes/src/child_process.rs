//! Starts child processes, captures the lines that they print, and sends them signals.
//!
//! All waits block the calling thread and take a timeout. A child process never outlives the process
//! that started it, even if that process is killed: see [`exec_bound_to_parent`].

pub use rustix::process::Signal;

use rustix::process::{Pid, getppid, kill_process, set_parent_process_death_signal};
use std::{
    env,
    ffi::OsString,
    fs,
    io::{self, BufRead as _, BufReader, Read, Write as _},
    net::{SocketAddr, TcpStream},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{self, Command, ExitCode, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Name of the subcommand of `pinereel-fakes` that calls [`exec_bound_to_parent`].
pub const BOUND_TO_PARENT: &str = "bound-to-parent";

/// Interval at which process exits and HTTP readiness are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a process has printed on standard output and standard error.
#[derive(Debug, Default)]
struct Output {
    lines: Vec<String>,
    /// How many of the two streams are still open.
    open_streams: usize,
}

/// A child process. Dropping the value kills the process.
#[derive(Debug)]
pub struct Child {
    process: process::Child,
    output: Arc<(Mutex<Output>, Condvar)>,
}

impl Child {
    /// Starts `command` and captures the lines that it prints.
    ///
    /// The kernel kills the process when the calling thread ends, so call this on a thread that lives as
    /// long as the process is needed.
    ///
    /// # Errors
    /// If the binary `pinereel-fakes` is not built, or the command can't be started.
    pub fn spawn(command: &Command) -> io::Result<Self> {
        let mut process = bind_to_parent(command)?
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::<(Mutex<Output>, Condvar)>::default();
        capture(process.stdout.take(), &output);
        capture(process.stderr.take(), &output);
        Ok(Self { process, output })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// The lines printed so far on both streams, in the order of arrival.
    pub fn lines(&self) -> Vec<String> {
        lock(&self.output.0).lines.clone()
    }

    /// Whether both streams have closed, so that [`Self::lines`] has all lines.
    pub fn has_closed_streams(&self) -> bool {
        lock(&self.output.0).open_streams == 0
    }

    /// Returns the first line that contains `text`, or `None` after `timeout` or when both streams
    /// have closed without such a line.
    pub fn wait_for_line(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut output = lock(&self.output.0);
        loop {
            if let Some(line) = output.lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || output.open_streams == 0 {
                return None;
            }
            let guard = self.output.1.wait_timeout(output, remaining);
            output = guard.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the socket address at the end of the first line that contains `text`, such as
    /// `listening 127.0.0.1:4000`. Returns `None` where [`Self::wait_for_line`] does, and if the
    /// line does not end with an address.
    pub fn wait_for_address(&self, text: &str, timeout: Duration) -> Option<SocketAddr> {
        let line = self.wait_for_line(text, timeout)?;
        line.split_whitespace().next_back()?.parse().ok()
    }

    /// Returns the largest resident size of the process so far, in bytes; `None` if it has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Whether the process executes the program called `name`. Before, it executes the one that binds it to
    /// its parent.
    pub fn executes(&self, name: &str) -> bool {
        let comm = fs::read_to_string(format!("/proc/{}/comm", self.id()));
        comm.is_ok_and(|comm| comm.trim_end() == name)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.process.try_wait()?.is_some() {
            // The system may have assigned the process id to another process since.
            return Err(io::Error::other("the process has exited"));
        }
        Ok(kill_process(Pid::from_child(&self.process), signal)?)
    }

    /// Closes the standard input of the process.
    pub fn close_stdin(&mut self) {
        drop(self.process.stdin.take());
    }

    /// Waits until the process exits; `None` if it is still running after `timeout`.
    ///
    /// # Errors
    /// If the exit status can't be read.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.process.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // These calls fail only if the process has exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns `command`, to be started by way of [`exec_bound_to_parent`].
fn bind_to_parent(command: &Command) -> io::Result<Command> {
    let mut bound = Command::new(binary_path("pinereel-fakes")?);
    bound
        .arg(BOUND_TO_PARENT)
        .arg(process::id().to_string())
        .arg(command.get_program())
        .args(command.get_args());
    if let Some(folder) = command.get_current_dir() {
        bound.current_dir(folder);
    }
    for (name, value) in command.get_envs() {
        match value {
            Some(value) => bound.env(name, value),
            None => bound.env_remove(name),
        };
    }
    Ok(bound)
}

/// Replaces this process by another program, which the kernel kills when the process that started it
/// ends. `args` are the id of that process, the program and its arguments.
///
/// A process that outlives a killed test keeps calling ports that the system has meanwhile assigned to
/// the fakes of another test.
pub fn exec_bound_to_parent(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut args = args.into_iter();
    let parent = args.next().and_then(|id| id.to_str()?.parse().ok());
    let (Some(parent), Some(program)) = (parent.and_then(Pid::from_raw), args.next()) else {
        eprintln!("pinereel-fakes: usage: {BOUND_TO_PARENT} PARENT PROGRAM [ARGUMENTS]");
        return ExitCode::from(2);
    };
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("pinereel-fakes: cannot bind the process to its parent: {error}");
        return ExitCode::FAILURE;
    }
    // A parent that ended before the call above sends no signal.
    if getppid() != Some(parent) {
        return ExitCode::FAILURE;
    }
    let error = Command::new(&program).args(args).exec();
    eprintln!(
        "pinereel-fakes: cannot start {}: {error}",
        program.display()
    );
    ExitCode::FAILURE
}

/// Returns the path of a binary of this Cargo workspace, in the folder of the running binary or in
/// one above it.
///
/// # Errors
/// If there is no such binary.
pub fn binary_path(name: &str) -> io::Result<PathBuf> {
    let running_binary = env::current_exe()?;
    let mut folder = running_binary.parent();
    while let Some(path) = folder {
        let binary = path.join(name);
        if binary.is_file() {
            return Ok(binary);
        }
        folder = path.parent().filter(|path| *path != Path::new("/"));
    }
    Err(io::Error::other(format!(
        "the binary {name} is not built; `cargo build --workspace` builds it"
    )))
}

/// Waits until `GET path`, for example `/ready`, is answered with 200. Returns false after `timeout`.
pub fn wait_for_ok(address: SocketAddr, path: &str, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        if matches!(get_status(address, path, remaining), Ok(200)) {
            return true;
        }
        thread::sleep(POLL_INTERVAL.min(remaining));
    }
}

/// Sends one `GET` and returns the status code of the response.
fn get_status(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    status.ok_or_else(|| io::Error::other("response has no HTTP status line"))
}

/// Captures the lines of one stream on a thread, so that the process never blocks on a full pipe.
fn capture(stream: Option<impl Read + Send + 'static>, output: &Arc<(Mutex<Output>, Condvar)>) {
    let Some(stream) = stream else { return };
    let output = Arc::clone(output);
    lock(&output.0).open_streams += 1;
    thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            lock(&output.0).lines.push(line);
            output.1.notify_all();
        }
        lock(&output.0).open_streams -= 1;
        output.1.notify_all();
    });
}

/// Locks the output. A poisoned lock is safe to use, because each change is a single step and leaves
/// the output consistent even if the thread panics afterwards.
fn lock(output: &Mutex<Output>) -> MutexGuard<'_, Output> {
    output.lock().unwrap_or_else(PoisonError::into_inner)
}
