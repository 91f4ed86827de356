//! Discovery: asks for the list of log workers and follows its changes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::lines::{LineError, Lines};
use rookspoke_config::{ListSource, Update};
use rookspoke_decisions::ListScope;

const PATH: &str = "/registry/instances";
/// An answer that takes longer counts as failed; discovery itself gives up on a call after 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// A watch brings at least an empty line every 2 s; one silent for longer is dead, whatever TCP says.
const SILENCE: Duration = Duration::from_secs(3);
/// What had come before a watch's time was up is read within this.
const UNREAD: Duration = Duration::from_millis(50);

/// A resolver result: what a call or a watch brought.
#[derive(Clone, Debug)]
pub enum ResolverResult {
    /// News of the list.
    Update(ListScope, Arc<Update>),
    /// The call failed or the watch broke.
    Failed,
}

/// Why a call to discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("silent for too long")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Line(#[from] LineError),
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("the watch ended")]
    Ended,
}

/// What a resolver is asked to do.
#[derive(Clone, Debug)]
pub enum Order {
    /// Follow the list; a watch that is on starts over.
    Watch,
    /// Read the whole list once.
    Fetch,
    /// The list comes from elsewhere now: leave the old address, and follow it from there.
    Move(ListSource),
}

/// Follows one source of the list at a time.
pub struct Resolver {
    source: ListSource,
    /// The version held, from which a new watch goes on.
    rev: Option<u64>,
}

impl Resolver {
    /// A resolver that holds the list of version `rev`, if any.
    pub fn new(source: ListSource, rev: Option<u64>) -> Self {
        Resolver { source, rev }
    }

    /// Carries out orders until their sender is gone; each result goes to `tell`, in order.
    pub async fn run<F, Fut>(mut self, mut orders: mpsc::Receiver<Order>, tell: F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let mut order = orders.recv().await;
        while let Some(now) = order.take() {
            let watched = matches!(now, Order::Watch | Order::Move(_));
            if let Order::Move(source) = now {
                tracing::info!("the list comes from {} now, and no longer from {}", source, self.source);
                // What another service calls a version proves nothing here.
                (self.source, self.rev) = (source, None);
            }
            let done = async {
                match (self.source.clone(), watched) {
                    (ListSource::Fixed(list), _) => {
                        tell(ResolverResult::Update(ListScope::Complete, list)).await;
                        Ok(())
                    }
                    (ListSource::Discovery(address), true) => self.watch(address, &tell).await,
                    (ListSource::Discovery(address), false) => self.fetch(address, &tell).await,
                }
            };
            // A new order drops what is under way, and with it the connection.
            let done = tokio::select! {
                done = done => Ok(done),
                Some(next) = orders.recv() => Err(next),
            };
            match done {
                Err(next @ Order::Move(_)) => order = Some(next),
                // Asked again, the watch starts over from the version held; where the whole list is wanted,
                // from none.
                Err(next) => {
                    self.rev = self.rev.filter(|_| matches!(next, Order::Watch));
                    order = Some(if watched { Order::Watch } else { next });
                }
                Ok(done) => {
                    if let Err(error) = done {
                        tracing::info!("discovery: {error}");
                        tell(ResolverResult::Failed).await;
                    }
                    order = orders.recv().await;
                }
            }
        }
    }

    async fn fetch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let (_connection, lines) = timeout(CALL_TIMEOUT, call(address, PATH)).await??;
        let line = timeout(CALL_TIMEOUT, lines.all()).await??;
        self.pass_on(&line, tell).await
    }

    async fn watch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let path = format!("{PATH}?watch=1&after={}", self.rev.unwrap_or(0));
        let (_connection, mut lines) = timeout(CALL_TIMEOUT, call(address, &path)).await??;
        loop {
            let line = match timeout(SILENCE, lines.next()).await {
                Ok(line) => line,
                // Stopped for longer than that, this process wakes with its time up and news unread.
                Err(_) => timeout(UNREAD, lines.next()).await?,
            };
            let line = line?.ok_or(CallError::Ended)?;
            if !line.iter().all(u8::is_ascii_whitespace) {
                self.pass_on(&line, tell).await?;
            }
        }
    }

    async fn pass_on<F, Fut>(&mut self, line: &[u8], tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let update: Update = serde_json::from_slice(line)?;
        let scope = if update.all { ListScope::Complete } else { ListScope::Changes };
        let rev = update.rev;
        tell(ResolverResult::Update(scope, Arc::new(update))).await;
        // Not before: what an order cuts off here is told again.
        self.rev = Some(rev);
        Ok(())
    }
}

/// Ends a connection's task, and with it the connection.
pub(super) struct ConnectionTask(pub tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn call(address: SocketAddr, path: &str) -> Result<(ConnectionTask, Lines<Incoming>), CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = ConnectionTask(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).expect("a path and an address make a request");
    let response = sender.send_request(request).await?;
    match response.status().as_u16() {
        200 => Ok((task, Lines::new(response.into_body()))),
        status => Err(CallError::Status(status)),
    }
}
