//! Validity of the list of workers: until when a dispatcher may use the list it holds, and when it calls discovery
//! again.
//!
//! A change of the list takes effect at some moment whether or not it has reached a dispatcher. A dispatcher
//! therefore has to know by itself, before that moment, that its list is too old; from then on it sends nothing to
//! any worker, and jobs wait, until a list arrives. Sends may continue for the drain grace after the times below.
//! That grace is the margin and is not planned with.
//!
//! One bound takes precedence: whatever discovery has to report takes effect 6 s later, even if calls that failed,
//! were refused or were given up would allow more. From outside it cannot be told whether discovery was down
//! meanwhile, or was running and did not receive the calls. So a list is used for at most 6 s after the last moment
//! up to which all changes are known.
//!
//! "By calls" stands for [`Discovery::Subscribe`], "pushed" for [`Discovery::Automatic`].
//!
//! | situation | the list is valid until, and for at most 6 s | next call |
//! | --- | --- | --- |
//! | a watch is open and delivers messages | without limit: the host reports when it falls silent or ends | - |
//! | by calls: the watch ended | `ask_every` after the end, and after the last call | in time for the answer |
//! | by calls: the call failed | the same; four times `ask_every` after the call, if that is later | the same, then after pauses that double |
//! | the watch fell silent | 6 s after its last message, if the above is not earlier | at once, spread over the remaining time |
//! | the source changed (SIGHUP) | 4 s after, if the above is not earlier | by the host at once, then as above |
//! | pushed: the watch ended, or a call to the agent failed | half a second after the call began | within a quarter of a second |
//! | pushed: the watch fell silent, or the source changed | 6 s and 4 s, as above | within a quarter of a second |
//! | pushed: the agent itself is silent: three calls in a row fail | half a second after the last call began | within a quarter of a second |
//! | by calls: no list since the start | as if a watch had ended at the start | by the host at once |
//! | an update could not be read | that moment | as after a failed call, for the complete list |
//! | pushed: no list since the start | until the host reports that the first call failed | by the host at once |
//!
//! Where lists are pushed, whatever the agent has takes effect at once, whether a watch is open or not. A call that
//! ends without a list shows that the agent had nothing to report when the call began.

use rand::Rng;

use crate::api::{Discovery, Settings, Span, Time};

/// A change that discovery reports takes effect after this time at the latest, whether or not the report has arrived.
pub const NOTIFIED_WITHIN: Span = Span(6_000_000);
/// After a change of the source (SIGHUP), what the new source reports takes effect after this time.
const SOURCE_CHANGE_EFFECTIVE_AFTER: Span = Span(4_000_000);
/// A failed call leaves the list valid for this multiple of `ask_every` (the setting `rules.ask_every_ms`).
const FAILED_CALL_FACTOR: i64 = 4;
/// A pushed list is used for at most this time without a message from the agent.
const MAX_AGENT_SILENCE: Span = Span(500_000);
/// After this many consecutive failed calls the agent itself counts as silent, not only the watch: it learns of no
/// changes.
const AGENT_DOWN_AFTER_FAILURES: u32 = 3;
/// Pause after a failed call to the agent. It is doubled at most twice.
const AGENT_RETRY_PAUSE: Span = Span(40_000);
/// Shortest pause after a failed call for the list. It is doubled at most `MAX_PAUSE_DOUBLINGS` times.
const MIN_RETRY_PAUSE: Span = Span(600_000);
/// Time that discovery needs for one call. All dispatchers that call again share its capacity; with shorter pauses
/// none of their calls would be answered.
const CALL_COST: Span = Span(50_000);
/// A call is answered or fails within this time.
const CALL_TIMEOUT: Span = Span(2_500_000);
/// Upper bound on the doublings of the pause. Changes take effect within seconds whether or not they are received, so
/// a lost list must not be left without calls for long.
const MAX_PAUSE_DOUBLINGS: u32 = 1;
/// Pause once no answer can arrive while the list is valid. It is doubled up to the usual pause.
const URGENT_RETRY_PAUSE: Span = Span(200_000);
/// Upper bound on the doublings of the urgent pause.
const MAX_URGENT_DOUBLINGS: u32 = 6;

/// Tracks how old a dispatcher's list is. It reads no clock; each method is given the time.
#[derive(Clone, Debug)]
pub struct ListAge {
    pushed: bool,
    ask_every: Span,
    dispatchers: i64,
    /// Whether a watch is open, as far as is known.
    watch_open: bool,
    /// Calls that have failed since the last list.
    failed_calls: u32,
    /// The time up to which all changes were received on the last watch. Only meaningful while no watch is open.
    complete_until: Time,
    /// When the last call began.
    called_at: Time,
    /// From when on a change that was missed may be in effect.
    stale_from: Option<Time>,
    /// When an update arrived that could not be read, if no list has arrived since.
    unreadable_since: Option<Time>,
    next_call_at: Time,
}

impl ListAge {
    /// Creates the state of a dispatcher that has received no list.
    pub fn new(settings: &Settings) -> Self {
        let pushed = settings.discovery == Discovery::Automatic;
        ListAge {
            pushed,
            ask_every: settings.rules.ask_every,
            dispatchers: settings.dispatchers as i64,
            watch_open: pushed,
            failed_calls: 0,
            complete_until: Time::default(),
            called_at: Time::default(),
            stale_from: None,
            unreadable_since: None,
            next_call_at: Time::default(),
        }
    }

