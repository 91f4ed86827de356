//! Slow start: a cold worker's budget, dealt out among all dispatchers without talk.

use crate::dispatcher::Dispatcher;
use crate::placement::DEFAULT_SLOTS;
use crate::worker::Worker;

/// The part of the budget of a cold worker that is planned: a span can hold twice that, the rest is margin.
const PLANNED_FRACTION: f64 = 0.35;

impl Dispatcher {
    /// Rule 4. All dispatchers share one plan for a cold worker: PLANNED_FRACTION of the budget, dealt out in turns
    /// of one job, in an order shifted per worker. `Some(turn)` when the own turn is open, or it is warm.
    pub(crate) fn slow_start_turn(&self, w: &Worker) -> Option<i64> {
        let rules = &self.settings.rules;
        let Some(started) = w.started.filter(|at| self.now - *at < rules.ramp) else { return Some(i64::MIN) };
        let (age, ramp) = ((self.now - started).secs().max(0.0), rules.ramp.secs());
        let cost = self.run_costs.iter().map(|c| c.0).fold(1e-3, f64::max);
        let full =
            PLANNED_FRACTION * rules.overload_multiple * w.learned_slots.unwrap_or(DEFAULT_SLOTS) / cost;
        let jobs =
            full * (rules.initial_capacity * age + (1.0 - rules.initial_capacity) * age * age / (2.0 * ramp));
        let all = self.settings.dispatchers as u64;
        let place = (self.settings.dispatcher_index as u64).wrapping_add(w.name_hash) % all;
        let turns = (jobs - place as f64) / all as f64;
        let into = (turns - turns.floor()) * all as f64 / (full * w.capacity_fraction(rules, self.now));
        // Of turns that opened before this process lived, an earlier one of the same number may have had its use.
        let own = self.started_at.map_or(0.0, |at| (self.now - at).secs()).min(rules.overload_window.secs());
        let open = turns >= 0.0 && into <= own && turns.floor() as i64 > w.last_turn;
        open.then_some(turns.floor() as i64)
    }
}
