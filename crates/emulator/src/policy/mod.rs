//! Routing policies: the project's own decisions, textbook policies for comparison, and faulty ones that show that
//! each checker detects its violation. All of them share the interface of the decisions.

mod baseline;
mod faulty;

use std::cell::RefCell;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rookspoke_decisions::{Action, Dispatcher, Event, Settings, SettingsError, Time};

pub use baseline::{Baseline, BaselinePolicy};
pub use faulty::Fault;

/// The decision logic of one dispatcher.
pub trait Policy {
    /// Handles an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

impl Policy for Dispatcher {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, out);
    }
}

/// The true state of all log workers. Only the reference policy [`Baseline::Top`] reads it; a real dispatcher has no
/// access to this state.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// By log worker number: seconds until it would be idle with all cores in use.
    pub backlog: Vec<f64>,
    /// By log worker number: work in core-seconds that it can still receive within the overload window while in slow
    /// start; none at full speed.
    pub slow_start_budget: Vec<Option<f64>>,
    /// By log worker number: the archives in its cache.
    pub archives: Vec<Vec<u64>>,
    /// By log worker number: whether it accepts jobs.
    pub accepts_work: Vec<bool>,
}

/// The ground truth, shared with the model that updates it.
pub type SharedGroundTruth = Rc<RefCell<GroundTruth>>;

/// A policy to run a scenario with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The project's own decisions.
    Ours,
    /// A textbook policy.
    Baseline(Baseline),
    /// A policy with a fault that breaks one rule.
    Faulty(Fault),
}

/// All policies by the name that the command line and reports use.
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
    /// The name that the command line and reports use.
    pub fn name(self) -> &'static str {
        NAMED.iter().find(|(_, kind)| *kind == self).map_or("?", |(name, _)| name)
    }

    /// Looks a policy up by its name.
    pub fn named(name: &str) -> Option<PolicyKind> {
        NAMED.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    }

    /// Creates the policy for one dispatcher.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn build(
        self,
        settings: &Settings,
        seed: u64,
        rng: SmallRng,
        truth: &SharedGroundTruth,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            PolicyKind::Ours => Box::new(Dispatcher::new(settings.clone(), seed)?),
            PolicyKind::Baseline(baseline) => {
                Box::new(BaselinePolicy::new(baseline, settings.clone(), rng, truth.clone()))
            }
            PolicyKind::Faulty(fault) => faulty::build(fault, settings, seed, rng, truth)?,
        })
    }
}
