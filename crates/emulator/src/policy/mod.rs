//! What decides: the project's own decisions, others to compare them with, and bad ones that show that each checker
//! can trip. All of them speak the interface of the decisions.

mod baseline;
mod faulty;

use std::cell::RefCell;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rookspoke_decisions::{Action, Dispatcher, Event, Settings, SettingsError, Time};

pub use baseline::{Baseline, BaselinePolicy};
pub use faulty::Fault;

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
pub struct GroundTruth {
    /// For each log worker, by number: seconds until it would be idle, were its cores always full.
    pub backlog: Vec<f64>,
    /// Work that a cold one still bears in the span of the fall-over rule, in seconds of a core; none if warm.
    pub slow_start_budget: Vec<Option<f64>>,
    /// The archives that it keeps.
    pub archives: Vec<Vec<u64>>,
    /// Whether it takes work.
    pub accepts_work: Vec<bool>,
}

/// A view of the truth that the model keeps up to date.
pub type SharedGroundTruth = Rc<RefCell<GroundTruth>>;

/// A policy by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The project's own.
    Ours,
    /// Another way to choose.
    Baseline(Baseline),
    /// Ours, with a fault that breaks one rule.
    Faulty(Fault),
}

/// All policies that are worth comparing, by name.
pub const NAMED: &[(&str, PolicyKind)] = &[
    ("ours", PolicyKind::Ours),
    ("random", PolicyKind::Baseline(Baseline::Random)),
    ("round-robin", PolicyKind::Baseline(Baseline::RoundRobin)),
    ("least-loaded", PolicyKind::Baseline(Baseline::LeastLoaded)),
    ("two-choices", PolicyKind::Baseline(Baseline::TwoChoices)),
    ("rendezvous", PolicyKind::Baseline(Baseline::Rendezvous)),
    ("bounded-loads", PolicyKind::Baseline(Baseline::BoundedLoads)),
    ("pasch", PolicyKind::Baseline(Baseline::Pasch)),
    ("top", PolicyKind::Baseline(Baseline::Top)),
    ("bad-silent", PolicyKind::Faulty(Fault::LosesAnswers)),
    ("bad-twice", PolicyKind::Faulty(Fault::RepeatsUnsafe)),
    ("bad-drain", PolicyKind::Faulty(Fault::IgnoresDrain)),
    ("bad-cold", PolicyKind::Faulty(Fault::IgnoresSlowStart)),
];

impl PolicyKind {
    /// Its name.
    pub fn name(self) -> &'static str {
        NAMED.iter().find(|(_, kind)| *kind == self).map_or("?", |(name, _)| name)
    }

    /// The policy of this name.
    pub fn named(name: &str) -> Option<PolicyKind> {
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
        truth: &SharedGroundTruth,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            PolicyKind::Ours => Box::new(Dispatcher::new(settings.clone(), seed)?),
            PolicyKind::Baseline(way) => {
                Box::new(BaselinePolicy::new(way, settings.clone(), rng, truth.clone()))
            }
            PolicyKind::Faulty(fault) => faulty::build(fault, settings, seed, rng, truth)?,
        })
    }
}
