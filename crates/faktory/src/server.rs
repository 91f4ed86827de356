//! Connections of producers and consumers.

use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::codec::{BadCommand, Beat, Codec, Command, Job, Reply, VERSION};
use super::hall::{Fetch, Hall};
use super::transport::{deadline, Call, Consumers};
use super::{settings, FaktoryConfig};
use rookspoke_decisions::{
    Ban, ClassId, Effect, ListScope, Listing, Name, Outcome, Settings, SettingsError, Span,
};
use rookspoke_dispatch::{request_span, Answer, Clock, Core, Counters, Handle, Limits, Submission};
use rookspoke_guard::{ClientSocket, ConnectionLimit, Listener, Permit};

/// A FETCH that finds nothing waits this long, as the specification has it.
const FETCH_WAIT: Duration = Duration::from_secs(2);
/// A client must say HELLO within `first`. Producers may keep their connections for as long as there is room,
/// and consumers are looked after by the hall.
const SILENT: rookspoke_guard::Timeouts = rookspoke_guard::Timeouts {
    first_request: Duration::from_secs(3),
    request: Duration::MAX,
    idle: Duration::MAX,
    response: Duration::MAX,
};
/// A client must read its replies within this time.
const PATIENCE: Duration = Duration::from_secs(10);
/// A consumer must give a sign of life this often, as the specification has it.
const SILENCE: Duration = Duration::from_secs(60);
/// How often consumers are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// Ids of finished jobs that are remembered, so that one handed in again is known.
const REMEMBERED: usize = 16_384;

/// Once no job is open, replies that are being written have this long.
const LAST_REPLIES: Duration = Duration::from_millis(500);

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// It has not begun.
    Open,
    /// Nothing new is taken; what was taken is still handed out.
    Closing,
    /// No job is open: each connection ends with the reply that it owes.
    Done,
}

/// Jobs that were taken, by id.
#[derive(Default)]
struct Jids {
    /// Whether a job is still open, for those that must never run twice and those open now.
    known: HashMap<String, bool>,
    /// The finished ones, oldest first.
    finished: VecDeque<String>,
    open: usize,
}

struct Shared {
    hall: Arc<Hall>,
    handle: Handle<Call, ()>,
    clock: Clock,
    settings: Settings,
    /// Each class's time where a job names none.
    class_time: Vec<Duration>,
    /// Whether new work is taken and handed out: whether this daemon is the master of its pair.
    active: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
    jids: Mutex<Jids>,
    open: watch::Sender<usize>,
}

/// The work server.
pub struct Server {
    shared: Arc<Shared>,
    limit: ConnectionLimit,
    reconnect: Duration,
    phase: watch::Sender<Phase>,
}

/// What operators may ask of the work server.
#[derive(Clone)]
pub struct Operators(Arc<Shared>);

impl Operators {
    /// Whether a consumer of this name takes part, or is taken out by hand.
    pub async fn knows(&self, wid: &str) -> bool {
        self.0.handle.is_known(wid).await
    }

    /// Says all that is taken out by hand; nothing new is handed out there once this has ended.
    pub async fn ban(&self, bans: Arc<[Ban]>) {
        self.0.hall.ban(bans.iter().map(|ban| ban.worker.clone()).collect());
        self.0.handle.set_bans(bans).await;
    }
}

/// Why a connection ended.
type Closed = io::Result<()>;

impl Server {
    /// A server whose core runs as the returned future; `active` tells whether new work is accepted.
    pub fn new(
        config: &FaktoryConfig,
        platform: &Settings,
        class_time: Vec<Duration>,
        seed: u64,
        active: watch::Receiver<bool>,
    ) -> (Self, impl Future<Output = Result<(), SettingsError>> + Send + 'static) {
        let settings = settings(platform);
        let limits = Limits { queue: 4 * config.max_connections.max(64), open_requests: 4096 };
        let (handle, core) = Core::new(limits, settings.classes.iter().map(|class| &class.name));
        let (hall, clock) = (Arc::new(Hall::default()), Clock::start());
        let transport =
            Consumers { hall: hall.clone(), handle: handle.clone(), clock, claim: config.claim() };
        let core = core.run(settings.clone(), seed, clock, transport);
        let (tell_phase, phase) = watch::channel(Phase::Open);
        let jids = Mutex::default();
        let open = watch::Sender::new(0);
        let shared = Shared { hall, handle, clock, settings, class_time, active, phase, jids, open };
        let limit = ConnectionLimit::new(config.max_connections, SILENT);
        (Server { shared: Arc::new(shared), limit, reconnect: config.reconnect(), phase: tell_phase }, core)
    }

