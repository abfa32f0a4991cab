//! A fake endpoint that writes its answers as bytes, for those that no HTTP library would send.

use super::{engine, store::Store};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// Receive buffer of the endpoint's connections, in bytes. With a small one, a request that is not read
/// blocks its sender.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 128;

/// What the endpoint does with a connection after it has sent its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Resets it after this time, without having read more of the request.
    Reset(Duration),
    /// Closes it at once, without having read more of the request.
    Close,
    /// Ends its own direction, and reads the request to its end.
    Finish,
}

/// Returns an answer. The argument has the lines of the head that make an answer valid.
pub type WriteAnswer = Rc<dyn Fn(&str) -> Vec<u8>>;

/// What the endpoint does with each request.
#[derive(Clone)]
pub struct Script {
    /// Bytes of the request's body that are read before the answer is sent.
    pub read_bytes: usize,
    /// The answer.
    pub answer: WriteAnswer,
    /// How the connection ends.
    pub end: End,
}

impl Script {
    /// Answers as soon as the head of a request was read.
    pub fn new(answer: impl Fn(&str) -> Vec<u8> + 'static, end: End) -> Self {
        Self {
            read_bytes: 0,
            answer: Rc::new(answer),
            end,
        }
    }
}

/// A running endpoint.
pub struct RawEndpoint {
    /// Address at which the endpoint serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id: String,
    script: RefCell<Script>,
    request_count: Cell<usize>,
}

impl RawEndpoint {
    /// Starts an endpoint of `service` that acts by `script`, and registers it.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        models: Value,
        script: Script,
        store: &Store,
    ) -> io::Result<Self> {
        let endpoint = Self::listen(id, script)?;
        let entry = json!({
            "service": service, "addr": endpoint.address.to_string(), "zone": "here", "version": "v1",
            "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 0, "models": models,
        });
        store.put("servers", id, entry);
        Ok(endpoint)
    }

    /// Starts an endpoint that acts by `script`, without registering it.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn listen(id: &str, script: Script) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            id: id.into(),
            script: RefCell::new(script),
            request_count: Cell::default(),
        });
        let serving = Rc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&serving);
                actix_rt::spawn(async move {
                    // The caller may close a connection at any time.
                    let _ = serve(stream, &state).await;
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Sets what the endpoint does with each request from now on.
    pub fn set_script(&self, script: Script) {
        *self.state.script.borrow_mut() = script;
    }

    /// Number of requests whose head was read.
    pub fn request_count(&self) -> usize {
        self.state.request_count.get()
    }
}

/// Reads the head of a request, and acts by the script.
async fn serve(mut stream: TcpStream, state: &State) -> io::Result<()> {
    let mut read = Vec::new();
    let body_start = loop {
        let head_end = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            break head_end + 4;
        }
        if stream.read_buf(&mut read).await? == 0 {
            return Ok(());
        }
    };
    state.request_count.set(state.request_count.get() + 1);
    let head = String::from_utf8_lossy(&read[..body_start]).to_lowercase();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_default();
    let stamp = engine::response_stamp(&state.id, id);
    let lines =
        format!("x-request-id: {id}\r\nx-response-stamp: {stamp}\r\nx-weight-versions: 1\r\n");
    let script = state.script.borrow().clone();
    while read.len() < body_start + script.read_bytes {
        if stream.read_buf(&mut read).await? == 0 {
            break;
        }
    }
    stream.write_all(&(script.answer)(&lines)).await?;
    match script.end {
        End::Reset(delay) => {
            sleep(delay).await;
            stream.set_zero_linger()
        }
        End::Close => Ok(()),
        End::Finish => {
            stream.shutdown().await?;
            let mut buffer = vec![0; 64 << 10];
            while stream.read(&mut buffer).await? > 0 {}
            Ok(())
        }
    }
}
