//! The work server: connections of producers and consumers, and the records of their jobs.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{FutureExt, SinkExt, StreamExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::call::Call;
use super::codec::{Beat, Codec, Command, CommandError, Job, Reply, VERSION};
use super::handover::{KeptFetch, KeptFetches};
use super::jobs::JobRegistry;
use super::registry::{AttemptId, ConnectionId, ConsumerRegistry, Fetch};
use super::transport::{deadline, ConsumerTransport};
use super::{front_settings, FaktoryConfig};
use rookspoke_decisions::{
    AttemptUpdate, Ban, ClassId, Effect, ListScope, Listing, Name, Outcome, Settings, SettingsError, Span,
};
use rookspoke_dispatch::{request_span, Answer, Clock, Core, Counters, Handle, Limits, Submission};
use rookspoke_guard::{ClientSocket, ConnectionLimit, Listener, Permit};
use rookspoke_memory::MemoryBudget;

/// How long a FETCH waits for a job before the reply is null, as the protocol specifies.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The connection limit bounds only the time until HELLO. Producers may keep their connections open until the limit is
/// reached, and the registry expires inactive consumers.
const CONNECTION_TIMEOUTS: rookspoke_guard::Timeouts = rookspoke_guard::Timeouts {
    first_request: Duration::from_secs(3),
    request: Duration::MAX,
    idle: Duration::MAX,
    response: Duration::MAX,
};
/// How long sending a reply may take, which depends on the client reading it.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// A consumer that shows no activity for this long leaves the list, as the protocol specifies.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the registry is checked for consumers to expire.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long connections may take to send their last replies once a shutdown has no open jobs left.
const FINAL_REPLIES_TIMEOUT: Duration = Duration::from_millis(500);

/// Copies of a job that are held at a time: the parsed one, and that in a reply to a consumer.
const JOB_COPIES: usize = 2;

/// Phases of the server's life, up to its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No shutdown has begun.
    Serving,
    /// New jobs are rejected; accepted ones are still handed out.
    Draining,
    /// No job is open: each connection sends its pending reply and closes.
    Drained,
}

struct Shared {
    registry: Arc<ConsumerRegistry>,
    handle: Handle<Call, ()>,
    clock: Clock,
    settings: Settings,
    /// For each class, the time until the deadline of a job that does not set its own.
    class_deadlines: Vec<Duration>,
    /// Whether jobs are accepted and handed out, that is, whether this daemon is the master of its pair.
    active: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
    jobs: JobRegistry,
    kept_fetches: KeptFetches,
    /// Memory for jobs, and for commands that have been received in part.
    memory: MemoryBudget,
}

/// The work server, which accepts connections of producers and consumers.
pub struct Server {
    shared: Arc<Shared>,
    limit: ConnectionLimit,
    reconnect_timeout: Duration,
    phase: watch::Sender<Phase>,
}

/// Operations on the work server for the operators' interface.
#[derive(Clone)]
pub struct OperatorHandle(Arc<Shared>);

impl OperatorHandle {
    /// Whether a consumer of this name is on the list or banned.
    pub async fn is_known(&self, wid: &str) -> bool {
        self.0.handle.is_known(wid).await
    }

    /// Replaces the operators' bans. Banned consumers get no new jobs once this call has returned.
    pub async fn set_bans(&self, bans: Arc<[Ban]>) {
        self.0.registry.set_banned(bans.iter().map(|ban| ban.worker.clone()).collect());
        self.0.handle.set_bans(bans).await;
    }
}

/// Result of a connection: an error if it failed.
type ConnectionResult = io::Result<()>;

