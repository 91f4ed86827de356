//! What a decision costs as the fleet grows: a job asked for, sent, started and ended, with a change of the list at
//! every hundredth job. Keys are ten times the log workers; three jobs are out for each of them at most.
//!
//! ```text
//! cargo bench -p rookspoke-decisions
//! ```

#![allow(missing_docs)] // what the macro of the library makes

use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rookspoke_decisions::*;

const SIZES: [usize; 6] = [12, 120, 200, 1_200, 3_200, 12_000];
/// Jobs between two changes of the list.
const CHANGE_EVERY: u64 = 100;
/// What is out at most: a dispatcher has only its own part of a large fleet.
const MOST_OUT: usize = 300;

fn settings() -> Settings {
    let class = Class {
        name: "job".into(),
        aim: Span::from_ms(2000.0),
        stretch: 2.0,
        late_worth: 0.0,
        worth: 1.0,
        effect: Effect::Safe,
        kind: None,
    };
    Settings {
        dispatcher_index: 0,
        dispatchers: 3,
        zone: "a".into(),
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into()],
        classes: vec![class],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        worth_by: WorthBy::Request,
        discovery: Discovery::Automatic,
        reporting: Reporting::Answers,
        reports_start: true,
        progress_interval: Span::from_ms(2_000.0),
        cross_zone_price: 0.03,
        waste_price: 0.02,
        quantum: Span::from_ms(4.0),
        limits: Limits {
            cancel: true,
            probes: false,
            second_copies: true,
            retry_after: true,
            max_retry_after: Span::from_ms(2000.0),
            max_attempts: 6,
        },
        rules: Rules {
            answer_slack: Span::from_ms(16.0),
            ask_every: Span::from_ms(10_000.0),
            drain_grace: Span::from_ms(500.0),
            initial_capacity: 0.13,
            ramp: Span::from_ms(23_000.0),
            overload_multiple: 3.0,
            overload_window: Span::from_ms(3000.0),
        },
    }
}

fn listing(at: usize, readiness: Readiness) -> Listing {
    Listing {
        worker: format!("w-{at:06}").into(),
        kind: "std".into(),
        zone: if at.is_multiple_of(2) { "a" } else { "b" }.into(),
        cell: Some(at as u64 / 8),
        started: None,
        weight: 1.0,
        readiness,
    }
}

struct Host {
    dispatcher: Dispatcher,
    now: Time,
    workers: usize,
    next: u64,
    out: VecDeque<u64>,
    actions: Vec<Action>,
}

impl Host {
    fn new(workers: usize) -> Self {
        let dispatcher = Dispatcher::new(settings(), 7).expect("settings");
        let mut host =
            Host { dispatcher, now: Time(0), workers, next: 0, out: VecDeque::new(), actions: Vec::new() };
        let entries: Vec<Listing> = (0..workers).map(|at| listing(at, Readiness::InService)).collect();
        host.tell(Event::List { scope: ListScope::Complete, entries: Arc::from(entries) });
        for _ in 0..20 * host.most_out().min(1000) {
            host.job();
        }
        host
    }

    fn most_out(&self) -> usize {
        (3 * self.workers).min(MOST_OUT)
    }

    fn tell(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event, &mut self.actions);
    }

    /// One job in, and the oldest one out.
    fn job(&mut self) {
        self.next += 1;
        self.now = self.now + Span(2_000);
        if self.next.is_multiple_of(CHANGE_EVERY) {
            // One that leaves, and the one that left before comes back.
            let at = (self.next / CHANGE_EVERY) as usize % self.workers;
            let before = (at + self.workers - 1) % self.workers;
            let entries = [listing(at, Readiness::Draining), listing(before, Readiness::InService)];
            self.tell(Event::List { scope: ListScope::Changes, entries: Arc::new(entries) });
        }
        let key = self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (10 * self.workers as u64);
        let id = RequestId(self.next);
        self.tell(Event::Request(Request {
            idempotency_hash: None,
            id,
            class: ClassId(0),
            tenant: None,
            key: Some(format!("k{key}").into()),
            work: None,
            slots: 1.0,
            memory: 0.0,
            deadline: self.now + Span(10_000_000),
        }));
        let sent = self.actions.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == id));
        self.actions.clear();
        if sent {
            self.tell(Event::AttemptUpdate { request: id, attempt: 0, update: AttemptUpdate::Started });
            self.out.push_back(self.next);
        }
        if self.out.len() >= self.most_out() {
            let Some(oldest) = self.out.pop_front() else { return };
            let load = Some(LoadReport { free_slots: Some(3.0), ..LoadReport::default() });
            self.tell(Event::Outcome(AttemptEnd {
                request: RequestId(oldest),
                attempt: 0,
                outcome: Outcome::Served,
                latency: Span(400_000),
                closed: true,
                load,
            }));
        }
        black_box(&self.actions);
        self.actions.clear();
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for workers in SIZES {
        let mut host = Host::new(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |b| b.iter(|| host.job()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
