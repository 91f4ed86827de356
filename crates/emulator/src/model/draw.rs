//! What is drawn before anything happens: what each log worker is like, and what clients will ask for. A play with
//! real processes draws the same from the same seed.

use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::{Distribution, LogNormal, Zipf};
use rookspoke_decisions::Time;

use super::{Make, Order};
use crate::rng::{stream, Stream};
use crate::scenario::{Incident, Scenario};

/// A job as a client means to send it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its class, by its place in the scenario.
    pub class: usize,
    /// What it is about.
    pub key: u64,
    /// Slots that it takes.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// When its client means to send it.
    pub asked: Time,
    /// Its client's zone.
    pub zone: usize,
}

/// What a scenario's log worker of this number is like.
pub fn make(s: &Scenario, seed: u64, number: usize) -> Make {
    let spread = unit_log_normal(s.get("worker.speed-spread"));
    Make {
        cores: s.get("worker.cores"),
        slots: s.get("worker.slots"),
        queue: s.count("worker.queue"),
        order: match s.count("worker.order") {
            0 => Order::Fifo,
            1 => Order::Backfill,
            _ => Order::Priority,
        },
        speed: spread.sample(&mut stream(seed, Stream::Speed, number as u64)),
        crowding: s.get("worker.crowding"),
        cold_from: s.get("worker.cold-from"),
        cold_for: s.span("worker.cold-for"),
        archives: s.count("worker.archives"),
    }
}

/// All arrivals: they do not wait for answers. `clients` is the clients' stream of the seed.
pub fn arrivals(s: &Scenario, seed: u64, clients: &mut SmallRng) -> Vec<Arrival> {
    let rate = s.get("clients.load") * s.capacity() / s.mean_work().max(1e-6);
    let (swing, every) = (s.get("clients.swing"), s.span("clients.swing-every").secs());
    let zipf = Zipf::new(s.get("clients.keys"), s.get("clients.skew")).ok();
    let shares: f64 = s.classes.iter().map(|class| class.get("share")).sum();
    let sizes: Vec<Vec<(f64, f64)>> = s.classes.iter().map(|class| class.slot_sizes()).collect();
    let works: Vec<LogNormal<f64>> = s.classes.iter().map(|c| unit_log_normal(c.get("spread"))).collect();
    let most = rate * (1.0 + swing);
    let (mut all, mut at) = (Vec::new(), 0.0);
    loop {
        // Thinning (Lewis and Shedler, 1979): drawn at the highest rate, kept as the present rate has it.
        let uniform: f64 = clients.random();
        at += -(1.0 - uniform).ln() / most.max(1e-9);
        if at >= s.span("length").secs() {
            return all;
        }
        let present = rate * (1.0 + swing * (at / every * std::f64::consts::TAU).sin());
        let keep: f64 = clients.random();
        let (pick, size, work): (f64, f64, f64) = (clients.random(), clients.random(), clients.random());
        let key = zipf.as_ref().map_or(1.0, |zipf| zipf.sample(clients)) as u64;
        let zone = clients.random_range(0..s.count("zones"));
        if keep * most > present {
            continue;
        }
        let mut rest = pick * shares;
        let class = s.classes.iter().position(|class| {
            rest -= class.get("share");
            rest < 0.0
        });
        let class = class.unwrap_or(s.classes.len() - 1);
        let mut rest = size;
        let slots = sizes[class].iter().find(|(_, share)| {
            rest -= share;
            rest < 0.0
        });
        // The draw for the work was taken above, so that a class does not shift the draws of the next.
        let spread = works[class].sample(&mut stream(seed, Stream::Clients, (work * 9e15) as u64 | 1 << 60));
        all.push(Arrival {
            class,
            key,
            slots: slots.map_or(1.0, |slots| slots.0),
            work: s.classes[class].get("work") / 1000.0 * spread,
            asked: Time::from_ms(at * 1000.0),
            zone,
        });
    }
}

/// Whether the arrival of this number, asked for at `asked`, is one of those that a `costly` incident makes dear.
pub fn is_costly(seed: u64, number: usize, asked: Time, incident: &Incident) -> bool {
    let from = Time(0) + incident.at;
    let within = asked >= from && asked < from + incident.length;
    within && stream(seed, Stream::Incident, number as u64 | 1 << 40).random::<f64>() < incident.part
}

/// Whom an incident hits: this part of `of`, drawn by the incident's number.
pub fn hit(seed: u64, incident: usize, part: f64, of: usize) -> Vec<usize> {
    let mut rng = stream(seed, Stream::Incident, incident as u64);
    let mut all: Vec<usize> = (0..of).collect();
    // The first of a shuffled list (Fisher and Yates).
    for at in (1..all.len()).rev() {
        all.swap(at, rng.random_range(0..=at));
    }
    all.truncate((part * of as f64).round() as usize);
    all
}

/// Log-normal with the mean 1.
fn unit_log_normal(cv: f64) -> LogNormal<f64> {
    let variance = (1.0 + cv * cv).ln();
    // Finite and not negative, so it holds; else everything is 1.
    LogNormal::new(-variance / 2.0, variance.sqrt())
        .unwrap_or_else(|_| LogNormal::new(0.0, 0.0).unwrap_or_else(|_| unreachable!("zero is a deviation")))
}
