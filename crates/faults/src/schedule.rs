//! The fault schedule: which calls fail, with which error, and with which probability.

use std::fmt;

use libc::c_int;

/// A call that can be made to fail, as a schedule names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `recv` without `MSG_PEEK`.
    Receive,
    /// `recv` with `MSG_PEEK`.
    Peek,
    /// `send` and `writev`.
    Send,
    /// `accept4`.
    Accept,
    Connect,
    Socket,
    /// `epoll_wait`.
    Wait,
    /// `fsync`.
    Sync,
    Rename,
}

const CALLS: [(&str, Call); 9] = [
    ("receive", Call::Receive),
    ("peek", Call::Peek),
    ("send", Call::Send),
    ("accept", Call::Accept),
    ("connect", Call::Connect),
    ("socket", Call::Socket),
    ("wait", Call::Wait),
    ("sync", Call::Sync),
    ("rename", Call::Rename),
];

const FAULTS: [(&str, Fault); 15] = [
    ("SHORT", Fault::Short),
    ("EINTR", Fault::Error(libc::EINTR)),
    ("EAGAIN", Fault::Error(libc::EAGAIN)),
    ("ENOMEM", Fault::Error(libc::ENOMEM)),
    ("ENOBUFS", Fault::Error(libc::ENOBUFS)),
    ("EMFILE", Fault::Error(libc::EMFILE)),
    ("ENFILE", Fault::Error(libc::ENFILE)),
    ("ECONNABORTED", Fault::Error(libc::ECONNABORTED)),
    ("EADDRNOTAVAIL", Fault::Error(libc::EADDRNOTAVAIL)),
    ("ENETUNREACH", Fault::Error(libc::ENETUNREACH)),
    ("EHOSTUNREACH", Fault::Error(libc::EHOSTUNREACH)),
    ("ETIMEDOUT", Fault::Error(libc::ETIMEDOUT)),
    ("ENOSPC", Fault::Error(libc::ENOSPC)),
    ("EIO", Fault::Error(libc::EIO)),
    ("EPROTO", Fault::Error(libc::EPROTO)),
];

/// What happens to a call that is chosen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Returns -1 with this errno; the real call is not made.
    Error(c_int),
    /// Transfers at most one byte, or one buffer of a vectored write. Calls that transfer no data run as usual,
    /// though the fault is logged.
    Short,
}

/// The first part of a schedule that could not be parsed.
#[derive(Debug)]
pub struct ParseScheduleError(String);

impl fmt::Display for ParseScheduleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "found {:?}, expected `SEED CALL=ERROR:PERCENT ...`", self.0)
    }
}

struct Rule {
    call: Call,
    fault: Fault,
    percent: u64,
    /// The line that is logged for each injected fault, with its line feed.
    log_line: String,
}

/// A periodic offset of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSteps {
    /// The offset while the clock is stepped.
    pub seconds: i64,
    /// How long the clock stays stepped, and then how long it stays correct. With 0 it is always stepped.
    pub period_ms: i64,
}

impl ClockSteps {
    /// The offset of the wall clock at the given reading of the monotonic clock.
    pub fn offset_s(self, monotonic_ms: i64) -> i64 {
        let is_stepped = self.period_ms == 0 || (monotonic_ms / self.period_ms) % 2 == 0;
        if is_stepped {
            self.seconds
        } else {
            0
        }
    }
}

/// A parsed fault schedule: its rules and the seed of its random draws.
pub struct Schedule {
    seed: u64,
    rules: Vec<Rule>,
    /// The offset of the wall clock, if the schedule has one.
    pub clock_steps: Option<ClockSteps>,
}

impl Schedule {
    /// Parses the text form of a schedule. An empty text yields a schedule without rules.
    pub fn parse(text: &str) -> Result<Self, ParseScheduleError> {
        let error = |part: &str| ParseScheduleError(part.to_owned());
        let mut parts = text.split_whitespace();
        let mut schedule = Schedule { seed: 0, rules: Vec::new(), clock_steps: None };
        let Some(seed) = parts.next() else { return Ok(schedule) };
        schedule.seed = seed.parse().map_err(|_| error(seed))?;
        for part in parts {
            match part.strip_prefix("clock=") {
                Some(steps) => {
                    schedule.clock_steps = Some(parse_clock_steps(steps).ok_or_else(|| error(part))?)
                }
                None => schedule.rules.push(parse_rule(part).ok_or_else(|| error(part))?),
            }
        }
        Ok(schedule)
    }

    /// Decides from the seed and the number of the draw whether a call fails. Returns the fault and its log line. The
    /// percentages of several rules for one call add up; at most one of the rules applies.
    pub fn draw(&self, call: Call, draw_number: u64) -> Option<(Fault, &str)> {
        let mut percent = splitmix64(self.seed ^ splitmix64(draw_number)) % 100;
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            if percent < rule.percent {
                return Some((rule.fault, &rule.log_line));
            }
            percent -= rule.percent;
        }
        None
    }
}

fn parse_clock_steps(text: &str) -> Option<ClockSteps> {
    let (seconds, period_ms) = text.split_once(':')?;
    let period_ms = period_ms.parse().ok().filter(|period| *period >= 0)?;
    Some(ClockSteps { seconds: seconds.parse().ok()?, period_ms })
}

fn parse_rule(text: &str) -> Option<Rule> {
    let (call_name, rest) = text.split_once('=')?;
    let (fault_name, percent) = rest.split_once(':')?;
    let call = CALLS.iter().find(|(name, _)| *name == call_name)?.1;
    let fault = FAULTS.iter().find(|(name, _)| *name == fault_name)?.1;
    let percent = percent.parse().ok().filter(|percent| *percent <= 100)?;
    Some(Rule { call, fault, percent, log_line: format!("{call_name} {fault_name}\n") })
}

/// The output function of SplitMix64 (Steele and others, 2014).
fn splitmix64(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
