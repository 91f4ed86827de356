//! The state machine of RFC 9568, section 6.4. It does no I/O and reads no clock: the caller passes in the time, and
//! sends the advertisements that are returned.

use std::net::SocketAddrV4;

use super::packet::Advertisement;
use rookspoke_decisions::{Span, Time};

/// Priority of the router that owns the virtual addresses.
const OWNER_PRIORITY: u8 = 255;
/// Priority in the last advertisement of an active router that shuts down.
const SHUTDOWN_PRIORITY: u8 = 0;

/// Configured parameters of a virtual router.
#[derive(Clone, Debug)]
pub struct Params {
    /// The advertisement that it sends while active, with its own priority and interval.
    pub own: Advertisement,
    /// Its primary address: of two active routers with equal priority, the one with the higher address stays active.
    pub address: SocketAddrV4,
    /// `Preempt_Mode`: a backup takes over from an active router of lower priority.
    pub preempt: bool,
}

/// State of a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Before startup, or after shutdown.
    Initialize,
    /// Monitors the active router, and takes over when its advertisements stop.
    Backup {
        /// When `Active_Down_Timer` fires: the active router is then considered down.
        active_down_timer: Time,
    },
    /// Accepts work and sends advertisements.
    Active {
        /// When `Adver_Timer` fires: the next advertisement is then due.
        adver_timer: Time,
    },
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct StateMachine {
    params: Params,
    state: State,
    /// `Active_Adver_Interval`: the interval in the advertisements of the active router.
    active_adver_interval: Span,
}

fn span_of_centiseconds(centiseconds: u16) -> Span {
    Span(i64::from(centiseconds) * 10_000)
}

impl StateMachine {
    /// A state machine in the state `Initialize`.
    pub fn new(params: Params) -> Self {
        let active_adver_interval = span_of_centiseconds(params.own.interval_cs);
        StateMachine { params, state: State::Initialize, active_adver_interval }
    }

    /// The current state, with the timer that runs in it.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the state is `Active`.
    pub fn is_active(&self) -> bool {
        matches!(self.state, State::Active { .. })
    }

    /// When the running timer fires: [`StateMachine::on_timer`] is to be called then.
    pub fn next_timer(&self) -> Option<Time> {
        match self.state {
            State::Initialize => None,
            State::Backup { active_down_timer } => Some(active_down_timer),
            State::Active { adver_timer } => Some(adver_timer),
        }
    }

    /// `Skew_Time`: delays the takeover of a backup by more, the lower its priority is.
    pub fn skew_time(&self) -> Span {
        Span((256 - i64::from(self.params.own.priority)) * self.active_adver_interval.0 / 256)
    }

    /// `Active_Down_Interval`: the time without an advertisement after which the active router is considered down.
    pub fn active_down_interval(&self) -> Span {
        Span(3 * self.active_adver_interval.0 + self.skew_time().0)
    }

    /// Handles the event `Startup`. Returns the advertisement to send.
    pub fn start(&mut self, now: Time) -> Option<Advertisement> {
        if self.state != State::Initialize {
            return None;
        }
        if self.params.own.priority == OWNER_PRIORITY {
            return Some(self.become_active(now));
        }
        self.active_adver_interval = span_of_centiseconds(self.params.own.interval_cs);
        self.become_backup(now);
        None
    }

    /// Handles the event `Shutdown`. Returns the advertisement to send.
    pub fn shut_down(&mut self) -> Option<Advertisement> {
        let was_active = self.is_active();
        self.state = State::Initialize;
        was_active.then(|| Advertisement { priority: SHUTDOWN_PRIORITY, ..self.params.own.clone() })
    }

    /// Handles the running timer, if it has expired. Returns the advertisement to send.
    pub fn on_timer(&mut self, now: Time) -> Option<Advertisement> {
        match self.state {
            State::Backup { active_down_timer } if active_down_timer <= now => Some(self.become_active(now)),
            State::Active { adver_timer } if adver_timer <= now => Some(self.become_active(now)),
            _ => None,
        }
    }

    /// Handles an advertisement of this virtual router that `from` sent. Returns the advertisement to send in response.
    pub fn on_advertisement(
        &mut self,
        now: Time,
        received: &Advertisement,
        from: SocketAddrV4,
    ) -> Option<Advertisement> {
        let own = self.params.own.priority;
        match self.state {
            State::Initialize => None,
            State::Backup { .. } => {
                if received.priority == SHUTDOWN_PRIORITY {
                    self.state = State::Backup { active_down_timer: now + self.skew_time() };
                } else if !self.params.preempt || received.priority >= own {
                    self.active_adver_interval = span_of_centiseconds(received.interval_cs);
                    self.become_backup(now);
                }
                None
            }
            State::Active { .. } => {
                let outranked = (received.priority, from) > (own, self.params.address);
                if received.priority != SHUTDOWN_PRIORITY && outranked {
                    self.active_adver_interval = span_of_centiseconds(received.interval_cs);
                    self.become_backup(now);
                    return None;
                }
                // The sender stops, or should be a backup: an advertisement at once tells every peer which router is
                // active.
                Some(self.become_active(now))
            }
        }
    }

    /// Enters the state `Backup`, or restarts its timer.
    fn become_backup(&mut self, now: Time) {
        self.state = State::Backup { active_down_timer: now + self.active_down_interval() };
    }

