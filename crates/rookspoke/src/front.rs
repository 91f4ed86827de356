//! The daemon's HTTP front: it accepts clients, and ends their connections in a graceful shutdown.

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
use crate::serving::Serving;
use crate::shutdown::ShutdownPlan;

/// Clients that say nothing, or stop in the middle of a request, are told so within 3 s: this leaves half a second and
/// more for a late turn.
const CLIENT_TIMEOUTS: Timeouts = Timeouts {
    first_request: Duration::from_secs(2),
    request: Duration::from_millis(2500),
    idle: Duration::from_secs(60),
    response: Duration::from_secs(10),
};
/// Connections that wait in the backlog when the listener closes are accepted within this time.
const BACKLOG: Duration = Duration::from_millis(100);

/// Serves clients on a listener.
pub struct Front {
    serving: Serving,
    /// Places for client connections.
    limit: ConnectionLimit,
    /// What clients wait for at most, as the configuration says now.
    longest_deadline: watch::Receiver<Duration>,
}

impl Front {
    /// A front with places for `connections` clients, which wait for `longest_deadline` at most.
    pub fn new(serving: Serving, connections: usize, longest_deadline: watch::Receiver<Duration>) -> Self {
        Front { serving, limit: ConnectionLimit::new(connections, CLIENT_TIMEOUTS), longest_deadline }
    }

    /// Its places.
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Serves until `stop` ends; then shuts down by a [`ShutdownPlan`], and ends when the last connection has. A shared
    /// listener has another process behind it: what this one does not accept is not lost, so it accepts nothing
    /// before it is of use, and nothing after it was told to end.
    pub async fn serve(self, listener: TcpListener, shared: bool, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        if shared {
            tokio::select! {
                () = self.serving.channel().ready() => {}
                () = &mut stop => return,
            }
        }
        self.serving.accepts();
        let (phase, phases) = watch::channel(Phase::Serving);
        let context = Context { serving: self.serving.clone(), phase: phases };
        let mut connections = JoinSet::new();
        let mut listener = Listener::new(listener, self.limit.clone());
        self.accept(&mut listener, &mut connections, &context, stop).await;

        let begun = Instant::now();
        self.serving.leaves();
        let plan = self.plan(shared);
        if !shared {
            let accept_until = sleep_until((begun + plan.accept_until).into());
            self.accept(&mut listener, &mut connections, &context, accept_until).await;
        }
        self.serving.channel().begin_shutdown(ShutdownLimits {
            body_deadline: begun + plan.cut_off,
            answer_deadline: begun + plan.answered_by,
        });
        let by = Instant::now() + BACKLOG;
        while let Some((socket, permit)) = listener.accept_remaining(shared, by).await {
            connections.spawn(connection::serve(context.clone(), socket, permit));
        }
        self.log_phase("the listener is closed, open connections are still served");
        let counters = self.serving.channel().counters();
        (0..self.limit.counts().open).for_each(|_| counters.shutdown_connections.increment());

        let mut sweeps = std::pin::pin!(listener.close_and_sweep());
        let mut phases = std::pin::pin!(self.end_connections(plan, begun, phase));
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

    /// Accepts connections until `end`.
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

    /// Tells connections to close when the plan says so; never ends.
    async fn end_connections(&self, plan: ShutdownPlan, begun: Instant, phase: watch::Sender<Phase>) {
        // Until the last of what was accepted so far is answered the process stays anyway: for a while it goes on
        // serving those that are connected.
        let serve_until = begun + plan.serve_until;
        let _ = tokio::time::timeout_at(serve_until.into(), self.limit.pending_answered()).await;
        phase.send_replace(Phase::Closing);
        self.log_phase("connections close with their answers");
        sleep_until((begun + plan.cut_off).into()).await;
        phase.send_replace(Phase::CutOff);
        self.log_phase("no further request is read");
        sleep_until((begun + plan.answered_by).into()).await;
        self.log_phase("every request of the shutdown should have its answer");
        std::future::pending().await
    }

    /// Logs a phase of the shutdown with what is open in it.
    fn log_phase(&self, phase: &str) {
        let ConnectionCounts { open, pending } = self.limit.counts();
        tracing::info!(
            target: SHUTDOWN, connections = open, awaiting_answer = pending, "shutdown: {phase}"
        );
    }
}
