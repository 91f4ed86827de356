//! When the steps of a graceful shutdown happen. Pure: the longest deadline goes in, moments after SIGTERM come out.
//!
//! The platform sends SIGKILL no sooner than the longest deadline of the deployment, counted as 3 s at most, and 0.7 s
//! more after SIGTERM; clients use every connection that stays open until then. So whatever is accepted has to be
//! answered before that, and no connection may be open to a new request from then on. Every step is counted back from
//! that moment: none is a fixed time that a deployment with other deadlines would outrun.

use std::time::Duration;

/// How long a deadline counts at most.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// From the end of the longest deadline to SIGKILL, at least.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// A process may be held up for 0.15 s, both before it notices SIGTERM and before it writes its last answers; the rest
/// is for these answers to be sent.
const MARGIN: Duration = Duration::from_millis(350);
/// New connections come for up to 0.4 s after SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(500);
/// A request that is whole by the cut-off is read, and refused if nothing else, within this time.
const LAST_REQUEST: Duration = Duration::from_millis(100);

/// The moments of a graceful shutdown, each counted from SIGTERM, none later than the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Until then new connections are accepted; what is taken later is held to `answered_by`.
    pub accept_until: Duration,
    /// Until then open connections are served, while requests that were accepted before are still unanswered. After
    /// that each connection closes with its answer, and idle ones at once.
    pub serve_until: Duration,
    /// From then on no request is read: what is not whole by then is turned down.
    pub cut_off: Duration,
    /// By then every request has its answer.
    pub answered_by: Duration,
    /// SIGKILL comes no sooner.
    pub earliest_kill: Duration,
}

impl ShutdownPlan {
    /// The plan of a process whose clients wait for `longest_deadline` at most.
    pub fn new(longest_deadline: Duration) -> Self {
        let deadline = longest_deadline.min(LONGEST_COUNTED);
        let earliest_kill = deadline + KILL_ALLOWANCE;
        let answered_by = earliest_kill - MARGIN;
        let cut_off = answered_by - LAST_REQUEST;
        let accept_until = NEW_CONNECTIONS.min(cut_off);
        // With less than half of the deadline left, a request is better off elsewhere.
        let serve_until = (answered_by - deadline / 2).clamp(accept_until, cut_off);
        ShutdownPlan { accept_until, serve_until, cut_off, answered_by, earliest_kill }
    }

    /// The same for a process whose listener another one shares: that one serves whoever comes, or comes again.
    pub fn with_successor(longest_deadline: Duration) -> Self {
        let at_once = Duration::ZERO;
        ShutdownPlan { accept_until: at_once, serve_until: at_once, ..Self::new(longest_deadline) }
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
                prop_assert_eq!(plan.earliest_kill, deadline.min(LONGEST_COUNTED) + KILL_ALLOWANCE);
                prop_assert!(plan.answered_by + MARGIN <= plan.earliest_kill);
                // A request of before, noticed late, is over by the kill or may be open then.
                prop_assert!(plan.accept_until + Duration::from_millis(150) <= KILL_ALLOWANCE);
            }
        }
    }
}
