//! Discovery on sockets, by the published calls and watches: it tells late, refuses, falls silent, or tells old lists.

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

/// As long as nothing changes, a watch says so this often.
const EMPTY_EVERY: Duration = Duration::from_secs(2);
/// What a silent watch has missed counts as told so long after it fell silent, by the operators' standing test.
const SILENCE_COUNTS: Duration = Duration::from_secs(6);
/// Changes of each log worker that a watch may be behind; one that is further behind ends, and its dispatcher asks anew.
const BEHIND: usize = 4;

/// What discovery sees of a log worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work, and started then; none is long ago.
    Active(Option<Time>),
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Gone,
}

/// How discovery is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// As it should be.
    Normal,
    /// Calls are answered 503, and watches have ended.
    Refusing,
    /// Calls are taken and nothing is answered; watches stay open and say nothing.
    Silent,
    /// It goes on telling the list as it was when this began.
    Stale,
}

struct State {
    view: Vec<ListedState>,
    /// Starts of processes, kept through a drain.
    started: Vec<Option<Time>>,
    rev: u64,
    /// The list that is told while it is old.
    old: Option<(u64, Vec<ListedState>)>,
    /// When the next call can be served.
    free: Time,
    /// What was last written to each dispatcher.
    told: HashMap<(usize, usize), ListedState>,
    notified_start: HashMap<(usize, usize), Time>,
    /// Processes that each dispatcher has had.
    lives: HashMap<usize, u64>,
}

struct Inner {
    s: Scenario,
    seed: u64,
    event_log: EventLog,
    state: Mutex<State>,
    mode: watch::Sender<DiscoveryMode>,
    changes: broadcast::Sender<(u64, usize, ListedState)>,
    /// Where each group of dispatchers reaches each log worker.
    ways: Vec<Vec<SocketAddr>>,
    /// The group of each dispatcher.
    groups: Vec<usize>,
}

/// Discovery. Clones are the same.
#[derive(Clone)]
pub struct DiscoveryServer(Arc<Inner>);

impl DiscoveryServer {
    /// Discovery of a scenario's log workers; `ways` holds, for each group of dispatchers, where it reaches each of
    /// them, and `groups` the group of each dispatcher.
    pub fn new(
        s: &Scenario,
        seed: u64,
        event_log: EventLog,
        ways: Vec<Vec<SocketAddr>>,
        groups: Vec<usize>,
    ) -> Self {
        let workers = s.count("workers");
        let state = State {
            view: vec![ListedState::Active(None); workers],
            started: vec![None; workers],
            rev: 1,
            old: None,
            free: Time(0),
            told: HashMap::new(),
            notified_start: HashMap::new(),
            lives: HashMap::new(),
        };
        let mode = watch::Sender::new(DiscoveryMode::Normal);
        let changes = broadcast::Sender::new(BEHIND * workers.max(256));
        DiscoveryServer(Arc::new(Inner {
            s: s.clone(),
            seed,
            event_log,
            state: Mutex::new(state),
            mode,
            changes,
            ways,
            groups,
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a dispatcher, which asks at a listener of its own.
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
                        async move { Ok::<_, Infallible>(discovery_server.answer(dispatcher, request).await) }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    }

    /// Discovery sees this of a log worker in a while, and tells it then.
    pub fn update_after(&self, after: Span, worker: usize, view: ListedState) {
        let discovery_server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration(after)).await;
            discovery_server.update(worker, view);
        });
    }

    /// Discovery sees this of a log worker.
    pub fn update(&self, worker: usize, view: ListedState) {
        let mut state = self.state();
        state.view[worker] = view;
        if let ListedState::Active(started) = view {
            state.started[worker] = started;
        }
        state.rev += 1;
        let _ = self.0.changes.send((state.rev, worker, view));
    }