    /// What operators may ask of it.
    pub fn operators(&self) -> Operators {
        Operators(self.shared.clone())
    }

    /// The running totals.
    pub fn counters(&self) -> Arc<Counters> {
        self.shared.handle.counters().clone()
    }

    /// Serves until `stop` ends; then takes no new jobs, and ends when those taken have their answers.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut connections = JoinSet::new();
        let mut listener = Listener::new(listener, self.limit.clone());
        let mut sweep = tokio::time::interval(SWEEP);
        let mut open = self.shared.open.subscribe();
        let finish = async {
            stop.await;
            self.phase.send_replace(Phase::Closing);
            // The sender lives as long as `self`.
            let _ = open.wait_for(|open| *open == 0).await;
        };
        let mut finish = std::pin::pin!(finish);
        loop {
            tokio::select! {
                (socket, permit) = listener.accept() => self.open(socket, permit, &mut connections),
                Some(_) = connections.join_next() => {}
                _ = sweep.tick() => {
                    let ago = |time| Instant::now().checked_sub(time);
                    if let (Some(left), Some(silent)) = (ago(self.reconnect), ago(SILENCE)) {
                        let changes = self.shared.hall.sweep(left, silent);
                        self.shared.list(changes).await;
                    }
                }
                () = &mut finish => break,
            }
        }
        drop(listener);
        self.phase.send_replace(Phase::Done);
        let last = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(LAST_REPLIES, last).await;
    }

    fn open(&self, socket: ClientSocket, permit: Permit, connections: &mut JoinSet<()>) {
        let shared = self.shared.clone();
        connections.spawn(async move {
            let frames = Framed::new(socket, Codec::default());
            let mut connection = Connection { shared, frames, next: None, wid: None, permit: permit.clone() };
            let ended = tokio::select! {
                // The connection first: what has come saves it from having to leave.
                biased;
                ended = connection.serve() => ended,
                () = permit.close_requested() => {
                    connection.shared.handle.counters().closed.increment();
                    Ok(())
                }
            };
            if let Err(error) = ended {
                connection.shared.handle.counters().malformed.increment();
                tracing::debug!("a Faktory connection ended: {error}");
                let _ = timeout(PATIENCE, connection.frames.send(Reply::Error(error.to_string()))).await;
            }
            if let Some(wid) = &connection.wid {
                let change = connection.shared.hall.leave(wid);
                connection.shared.list(change).await;
            }
        });
    }
}

impl Shared {
    async fn list(&self, changes: impl IntoIterator<Item = Listing>) {
        let entries: Arc<[Listing]> = changes.into_iter().collect();
        if !entries.is_empty() {
            self.handle.update_list(ListScope::Changes, entries).await;
        }
    }

    fn jids(&self) -> MutexGuard<'_, Jids> {
        self.jids.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a job's record; false if it is known already.
    fn register(&self, jid: &str) -> bool {
        let mut jids = self.jids();
        if jids.known.contains_key(jid) {
            return false;
        }
        jids.known.insert(jid.to_owned(), true);
        jids.open += 1;
        self.open.send_replace(jids.open);
        true
    }

    /// Closes a job's record; one that may have run and must not run twice stays known for long.
    fn finish(&self, jid: &str, remember: bool) {
        let mut jids = self.jids();
        if remember {
            jids.known.insert(jid.to_owned(), false);
            jids.finished.push_back(jid.to_owned());
            if jids.finished.len() > REMEMBERED {
                let oldest = jids.finished.pop_front();
                oldest.map(|oldest| jids.known.remove(&oldest));
            }
        } else {
            jids.known.remove(jid);
        }
        jids.open -= 1;
        self.open.send_replace(jids.open);
    }
}

/// A job's record, closed when the job's final answer is there or nobody waits for it any more.
struct Record {
    shared: Arc<Shared>,
    job: Arc<Job>,
    /// Its class must never run twice.
    once: bool,
    accepted: bool,
}

impl Drop for Record {
    fn drop(&mut self) {
        self.shared.finish(&self.job.jid, self.once && self.accepted);
    }
}

/// Ends once no job is open in a shutdown, or the server is gone.
async fn is_done(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Done).await;
}

