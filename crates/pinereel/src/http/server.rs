//! The accept loop of one listener.

use super::{Request, Response};
use actix_http::{HttpService, KeepAlive};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use std::{
    cell::Cell, convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Pause after a failed accept (for example out of file descriptors), so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest wait for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Longest idle time of a connection between requests.
    pub keep_alive: Duration,
    /// Most open connections; one more is closed at once and counted.
    pub connections: usize,
    /// Whether a client that has closed its sending side still gets its answer. If not, the
    /// handling of its request is dropped where it stands.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(30),
            connections: 4_096,
            half_closed: true,
        }
    }
}

/// A running listener. Dropping it does not stop it; [`Server::stop`] does.
#[derive(Clone, Debug)]
pub struct Server {
    /// The bound address.
    pub address: SocketAddr,
    /// Ends the accept loop when true.
    stop: watch::Sender<bool>,
    /// Ends the connections when true.
    close: watch::Sender<bool>,
    /// Open connections.
    open: Rc<Cell<usize>>,
    /// Connections closed because of the bound.
    refused: Rc<Cell<u64>>,
}

impl Server {
    /// Serves `listener` with `handler` on this thread until stopped.
    pub async fn start<H, F>(
        listener: TcpListener,
        options: Options,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let (close, closed) = watch::channel(false);
        let server = Self {
            address: listener.local_addr()?,
            stop,
            close,
            open: Rc::new(Cell::new(0)),
            refused: Rc::new(Cell::new(0)),
        };
        let factory = HttpService::build()
            .client_request_timeout(options.head_timeout)
            .client_disconnect_timeout(Duration::from_secs(1))
            .keep_alive(KeepAlive::Timeout(options.keep_alive))
            .h1_allow_half_closed(options.half_closed)
            .h1(fn_service(move |request: Request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            }))
            .tcp();
        let service = factory
            .new_service(())
            .await
            .map_err(|()| io::Error::other("listener set-up failed"))?;
        let service = Rc::new(service);
        let serve = move |stream: TcpStream| {
            let service = Rc::clone(&service);
            async move {
                // A connection's error is its client's affair; requests have had their answers.
                let _ = service.call(stream).await;
            }
        };
        actix_rt::spawn(accept(
            listener,
            options,
            server.clone(),
            stopped,
            closed,
            serve,
        ));
        Ok(server)
    }

    /// Stops accepting. Open connections go on.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Closes what is still open. To be called when no request is in flight.
    pub fn close(&self) {
        self.stop();
        self.close.send_replace(true);
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections closed because of the bound, since the start.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }
}

/// Accepts until stopped and spawns a task a connection.
async fn accept<S, F>(
    listener: TcpListener,
    options: Options,
    server: Server,
    mut stopped: watch::Receiver<bool>,
    closed: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if server.open.get() >= options.connections {
            server.refused.set(server.refused.get() + 1);
            continue;
        }
        // Small answers must not wait for more data.
        let _ = stream.set_nodelay(true);
        server.open.set(server.open.get() + 1);
        let open = Rc::clone(&server.open);
        let connection = serve(stream);
        let mut closed = closed.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = connection => {}
                _ = closed.wait_for(|close| *close) => {}
            }
            open.set(open.get() - 1);
        });
    }
}
