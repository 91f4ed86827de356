//! Slow start: the budget of a newly started worker, divided among all dispatchers without communication.

use crate::dispatcher::Dispatcher;
use crate::placement::DEFAULT_SLOTS;
use crate::worker::Worker;

/// The fraction of a worker's slow-start budget that dispatchers plan to use. The overload window can hold twice
/// that; the rest is a margin.
const PLANNED_FRACTION: f64 = 0.35;

impl Dispatcher {
    /// Rule 4. All dispatchers compute the same plan for a worker in slow start: `PLANNED_FRACTION` of its budget,
    /// given out in turns of one job each, in an order of dispatchers that is shifted per worker. Returns the number
    /// of this dispatcher's turn while it is open and unused, `i64::MIN` for a worker past its slow start, and `None`
    /// otherwise.
    pub(crate) fn slow_start_turn(&self, worker: &Worker) -> Option<i64> {
        let rules = &self.settings.rules;
        let Some(started) = worker.started.filter(|at| self.now - *at < rules.ramp) else {
            return Some(i64::MIN);
        };
        let (age, ramp) = ((self.now - started).secs().max(0.0), rules.ramp.secs());
        let run_cost = self.run_costs.iter().map(|cost| cost.0).fold(1e-3, f64::max);
        let slots = worker.learned_slots.unwrap_or(DEFAULT_SLOTS);
        // Jobs per second at full capacity; the capacity grows linearly over the ramp.
        let full_rate = PLANNED_FRACTION * rules.overload_multiple * slots / run_cost;
        let initial = rules.initial_capacity;
        let jobs = full_rate * (initial * age + (1.0 - initial) * age * age / (2.0 * ramp));
        let dispatchers = self.settings.dispatchers as u64;
        let place = (self.settings.dispatcher_index as u64).wrapping_add(worker.name_hash) % dispatchers;
        let turns = (jobs - place as f64) / dispatchers as f64;
        let open_for = (turns - turns.floor()) * dispatchers as f64
            / (full_rate * worker.capacity_fraction(rules, self.now));
        // An earlier process with the same dispatcher number may have used turns that opened before this one started.
        let own_time = self.started_at.map_or(0.0, |at| (self.now - at).secs());
        let own_time = own_time.min(rules.overload_window.secs());
        let open = turns >= 0.0 && open_for <= own_time && turns.floor() as i64 > worker.last_turn;
        open.then_some(turns.floor() as i64)
    }
}
