//! Which calls fail, how, and how often.

use std::fmt;

use libc::c_int;

/// The calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Receive,
    Peek,
    Send,
    Accept,
    Connect,
    Socket,
    Wait,
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

const ERRORS: [(&str, Fault); 15] = [
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

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// With this errno.
    Error(c_int),
    /// It moves one byte, or one part, at most.
    Short,
}

/// What is wrong with a schedule.
#[derive(Debug)]
pub struct BadSchedule(String);

impl fmt::Display for BadSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "found {:?}, expected `SEED CALL=ERROR:PERCENT ...`", self.0)
    }
}

struct Rule {
    call: Call,
    fault: Fault,
    percent: u64,
    /// What the log says of it.
    line: String,
}

/// How the wall clock is stepped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSteps {
    /// By so many seconds,
    pub seconds: i64,
    /// there and back with this period; from the start and for ever, if it is 0.
    pub period_ms: i64,
}

impl ClockSteps {
    /// How far the wall clock is off at a moment of the monotonic one.
    pub fn offset_s(self, monotonic_ms: i64) -> i64 {
        let is_stepped = self.period_ms == 0 || (monotonic_ms / self.period_ms) % 2 == 0;
        if is_stepped {
            self.seconds
        } else {
            0
        }
    }
}

/// Every rule, and the seed of the draws.
pub struct Schedule {
    seed: u64,
    rules: Vec<Rule>,
    /// Whether the wall clock is stepped, and how.
    pub clock: Option<ClockSteps>,
}

impl Schedule {
    /// Reads a schedule; an empty text has no rules.
    pub fn parse(text: &str) -> Result<Self, BadSchedule> {
        let bad = |part: &str| BadSchedule(part.to_owned());
        let mut parts = text.split_whitespace();
        let mut schedule = Schedule { seed: 0, rules: Vec::new(), clock: None };
        let Some(seed) = parts.next() else { return Ok(schedule) };
        schedule.seed = seed.parse().map_err(|_| bad(seed))?;
        for part in parts {
            match part.strip_prefix("clock=") {
                Some(steps) => schedule.clock = Some(clock(steps).ok_or_else(|| bad(part))?),
                None => schedule.rules.push(rule(part).ok_or_else(|| bad(part))?),
            }
        }
        Ok(schedule)
    }

    /// What the draw of this number means for a call, and the line that tells of it.
    pub fn draw(&self, call: Call, number: u64) -> Option<(Fault, &str)> {
        let mut percent = mix(self.seed ^ mix(number)) % 100;
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            if percent < rule.percent {
                return Some((rule.fault, &rule.line));
            }
            percent -= rule.percent;
        }
        None
    }
}

fn clock(text: &str) -> Option<ClockSteps> {
    let (seconds, period_ms) = text.split_once(':')?;
    let period_ms = period_ms.parse().ok().filter(|period| *period >= 0)?;
    Some(ClockSteps { seconds: seconds.parse().ok()?, period_ms })
}

fn rule(text: &str) -> Option<Rule> {
    let (call_name, rest) = text.split_once('=')?;
    let (fault_name, percent) = rest.split_once(':')?;
    let call = CALLS.iter().find(|(name, _)| *name == call_name)?.1;
    let fault = ERRORS.iter().find(|(name, _)| *name == fault_name)?.1;
    let percent = percent.parse().ok().filter(|percent| *percent <= 100)?;
    Some(Rule { call, fault, percent, line: format!("{call_name} {fault_name}\n") })
}

/// The output function of SplitMix64 (Steele and others, 2014).
fn mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
