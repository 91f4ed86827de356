//! The resolver: fetches the list of log workers from service discovery and watches it for changes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::list_stream::{Item, ListStream, Receiving, StreamError, MAX_SILENCE};
use super::stream::Stream;
use rookspoke_config::{ListSource, ListUpdate};
use rookspoke_decisions::ListScope;

const PATH: &str = "/registry/instances";
/// A call without a response by then has failed; discovery itself gives up on a call after 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same limit for a local agent to which lists are pushed. Changes are binding as soon as they reach the
/// agent, so a call to it must not take long.
const AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Every eighth call to the agent after failures gets this longer limit, so that an agent that always needs
/// more than the short one can succeed.
const AGENT_LONG_TIMEOUT: (u32, Duration) = (8, Duration::from_secs(1));
/// What a call or a watch produced.
#[derive(Clone, Debug)]
pub enum ResolverResult {
    /// When the open watch last received a message; `None` if no watch is open.
    WatchMessage(Option<Instant>),
    /// A list or a change of it.
    Update(ListScope, Arc<ListUpdate>),
    /// The call failed or the watch broke.
    Failed(Failure),
    /// The watch was given up as silent; its last message arrived then.
    Silent(Instant),
    /// Further results come from another source.
    SourceChanged,
}

/// What a failed call means for further calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Discovery could not be reached, refused the call or broke it off; a retry may succeed.
    Unavailable,
    /// Discovery responded with something unusable; a retry may well get the same response.
    Unusable,
}

/// Why a call to discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("found status {0}, expected 200")]
    Status(u16),
    #[error("no response within the time limit")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("the watch was silent for {:?}", .0.elapsed())]
    Silent(Instant),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("invalid list: {0}")]
    InvalidList(#[from] serde_json::Error),
    #[error("the response ended without another list")]
    EndOfStream,
}

impl CallError {
    fn failure(&self) -> Failure {
        match self {
            CallError::Stream(StreamError::Split(_)) | CallError::InvalidList(_) => Failure::Unusable,
            _ => Failure::Unavailable,
        }
    }
}

/// A command to the resolver.
#[derive(Clone, Debug)]
pub enum Command {
    /// Watch the list; a watch that is already open starts over.
    Watch,
    /// Fetch the complete list once.
    Fetch,
    /// Leave the current source and watch the list at this one.
    SetSource(ListSource),
}

/// Follows one source of the list at a time.
pub struct Resolver {
    source: ListSource,
    /// The list version in effect, from which a new watch continues.
    rev: Option<u64>,
    /// Lists are pushed to a local agent, and calls go to that agent.
    pushed: bool,
    /// Number of failed calls since the last successful one.
    failures: u32,
    /// State of the response that is being read.
    receiving: Receiving,
}

impl Resolver {
    /// A resolver that starts from list version `rev`, if there is one. `pushed` says that lists are pushed
    /// to a local agent.
    pub fn new(source: ListSource, rev: Option<u64>, pushed: bool) -> Self {
        Resolver { source, rev, pushed, failures: 0, receiving: Receiving::default() }
    }

    /// Time limit of the next call.
    fn call_timeout(&self) -> Duration {
        let (interval, long_timeout) = AGENT_LONG_TIMEOUT;
        match self.pushed {
            true if self.failures % interval == interval - 1 => long_timeout,
            true => AGENT_TIMEOUT,
            false => CALL_TIMEOUT,
        }
    }

    /// Executes commands until their sender is dropped. Results are passed to `notify` in order.
    pub async fn run<F, Fut>(mut self, mut commands: mpsc::Receiver<Command>, notify: F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let mut command = commands.recv().await;
        while let Some(current) = command.take() {
            let watches = matches!(current, Command::Watch | Command::SetSource(_));
            if let Command::SetSource(source) = current {
                tracing::info!("list source changed to {}, formerly {}", source, self.source);
                // Versions of different services are not comparable.
                (self.source, self.rev) = (source, None);
                notify(ResolverResult::SourceChanged).await;
            }
            let outcome = self.call_until_command(watches, &mut commands, &notify).await;
            notify(ResolverResult::WatchMessage(None)).await;
            command = match outcome {
                Ok(result) => {
                    if let Err(error) = result {
                        notify(self.record_failure(error)).await;
                    }
                    commands.recv().await
                }
                Err(next @ Command::SetSource(_)) => Some(next),
                // A repeated watch continues from the version in effect. If the complete list is wanted, the
                // watch starts over without a version.
                Err(next) => {
                    self.rev = self.rev.filter(|_| matches!(next, Command::Watch));
                    Some(if watches { Command::Watch } else { next })
                }
            };
        }
    }