impl Server {
    /// Creates a server, and the future that runs its core. New jobs are accepted while `active` is true.
    pub fn new(
        config: &FaktoryConfig,
        platform: &Settings,
        class_deadlines: Vec<Duration>,
        seed: u64,
        active: watch::Receiver<bool>,
        memory: MemoryBudget,
    ) -> (Self, impl Future<Output = Result<(), SettingsError>> + Send + 'static) {
        let settings = front_settings(platform);
        let limits = Limits { queue: 4 * config.max_connections.max(64), open_requests: 4096 };
        let (handle, core) = Core::new(limits, settings.classes.iter().map(|class| &class.name));
        let (registry, clock) = (Arc::new(ConsumerRegistry::default()), Clock::start());
        let transport = ConsumerTransport {
            registry: registry.clone(),
            counters: handle.counters().clone(),
            clock,
            claim_timeout: config.claim_timeout(),
        };
        let core = core.run(settings.clone(), seed, clock, transport);
        let (phase_sender, phase) = watch::channel(Phase::Serving);
        let (jobs, kept_fetches) = (JobRegistry::default(), KeptFetches::default());
        let shared = Shared {
            registry,
            handle,
            clock,
            settings,
            class_deadlines,
            active,
            phase,
            jobs,
            kept_fetches,
            memory,
        };
        let limit = ConnectionLimit::new(config.max_connections, CONNECTION_TIMEOUTS);
        let reconnect_timeout = config.reconnect_timeout();
        (Server { shared: Arc::new(shared), limit, reconnect_timeout, phase: phase_sender }, core)
    }

    /// The handle for the operators' interface.
    pub fn operator_handle(&self) -> OperatorHandle {
        OperatorHandle(self.shared.clone())
    }

    /// The counters of this front.
    pub fn counters(&self) -> Arc<Counters> {
        self.shared.handle.counters().clone()
    }

    /// Serves until `stop` completes. Then rejects new jobs, and returns once all accepted ones are finished.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut connections = JoinSet::new();
        let mut listener = Listener::new(listener, self.limit.clone());
        let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
        let open_jobs = self.shared.jobs.clone();
        let drained = async {
            stop.await;
            self.phase.send_replace(Phase::Draining);
            open_jobs.all_closed().await;
        };
        let mut drained = std::pin::pin!(drained);
        loop {
            tokio::select! {
                (socket, permit) = listener.accept() => self.spawn_connection(socket, permit, &mut connections),
                Some(_) = connections.join_next() => {}
                _ = expiry.tick() => {
                    let ago = |time| Instant::now().checked_sub(time);
                    let limits = (ago(self.reconnect_timeout), ago(HEARTBEAT_TIMEOUT));
                    if let (Some(disconnected_before), Some(inactive_before)) = limits {
                        let changes = self.shared.registry.expire(disconnected_before, inactive_before);
                        self.shared.update_list(changes).await;
                    }
                }
                () = &mut drained => break,
            }
        }
        drop(listener);
        self.phase.send_replace(Phase::Drained);
        let all_closed = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(FINAL_REPLIES_TIMEOUT, all_closed).await;
    }

    fn spawn_connection(&self, socket: ClientSocket, permit: Permit, connections: &mut JoinSet<()>) {
        let shared = self.shared.clone();
        connections.spawn(async move {
            let frames = Framed::new(socket, Codec::new(&shared.memory));
            let mut connection =
                Connection { shared, frames, read_ahead: None, consumer: None, permit: permit.clone() };
            let result = tokio::select! {
                // Polls the connection first: a command that has arrived keeps it from being closed.
                biased;
                result = connection.serve() => result,
                () = permit.close_requested() => {
                    connection.shared.handle.counters().closed.increment();
                    Ok(())
                }
            };
            if let Err(error) = result {
                connection.shared.handle.counters().malformed.increment();
                tracing::debug!("Faktory connection failed: {error}");
                let _ = timeout(REPLY_TIMEOUT, connection.frames.send(Reply::Error(error.to_string()))).await;
            }
            if let Some(Consumer { wid, connection: id }) = &connection.consumer {
                let change = connection.shared.registry.disconnected(wid, *id);
                connection.shared.update_list(change).await;
            }
        });
    }
}

