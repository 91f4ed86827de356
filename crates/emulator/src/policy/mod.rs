//! What decides: the project's own decisions, others to compare them with, and bad ones that show that each checker
//! can trip. All of them speak the interface of the decisions.

mod bad;
mod simple;

use std::cell::RefCell;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rookspoke_decisions::{Action, Dispatcher, Event, Settings, SettingsError, Time};

pub use bad::Fault;
pub use simple::{Simple, Way};

/// Decides for one dispatcher.
pub trait Policy {
    /// Takes one event and pushes what is to be done.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

impl Policy for Dispatcher {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, out);
    }
}

/// The true state of all log workers, for the one policy that no installation could have.
#[derive(Debug, Default)]
pub struct Truth {
    /// For each log worker, by number: seconds until it would be idle, were its cores always full.
    pub backlog: Vec<f64>,
    /// Work that a cold one still bears in the span of the fall-over rule, in seconds of a core; none if warm.
    pub bears: Vec<Option<f64>>,
    /// The archives that it keeps.
    pub keeps: Vec<Vec<u64>>,
    /// Whether it takes work.
    pub takes: Vec<bool>,
}

/// A view of the truth that the model keeps up to date.
pub type SharedTruth = Rc<RefCell<Truth>>;

/// A policy by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The project's own.
    Ours,
    /// Another way to choose.
    Plain(Way),
    /// Ours, with a fault that breaks one rule.
    Bad(Fault),
}

/// All policies that are worth comparing, by name.
pub const NAMED: &[(&str, Kind)] = &[
    ("ours", Kind::Ours),
    ("random", Kind::Plain(Way::Random)),
    ("round-robin", Kind::Plain(Way::RoundRobin)),
    ("least-loaded", Kind::Plain(Way::LeastLoaded)),
    ("two-choices", Kind::Plain(Way::TwoChoices)),
    ("rendezvous", Kind::Plain(Way::Rendezvous)),
    ("bounded-loads", Kind::Plain(Way::BoundedLoads)),
    ("pasch", Kind::Plain(Way::Pasch)),
    ("top", Kind::Plain(Way::Top)),
    ("bad-silent", Kind::Bad(Fault::Silent)),
    ("bad-twice", Kind::Bad(Fault::Twice)),
    ("bad-drain", Kind::Bad(Fault::Drain)),
    ("bad-cold", Kind::Bad(Fault::Cold)),
];

impl Kind {
    /// Its name.
    pub fn name(self) -> &'static str {
        NAMED.iter().find(|(_, kind)| *kind == self).map_or("?", |(name, _)| name)
    }

    /// The policy of this name.
    pub fn named(name: &str) -> Option<Kind> {
        NAMED.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    }

    /// One for a dispatcher.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn build(
        self,
        settings: &Settings,
        seed: u64,
        rng: SmallRng,
        truth: &SharedTruth,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            Kind::Ours => Box::new(Dispatcher::new(settings.clone(), seed)?),
            Kind::Plain(way) => Box::new(Simple::new(way, settings.clone(), rng, truth.clone())),
            Kind::Bad(fault) => bad::build(fault, settings, seed, rng, truth)?,
        })
    }
}