struct Connection {
    shared: Arc<Shared>,
    frames: Framed<ClientSocket, Codec>,
    /// A command that came while another was waiting.
    next: Option<Option<io::Result<Result<Command, BadCommand>>>>,
    wid: Option<Name>,
    // Behind the socket: it is free only once that is closed.
    permit: Permit,
}

impl Connection {
    async fn serve(&mut self) -> Closed {
        self.reply(Reply::Simple(format!("HI {{\"v\":{VERSION}}}"))).await?;
        match self.frames.next().await {
            Some(Ok(Ok(Command::Hello(hello)))) if hello.v == VERSION => {
                self.permit.request_received();
                self.wid = hello.wid.filter(|wid| !wid.is_empty()).map(Name::from);
                if let Some(wid) = &self.wid {
                    self.shared.hall.join(wid);
                }
                self.reply(Reply::ok()).await?;
            }
            Some(Err(error)) => return Err(error),
            None => return Ok(()),
            _ => {
                self.shared.handle.counters().malformed.increment();
                return self.reply(Reply::Error(format!("HELLO with v {VERSION} comes first"))).await;
            }
        }
        loop {
            let command = match self.next.take() {
                Some(next) => next,
                None => {
                    // A consumer may hold jobs, and is there to be given more.
                    if self.wid.is_none() {
                        self.permit.response_sent();
                    }
                    let mut phase = self.shared.phase.clone();
                    tokio::select! {
                        biased;
                        command = self.frames.next() => command,
                        () = is_done(&mut phase) => return Ok(()),
                    }
                }
            };
            self.permit.request_received();
            let reply = match command {
                None => return Ok(()),
                Some(Err(error)) => return Err(error),
                Some(Ok(Err(bad))) => {
                    self.shared.handle.counters().malformed.increment();
                    Reply::Error(bad.to_string())
                }
                Some(Ok(Ok(Command::End))) => return Ok(()),
                Some(Ok(Ok(command))) => match self.carry_out(command).await {
                    Some(reply) => reply,
                    // The client left while it waited.
                    None => return Ok(()),
                },
            };
            self.reply(reply).await?;
        }
    }

    async fn reply(&mut self, reply: Reply) -> Closed {
        // A client that does not read must not hold its place for ever.
        let sent = timeout(PATIENCE, self.frames.send(reply)).await;
        sent.unwrap_or_else(|e| Err(e.into()))
    }

    async fn carry_out(&mut self, command: Command) -> Option<Reply> {
        Some(match command {
            Command::Hello(_) => Reply::Error("HELLO was said already".into()),
            Command::Push(job) => return self.push(*job).await,
            Command::Fetch(queues) => return self.fetch(&queues).await,
            Command::Ack(jid) => self.end(&jid, Ok(())),
            // A job reported failed may all the same have finished.
            Command::Fail(jid) => self.end(&jid, Err(Outcome::Error)),
            Command::Beat(beat) => self.beat(&beat).await,
            Command::Info => Reply::Bulk(self.info().into()),
            Command::End => return None,
        })
    }

    /// Ends only when the client is gone. A command that comes early is kept for later; what lies behind it is not
    /// read, but the socket still tells of its end.
    async fn gone(&mut self) {
        let end = self.frames.get_ref().handle();
        if self.next.is_none() {
            match self.frames.next().await {
                None | Some(Err(_)) => return,
                early => self.next = Some(early),
            }
        }
        end.closed_by_client().await;
    }

