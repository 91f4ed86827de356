//! Policies with one fault each. A checker that none of them trips would check nothing.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rookspoke_decisions::{
    Action, Dispatcher, Effect, Event, Outcome, Readiness, RequestId, Settings, SettingsError, Span, Time,
};

use super::{Baseline, BaselinePolicy, Policy, SharedGroundTruth};

/// A fault, and the rule that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// One answer in ten is forgotten.
    LosesAnswers,
    /// An attempt that broke is repeated, whatever the class.
    RepeatsUnsafe,
    /// Drains are not heard of.
    IgnoresDrain,
    /// Starts are not heard of: a cold log worker is the idlest of all, and gets everything.
    IgnoresSlowStart,
}

/// A policy with this fault.
pub(super) fn build(
    fault: Fault,
    settings: &Settings,
    seed: u64,
    rng: SmallRng,
    truth: &SharedGroundTruth,
) -> Result<Box<dyn Policy>, SettingsError> {
    let mut settings = settings.clone();
    Ok(match fault {
        Fault::LosesAnswers => Box::new(Forgets {
            inner: Dispatcher::new(settings, seed)?,
            answers: 0,
            forgotten: BTreeSet::new(),
        }),
        Fault::RepeatsUnsafe => {
            settings.classes.iter_mut().for_each(|class| class.effect = Effect::Safe);
            // Copies would break the rule on calm days too; it is to be the repeat after a break.
            settings.limits.second_copies = false;
            Box::new(Dispatcher::new(settings, seed)?)
        }
        Fault::IgnoresDrain => Box::new(Deaf { inner: Dispatcher::new(settings, seed)? }),
        Fault::IgnoresSlowStart => {
            settings.rules.ramp = Span(0);
            Box::new(BaselinePolicy::new(Baseline::LeastLoaded, settings, rng, truth.clone()))
        }
    })
}

struct Forgets {
    inner: Dispatcher,
    answers: u64,
    forgotten: BTreeSet<RequestId>,
}

impl Policy for Forgets {
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
                    self.forgotten.insert(request);
                    out.remove(at);
                    continue;
                }
            }
            at += 1;
        }
    }
}

struct Deaf {
    inner: Dispatcher,
}

impl Policy for Deaf {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let event = match event {
            Event::List { scope, entries } => {
                let heard = entries.iter().map(|entry| {
                    let mut entry = entry.clone();
                    if entry.readiness == Readiness::Draining {
                        entry.readiness = Readiness::InService;
                    }
                    entry
                });
                Event::List { scope, entries: heard.collect() }
            }
            // It goes on sending there, however often it is turned away.
            Event::Outcome(mut end) if end.outcome == Outcome::TurnedAway => {
                end.outcome = Outcome::NotSent;
                Event::Outcome(end)
            }
            event => event,
        };
        self.inner.handle(now, event, out);
    }
}
