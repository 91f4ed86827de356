//! How old may my list be? Until when a dispatcher goes by the list it holds, and when it asks again.
//!
//! A change counts as told at some moment whether or not it came. So a dispatcher has to know by itself, ahead of that
//! moment, that its list is too old to trust; from then on it sends nothing to anybody (jobs wait) until a list is here.
//! Sends may go on for the grace of a drain after the moments below; that grace is the margin, and is not planned with.
//!
//! One bound holds before all others: what discovery has to tell counts 6 s later, whatever calls that fail, are refused
//! or are given up would allow. Nobody can tell from outside whether discovery was down meanwhile, or up and did not hear:
//! so a list is gone by for 6 s after the last moment up to which all is known, and not for longer.
//!
//! | situation | the list is gone by until, and 6 s at most | asked again |
//! | --- | --- | --- |
//! | a watch is open and speaks | for good: its host says when it falls silent or ends | - |
//! | asked for: the watch ended | `ask_every` after the end, and after the last call | in time for the answer |
//! | asked for: the call failed | the same; four times `ask_every` after the call, if that is later | the same, then after pauses that double |
//! | the watch fell silent | 6 s after its last word, if the above is not earlier | at once, spread over what is left |
//! | discovery moved (SIGHUP) | 4 s after, if the above is not earlier | by the host at once, then as above |
//! | pushed: the watch ended, or a call to the agent failed | half a second after the call began | within a quarter of a second |
//! | pushed: the watch fell silent, or discovery moved | 6 s and 4 s, as above | within a quarter of a second |
//! | pushed: the agent itself is silent: three calls in a row fail | half a second after the last call began | within a quarter of a second |
//! | asked for: nothing was heard since the start | as if a watch had ended at the start | by the host at once |
//! | something was told that cannot be read | that moment | as after a call that failed, the whole list |
//! | pushed: nothing was heard since the start | until its host says that the first call failed | by the host at once |
//!
//! Where lists are pushed, what the agent has counts at once, watch or none. A call that ends without a list shows that
//! the agent had nothing to tell when it began.

use rand::Rng;

use crate::api::{Discovery, Settings, Span, Time};

/// Whatever discovery has to tell counts as told this much later at the latest, whether it arrived or not (PROTOCOL).
pub const NOTIFIED_WITHIN: Span = Span(6_000_000);
const SOURCE_CHANGE_EFFECTIVE_AFTER: Span = Span(4_000_000); // what another discovery has to tell, after SIGHUP (LATER.md)
const FAILED_CALL_FACTOR: i64 = 4; // times `ask_every` is what a call that failed leaves (PROTOCOL, `rules.ask_every_ms`)
const MAX_AGENT_SILENCE: Span = Span(500_000); // a pushed list is this old at most without a word from the agent
const AGENT_DOWN_AFTER_FAILURES: u32 = 3; // calls that fail in a row: not the watch is silent, but the agent, and it learns nothing
const AGENT_RETRY_PAUSE: Span = Span(40_000); // pause after a failed call to the agent, doubled twice at most
const MIN_RETRY_PAUSE: Span = Span(600_000); // the least pause after a failed list call, doubled once: a lost list
const CALL_COST: Span = Span(50_000); // of discovery for one call: all that ask again share it, or none is heard
const CALL_TIMEOUT: Span = Span(2_500_000); // a call is answered, or fails, within this
const MAX_PAUSE_DOUBLINGS: u32 = 1; // within seconds, heard or not, so a lost list cannot be left alone for long
const URGENT_RETRY_PAUSE: Span = Span(200_000); // the same once no answer can come in time, doubled up to the usual pause
const MAX_URGENT_DOUBLINGS: u32 = 6;

/// What a dispatcher knows of its own knowledge. It has no clock: each call says when it is.
#[derive(Clone, Debug)]
pub struct ListAge {
    pushed: bool,
    ask_every: Span,
    dispatchers: i64,
    /// A watch is open, as far as is known.
    watch_open: bool,
    /// Calls that failed since a list came.
    failed_calls: u32,
    /// Until when what a watch had to tell has been heard; it means something while none is open.
    complete_until: Time,
    /// When the last call began.
    called_at: Time,
    /// From when on something that was missed counts as told.
    stale_from: Option<Time>,
    /// When something was told that could not be read; no list was since.
    unreadable_since: Option<Time>,
    next_call_at: Time,
}

impl ListAge {
    /// Nothing is known yet.
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

