//! The state machine of RFC 9568, section 6.4. It does no I/O and reads no clock.

use std::net::SocketAddrV4;

use super::packet::Advertisement;
use rookspoke_decisions::{Span, Time};

/// The priority of the router that owns the virtual addresses.
const OWNER: u8 = 255;
/// Says that the sender stops being the master.
const STOPPING: u8 = 0;

/// What a virtual router is set to.
#[derive(Clone, Debug)]
pub struct Params {
    /// What it advertises, its own priority and interval among it.
    pub own: Advertisement,
    /// Its primary address, which decides between equal priorities.
    pub address: SocketAddrV4,
    /// It takes over from a master of lower priority.
    pub preempt: bool,
}

/// Where a virtual router stands. RFC 9568 calls the master 'active'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started, or shut down.
    Initialize,
    /// Watches the master; takes over when it falls silent.
    Backup {
        /// When the master counts as down.
        active_down_timer: Time,
    },
    /// Does the work and says so.
    Active {
        /// When it says so next.
        adver_timer: Time,
    },
}

/// One virtual router.
#[derive(Clone, Debug)]
pub struct StateMachine {
    params: Params,
    state: State,
    /// The interval of the master, as its advertisements tell it.
    active_adver_interval: Span,
}

fn interval(centiseconds: u16) -> Span {
    Span(i64::from(centiseconds) * 10_000)
}