impl Shared {
    /// Passes changed entries of the list on to the core.
    async fn update_list(&self, changes: impl IntoIterator<Item = Listing>) {
        let entries: Arc<[Listing]> = changes.into_iter().collect();
        if !entries.is_empty() {
            self.handle.update_list(ListScope::Changes, entries).await;
        }
    }

    /// Why new jobs are rejected at the moment, if they are.
    fn rejects_jobs(&self) -> Option<&'static str> {
        if *self.phase.borrow() > Phase::Serving {
            return Some("this server is about to end: push elsewhere");
        }
        (!*self.active.borrow()).then_some("this server is a backup: push to the master")
    }

    /// Keeps a FETCH of this consumer at a former master, if a job that this accepted may go to the consumer.
    fn keep_fetch(&self, wid: &Name, queues: &[String]) -> Option<KeptFetch> {
        let owed = self.jobs.owed(queues);
        let held_by_others = owed.iter().filter(|jid| !self.registry.holds(wid, jid)).count();
        self.kept_fetches.keep(held_by_others)
    }

    /// Completes once this server has become the backup and the job, which no consumer had, has been withdrawn:
    /// consumers fetch from the new master from then on.
    async fn withdrawn_by_handover(&self, call: Call) {
        let is_backup = self.active.clone().wait_for(|active| !active).await.is_ok();
        if !(is_backup && call.withdraw()) {
            std::future::pending().await
        }
    }
}

/// Completes once a shutdown has no open jobs left, or the server has been dropped.
async fn drained(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Drained).await;
}

/// The consumer at the other end of a connection.
#[derive(Clone)]
struct Consumer {
    wid: Name,
    connection: ConnectionId,
}

struct Connection {
    shared: Arc<Shared>,
    frames: Framed<ClientSocket, Codec>,
    /// Command that was read while an earlier command was waiting.
    read_ahead: Option<Option<io::Result<Result<Command, CommandError>>>>,
    consumer: Option<Consumer>,
    // Declared after the socket, so that the slot is released only once the socket is closed.
    permit: Permit,
}

impl Connection {
    async fn serve(&mut self) -> ConnectionResult {
        self.reply(Reply::Simple(format!("HI {{\"v\":{VERSION}}}"))).await?;
        match self.frames.next().await {
            Some(Ok(Ok(Command::Hello(hello)))) if hello.v == VERSION => {
                self.permit.request_received();
                let wid = hello.wid.filter(|wid| !wid.is_empty()).map(Name::from);
                self.consumer = wid.map(|wid| {
                    let connection = self.shared.registry.connected(&wid);
                    Consumer { wid, connection }
                });
                self.reply(Reply::ok()).await?;
            }
            Some(Err(error)) => return Err(error),
            None => return Ok(()),
            _ => {
                self.shared.handle.counters().malformed.increment();
                let error = format!("HELLO with v {VERSION} comes first");
                return self.reply(Reply::Error(error)).await;
            }
        }
        loop {
            let command = match self.read_ahead.take() {
                Some(command) => command,
                None => {
                    // Only producers count as idle: a consumer may hold jobs and waits for more.
                    if self.consumer.is_none() {
                        self.permit.response_sent();
                    }
                    let mut phase = self.shared.phase.clone();
                    tokio::select! {
                        biased;
                        command = self.frames.next() => command,
                        () = drained(&mut phase) => return Ok(()),
                    }
                }
            };
            self.permit.request_received();
            let reply = match command {
                None => return Ok(()),
                Some(Err(error)) => return Err(error),
                Some(Ok(Err(error))) => {
                    self.shared.handle.counters().malformed.increment();
                    Reply::Error(error.to_string())
                }
                Some(Ok(Ok(Command::End))) => return Ok(()),
                Some(Ok(Ok(command))) => match self.execute(command).await {
                    Some(reply) => reply,
                    // The client disconnected while it waited.
                    None => return Ok(()),
                },
            };
            self.reply(reply).await?;
        }
    }

    async fn reply(&mut self, reply: Reply) -> ConnectionResult {
        // A client that does not read must not occupy its connection forever.
        let sent = timeout(REPLY_TIMEOUT, self.frames.send(reply)).await;
        sent.unwrap_or_else(|e| Err(e.into()))
    }