    /// Records the start of the dispatcher, and spreads the first calls, because all dispatchers start together after
    /// an outage.
    pub fn start(&mut self, now: Time, rng: &mut impl Rng) {
        (self.called_at, self.complete_until) = (now, now);
        self.next_call_at = now + Span(rng.random_range(0..=self.ask_every.0 / 4));
    }

    /// Records a list or changes of it, which show that a watch is open.
    pub fn on_list(&mut self) {
        (self.watch_open, self.failed_calls, self.stale_from, self.unreadable_since) = (true, 0, None, None);
    }

    /// Records the end of the watch or, if none was open, a failed call.
    pub fn on_failure(&mut self, now: Time, rng: &mut impl Rng) {
        if !self.close_watch(now) {
            self.failed_calls = self.failed_calls.saturating_add(1);
        }
        self.schedule_call(now, rng);
    }

    /// Records an answer that cannot be read. The changes that it reported are in effect, whatever they are.
    pub fn on_unusable(&mut self, now: Time, rng: &mut impl Rng) {
        self.unreadable_since.get_or_insert(now);
        self.on_failure(now, rng);
    }

    /// Records that the watch was closed because no message has arrived on it after `since`.
    pub fn on_silence(&mut self, since: Time, now: Time, rng: &mut impl Rng) {
        self.close_watch(since);
        self.set_stale_from(since + NOTIFIED_WITHIN);
        self.schedule_call(now, rng);
    }

    /// Records that the list comes from another source from now on, which the host calls by itself.
    pub fn on_source_change(&mut self, now: Time) {
        self.close_watch(now);
        self.set_stale_from(now + SOURCE_CHANGE_EFFECTIVE_AFTER);
        self.on_call(now);
    }

    /// Closes the watch, on which all changes up to `complete_until` were received. Returns whether one was open.
    fn close_watch(&mut self, complete_until: Time) -> bool {
        let open = std::mem::take(&mut self.watch_open);
        if open {
            self.complete_until = complete_until;
        }
        open
    }

    fn set_stale_from(&mut self, from: Time) {
        self.stale_from = Some(self.stale_from.map_or(from, |stale_from| stale_from.min(from)));
    }

    /// Whether a call for the list is due.
    pub fn is_due(&self, now: Time) -> bool {
        !self.watch_open && now >= self.next_call_at
    }

    /// When the next call is due. None while a watch is open.
    pub fn next_call(&self) -> Option<Time> {
        (!self.watch_open).then_some(self.next_call_at)
    }

    /// Records the begin of a call. The next one is due after it was answered or has failed: if many dispatchers
    /// repeated their calls at once, none would be answered.
    pub fn on_call(&mut self, now: Time) {
        (self.called_at, self.next_call_at) = (now, now + CALL_TIMEOUT);
    }

    /// Whether the list may be used.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until().is_none_or(|until| now < until)
    }

    /// Until when the list may be used. None while a watch is open.
    pub fn valid_until(&self) -> Option<Time> {
        (!self.watch_open).then(|| self.limit())
    }

    /// End of the list's validity while no watch is open, by the table at the head of this module.
    fn limit(&self) -> Time {
        let allowed = if self.pushed {
            let agent_limit = self.complete_until.max(self.called_at) + MAX_AGENT_SILENCE;
            self.stale_from.filter(|_| self.failed_calls < AGENT_DOWN_AFTER_FAILURES).unwrap_or(agent_limit)
        } else {
            let factor = if self.failed_calls > 0 { FAILED_CALL_FACTOR } else { 1 };
            let call_limit = (self.complete_until + self.ask_every)
                .max(self.called_at + Span(self.ask_every.0.saturating_mul(factor)));
            self.stale_from.map_or(call_limit, |stale_from| stale_from.min(call_limit))
        };
        let allowed = allowed.min(self.complete_until + NOTIFIED_WITHIN);
        self.unreadable_since.map_or(allowed, |unreadable| allowed.min(unreadable))
    }

    /// Plans the next call with exponential backoff and jitter: after an outage of discovery not all dispatchers may
    /// call at once, and each of them has to receive its answer in time.
    fn schedule_call(&mut self, now: Time, rng: &mut impl Rng) {
        let repeated_failures = self.failed_calls.saturating_sub(1);
        let pause = if self.pushed {
            AGENT_RETRY_PAUSE.0 << self.failed_calls.min(2)
        } else {
            let share = MIN_RETRY_PAUSE.0.max(CALL_COST.0 * self.dispatchers)
                << repeated_failures.min(MAX_PAUSE_DOUBLINGS);
            let share = share.min(self.ask_every.0).max(1);
            // The pause is drawn from 0.5 to 1.5 times this value, so two thirds of the remaining time leave the call its
            // time even in the worst case.
            let in_time = ((self.limit() - now).0 - CALL_TIMEOUT.0) * 2 / 3;
            share.min(in_time.max(URGENT_RETRY_PAUSE.0 << self.failed_calls.min(MAX_URGENT_DOUBLINGS)))
        };
        self.next_call_at = now + Span(pause / 2 + rng.random_range(0..=pause));
    }
}
