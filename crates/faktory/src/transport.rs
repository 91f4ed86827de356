//! The core's transport: a call attempt is an offer to one consumer, then a reservation.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::call::Call;
use super::registry::{AttemptId, ConsumerRegistry, OfferId, OfferResult};
use rookspoke_decisions::{Name, Outcome, Time};
use rookspoke_dispatch::{AttemptResult, CallAttempt, Clock, Counters, ProbeResult, Transport};

/// An offer that nobody fetched ends this long before the deadline, early enough for the core to refuse its job: what
/// is still offered at the deadline counts as possibly run.
const OFFER_MARGIN: Duration = Duration::from_millis(20);

/// Transport of the core that hands jobs out to consumers.
pub struct ConsumerTransport {
    pub registry: Arc<ConsumerRegistry>,
    pub counters: Arc<Counters>,
    pub clock: Clock,
    /// How long an offer waits for its consumer's FETCH.
    pub claim_timeout: Duration,
}

/// Cancels the offer or the reservation when its attempt ends or is cancelled.
struct CancelOnDrop(Arc<ConsumerRegistry>, OfferId);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.cancel(self.1);
    }
}

impl Transport for ConsumerTransport {
    type Call = Call;
    type Reply = ();

    fn send(
        &mut self,
        attempt: CallAttempt<Call>,
    ) -> impl Future<Output = AttemptResult<()>> + Send + 'static {
        let (registry, counters) = (self.registry.clone(), self.counters.clone());
        let (clock, claim_timeout) = (self.clock, self.claim_timeout);
        async move {
            let CallAttempt { request, attempt, worker, deadline, call, .. } = attempt;
            let reserve_for = call.job.reserve_for;
            let attempt_id = AttemptId { request, attempt };
            let (offer_id, offer_result) = registry.offer(&worker, attempt_id, call, deadline);
            let _cancel = CancelOnDrop(registry.clone(), offer_id);
            let fetch_timeout = claim_timeout.min(clock.until(deadline).saturating_sub(OFFER_MARGIN));
            let outcome = match timeout(fetch_timeout, offer_result).await {
                Ok(Ok(OfferResult::Fetched(outcome))) => outcome,
                Ok(Ok(OfferResult::NotFetched(outcome))) => return outcome.into(),
                // The job was not fetched, so it never ran.
                Ok(Err(_)) | Err(_) => return Outcome::TurnedAway.into(),
            };
            counters.written.increment();
            match timeout(reserve_for.min(clock.until(deadline)), outcome).await {
                Ok(Ok(result)) => result,
                // The consumer held the job and reported nothing: it may have run.
                Ok(Err(_)) => Outcome::ConnectionLost.into(),
                Err(_) => Outcome::NoAnswer.into(),
            }
        }
    }

    fn probe(&mut self, _: Name) -> impl Future<Output = ProbeResult> + Send + 'static {
        std::future::ready(ProbeResult { outcome: Outcome::NotSent, load: None })
    }

    // Consumers register themselves by connecting: there is no list to fetch and no connection to close.
    fn watch_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn close_idle(&mut self, _: &Name) {}
}

/// The deadline of a job that may take `time_left` from `now`. A time longer than a day is treated as a day.
pub fn deadline(now: Time, time_left: Duration) -> Time {
    now + rookspoke_decisions::Span(time_left.min(Duration::from_secs(86_400)).as_micros() as i64)
}