    async fn execute(&mut self, command: Command) -> Option<Reply> {
        Some(match command {
            Command::Hello(_) => Reply::Error("HELLO was said already".into()),
            Command::Push(job) => return self.push(*job).await,
            Command::Fetch(queues) => return self.fetch(&queues).await,
            Command::Ack(jid) => self.complete(&jid, Ok(())),
            // A job that is reported as failed may still have taken effect.
            Command::Fail(jid) => self.complete(&jid, Err(Outcome::Error)),
            Command::Beat(beat) => self.heartbeat(&beat).await,
            Command::Info => Reply::Bulk(self.info().into()),
            Command::End => return None,
        })
    }

    /// Completes only when the client has disconnected. At most one command is read ahead and kept for later; anything
    /// after it is not read, but the end of the connection is still detected.
    async fn client_disconnected(&mut self) {
        let socket = self.frames.get_ref().handle();
        if self.read_ahead.is_none() {
            match self.frames.next().await {
                None | Some(Err(_)) => return,
                command => self.read_ahead = Some(command),
            }
        }
        socket.closed_by_client().await;
    }

    async fn push(&mut self, job: Job) -> Option<Reply> {
        let shared = self.shared.clone();
        let reject = |reason: String| {
            shared.handle.counters().turned_down.increment();
            Some(Reply::Error(reason))
        };
        if let Some(reason) = shared.rejects_jobs() {
            return reject(reason.into());
        }
        let classes = &shared.settings.classes;
        let Some(class) = classes.iter().position(|c| c.name.as_ref() == job.jobtype) else {
            return reject(format!("jobtype {:?} is not known", job.jobtype));
        };
        let mut reservation = shared.memory.firm();
        if reservation.grow(JOB_COPIES * job.raw.len()).is_err() {
            shared.handle.counters().out_of_memory.increment();
            return reject(unavailable(None));
        }
        let at_most_once = classes[class].effect == Effect::Unsafe;
        let (call, accepted) = Call::new(job);
        let job = call.job.clone();
        let Some(open_job) = shared.jobs.open(call.clone(), at_most_once) else {
            return reject(format!("job {} was pushed before", job.jid));
        };
        let time_left = job.custom.time_left_ms.map_or(shared.class_deadlines[class], Duration::from_millis);
        let submission = Submission {
            class: ClassId(class),
            tenant: None,
            queue: Some(Name::from(job.queue.as_str())),
            key: job.custom.key.as_deref().map(Name::from),
            idempotency_hash: None,
            work: None,
            slots: job.custom.slots.unwrap_or(1.0),
            memory: 0.0,
            deadline: deadline(shared.clock.now(), time_left),
            span: request_span(&job.jid, &job.jobtype),
            call,
        };
        let submitter = shared.clone();
        let mut answer = Box::pin(async move {
            let withdrawn = submitter.withdrawn_by_handover(submission.call.clone());
            submitter.handle.submit_revocable(submission, withdrawn).await
        });
        tokio::select! {
            // Polls the answer first: if both are ready, the job is finished.
            biased;
            answer = &mut answer => {
                return Some(match answer {
                    Answer::Served(()) => Reply::ok(),
                    Answer::Refused { retry_after } => {
                        let reason = shared.rejects_jobs().map(str::to_owned);
                        Reply::Error(reason.unwrap_or_else(|| unavailable(retry_after)))
                    }
                    Answer::Failed => Reply::Error(format!("job {} failed", job.jid)),
                });
            }
            // From here on the producer hears nothing more of the job, so a consumer has to have it.
            Ok(()) = accepted => {}
            // A producer without a reply may push the job again, so the request is dropped.
            () = self.client_disconnected() => if open_job.withdraw() {
                return None;
            },
        }
        tokio::spawn(async move {
            let answer = answer.await;
            if answer != Answer::Served(()) {
                tracing::warn!("job {} was accepted but not served: {answer:?}", job.jid);
            }
            drop((open_job, reservation));
        });
        Some(Reply::ok())
    }

