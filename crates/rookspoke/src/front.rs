//! The daemon's HTTP front: accepts client connections, and closes them in a graceful shutdown.

use std::future::Future;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use rookspoke_channel::ShutdownLimits;
use rookspoke_guard::{ConnectionCounts, ConnectionLimit, Listener, Timeouts};

use crate::connection::{self, Context, Phase};
use crate::logging::SHUTDOWN;
use crate::server_state::ServerState;
use crate::shutdown::ShutdownPlan;

/// A client that sends nothing, or stops in the middle of a request, is due an error within 3 s. These limits leave at
/// least half a second of that for scheduling delays.
const CLIENT_TIMEOUTS: Timeouts = Timeouts {
    first_request: Duration::from_secs(2),
    request: Duration::from_millis(2500),
    idle: Duration::from_secs(60),
    response: Duration::from_secs(10),
};
/// Time to accept the connections that are in the backlog when the listener closes.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);

/// The HTTP server for clients.
pub struct Front {
    state: ServerState,
    /// The limit on client connections.
    limit: ConnectionLimit,
    /// The longest time a client waits for a response, from the current configuration.
    longest_deadline: watch::Receiver<Duration>,
}

impl Front {
    /// A front for at most `connections` client connections, whose requests wait at most `longest_deadline`.
    pub fn new(state: ServerState, connections: usize, longest_deadline: watch::Receiver<Duration>) -> Self {
        Front { state, limit: ConnectionLimit::new(connections, CLIENT_TIMEOUTS), longest_deadline }
    }

    /// The limit on client connections, for adjustments while the front is serving.
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Serves until `stop` completes, then shuts down by a [`ShutdownPlan`] and returns when the last connection is
    /// closed. If the listener is `shared`, another process accepts the connections that this one does not. So this
    /// process accepts none before it is ready, and none after `stop`.
    pub async fn serve(self, listener: TcpListener, shared: bool, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        if shared {
            tokio::select! {
                () = self.state.channel().ready() => {}
                () = &mut stop => return,
            }
        }
        self.state.start_accepting();
        let (phase, phases) = watch::channel(Phase::Serving);
        let context = Context { state: self.state.clone(), phase: phases };
        let mut connections = JoinSet::new();
        let mut listener = Listener::new(listener, self.limit.clone());
        self.accept(&mut listener, &mut connections, &context, stop).await;

        let shutdown_start = Instant::now();
        self.state.begin_shutdown();
        let plan = self.plan(shared);
        if !shared {
            let accept_until = sleep_until((shutdown_start + plan.accept_until).into());
            self.accept(&mut listener, &mut connections, &context, accept_until).await;
        }
        self.state.channel().begin_shutdown(ShutdownLimits {
            body_deadline: shutdown_start + plan.cut_off,
            answer_deadline: shutdown_start + plan.answered_by,
        });
        let backlog_until = Instant::now() + BACKLOG_TIMEOUT;
        while let Some((socket, permit)) = listener.accept_remaining(shared, backlog_until).await {
            connections.spawn(connection::serve(context.clone(), socket, permit));
        }
        self.log_phase("the listener is closed; open connections are still served");
        let counters = self.state.channel().counters();
        (0..self.limit.counts().open).for_each(|_| counters.shutdown_connections.increment());

        let mut sweeps = std::pin::pin!(listener.close_and_sweep());
        let mut phases = std::pin::pin!(self.end_connections(plan, shutdown_start, phase));
        loop {
            tokio::select! {
                ended = connections.join_next() => if ended.is_none() {
                    return self.log_phase("every connection is closed");
                },
                () = &mut sweeps => {}
                () = &mut phases => {}
            }
        }
    }

    /// Accepts connections until `end` completes.
    async fn accept(
        &self,
        listener: &mut Listener,
        connections: &mut JoinSet<()>,
        context: &Context,
        end: impl Future<Output = ()>,
    ) {
        let mut end = std::pin::pin!(end);
        loop {
            tokio::select! {
                (socket, permit) = listener.accept() => {
                    connections.spawn(connection::serve(context.clone(), socket, permit));
                }
                Some(_) = connections.join_next() => {}
                () = &mut end => return,
            }
        }
    }

    /// Computes the shutdown plan and logs it.
    fn plan(&self, shared: bool) -> ShutdownPlan {
        let longest_deadline = *self.longest_deadline.borrow();
        let plan = match shared {
            true => ShutdownPlan::with_successor(longest_deadline),
            false => ShutdownPlan::new(longest_deadline),
        };
        let ConnectionCounts { open, pending } = self.limit.counts();
        tracing::info!(
            target: SHUTDOWN,
            connections = open, awaiting_answer = pending, ?longest_deadline, accept_until = ?plan.accept_until,
            serve_until = ?plan.serve_until, cut_off = ?plan.cut_off, answered_by = ?plan.answered_by,
            earliest_kill = ?plan.earliest_kill, "shutdown: SIGTERM received"
        );
        plan
    }

    /// Advances the phase of all connections as scheduled by the plan; never completes.
    async fn end_connections(
        &self,
        plan: ShutdownPlan,
        shutdown_start: Instant,
        phase: watch::Sender<Phase>,
    ) {
        // The process has to stay until the requests accepted so far are answered, so until then it keeps serving open
        // connections, up to `serve_until`.
        let serve_until = shutdown_start + plan.serve_until;
        let _ = tokio::time::timeout_at(serve_until.into(), self.limit.pending_answered()).await;
        phase.send_replace(Phase::Closing);
        self.log_phase("each connection closes after its next response");
        sleep_until((shutdown_start + plan.cut_off).into()).await;
        phase.send_replace(Phase::CutOff);
        self.log_phase("no further requests are read");
        sleep_until((shutdown_start + plan.answered_by).into()).await;
        self.log_phase("every accepted request should have been answered by now");
        std::future::pending().await
    }

    /// Logs a phase of the shutdown with the numbers of open connections and of pending responses.
    fn log_phase(&self, phase: &str) {
        let ConnectionCounts { open, pending } = self.limit.counts();
        tracing::info!(
            target: SHUTDOWN, connections = open, awaiting_answer = pending, "shutdown: {phase}"
        );
    }
}