    /// Changes how discovery is.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let mut state = self.state();
        state.old = (mode == DiscoveryMode::Stale).then(|| (state.rev, state.view.clone()));
        self.0.mode.send_replace(mode);
    }

    /// A dispatcher's process is new, and was told nothing yet.
    pub fn forget_dispatcher(&self, dispatcher: usize) {
        let mut state = self.state();
        *state.lives.entry(dispatcher).or_default() += 1;
        state.told.retain(|(of, _), _| *of != dispatcher);
        state.notified_start.retain(|(of, _), _| *of != dispatcher);
    }

    /// The start of a log worker's process, as this dispatcher was last told.
    pub fn notified_start(&self, dispatcher: usize, worker: usize) -> Option<Time> {
        self.state().notified_start.get(&(dispatcher, worker)).copied()
    }

    /// The whole list as it is, for a dispatcher that remembers it from before its start.
    pub fn snapshot(&self, dispatcher: usize) -> Value {
        let state = self.state();
        self.whole(&state, dispatcher, state.rev, &state.view)
    }

    fn whole(&self, state: &State, dispatcher: usize, rev: u64, view: &[ListedState]) -> Value {
        let here = view.iter().enumerate().filter(|(_, view)| **view != ListedState::Gone);
        let targets: Vec<Value> = here.map(|(w, view)| self.entry(state, dispatcher, w, *view)).collect();
        json!({"rev": rev, "all": true, "targets": targets})
    }

    fn entry(&self, state: &State, dispatcher: usize, worker: usize, view: ListedState) -> Value {
        let zones = self.0.s.count("zones");
        let started = match view {
            ListedState::Active(started) => started,
            ListedState::Draining | ListedState::Gone => state.started[worker],
        };
        let boot_ms = started.map_or(0, |at| self.0.event_log.clock().unix_ms(at));
        json!({
            "uid": worker_name(worker), "endpoint": self.0.ways[self.0.groups[dispatcher]][worker],
            "az": format!("z{}", worker % zones), "model": "std", "pod_group": worker / 8,
            "state": match view { ListedState::Active(_) => "active", ListedState::Draining => "leaving", ListedState::Gone => "left" },
            "capacity_hint": 1.0, "boot_ms": boot_ms,
        })
    }

    /// What is written to a dispatcher here.
    fn writes(&self, state: &mut State, dispatcher: usize, worker: usize, view: ListedState) {
        let before = state.told.insert((dispatcher, worker), view).unwrap_or(ListedState::Active(None));
        if let ListedState::Active(Some(started)) = view {
            state.notified_start.insert((dispatcher, worker), started);
        }
        let takes = |view| matches!(view, ListedState::Active(_));
        if takes(before) != takes(view) {
            self.0.event_log.record(Event::Notified { dispatcher, worker, accepts_work: takes(view) });
        }
    }

    /// The whole list, written to a dispatcher now.
    fn write_whole(&self, dispatcher: usize) -> (u64, String) {
        let mut state = self.state();
        let (rev, view) = state.old.clone().unwrap_or_else(|| (state.rev, state.view.clone()));
        for (worker, view) in view.iter().enumerate() {
            self.writes(&mut state, dispatcher, worker, *view);
        }
        (rev, format!("{}\n", self.whole(&state, dispatcher, rev, &view)))
    }

    fn write_change(&self, dispatcher: usize, rev: u64, worker: usize, view: ListedState) -> String {
        let mut state = self.state();
        self.writes(&mut state, dispatcher, worker, view);
        let targets = [self.entry(&state, dispatcher, worker, view)];
        format!("{}\n", json!({"rev": rev, "all": false, "targets": targets}))
    }

    async fn answer(&self, dispatcher: usize, request: Request<Incoming>) -> Response<StreamBody> {
        if request.uri().path() != "/registry/instances" {
            return plain_response(StatusCode::NOT_FOUND, "");
        }
        let watches = request.uri().query().is_some_and(|query| query.contains("watch=1"));
        if !self.its_turn().await {
            return plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if !watches {
            return plain_response(StatusCode::OK, self.write_whole(dispatcher).1);
        }
        let (say, said) = mpsc::channel(16);
        let discovery_server = self.clone();
        tokio::spawn(async move { discovery_server.follow(dispatcher, say).await });
        Response::new(StreamBody::new(said, || {}))
    }

    /// Calls wait in turn; one that would wait for too long fails.
    async fn its_turn(&self) -> bool {
        let mut mode = self.0.mode.subscribe();
        let timeout = self.0.s.span("discovery.timeout");
        if mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await.is_err()
            || *mode.borrow() == DiscoveryMode::Refusing
        {
            return false;
        }
        let clock = self.0.event_log.clock();
        let served = {
            let mut state = self.state();
            let served =
                state.free.max(clock.now()) + Span::from_ms(1000.0 / self.0.s.get("discovery.calls"));
            if served - clock.now() > timeout {
                None
            } else {
                state.free = served;
                Some(served)
            }
        };
        match served {
            Some(served) => {
                clock.sleep_until(served).await;
                true
            }
            None => {
                tokio::time::sleep(duration(timeout)).await;
                false
            }
        }
    }

    /// A watch is over that had been silent since then: the drains that it missed count as told when their time is up,
    /// whatever else the dispatcher hears or does not hear.
    fn missed(&self, dispatcher: usize, silent: tokio::time::Instant) {
        let (life, missed) = {
            let state = self.state();
            let life = state.lives.get(&dispatcher).copied();
            let stops = |worker: &usize| !matches!(state.view[*worker], ListedState::Active(_));
            (life, (0..state.view.len()).filter(stops).collect::<Vec<_>>())
        };
        let discovery_server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(silent + SILENCE_COUNTS).await;
            let mut state = discovery_server.state();
            if state.lives.get(&dispatcher).copied() != life {
                return;
            }
            for worker in missed {
                let view = state.view[worker];
                if !matches!(view, ListedState::Active(_)) {
                    discovery_server.writes(&mut state, dispatcher, worker, view);
                }
            }
        });
    }

    /// Tells a watch what changes, until nobody listens or discovery goes down.
    async fn follow(&self, dispatcher: usize, say: mpsc::Sender<BodyChunk>) {
        let mut changes = self.0.changes.subscribe();
        let mut mode = self.0.mode.subscribe();
        let mut rng = stream(self.0.seed, Stream::Discovery, dispatcher as u64);
        let spread = self.0.s.span("discovery.spread").0.max(1);
        // Subscribed before the list is read: a change is told twice rather than never.
        let (mut held, mut line) = self.write_whole(dispatcher);
        loop {
            if say.send(Ok(Bytes::from(line))).await.is_err() {
                return;
            }
            line = loop {
                let now = *mode.borrow_and_update();
                match now {
                    DiscoveryMode::Refusing => return drop(say.send(Err(ConnectionReset)).await),
                    DiscoveryMode::Silent => {
                        let silent = tokio::time::Instant::now();
                        tokio::select! {
                            _ = mode.changed() => {}
                            // Whoever waits no longer is told nothing.
                            () = say.closed() => return self.missed(dispatcher, silent),
                            () = tokio::time::sleep(SILENCE_COUNTS) => self.missed(dispatcher, silent),
                        }
                        // What changed in the meantime comes with the whole list.
                        if *mode.borrow() != DiscoveryMode::Silent {
                            let (rev, whole) = self.write_whole(dispatcher);
                            held = rev;
                            break whole;
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
                            // What was kept from it.
                            let (rev, whole) = self.write_whole(dispatcher);
                            held = rev;
                            break whole;
                        }
                    }
                    change = changes.recv() => match change {
                        Ok((rev, worker, view)) if rev > held && now == DiscoveryMode::Normal => {
                            held = rev;
                            let late = rng.random_range(0..=spread) as u64;
                            tokio::time::sleep(Duration::from_micros(late)).await;
                            if *mode.borrow() == DiscoveryMode::Normal {
                                break self.write_change(dispatcher, rev, worker, view);
                            }
                        }
                        Ok(_) => {}
                        Err(_) => return drop(say.send(Err(ConnectionReset)).await),
                    },
                    () = tokio::time::sleep(EMPTY_EVERY) => break "\n".into(),
                    () = say.closed() => return,
                }
            };
        }
    }
}
