//! The stand-in for discovery: serves the published calls and watches on real sockets. It can be late, refuse calls, stop
//! answering, or serve stale lists.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rookspoke_decisions::{Span, Time};
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, watch};

use crate::clock::duration;
use crate::event_log::{Event, EventLog};
use crate::response::{plain_response, BodyChunk, ConnectionReset, StreamBody};
use crate::worker_pool::worker_name;

/// Interval at which an empty line is sent on a watch while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A drain that a silent watch missed counts as notified this long after the watch fell silent, as in the operators'
/// acceptance test.
const SILENCE_GRACE: Duration = Duration::from_secs(6);
/// Number of changes for each log worker that a watch may lag behind. A watch that lags further is reset, and its
/// dispatcher opens a new one.
const BACKLOG_PER_WORKER: usize = 4;

/// The state of a log worker as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts work. It started at this time, or before the run if there is none.
    Active(Option<Time>),
    /// It accepts no new work.
    Draining,
    /// It has left, and full lists omit it.
    Gone,
}

/// Behaviour of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Calls and watches work.
    Normal,
    /// Calls are answered 503, and watches are reset.
    Refusing,
    /// Calls are accepted and not answered; watches stay open and send nothing.
    Silent,
    /// Calls and watches serve the list as it was when this mode began.
    Stale,
}

struct State {
    listed: Vec<ListedState>,
    /// Start of each log worker's process, kept through a drain.
    started: Vec<Option<Time>>,
    rev: u64,
    /// Revision and list that are served in stale mode.
    stale_list: Option<(u64, Vec<ListedState>)>,
    /// Earliest time at which the next call is served.
    next_call_at: Time,
    /// The state last sent, by dispatcher and log worker.
    sent: HashMap<(usize, usize), ListedState>,
    /// The start of a log worker's process last sent, by dispatcher and log worker.
    notified_start: HashMap<(usize, usize), Time>,
    /// Number of restarts of each dispatcher.
    process_counts: HashMap<usize, u64>,
}

struct Inner {
    scenario: Scenario,
    seed: u64,
    event_log: EventLog,
    state: Mutex<State>,
    mode: watch::Sender<DiscoveryMode>,
    changes: broadcast::Sender<(u64, usize, ListedState)>,
    /// For each group of dispatchers, the addresses at which it reaches the log workers.
    routes: Vec<Vec<SocketAddr>>,
    /// The group of each dispatcher.
    groups: Vec<usize>,
}

/// The discovery server. Clones share the same state.
#[derive(Clone)]
pub struct DiscoveryServer(Arc<Inner>);