impl StateMachine {
    /// A machine that has not started.
    pub fn new(params: Params) -> Self {
        let active_adver_interval = interval(params.own.interval_cs);
        StateMachine { params, state: State::Initialize, active_adver_interval }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it is the master.
    pub fn is_active(&self) -> bool {
        matches!(self.state, State::Active { .. })
    }

    /// When [`StateMachine::tick`] has something to do.
    pub fn next(&self) -> Option<Time> {
        match self.state {
            State::Initialize => None,
            State::Backup { active_down_timer } => Some(active_down_timer),
            State::Active { adver_timer } => Some(adver_timer),
        }
    }

    /// The lower the priority, the later a backup takes over.
    pub fn skew_time(&self) -> Span {
        Span((256 - i64::from(self.params.own.priority)) * self.active_adver_interval.0 / 256)
    }

    /// How long a master may be silent.
    pub fn active_down_interval(&self) -> Span {
        Span(3 * self.active_adver_interval.0 + self.skew_time().0)
    }

    /// The event `Startup`. Returns what to advertise at once.
    pub fn start(&mut self, now: Time) -> Option<Advertisement> {
        if self.state != State::Initialize {
            return None;
        }
        if self.params.own.priority == OWNER {
            return Some(self.become_active(now));
        }
        self.active_adver_interval = interval(self.params.own.interval_cs);
        self.watch(now);
        None
    }

    /// The event `Shutdown`.
    pub fn shut_down(&mut self) -> Option<Advertisement> {
        let was_master = self.is_active();
        self.state = State::Initialize;
        was_master.then(|| Advertisement { priority: STOPPING, ..self.params.own.clone() })
    }

    /// The timer that is running, if it is due.
    pub fn tick(&mut self, now: Time) -> Option<Advertisement> {
        match self.state {
            State::Backup { active_down_timer } if active_down_timer <= now => Some(self.become_active(now)),
            State::Active { adver_timer } if adver_timer <= now => Some(self.become_active(now)),
            _ => None,
        }
    }

    /// An advertisement of this virtual router came from `from`.
    pub fn received(
        &mut self,
        now: Time,
        heard: &Advertisement,
        from: SocketAddrV4,
    ) -> Option<Advertisement> {
        let own = self.params.own.priority;
        match self.state {
            State::Initialize => None,
            State::Backup { .. } => {
                if heard.priority == STOPPING {
                    self.state = State::Backup { active_down_timer: now + self.skew_time() };
                } else if !self.params.preempt || heard.priority >= own {
                    self.active_adver_interval = interval(heard.interval_cs);
                    self.watch(now);
                }
                None
            }
            State::Active { .. } => {
                let stronger = (heard.priority, from) > (own, self.params.address);
                if heard.priority != STOPPING && stronger {
                    self.active_adver_interval = interval(heard.interval_cs);
                    self.watch(now);
                    return None;
                }
                // One that stops, or one that should be a backup: both are told who the master is.
                Some(self.become_active(now))
            }
        }
    }

    fn watch(&mut self, now: Time) {
        self.state = State::Backup { active_down_timer: now + self.active_down_interval() };
    }

    fn become_active(&mut self, now: Time) -> Advertisement {
        let own = interval(self.params.own.interval_cs);
        self.state = State::Active { adver_timer: now + own };
        self.params.own.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Centiseconds on the test's own clock.
    fn at(cs: i64) -> Time {
        Time(cs * 10_000)
    }

    fn advertisement(priority: u8, interval_cs: u16) -> Advertisement {
        let addresses = vec!["192.0.2.1".parse().expect("an address")];
        Advertisement { vrid: 1, priority, interval_cs, addresses }
    }

    fn address(last: u8) -> SocketAddrV4 {
        SocketAddrV4::new([10, 0, 0, last].into(), 112)
    }

    fn backup(priority: u8, preempt: bool) -> StateMachine {
        let params = Params { own: advertisement(priority, 100), address: address(5), preempt };
        let mut machine = StateMachine::new(params);
        assert_eq!(machine.start(at(0)), None);
        machine
    }

    fn master(priority: u8) -> StateMachine {
        let mut machine = backup(priority, true);
        let down = machine.next().expect("a timer runs");
        machine.tick(down).expect("it takes over and says so");
        machine
    }

    #[test]
    fn the_owner_is_master_at_once_and_says_so_at_every_interval() {
        let params = Params { own: advertisement(255, 50), address: address(5), preempt: true };
        let mut machine = StateMachine::new(params);
        assert_eq!(machine.state(), State::Initialize);
        assert_eq!(machine.next(), None);
        assert_eq!(machine.start(at(10)), Some(advertisement(255, 50)));
        assert_eq!(machine.tick(at(59)), None);
        assert_eq!(machine.tick(at(60)), Some(advertisement(255, 50)));
        assert_eq!(machine.state(), State::Active { adver_timer: at(110) });
        assert_eq!(machine.start(at(70)), None, "it has started already");
    }

    #[test]
    fn a_backup_takes_over_after_three_intervals_and_the_skew() {
        // (256 - 128) * 100 cs / 256 = 50 cs of skew.
        let mut machine = backup(128, true);
        assert_eq!(machine.skew_time(), Span(500_000));
        assert_eq!(machine.tick(at(349)), None);
        assert_eq!(machine.tick(at(350)), Some(advertisement(128, 100)));
        assert!(machine.is_active());
    }

    #[test]
    fn a_backup_goes_by_the_interval_of_its_master() {
        let mut machine = backup(128, true);
        assert_eq!(machine.received(at(100), &advertisement(200, 40), address(9)), None);
        // 3 * 40 cs, and 20 cs of skew.
        assert_eq!(machine.state(), State::Backup { active_down_timer: at(240) });
    }

    #[test]
    fn a_master_that_stops_is_followed_after_the_skew_alone() {
        let mut machine = backup(128, true);
        assert_eq!(machine.received(at(100), &advertisement(0, 100), address(9)), None);
        assert_eq!(machine.state(), State::Backup { active_down_timer: at(150) });
    }

    #[test]
    fn a_weaker_master_is_overruled_only_with_preemption() {
        let mut preempts = backup(128, true);
        preempts.received(at(300), &advertisement(100, 100), address(9));
        assert_eq!(preempts.state(), State::Backup { active_down_timer: at(350) }, "not heeded");
        let mut patient = backup(128, false);
        patient.received(at(300), &advertisement(100, 100), address(9));
        assert_eq!(patient.state(), State::Backup { active_down_timer: at(650) });
        let mut equal = backup(128, true);
        equal.received(at(300), &advertisement(128, 100), address(9));
        assert_eq!(equal.state(), State::Backup { active_down_timer: at(650) });
    }

    #[test]
    fn a_master_yields_to_a_stronger_one_and_to_a_higher_address() {
        let yields = |priority, from| {
            let mut machine = master(128);
            let said = machine.received(at(400), &advertisement(priority, 100), from);
            assert_eq!(said.is_none(), !machine.is_active(), "a master that stays says so");
            !machine.is_active()
        };
        assert!(yields(129, address(1)));
        assert!(yields(128, address(9)));
        assert!(!yields(128, address(1)));
        assert!(!yields(127, address(9)));
        assert!(!yields(0, address(9)));
    }

    #[test]
    fn a_master_that_shuts_down_says_so_and_a_backup_just_leaves() {
        let mut machine = master(128);
        assert_eq!(machine.shut_down(), Some(advertisement(0, 100)));
        assert_eq!(machine.state(), State::Initialize);
        assert_eq!(machine.received(at(500), &advertisement(0, 100), address(9)), None);
        assert_eq!(machine.tick(at(9000)), None);
        assert_eq!(backup(128, true).shut_down(), None);
    }
}