    /// The dispatcher's first moment. All start together after an outage, so first calls are spread.
    pub fn start(&mut self, now: Time, rng: &mut impl Rng) {
        (self.called_at, self.complete_until) = (now, now);
        self.next_call_at = now + Span(rng.random_range(0..=self.ask_every.0 / 4));
    }

    /// A list, or changes of it: a watch is open.
    pub fn on_list(&mut self) {
        (self.watch_open, self.failed_calls, self.stale_from, self.unreadable_since) = (true, 0, None, None);
    }

    /// The watch ended or, if none was open, the call failed.
    pub fn on_failure(&mut self, now: Time, rng: &mut impl Rng) {
        if !self.close_watch(now) {
            self.failed_calls = self.failed_calls.saturating_add(1);
        }
        self.schedule_call(now, rng);
    }

    /// An answer came that cannot be used: what it told holds, whatever that is.
    pub fn on_unusable(&mut self, now: Time, rng: &mut impl Rng) {
        self.unreadable_since.get_or_insert(now);
        self.on_failure(now, rng);
    }

    /// Nothing came on the watch since then, so it was given up.
    pub fn on_silence(&mut self, since: Time, now: Time, rng: &mut impl Rng) {
        self.close_watch(since);
        self.set_stale_from(since + NOTIFIED_WITHIN);
        self.schedule_call(now, rng);
    }

    /// The list comes from elsewhere from now on, and the host asks there by itself.
    pub fn on_source_change(&mut self, now: Time) {
        self.close_watch(now);
        self.set_stale_from(now + SOURCE_CHANGE_EFFECTIVE_AFTER);
        self.on_call(now);
    }

    /// Whether a watch was open, which had told everything by then.
    fn close_watch(&mut self, seen: Time) -> bool {
        let open = std::mem::take(&mut self.watch_open);
        if open {
            self.complete_until = seen;
        }
        open
    }

    fn set_stale_from(&mut self, from: Time) {
        self.stale_from = Some(self.stale_from.map_or(from, |doubt| doubt.min(from)));
    }

    /// Whether a call for the list is due.
    pub fn is_due(&self, now: Time) -> bool {
        !self.watch_open && now >= self.next_call_at
    }

    /// When one will be.
    pub fn next_call(&self) -> Option<Time> {
        (!self.watch_open).then_some(self.next_call_at)
    }

    /// A call begins. Not again before it is answered or has failed: many that ask anew each moment hear nothing.
    pub fn on_call(&mut self, now: Time) {
        (self.called_at, self.next_call_at) = (now, now + CALL_TIMEOUT);
    }

    /// Whether the list may be gone by.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until().is_none_or(|until| now < until)
    }

    /// Until when the list may be gone by; none while a watch is open.
    pub fn valid_until(&self) -> Option<Time> {
        (!self.watch_open).then(|| self.limit())
    }

    fn limit(&self) -> Time {
        let allowed = if self.pushed {
            let agent = self.complete_until.max(self.called_at) + MAX_AGENT_SILENCE;
            self.stale_from.filter(|_| self.failed_calls < AGENT_DOWN_AFTER_FAILURES).unwrap_or(agent)
        } else {
            let calls = if self.failed_calls > 0 { FAILED_CALL_FACTOR } else { 1 };
            let known = (self.complete_until + self.ask_every)
                .max(self.called_at + Span(self.ask_every.0.saturating_mul(calls)));
            self.stale_from.map_or(known, |doubt| doubt.min(known))
        };
        let allowed = allowed.min(self.complete_until + NOTIFIED_WITHIN);
        self.unreadable_since.map_or(allowed, |unread| allowed.min(unread))
    }

    /// Backoff with jitter: after an outage of the list not all may call at once, and each must hear in time.
    fn schedule_call(&mut self, now: Time, rng: &mut impl Rng) {
        let fails = self.failed_calls.saturating_sub(1);
        let pause = if self.pushed {
            AGENT_RETRY_PAUSE.0 << self.failed_calls.min(2)
        } else {
            let share =
                MIN_RETRY_PAUSE.0.max(CALL_COST.0 * self.dispatchers) << fails.min(MAX_PAUSE_DOUBLINGS);
            let share = share.min(self.ask_every.0).max(1);
            // The latest of the draw leaves the call its time.
            let in_time = ((self.limit() - now).0 - CALL_TIMEOUT.0) * 2 / 3;
            share.min(in_time.max(URGENT_RETRY_PAUSE.0 << self.failed_calls.min(MAX_URGENT_DOUBLINGS)))
        };
        self.next_call_at = now + Span(pause / 2 + rng.random_range(0..=pause));
    }
}