impl DiscoveryServer {
    /// Creates the discovery of a scenario's log workers. `routes` holds, for each group of dispatchers, the addresses at
    /// which it reaches them; `groups` holds the group of each dispatcher.
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        event_log: EventLog,
        routes: Vec<Vec<SocketAddr>>,
        groups: Vec<usize>,
    ) -> Self {
        let workers = scenario.count("workers");
        let state = State {
            listed: vec![ListedState::Active(None); workers],
            started: vec![None; workers],
            rev: 1,
            stale_list: None,
            next_call_at: Time(0),
            sent: HashMap::new(),
            notified_start: HashMap::new(),
            process_counts: HashMap::new(),
        };
        let mode = watch::Sender::new(DiscoveryMode::Normal);
        let changes = broadcast::Sender::new(BACKLOG_PER_WORKER * workers.max(256));
        DiscoveryServer(Arc::new(Inner {
            scenario: scenario.clone(),
            seed,
            event_log,
            state: Mutex::new(state),
            mode,
            changes,
            routes,
            groups,
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a dispatcher on a listener of its own.
    pub fn serve(&self, dispatcher: usize, listener: TcpListener) {
        let discovery_server = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let discovery_server = discovery_server.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let discovery_server = discovery_server.clone();
                        async move {
                            Ok::<_, Infallible>(discovery_server.handle_request(dispatcher, request).await)
                        }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    }

    /// Lists a log worker in this state after a delay.
    pub fn update_after(&self, delay: Span, worker: usize, listed: ListedState) {
        let discovery_server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration(delay)).await;
            discovery_server.update(worker, listed);
        });
    }

    /// Lists a log worker in this state, and sends the change to watches.
    pub fn update(&self, worker: usize, listed: ListedState) {
        let mut state = self.state();
        state.listed[worker] = listed;
        if let ListedState::Active(started) = listed {
            state.started[worker] = started;
        }
        state.rev += 1;
        let _ = self.0.changes.send((state.rev, worker, listed));
    }

    /// Changes the behaviour of discovery.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let mut state = self.state();
        state.stale_list = (mode == DiscoveryMode::Stale).then(|| (state.rev, state.listed.clone()));
        self.0.mode.send_replace(mode);
    }

    /// Notes that a dispatcher's process is new, so that nothing has been sent to it yet.
    pub fn forget_dispatcher(&self, dispatcher: usize) {
        let mut state = self.state();
        *state.process_counts.entry(dispatcher).or_default() += 1;
        state.sent.retain(|(of, _), _| *of != dispatcher);
        state.notified_start.retain(|(of, _), _| *of != dispatcher);
    }

    /// The start of a log worker's process that was last sent to this dispatcher.
    pub fn notified_start(&self, dispatcher: usize, worker: usize) -> Option<Time> {
        self.state().notified_start.get(&(dispatcher, worker)).copied()
    }

    /// The present list, for the configuration of a dispatcher that starts with a known list.
    pub fn snapshot(&self, dispatcher: usize) -> Value {
        let state = self.state();
        self.full_list(&state, dispatcher, state.rev, &state.listed)
    }

    fn full_list(&self, state: &State, dispatcher: usize, rev: u64, listed: &[ListedState]) -> Value {
        let present = listed.iter().enumerate().filter(|(_, listed)| **listed != ListedState::Gone);
        let targets: Vec<Value> =
            present.map(|(w, listed)| self.target(state, dispatcher, w, *listed)).collect();
        json!({"rev": rev, "all": true, "targets": targets})
    }

    fn target(&self, state: &State, dispatcher: usize, worker: usize, listed: ListedState) -> Value {
        let zones = self.0.scenario.count("zones");
        let started = match listed {
            ListedState::Active(started) => started,
            ListedState::Draining | ListedState::Gone => state.started[worker],
        };
        let boot_ms = started.map_or(0, |at| self.0.event_log.clock().unix_ms(at));
        let state_name = match listed {
            ListedState::Active(_) => "active",
            ListedState::Draining => "leaving",
            ListedState::Gone => "left",
        };
        json!({
            "uid": worker_name(worker), "endpoint": self.0.routes[self.0.groups[dispatcher]][worker],
            "az": format!("z{}", worker % zones), "model": "std", "pod_group": worker / 8,
            "state": state_name,
            "capacity_hint": 1.0, "boot_ms": boot_ms,
        })
    }

    /// Notes that a state is written to a dispatcher, and records an event if it changes whether the log worker accepts
    /// work.
    fn note_written(&self, state: &mut State, dispatcher: usize, worker: usize, listed: ListedState) {
        let before = state.sent.insert((dispatcher, worker), listed).unwrap_or(ListedState::Active(None));
        if let ListedState::Active(Some(started)) = listed {
            state.notified_start.insert((dispatcher, worker), started);
        }
        let accepts_work = |listed| matches!(listed, ListedState::Active(_));
        if accepts_work(before) != accepts_work(listed) {
            self.0.event_log.record(Event::Notified {
                dispatcher,
                worker,
                accepts_work: accepts_work(listed),
            });
        }
    }

    /// The revision and text of the full list, noted as written to a dispatcher.
    fn write_full_list(&self, dispatcher: usize) -> (u64, String) {
        let mut state = self.state();
        let (rev, listed) = state.stale_list.clone().unwrap_or_else(|| (state.rev, state.listed.clone()));
        for (worker, listed) in listed.iter().enumerate() {
            self.note_written(&mut state, dispatcher, worker, *listed);
        }
        (rev, format!("{}\n", self.full_list(&state, dispatcher, rev, &listed)))
    }

    fn write_change(&self, dispatcher: usize, rev: u64, worker: usize, listed: ListedState) -> String {
        let mut state = self.state();
        self.note_written(&mut state, dispatcher, worker, listed);
        let targets = [self.target(&state, dispatcher, worker, listed)];
        format!("{}\n", json!({"rev": rev, "all": false, "targets": targets}))
    }

    async fn handle_request(&self, dispatcher: usize, request: Request<Incoming>) -> Response<StreamBody> {
        if request.uri().path() != "/registry/instances" {
            return plain_response(StatusCode::NOT_FOUND, "");
        }
        let is_watch = request.uri().query().is_some_and(|query| query.contains("watch=1"));
        if !self.wait_for_turn().await {
            return plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if !is_watch {
            return plain_response(StatusCode::OK, self.write_full_list(dispatcher).1);
        }
        let (chunks, receiver) = mpsc::channel(16);
        let discovery_server = self.clone();
        tokio::spawn(async move { discovery_server.serve_watch(dispatcher, chunks).await });
        Response::new(StreamBody::new(receiver, || {}))
    }

    /// Waits for the call's turn, by the rate of calls that the scenario allows. Returns false where calls are refused, or
    /// after the timeout where the wait would exceed it.
    async fn wait_for_turn(&self) -> bool {
        let mut mode = self.0.mode.subscribe();
        let timeout = self.0.scenario.span("discovery.timeout");
        if mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await.is_err()
            || *mode.borrow() == DiscoveryMode::Refusing
        {
            return false;
        }
        let clock = self.0.event_log.clock();
        let serve_at = {
            let mut state = self.state();
            let at = state.next_call_at.max(clock.now())
                + Span::from_ms(1000.0 / self.0.scenario.get("discovery.calls"));
            if at - clock.now() > timeout {
                None
            } else {
                state.next_call_at = at;
                Some(at)
            }
        };
        match serve_at {
            Some(at) => {
                clock.sleep_until(at).await;
                true
            }
            None => {
                tokio::time::sleep(duration(timeout)).await;
                false
            }
        }
    }

    /// Counts the drains that a silent watch missed as notified at the end of the grace period, whatever else the
    /// dispatcher receives until then. They are void if the dispatcher's process is replaced.
    fn mark_missed_drains(&self, dispatcher: usize, silent_since: tokio::time::Instant) {
        let (process_count, missed) = {
            let state = self.state();
            let process_count = state.process_counts.get(&dispatcher).copied();
            let not_active = |worker: &usize| !matches!(state.listed[*worker], ListedState::Active(_));
            (process_count, (0..state.listed.len()).filter(not_active).collect::<Vec<_>>())
        };
        let discovery_server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(silent_since + SILENCE_GRACE).await;
            let mut state = discovery_server.state();
            if state.process_counts.get(&dispatcher).copied() != process_count {
                return;
            }
            for worker in missed {
                let listed = state.listed[worker];
                if !matches!(listed, ListedState::Active(_)) {
                    discovery_server.note_written(&mut state, dispatcher, worker, listed);
                }
            }
        });
    }

    /// Sends changes to a watch until its dispatcher closes it or discovery refuses calls.
    async fn serve_watch(&self, dispatcher: usize, chunks: mpsc::Sender<BodyChunk>) {
        let mut changes = self.0.changes.subscribe();
        let mut mode = self.0.mode.subscribe();
        let mut rng = stream(self.0.seed, Stream::Discovery, dispatcher as u64);
        let spread = self.0.scenario.span("discovery.spread").0.max(1);
        // Changes are subscribed to before the list is read, so that a change can come twice but is never missed.
        let (mut last_rev, mut line) = self.write_full_list(dispatcher);
        loop {
            if chunks.send(Ok(Bytes::from(line))).await.is_err() {
                return;
            }
            line = loop {
                let now = *mode.borrow_and_update();
                match now {
                    DiscoveryMode::Refusing => return drop(chunks.send(Err(ConnectionReset)).await),
                    DiscoveryMode::Silent => {
                        let silent_since = tokio::time::Instant::now();
                        tokio::select! {
                            _ = mode.changed() => {}
                            // The dispatcher gave up waiting.
                            () = chunks.closed() => return self.mark_missed_drains(dispatcher, silent_since),
                            () = tokio::time::sleep(SILENCE_GRACE) => self.mark_missed_drains(dispatcher, silent_since),
                        }
                        // The full list brings the changes missed in the meantime.
                        if *mode.borrow() != DiscoveryMode::Silent {
                            let (rev, list) = self.write_full_list(dispatcher);
                            last_rev = rev;
                            break list;
                        }
                        continue;
                    }
                    DiscoveryMode::Normal | DiscoveryMode::Stale => {}
                }
                tokio::select! {
                    changed = mode.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        if now == DiscoveryMode::Stale && *mode.borrow() == DiscoveryMode::Normal {
                            // The full list brings the changes withheld in stale mode.
                            let (rev, list) = self.write_full_list(dispatcher);
                            last_rev = rev;
                            break list;
                        }
                    }
                    change = changes.recv() => match change {
                        Ok((rev, worker, listed)) if rev > last_rev && now == DiscoveryMode::Normal => {
                            last_rev = rev;
                            let late = rng.random_range(0..=spread) as u64;
                            tokio::time::sleep(Duration::from_micros(late)).await;
                            if *mode.borrow() == DiscoveryMode::Normal {
                                break self.write_change(dispatcher, rev, worker, listed);
                            }
                        }
                        Ok(_) => {}
                        Err(_) => return drop(chunks.send(Err(ConnectionReset)).await),
                    },
                    () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => break "\n".into(),
                    () = chunks.closed() => return,
                }
            };
        }
    }
}