    async fn push(&mut self, job: Job) -> Option<Reply> {
        let shared = self.shared.clone();
        let refuse = |why: String| {
            shared.handle.counters().turned_down.increment();
            Some(Reply::Error(why))
        };
        if *shared.phase.borrow() > Phase::Open {
            return refuse("this server is about to end: push elsewhere".into());
        }
        if !*shared.active.borrow() {
            return refuse("this server is a backup: push to the master".into());
        }
        let classes = &shared.settings.classes;
        let Some(class) = classes.iter().position(|c| c.name.as_ref() == job.jobtype) else {
            return refuse(format!("jobtype {:?} is not known", job.jobtype));
        };
        if !shared.register(&job.jid) {
            return refuse(format!("job {} was pushed before", job.jid));
        }
        let once = classes[class].effect == Effect::Unsafe;
        let job = Arc::new(job);
        let mut record = Record { shared: shared.clone(), job: job.clone(), once, accepted: false };
        let time = job.custom.time_left_ms.map_or(shared.class_time[class], Duration::from_millis);
        let (accept, accepted) = oneshot::channel();
        let ask = Submission {
            class: ClassId(class),
            tenant: None,
            key: job.custom.key.as_deref().map(Name::from),
            idempotency_hash: None,
            work: None,
            slots: job.custom.slots.unwrap_or(1.0),
            memory: 0.0,
            deadline: deadline(shared.clock.now(), time),
            call: Call::new(job.clone(), accept),
            span: request_span(&job.jid, &job.jobtype),
        };
        let handle = shared.handle.clone();
        let mut answer = Box::pin(async move { handle.submit(ask).await });
        tokio::select! {
            // The answer goes first: with both there, the job is over.
            biased;
            answer = &mut answer => {
                // Only what was refused may be pushed again.
                record.accepted = !matches!(answer, Answer::Refused { .. });
                return Some(match answer {
                    Answer::Served(()) => Reply::ok(),
                    Answer::Refused { retry_after } => Reply::Error(unavailable(retry_after)),
                    Answer::Failed => Reply::Error(format!("job {} failed", job.jid)),
                });
            }
            // A producer that never heard of it may push it again: the job goes no further.
            () = self.gone() => return None,
            told = accepted => if told.is_err() {
                return Some(Reply::Error("the core has ended".into()));
            },
        }
        record.accepted = true;
        tokio::spawn(async move {
            let answer = answer.await;
            if answer != Answer::Served(()) {
                tracing::warn!("job {} was accepted and ended unserved: {answer:?}", record.job.jid);
            }
            drop(record);
        });
        Some(Reply::ok())
    }

    async fn fetch(&mut self, queues: &[String]) -> Option<Reply> {
        let shared = self.shared.clone();
        let Some(wid) = self.wid.clone() else {
            return Some(Reply::Error("only a client whose HELLO has a wid may FETCH".into()));
        };
        let patience = tokio::time::sleep(FETCH_WAIT);
        let mut patience = std::pin::pin!(patience);
        let mut phase = shared.phase.clone();
        loop {
            // One that is about to end is no master any more, but must still hand out what it took.
            if !*shared.active.borrow() && *shared.phase.borrow() == Phase::Open {
                return Some(Reply::Error("this server is a backup: fetch from the master".into()));
            }
            let news = shared.hall.news.notified();
            let mut news = std::pin::pin!(news);
            // From here on no news is missed, whatever happens between the look and the wait.
            news.as_mut().enable();
            let (found, joins) = shared.hall.fetch(&wid, queues, shared.clock.now());
            shared.list(joins).await;
            match found {
                Fetch::Job(job) => return Some(Reply::Bulk(job.raw.clone())),
                Fetch::Draining => return Some(Reply::Nil),
                Fetch::Nothing => {}
            }
            tokio::select! {
                () = news => {}
                () = &mut patience => return Some(Reply::Nil),
                () = is_done(&mut phase) => return Some(Reply::Nil),
                // Nothing may be handed to a connection that is gone.
                () = self.gone() => return None,
            }
        }
    }

    fn end(&self, jid: &str, result: Result<(), Outcome>) -> Reply {
        if !self.shared.hall.end(jid, self.wid.as_ref(), result) {
            // The job's outcome is settled; the consumer need not hear of it again.
            self.shared.handle.counters().late_reports.increment();
        }
        Reply::ok()
    }

    async fn beat(&self, beat: &Beat) -> Reply {
        let quiet = matches!(beat.current_state.as_deref(), Some("quiet" | "terminate"));
        let change = self.shared.hall.beat(&Name::from(beat.wid.as_str()), quiet);
        self.shared.list(change).await;
        Reply::ok()
    }

    fn info(&self) -> String {
        let (listed, offered, reserved) = self.shared.hall.figures();
        let counters = self.shared.handle.counters();
        let figures = serde_json::json!({
            "server": {"faktory_version": VERSION, "description": "rookspoke"},
            "faktory": {
                "listed": listed, "offered": offered, "reserved": reserved,
                "taken": counters.taken.get(), "turned_down": counters.turned_down.get(),
                "served": counters.served(), "refused": counters.refused(),
                "failed": counters.failed(), "client_gone": counters.client_gone.get(),
                "late_reports": counters.late_reports.get(), "malformed": counters.malformed.get(),
            },
        });
        figures.to_string()
    }
}

fn unavailable(retry_after: Option<Span>) -> String {
    match retry_after {
        Some(span) => format!("unavailable: come back in {} s", span.secs()),
        None => "unavailable: come back later".into(),
    }
}