    async fn fetch(&mut self, queues: &[String]) -> Option<Reply> {
        let shared = self.shared.clone();
        let Some(Consumer { wid, connection }) = self.consumer.clone() else {
            return Some(Reply::Error("only a client whose HELLO has a wid may FETCH".into()));
        };
        let fetch_timeout = tokio::time::sleep(FETCH_TIMEOUT);
        let mut fetch_timeout = std::pin::pin!(fetch_timeout);
        let mut phase = shared.phase.clone();
        let mut kept = None;
        loop {
            let changed = shared.registry.changed.notified();
            let mut changed = std::pin::pin!(changed);
            // Registers before the registry is read, so that no change between the read and the wait is missed.
            changed.as_mut().enable();
            // A server that shuts down is no longer the master either, but its consumers wait for what it accepted.
            let is_backup = !*shared.active.borrow() && *shared.phase.borrow() == Phase::Serving;
            if is_backup && kept.is_none() {
                kept = shared.keep_fetch(&wid, queues);
            }
            if !is_backup || kept.is_some() {
                shared.update_list(shared.registry.list(&wid, connection, queues)).await;
            }
            // No job may be handed to a connection that is closed.
            if self.client_disconnected().now_or_never().is_some() {
                return None;
            }
            match shared.registry.fetch(&wid, queues, shared.clock.now()) {
                Fetch::Job(job, AttemptId { request, attempt }) => {
                    // Before anything else can end the attempt: from here on the decisions owe the job.
                    shared.handle.report_progress(request, attempt, AttemptUpdate::Accepted).await;
                    return Some(Reply::Bulk(job.raw.clone()));
                }
                Fetch::Draining => return Some(Reply::Nil),
                // A former master hands out only what it accepted as the master and has to hand out again.
                Fetch::Empty if is_backup && kept.is_none() => {
                    return Some(Reply::Error("this server is a backup: fetch from the master".into()));
                }
                Fetch::Empty => {}
            }
            tokio::select! {
                () = changed => {}
                () = &mut fetch_timeout => return Some(Reply::Nil),
                () = drained(&mut phase) => return Some(Reply::Nil),
                () = self.client_disconnected() => return None,
            }
        }
    }

    fn complete(&self, jid: &str, result: Result<(), Outcome>) -> Reply {
        let wid = self.consumer.as_ref().map(|consumer| &consumer.wid);
        if !self.shared.registry.complete(jid, wid, result) {
            // The job's outcome is already settled, which makes no difference to the consumer.
            self.shared.handle.counters().late_reports.increment();
        }
        Reply::ok()
    }

    async fn heartbeat(&self, beat: &Beat) -> Reply {
        let quiet = matches!(beat.current_state.as_deref(), Some("quiet" | "terminate"));
        let change = self.shared.registry.heartbeat(&Name::from(beat.wid.as_str()), quiet);
        self.shared.update_list(change).await;
        Reply::ok()
    }

    fn info(&self) -> String {
        let (listed, offered, reserved) = self.shared.registry.summary();
        let counters = self.shared.handle.counters();
        let info = serde_json::json!({
            "server": {"faktory_version": VERSION, "description": "rookspoke"},
            "faktory": {
                "listed": listed, "offered": offered, "reserved": reserved,
                "taken": counters.taken.get(), "turned_down": counters.turned_down.get(),
                "served": counters.served(), "refused": counters.refused(),
                "failed": counters.failed(), "client_gone": counters.client_gone.get(),
                "late_reports": counters.late_reports.get(), "malformed": counters.malformed.get(),
            },
        });
        info.to_string()
    }
}

/// Error text of a refused job.
fn unavailable(retry_after: Option<Span>) -> String {
    match retry_after {
        Some(span) => format!("unavailable: come back in {} s", span.secs()),
        None => "unavailable: come back later".into(),
    }
}
