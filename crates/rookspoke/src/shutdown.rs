//! The schedule of a graceful shutdown. Pure: computes times after SIGTERM from the longest deadline.
//!
//! The earliest SIGKILL from the platform comes after the longest deadline of the deployment, capped at 3 s, plus 0.7
//! s, both counted from SIGTERM. Clients keep using connections that stay open until then. So every accepted request
//! has to be answered before that time, and from then on no connection may be open for a new request. Every step is
//! computed backwards from that time: a fixed time could be too late in a deployment with other deadlines.

use std::time::Duration;

/// Cap of the deadline from which the platform computes the time of SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time from the end of the longest deadline to SIGKILL.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// Time kept free before SIGKILL. The process may stall for 0.15 s before it handles SIGTERM and for 0.15 s again
/// before it writes its last responses; the rest is for sending these responses.
const KILL_MARGIN: Duration = Duration::from_millis(350);
/// How long new connections are accepted: they arrive for up to 0.4 s after SIGTERM.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// A request that has arrived completely by the cut-off is read and answered, at worst with a refusal, within this
/// time.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(100);

/// The steps of a graceful shutdown in their order, each as a time after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// New connections are accepted until this time; requests accepted later have to be answered by `answered_by`.
    pub accept_until: Duration,
    /// Open connections are served until this time, or until all requests accepted before have been answered. After
    /// that each connection closes with its next response, and idle connections close at once.
    pub serve_until: Duration,
    /// No request is read from this time on; one that has not arrived completely is rejected.
    pub cut_off: Duration,
    /// Every request has its response by this time.
    pub answered_by: Duration,
    /// The earliest time at which SIGKILL can arrive.
    pub earliest_kill: Duration,
}

impl ShutdownPlan {
    /// The plan for clients that wait at most `longest_deadline` for a response.
    pub fn new(longest_deadline: Duration) -> Self {
        let deadline = longest_deadline.min(MAX_COUNTED_DEADLINE);
        let earliest_kill = deadline + KILL_ALLOWANCE;
        let answered_by = earliest_kill - KILL_MARGIN;
        let cut_off = answered_by - LAST_REQUEST_TIME;
        let accept_until = ACCEPT_TIME.min(cut_off);
        // A request left with less than half of its deadline has better chances at another dispatcher.
        let serve_until = (answered_by - deadline / 2).clamp(accept_until, cut_off);
        ShutdownPlan { accept_until, serve_until, cut_off, answered_by, earliest_kill }
    }

    /// The plan for a process that shares its listener with a successor, which serves new and returning clients.
    pub fn with_successor(longest_deadline: Duration) -> Self {
        let immediately = Duration::ZERO;
        ShutdownPlan { accept_until: immediately, serve_until: immediately, ..Self::new(longest_deadline) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn millis(plan: ShutdownPlan) -> [u128; 5] {
        let ShutdownPlan { accept_until, serve_until, cut_off, answered_by, earliest_kill } = plan;
        [accept_until, serve_until, cut_off, answered_by, earliest_kill].map(|moment| moment.as_millis())
    }

    #[test]
    fn the_plan_follows_the_longest_deadline_up_to_three_seconds() {
        let plan = |ms| millis(ShutdownPlan::new(Duration::from_millis(ms)));
        assert_eq!(plan(0), [250, 250, 250, 350, 700]);
        assert_eq!(plan(200), [450, 450, 450, 550, 900]);
        assert_eq!(plan(700), [500, 700, 950, 1_050, 1_400]);
        assert_eq!(plan(1_200), [500, 950, 1_450, 1_550, 1_900]);
        assert_eq!(plan(3_000), [500, 1_850, 3_250, 3_350, 3_700]);
        assert_eq!(plan(60_000), plan(3_000));
    }

    proptest! {
        #[test]
        fn each_step_comes_before_the_next_and_all_before_the_kill(ms in 0u64..100_000) {
            let deadline = Duration::from_millis(ms);
            for plan in [ShutdownPlan::new(deadline), ShutdownPlan::with_successor(deadline)] {
                prop_assert!(millis(plan).is_sorted(), "{plan:?}");
                prop_assert_eq!(plan.earliest_kill, deadline.min(MAX_COUNTED_DEADLINE) + KILL_ALLOWANCE);
                prop_assert!(plan.answered_by + KILL_MARGIN <= plan.earliest_kill);
                // A request sent before the listener closed and handled 150 ms late either ends before SIGKILL or is
                // one of those that may be open at that time.
                prop_assert!(plan.accept_until + Duration::from_millis(150) <= KILL_ALLOWANCE);
            }
        }
    }
}