    /// Enters the state `Active`, or restarts its timer. Returns the advertisement to send.
    fn become_active(&mut self, now: Time) -> Advertisement {
        let own = span_of_centiseconds(self.params.own.interval_cs);
        self.state = State::Active { adver_timer: now + own };
        self.params.own.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A time in centiseconds since the start of the test.
    fn at(cs: i64) -> Time {
        Time(cs * 10_000)
    }

    fn advertisement(priority: u8, interval_cs: u16) -> Advertisement {
        let addresses = vec!["192.0.2.1".parse().expect("a valid IPv4 address")];
        Advertisement { vrid: 1, priority, interval_cs, addresses }
    }

    fn address(last_octet: u8) -> SocketAddrV4 {
        SocketAddrV4::new([10, 0, 0, last_octet].into(), 112)
    }

    fn backup(priority: u8, preempt: bool) -> StateMachine {
        let params = Params { own: advertisement(priority, 100), address: address(5), preempt };
        let mut machine = StateMachine::new(params);
        assert_eq!(machine.start(at(0)), None);
        machine
    }

    fn active_router(priority: u8) -> StateMachine {
        let mut machine = backup(priority, true);
        let active_down = machine.next_timer().expect("Active_Down_Timer is running");
        machine.on_timer(active_down).expect("the backup takes over and advertises");
        machine
    }

    #[test]
    fn owner_of_the_addresses_is_active_at_startup_and_advertises_at_every_interval() {
        let params = Params { own: advertisement(255, 50), address: address(5), preempt: true };
        let mut machine = StateMachine::new(params);
        assert_eq!(machine.state(), State::Initialize);
        assert_eq!(machine.next_timer(), None);
        assert_eq!(machine.start(at(10)), Some(advertisement(255, 50)));
        assert_eq!(machine.on_timer(at(59)), None);
        assert_eq!(machine.on_timer(at(60)), Some(advertisement(255, 50)));
        assert_eq!(machine.state(), State::Active { adver_timer: at(110) });
        assert_eq!(machine.start(at(70)), None, "a second startup has no effect");
    }

    #[test]
    fn backup_takes_over_after_three_intervals_and_the_skew_time() {
        // (256 - 128) * 100 cs / 256 = 50 cs of skew.
        let mut machine = backup(128, true);
        assert_eq!(machine.skew_time(), Span(500_000));
        assert_eq!(machine.on_timer(at(349)), None);
        assert_eq!(machine.on_timer(at(350)), Some(advertisement(128, 100)));
        assert!(machine.is_active());
    }

    #[test]
    fn backup_uses_the_advertisement_interval_of_the_active_router() {
        let mut machine = backup(128, true);
        assert_eq!(machine.on_advertisement(at(100), &advertisement(200, 40), address(9)), None);
        // 3 * 40 cs + 20 cs of skew.
        assert_eq!(machine.state(), State::Backup { active_down_timer: at(240) });
    }

    #[test]
    fn backup_takes_over_after_the_skew_time_when_the_active_router_shuts_down() {
        let mut machine = backup(128, true);
        assert_eq!(machine.on_advertisement(at(100), &advertisement(0, 100), address(9)), None);
        assert_eq!(machine.state(), State::Backup { active_down_timer: at(150) });
    }

    #[test]
    fn backup_ignores_an_active_router_of_lower_priority_only_with_preemption() {
        let mut preempting = backup(128, true);
        preempting.on_advertisement(at(300), &advertisement(100, 100), address(9));
        assert_eq!(
            preempting.state(),
            State::Backup { active_down_timer: at(350) },
            "the advertisement does not restart the timer"
        );
        let mut non_preempting = backup(128, false);
        non_preempting.on_advertisement(at(300), &advertisement(100, 100), address(9));
        assert_eq!(non_preempting.state(), State::Backup { active_down_timer: at(650) });
        let mut equal_priority = backup(128, true);
        equal_priority.on_advertisement(at(300), &advertisement(128, 100), address(9));
        assert_eq!(equal_priority.state(), State::Backup { active_down_timer: at(650) });
    }

    #[test]
    fn active_router_yields_to_a_higher_priority_and_at_equal_priority_to_a_higher_address() {
        let yields = |priority, from| {
            let mut machine = active_router(128);
            let response = machine.on_advertisement(at(400), &advertisement(priority, 100), from);
            assert_eq!(
                response.is_none(),
                !machine.is_active(),
                "a router that stays active advertises in response"
            );
            !machine.is_active()
        };
        assert!(yields(129, address(1)));
        assert!(yields(128, address(9)));
        assert!(!yields(128, address(1)));
        assert!(!yields(127, address(9)));
        assert!(!yields(0, address(9)));
    }

    #[test]
    fn shutdown_is_advertised_by_an_active_router_and_not_by_a_backup() {
        let mut machine = active_router(128);
        assert_eq!(machine.shut_down(), Some(advertisement(0, 100)));
        assert_eq!(machine.state(), State::Initialize);
        assert_eq!(machine.on_advertisement(at(500), &advertisement(0, 100), address(9)), None);
        assert_eq!(machine.on_timer(at(9000)), None);
        assert_eq!(backup(128, true).shut_down(), None);
    }
}