    /// Watches the list, or fetches it once, until that ends or another command interrupts it. An interrupted
    /// call is dropped together with its connection. A further `Watch` command does not interrupt a watch
    /// that is receiving a list, since that list is what the command asks for.
    async fn call_until_command<F, Fut>(
        &mut self,
        watches: bool,
        commands: &mut mpsc::Receiver<Command>,
        notify: &F,
    ) -> Result<Result<(), CallError>, Command>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let receiving = self.receiving.clone();
        let source = self.source.clone();
        let call = async {
            match source {
                ListSource::Fixed(list) => {
                    notify(ResolverResult::Update(ListScope::Complete, list)).await;
                    Ok(())
                }
                ListSource::Discovery(address) if watches => self.watch(address, notify).await,
                ListSource::Discovery(address) => self.fetch(address, notify).await,
            }
        };
        tokio::pin!(call);
        loop {
            tokio::select! {
                result = &mut call => return Ok(result),
                Some(next) = commands.recv() => match next {
                    Command::Watch if watches && receiving.get() => {}
                    next => return Err(next),
                },
            }
        }
    }

    /// Counts and logs a failed call.
    fn record_failure(&mut self, error: CallError) -> ResolverResult {
        self.failures = self.failures.saturating_add(1);
        let (version, failed) = (self.rev, self.failures);
        if error.failure() == Failure::Unusable {
            // A request for the same changes may get the same response again, so the next call asks for the
            // complete list.
            self.rev = None;
            tracing::error!(?version, failed, "discovery: the response cannot be used: {error}");
        } else {
            tracing::info!(?version, failed, "discovery: {error}");
        }
        match error {
            CallError::Silent(since) => ResolverResult::Silent(since),
            error => ResolverResult::Failed(error.failure()),
        }
    }

    async fn fetch<F, Fut>(&mut self, address: SocketAddr, notify: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let (_connection, mut stream) = timeout(self.call_timeout(), self.call(address, PATH)).await??;
        let item = stream.next().await?;
        let Some(Item::Object(object)) = item else { return Err(CallError::EndOfStream) };
        self.apply(&object, notify).await
    }

    async fn watch<F, Fut>(&mut self, address: SocketAddr, notify: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let path = format!("{PATH}?watch=1&after={}", self.rev.unwrap_or(0));
        let (_connection, mut stream) = timeout(self.call_timeout(), self.call(address, &path)).await??;
        let mut last_message = None;
        loop {
            let item = match (stream.next().await, last_message) {
                (Ok(Some(item)), _) => item,
                (Err(error @ StreamError::Split(_)), _) => return Err(error.into()),
                // A response head alone says nothing about the list: silence without an earlier message is a
                // failed call.
                (Err(StreamError::Silent), Some(since)) => return Err(CallError::Silent(since)),
                // The watch may have broken long before this process noticed.
                (_, Some(since)) if since.elapsed() > MAX_SILENCE => return Err(CallError::Silent(since)),
                (item, _) => item?.ok_or(CallError::EndOfStream)?,
            };
            let now = Instant::now();
            let first = last_message.replace(now).is_none();
            notify(ResolverResult::WatchMessage(Some(now))).await;
            if first {
                tracing::info!("discovery: watch established");
            }
            match (item, self.rev) {
                (Item::Object(object), _) => self.apply(&object, notify).await?,
                // Nothing has changed since the version in effect. This confirms a list that may have been in
                // doubt.
                (Item::Heartbeat, Some(rev)) if first => {
                    self.deliver(ListUpdate::new(rev, false, Vec::new()), notify).await;
                }
                (Item::Heartbeat, _) => {}
            }
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(ConnectionTask, ListStream<Incoming>), CallError> {
        let stream = Stream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = ConnectionTask(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let request = Request::get(path).header(http::header::HOST, address.to_string());
        let request =
            request.body(Empty::<Bytes>::new()).expect("the path and the address form a valid request");
        let response = sender.send_request(request).await?;
        match response.status().as_u16() {
            200 => Ok((task, ListStream::new(response.into_body(), self.receiving.clone()))),
            status => Err(CallError::Status(status)),
        }
    }

    /// Parses a list object and delivers it.
    async fn apply<F, Fut>(&mut self, object: &[u8], notify: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let started = Instant::now();
        let update = ListUpdate::read(object)?;
        let (version, entries, unreadable) = (update.rev, update.targets.len(), update.unreadable.len());
        let complete = update.complete;
        self.deliver(update, notify).await;
        let (bytes, took_us) = (object.len(), started.elapsed().as_micros() as u64);
        tracing::info!(
            version,
            entries,
            unreadable,
            complete,
            bytes,
            took_us,
            "discovery: list update applied"
        );
        Ok(())
    }

    async fn deliver<F, Fut>(&mut self, update: ListUpdate, notify: &F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let scope = if update.complete { ListScope::Complete } else { ListScope::Changes };
        let rev = update.rev;
        notify(ResolverResult::Update(scope, Arc::new(update))).await;
        // Set only now, so that an update whose delivery is interrupted by a command is requested again.
        (self.rev, self.failures) = (Some(rev), 0);
    }
}

/// Aborts a connection's task when dropped, which closes the connection.
pub(super) struct ConnectionTask(pub tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
