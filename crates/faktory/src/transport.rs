//! The core's transport: a call attempt is an offer to one consumer, then a reservation.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::codec::Job;
use super::hall::{Claimed, Hall, Ticket};
use rookspoke_decisions::{Name, Note, Outcome, Time};
use rookspoke_dispatch::{AttemptResult, CallAttempt, Clock, Handle, ProbeResult, Transport};

/// A job on its way through the core.
#[derive(Clone, Debug)]
pub struct Call {
    pub job: Arc<Job>,
    /// Told once, when the first call attempt is made: from then on the job is accepted.
    accepted: Arc<Mutex<Option<oneshot::Sender<()>>>>,
}

impl Call {
    pub fn new(job: Arc<Job>, accepted: oneshot::Sender<()>) -> Self {
        Call { job, accepted: Arc::new(Mutex::new(Some(accepted))) }
    }

    fn accept(&self) {
        let told = self.accepted.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
        if let Some(told) = told {
            let _ = told.send(());
        }
    }
}

pub struct Consumers {
    pub hall: Arc<Hall>,
    pub handle: Handle<Call, ()>,
    pub clock: Clock,
    /// How long an offer waits for its consumer.
    pub claim: Duration,
}

/// Takes the offer or the reservation back when its attempt is called off.
struct Withdraw(Arc<Hall>, Ticket);

impl Drop for Withdraw {
    fn drop(&mut self) {
        self.0.withdraw(self.1);
    }
}

impl Transport for Consumers {
    type Call = Call;
    type Reply = ();

    fn send(
        &mut self,
        attempt: CallAttempt<Call>,
    ) -> impl Future<Output = AttemptResult<()>> + Send + 'static {
        let (hall, handle, clock, claim) = (self.hall.clone(), self.handle.clone(), self.clock, self.claim);
        async move {
            let CallAttempt { request, attempt: number, worker, deadline, call, .. } = attempt;
            call.accept();
            let reserve_for = call.job.reserve_for;
            let (ticket, claimed) = hall.offer(&worker, call.job, deadline);
            let _withdraw = Withdraw(hall.clone(), ticket);
            let patience = claim.min(clock.until(deadline));
            let outcome = match timeout(patience, claimed).await {
                Ok(Ok(Claimed::Fetched(outcome))) => outcome,
                Ok(Ok(Claimed::Away(why))) => return why.into(),
                // Nobody fetched it, so it never ran.
                Ok(Err(_)) | Err(_) => return Outcome::TurnedAway.into(),
            };
            handle.counters().written.increment();
            handle.report_progress(request, number, Note::Started).await;
            match timeout(reserve_for.min(clock.until(deadline)), outcome).await {
                Ok(Ok(ended)) => ended,
                // Its consumer had it and said nothing: it may have run.
                Ok(Err(_)) => Outcome::ConnectionLost.into(),
                Err(_) => Outcome::NoAnswer.into(),
            }
        }
    }

    fn probe(&mut self, _: Name) -> impl Future<Output = ProbeResult> + Send + 'static {
        std::future::ready(ProbeResult { outcome: Outcome::NotSent, load: None })
    }

    // Consumers come and go by themselves: there is nothing to ask.
    fn watch_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn close_idle(&mut self, _: &Name) {}
}

/// When a job that gives itself so long is over.
pub fn deadline(now: Time, given: Duration) -> Time {
    // Longer than a day is as good as a day.
    now + rookspoke_decisions::Span(given.min(Duration::from_secs(86_400)).as_micros() as i64)
}
