//! Policies with one fault each. They test the checkers: a checker that no policy violates verifies nothing.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rookspoke_decisions::{
    Action, Dispatcher, Effect, Event, Outcome, Readiness, RequestId, Settings, SettingsError, Span, Time,
};

use super::{Baseline, BaselinePolicy, Policy, SharedGroundTruth};

/// The fault of a faulty policy. Each breaks one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Loses one refusal or failure in ten.
    LosesAnswers,
    /// Repeats a broken attempt even if the class is unsafe to repeat.
    RepeatsUnsafe,
    /// Ignores that a log worker drains.
    IgnoresDrain,
    /// Ignores slow start: a newly started log worker is the least loaded, and gets all jobs.
    IgnoresSlowStart,
}

/// Creates a policy with this fault.
pub(super) fn build(
    fault: Fault,
    settings: &Settings,
    seed: u64,
    rng: SmallRng,
    truth: &SharedGroundTruth,
) -> Result<Box<dyn Policy>, SettingsError> {
    let mut settings = settings.clone();
    Ok(match fault {
        Fault::LosesAnswers => Box::new(LosesAnswers {
            inner: Dispatcher::new(settings, seed)?,
            answers: 0,
            lost: BTreeSet::new(),
        }),
        Fault::RepeatsUnsafe => {
            settings.classes.iter_mut().for_each(|class| class.effect = Effect::Safe);
            // Hedging would break the rule without incidents too; only the repeat after a broken attempt should.
            settings.limits.second_copies = false;
            Box::new(Dispatcher::new(settings, seed)?)
        }
        Fault::IgnoresDrain => Box::new(IgnoresDrain { inner: Dispatcher::new(settings, seed)? }),
        Fault::IgnoresSlowStart => {
            settings.rules.ramp = Span(0);
            Box::new(BaselinePolicy::new(Baseline::LeastLoaded, settings, rng, truth.clone()))
        }
    })
}

struct LosesAnswers {
    inner: Dispatcher,
    answers: u64,
    lost: BTreeSet<RequestId>,
}

impl Policy for LosesAnswers {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let from = out.len();
        self.inner.handle(now, event, out);
        let mut at = from;
        while at < out.len() {
            let ends = match &out[at] {
                Action::Refuse { request, .. } | Action::Fail { request, .. } => Some(*request),
                _ => None,
            };
            if let Some(request) = ends {
                self.answers += 1;
                if self.answers.is_multiple_of(10) {
                    self.lost.insert(request);
                    out.remove(at);
                    continue;
                }
            }
            at += 1;
        }
    }
}

struct IgnoresDrain {
    inner: Dispatcher,
}

impl Policy for IgnoresDrain {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let event = match event {
            Event::List { scope, entries } => {
                let entries = entries.iter().map(|entry| {
                    let mut entry = entry.clone();
                    if entry.readiness == Readiness::Draining {
                        entry.readiness = Readiness::InService;
                    }
                    entry
                });
                Event::List { scope, entries: entries.collect() }
            }
            // A turned-away attempt counts as not sent, so that the policy keeps sending to the draining log worker.
            Event::Outcome(mut end) if end.outcome == Outcome::TurnedAway => {
                end.outcome = Outcome::NotSent;
                Event::Outcome(end)
            }
            event => event,
        };
        self.inner.handle(now, event, out);
    }
}
