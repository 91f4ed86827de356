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
const MOVE_COUNTS: Span = Span(4_000_000); // what another discovery has to tell, after SIGHUP (LATER.md)
const FAILED_CALLS: i64 = 4; // times `ask_every` is what a call that failed leaves (PROTOCOL, `rules.ask_every_ms`)
const AGENT: Span = Span(500_000); // a pushed list is this old at most without a word from the agent
const AGENT_SILENT: u32 = 3; // calls that fail in a row: not the watch is silent, but the agent, and it learns nothing
const AGENT_AGAIN: Span = Span(40_000); // pause after a failed call to the agent, doubled twice at most
const AGAIN: Span = Span(600_000); // the least pause after a failed list call, doubled once: a lost list
const WORK: Span = Span(50_000); // of discovery for one call: all that ask again share it, or none is heard
const WAIT: Span = Span(2_500_000); // a call is answered, or fails, within this
const DOUBLINGS: u32 = 1; // within seconds, heard or not, so a lost list cannot be left alone for long
const URGENT: Span = Span(200_000); // the same once no answer can come in time, doubled up to the usual pause
const URGENT_DOUBLINGS: u32 = 6;

/// What a dispatcher knows of its own knowledge. It has no clock: each call says when it is.
#[derive(Clone, Debug)]
pub struct ListAge {
    pushed: bool,
    ask_every: Span,
    dispatchers: i64,
    /// A watch is open, as far as is known.
    open: bool,
    /// Calls that failed since a list came.
    fails: u32,
    /// Until when what a watch had to tell has been heard; it means something while none is open.
    seen: Time,
    /// When the last call began.
    asked: Time,
    /// From when on something that was missed counts as told.
    doubt: Option<Time>,
    /// When something was told that could not be read; no list was since.
    unread: Option<Time>,
    next: Time,
}

impl ListAge {
    /// Nothing is known yet.
    pub fn new(settings: &Settings) -> Self {
        let pushed = settings.discovery == Discovery::Automatic;
        ListAge {
            pushed,
            ask_every: settings.rules.ask_every,
            dispatchers: settings.dispatchers as i64,
            open: pushed,
            fails: 0,
            seen: Time::default(),
            asked: Time::default(),
            doubt: None,
            unread: None,
            next: Time::default(),
        }
    }

    /// The dispatcher's first moment. All start together after an outage, so first calls are spread.
    pub fn start(&mut self, now: Time, rng: &mut impl Rng) {
        (self.asked, self.seen) = (now, now);
        self.next = now + Span(rng.random_range(0..=self.ask_every.0 / 4));
    }

    /// A list, or changes of it: a watch is open.
    pub fn on_list(&mut self) {
        (self.open, self.fails, self.doubt, self.unread) = (true, 0, None, None);
    }

    /// The watch ended or, if none was open, the call failed.
    pub fn on_failure(&mut self, now: Time, rng: &mut impl Rng) {
        if !self.ends(now) {
            self.fails = self.fails.saturating_add(1);
        }
        self.plan(now, rng);
    }

    /// An answer came that cannot be used: what it told holds, whatever that is.
    pub fn on_unusable(&mut self, now: Time, rng: &mut impl Rng) {
        self.unread.get_or_insert(now);
        self.on_failure(now, rng);
    }

    /// Nothing came on the watch since then, so it was given up.
    pub fn on_silence(&mut self, since: Time, now: Time, rng: &mut impl Rng) {
        self.ends(since);
        self.doubts(since + NOTIFIED_WITHIN);
        self.plan(now, rng);
    }

    /// The list comes from elsewhere from now on, and the host asks there by itself.
    pub fn on_source_change(&mut self, now: Time) {
        self.ends(now);
        self.doubts(now + MOVE_COUNTS);
        self.on_call(now);
    }

    /// Whether a watch was open, which had told everything by then.
    fn ends(&mut self, seen: Time) -> bool {
        let open = std::mem::take(&mut self.open);
        if open {
            self.seen = seen;
        }
        open
    }

    fn doubts(&mut self, from: Time) {
        self.doubt = Some(self.doubt.map_or(from, |doubt| doubt.min(from)));
    }

    /// Whether a call for the list is due.
    pub fn is_due(&self, now: Time) -> bool {
        !self.open && now >= self.next
    }

    /// When one will be.
    pub fn next_call(&self) -> Option<Time> {
        (!self.open).then_some(self.next)
    }

    /// A call begins. Not again before it is answered or has failed: many that ask anew each moment hear nothing.
    pub fn on_call(&mut self, now: Time) {
        (self.asked, self.next) = (now, now + WAIT);
    }

    /// Whether the list may be gone by.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until().is_none_or(|until| now < until)
    }

    /// Until when the list may be gone by; none while a watch is open.
    pub fn valid_until(&self) -> Option<Time> {
        (!self.open).then(|| self.until())
    }

    fn until(&self) -> Time {
        let allowed = if self.pushed {
            let agent = self.seen.max(self.asked) + AGENT;
            self.doubt.filter(|_| self.fails < AGENT_SILENT).unwrap_or(agent)
        } else {
            let calls = if self.fails > 0 { FAILED_CALLS } else { 1 };
            let known =
                (self.seen + self.ask_every).max(self.asked + Span(self.ask_every.0.saturating_mul(calls)));
            self.doubt.map_or(known, |doubt| doubt.min(known))
        };
        let allowed = allowed.min(self.seen + NOTIFIED_WITHIN);
        self.unread.map_or(allowed, |unread| allowed.min(unread))
    }

    /// Backoff with jitter: after an outage of the list not all may call at once, and each must hear in time.
    fn plan(&mut self, now: Time, rng: &mut impl Rng) {
        let fails = self.fails.saturating_sub(1);
        let pause = if self.pushed {
            AGENT_AGAIN.0 << self.fails.min(2)
        } else {
            let share = AGAIN.0.max(WORK.0 * self.dispatchers) << fails.min(DOUBLINGS);
            let share = share.min(self.ask_every.0).max(1);
            // The latest of the draw leaves the call its time.
            let in_time = ((self.until() - now).0 - WAIT.0) * 2 / 3;
            share.min(in_time.max(URGENT.0 << self.fails.min(URGENT_DOUBLINGS)))
        };
        self.next = now + Span(pause / 2 + rng.random_range(0..=pause));
    }
}
