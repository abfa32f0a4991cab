//! Starting and signalling processes in tests.

pub use rustix::process::Signal;

use rustix::process::{Pid, kill_process};
use std::{
    io::{self, BufRead as _, BufReader, Read, Write as _},
    net::{SocketAddr, TcpStream},
    process::{self, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Pause between two looks at something that can't be waited for.
const POLL: Duration = Duration::from_millis(5);

/// What a process has printed, on both streams.
#[derive(Debug, Default)]
struct Printed {
    lines: Vec<String>,
    /// Streams that are still open.
    open: usize,
}

/// A started process; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: process::Child,
    printed: Arc<(Mutex<Printed>, Condvar)>,
}

impl Child {
    /// Starts `command` and gathers the lines that it prints.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        let mut process = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let printed = Arc::<(Mutex<Printed>, Condvar)>::default();
        gather(process.stdout.take(), &printed);
        gather(process.stderr.take(), &printed);
        Ok(Self { process, printed })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// The lines printed so far, on both streams.
    pub fn lines(&self) -> Vec<String> {
        lock(&self.printed.0).lines.clone()
    }

    /// The first line that contains `text`; none after `timeout`, or if no more can come.
    pub fn line(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut printed = lock(&self.printed.0);
        loop {
            if let Some(line) = printed.lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || printed.open == 0 {
                return None;
            }
            let woken = self.printed.1.wait_timeout(printed, left);
            printed = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// The address that ends the first line with `text`, such as `listening 127.0.0.1:4000`.
    pub fn address(&self, text: &str, timeout: Duration) -> Option<SocketAddr> {
        let line = self.line(text, timeout)?;
        line.split_whitespace().next_back()?.parse().ok()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// If the process has ended and been waited for.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.process.try_wait()?.is_some() {
            // Its id may belong to another process by now.
            return Err(io::Error::other("the process has ended"));
        }
        Ok(kill_process(Pid::from_child(&self.process), signal)?)
    }

    /// Closes the standard input of the process.
    pub fn close_stdin(&mut self) {
        drop(self.process.stdin.take());
    }

    /// Waits for the end; none if it still runs after `timeout`.
    ///
    /// # Errors
    /// If the system can't tell.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.process.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(POLL);
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until `GET path` is answered with 200, for example `/ready`; false after `timeout`.
pub fn ready(address: SocketAddr, path: &str, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        if matches!(status(address, path, left), Ok(200)) {
            return true;
        }
        thread::sleep(POLL.min(left));
    }
}

/// The status of one `GET`.
fn status(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    status.ok_or_else(|| io::Error::other("no HTTP answer"))
}

/// Gathers the lines of one stream on a thread, so that the process never blocks on a full pipe.
fn gather(stream: Option<impl Read + Send + 'static>, printed: &Arc<(Mutex<Printed>, Condvar)>) {
    let Some(stream) = stream else { return };
    let printed = Arc::clone(printed);
    lock(&printed.0).open += 1;
    thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            lock(&printed.0).lines.push(line);
            printed.1.notify_all();
        }
        lock(&printed.0).open -= 1;
        printed.1.notify_all();
    });
}

/// Locks; what a panicked thread left is whole, since each change is a single step.
fn lock(printed: &Mutex<Printed>) -> MutexGuard<'_, Printed> {
    printed.lock().unwrap_or_else(PoisonError::into_inner)
}
