//! Random draws made before a run starts: the properties of each log worker, the requests of the clients and the
//! targets of incidents. A run with real processes draws the same values from the same seed.

use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::{Distribution, LogNormal, Zipf};
use rookspoke_decisions::Time;

use super::{QueueOrder, WorkerSpec};
use crate::rng::{stream, Stream};
use crate::scenario::{Incident, Scenario};

/// A planned request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Index of its class in the scenario.
    pub class: usize,
    /// Key of the archive that it needs.
    pub key: u64,
    /// Slots that it occupies while running.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// Time at which the client intends to send it; latency is measured from here.
    pub intended_at: Time,
    /// Zone of the client.
    pub zone: usize,
}

/// Draws the properties of the scenario's log worker `number`. Only the speed is random.
pub fn draw_worker_spec(s: &Scenario, seed: u64, number: usize) -> WorkerSpec {
    let spread = unit_log_normal(s.get("worker.speed-spread"));
    WorkerSpec {
        cores: s.get("worker.cores"),
        slots: s.get("worker.slots"),
        queue: s.count("worker.queue"),
        order: match s.count("worker.order") {
            0 => QueueOrder::Fifo,
            1 => QueueOrder::Backfill,
            _ => QueueOrder::Priority,
        },
        speed: spread.sample(&mut stream(seed, Stream::Speed, number as u64)),
        contention: s.get("worker.crowding"),
        initial_capacity: s.get("worker.cold-from"),
        ramp: s.span("worker.cold-for"),
        archives: s.count("worker.archives"),
    }
}

/// Draws all arrivals of a run. The load is open-loop: arrivals don't wait for answers. `clients` is the clients'
/// stream of the seed.
pub fn draw_arrivals(s: &Scenario, seed: u64, clients: &mut SmallRng) -> Vec<Arrival> {
    let rate = s.get("clients.load") * s.capacity() / s.mean_work().max(1e-6);
    let (swing, every) = (s.get("clients.swing"), s.span("clients.swing-every").secs());
    let zipf = Zipf::new(s.get("clients.keys"), s.get("clients.skew")).ok();
    let shares: f64 = s.classes.iter().map(|class| class.get("share")).sum();
    let sizes: Vec<Vec<(f64, f64)>> = s.classes.iter().map(|class| class.slot_sizes()).collect();
    let works: Vec<LogNormal<f64>> = s.classes.iter().map(|c| unit_log_normal(c.get("spread"))).collect();
    let peak_rate = rate * (1.0 + swing);
    let (mut all, mut at) = (Vec::new(), 0.0);
    loop {
        // Thinning (Lewis and Shedler, 1979): arrivals are drawn at the peak rate, and each is kept with the ratio of
        // the present rate to the peak rate.
        let uniform: f64 = clients.random();
        at += -(1.0 - uniform).ln() / peak_rate.max(1e-9);
        if at >= s.span("length").secs() {
            return all;
        }
        let present_rate = rate * (1.0 + swing * (at / every * std::f64::consts::TAU).sin());
        let keep: f64 = clients.random();
        let (pick, size, work): (f64, f64, f64) = (clients.random(), clients.random(), clients.random());
        let key = zipf.as_ref().map_or(1.0, |zipf| zipf.sample(clients)) as u64;
        let zone = clients.random_range(0..s.count("zones"));
        if keep * peak_rate > present_rate {
            continue;
        }
        let mut remaining = pick * shares;
        let class = s.classes.iter().position(|class| {
            remaining -= class.get("share");
            remaining < 0.0
        });
        let class = class.unwrap_or(s.classes.len() - 1);
        let mut remaining = size;
        let slots = sizes[class].iter().find(|(_, share)| {
            remaining -= share;
            remaining < 0.0
        });
        // The draw for the work was made above and seeds a stream here, so that the number of draws of one class
        // doesn't shift those of the next arrival.
        let spread = works[class].sample(&mut stream(seed, Stream::Clients, (work * 9e15) as u64 | 1 << 60));
        all.push(Arrival {
            class,
            key,
            slots: slots.map_or(1.0, |slots| slots.0),
            work: s.classes[class].get("work") / 1000.0 * spread,
            intended_at: Time::from_ms(at * 1000.0),
            zone,
        });
    }
}

/// Whether a `costly` incident raises the work of the arrival `number`, which is planned for `intended_at`.
pub fn is_costly(seed: u64, number: usize, intended_at: Time, incident: &Incident) -> bool {
    let start = Time(0) + incident.at;
    let within = intended_at >= start && intended_at < start + incident.length;
    within && stream(seed, Stream::Incident, number as u64 | 1 << 40).random::<f64>() < incident.part
}

/// Draws the processes that an incident affects: the fraction `part` of the numbers below `total`. The draw depends
/// on the seed and the incident's number alone.
pub fn draw_affected(seed: u64, incident: usize, part: f64, total: usize) -> Vec<usize> {
    let mut rng = stream(seed, Stream::Incident, incident as u64);
    let mut all: Vec<usize> = (0..total).collect();
    // Fisher-Yates shuffle; the first elements are the sample.
    for index in (1..all.len()).rev() {
        all.swap(index, rng.random_range(0..=index));
    }
    all.truncate((part * total as f64).round() as usize);
    all
}

/// Log-normal distribution with the mean 1 and the coefficient of variation `cv`.
fn unit_log_normal(cv: f64) -> LogNormal<f64> {
    let variance = (1.0 + cv * cv).ln();
    // The scenario's bounds keep the deviation finite and not negative. Otherwise every sample is 1.
    LogNormal::new(-variance / 2.0, variance.sqrt())
        .unwrap_or_else(|_| LogNormal::new(0.0, 0.0).unwrap_or_else(|_| unreachable!("zero is a deviation")))
}
