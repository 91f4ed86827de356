//! Settings, lists and a small host for tests of the module.
#![allow(dead_code)]

use std::sync::Arc;

use rookspoke_decisions::*;

pub fn class(effect: Effect) -> Class {
    let aim = Span::from_ms(400.0);
    Class { name: "job".into(), aim, stretch: 2.0, late_worth: 0.0, worth: 1.0, effect, kind: None }
}

pub fn settings(effects: &[Effect]) -> Settings {
    Settings {
        dispatcher_index: 0,
        dispatchers: 1,
        zone: "here".into(),
        zones: vec!["here".into()],
        kinds: vec!["small".into(), "large".into()],
        classes: effects.iter().map(|e| class(*e)).collect(),
        tenants: Vec::new(),
        over_share_worth: 0.05,
        worth_by: WorthBy::Request,
        discovery: Discovery::Automatic,
        reporting: Reporting::Answers,
        reports_start: true,
        progress_interval: Span::from_ms(2_000.0),
        cross_zone_price: 0.0,
        waste_price: 0.02,
        quantum: Span::from_ms(4.0),
        limits: Limits {
            cancel: true,
            probes: true,
            second_copies: true,
            retry_after: true,
            max_retry_after: Span::from_ms(2000.0),
            max_attempts: 3,
        },
        rules: Rules {
            answer_slack: Span::from_ms(16.0),
            ask_every: Span::from_ms(10_000.0),
            drain_grace: Span::from_ms(500.0),
            initial_capacity: 0.14,
            ramp: Span::from_ms(20_000.0),
            overload_multiple: 3.0,
            overload_window: Span::from_ms(1000.0),
        },
    }
}

pub fn listing(at: usize) -> Listing {
    Listing {
        worker: format!("w{at}").into(),
        kind: "small".into(),
        zone: "here".into(),
        cell: Some(at as u64 / 3),
        started: None,
        weight: 1.0,
        readiness: Readiness::InService,
    }
}

pub fn list(scope: ListScope, entries: Vec<Listing>) -> Event {
    Event::List { scope, entries: Arc::from(entries) }
}

pub fn request(id: u64, class: usize, key: Option<&str>, deadline: Time) -> Event {
    Event::Request(Request {
        idempotency_hash: None,
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        key: key.map(Name::from),
        work: None,
        slots: 1.0,
        memory: 0.0,
        deadline,
    })
}

pub fn ended(id: u64, attempt: usize, outcome: Outcome, closed: bool, load: Option<LoadReport>) -> Event {
    let latency = Span::from_ms(400.0);
    Event::Outcome(AttemptEnd { request: RequestId(id), attempt, outcome, latency, closed, load })
}

pub fn free(slots: f64) -> Option<LoadReport> {
    Some(LoadReport { free_slots: Some(slots), queue: Some(0.0), ..LoadReport::default() })
}

/// A dispatcher with a clock in milliseconds.
pub struct Host {
    pub d: Dispatcher,
    pub ms: f64,
}

impl Host {
    pub fn new(settings: Settings, workers: usize) -> Self {
        let mut host = Host { d: Dispatcher::new(settings, 7).expect("settings"), ms: 1_000.0 };
        host.tell(list(ListScope::Remembered, (0..workers).map(listing).collect()));
        host
    }
    pub fn now(&self) -> Time {
        Time::from_ms(self.ms)
    }
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.d.handle(Time::from_ms(self.ms), event, &mut out);
        out
    }
    pub fn ask(&mut self, id: u64, class: usize, key: Option<&str>) -> Vec<Action> {
        let deadline = Time::from_ms(self.ms + 5000.0);
        self.tell(request(id, class, key, deadline))
    }
}

/// The worker of the first send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(worker.to_string()),
        _ => None,
    })
}
