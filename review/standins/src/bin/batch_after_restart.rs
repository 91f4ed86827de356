//! Case: a daemon with the Faktory front is restarted as planned; then a club pushes its batch of confirmations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::*;

/// Consumers, and the jobs that each of them works on at a time: one for each of its connections.
const CONSUMERS: usize = 2;
const CONNECTIONS: usize = 2;
const BATCH: usize = 24;
/// "1,200 to 2,300 ms of running on average".
const RUN_MS: (f64, f64) = (1200.0, 2300.0);
/// The class's give-up time: "given up after 20 s".
const GIVE_UP: Duration = Duration::from_secs(20);

struct Job {
    /// When its PUSH was answered with OK.
    accepted: Option<Instant>,
    /// The consumers that got it.
    handed: Vec<String>,
    acknowledged: bool,
}

#[derive(Clone)]
struct World {
    address: SocketAddr,
    jobs: Arc<Mutex<BTreeMap<String, Job>>>,
    end: Arc<AtomicBool>,
    record: Record,
}

/// One connection of a consumer: it asks for a job, runs it and acknowledges it, and comes back when it was closed.
fn consume(world: World, wid: String, mut rng: Rng) {
    while !world.end.load(Ordering::Relaxed) {
        let Some(mut connection) = Faktory::connect(world.address, Some(&wid)) else {
            std::thread::sleep(ms(100));
            continue;
        };
        while !world.end.load(Ordering::Relaxed) {
            let Some(reply) = connection.call("FETCH default") else { break };
            let Some(jid) = Faktory::jid(&reply) else { continue };
            world.record.line(&format!("{wid} got {jid}"));
            if let Some(job) = world.jobs.lock().unwrap().get_mut(&jid) {
                job.handed.push(wid.clone());
            }
            std::thread::sleep(Duration::from_secs_f64(rng.range(RUN_MS.0, RUN_MS.1) / 1e3));
            let reply = connection.call(&format!(r#"ACK {{"jid":"{jid}"}}"#));
            world.record.line(&format!("{wid} acknowledged {jid}: {}", reply.as_deref().unwrap_or("closed")));
            if let Some(job) = world.jobs.lock().unwrap().get_mut(&jid) {
                job.acknowledged |= reply.as_deref() == Some("+OK");
            }
            if reply.is_none() {
                break;
            }
        }
    }
}

/// A producer pushes this job, and what is refused once more after half a second, for as long as its client waits.
fn push(world: &World, connection: &mut Faktory, jid: &str) -> bool {
    let command = format!(r#"PUSH {{"jid":"{jid}","jobtype":"qso-confirm","args":[1],"queue":"default"}}"#);
    let job = Job { accepted: None, handed: Vec::new(), acknowledged: false };
    // Entered before the push: a consumer may have the job before the producer has its reply.
    world.jobs.lock().unwrap().entry(jid.to_owned()).or_insert(job);
    let reply = connection.call(&command).unwrap_or_else(|| "closed".into());
    world.record.line(&format!("pushed {jid}: {reply}"));
    let accepted = reply == "+OK";
    if accepted {
        world.jobs.lock().unwrap().get_mut(jid).unwrap().accepted = Some(Instant::now());
    }
    accepted
}

fn main() {
    let case = Case::from_env();
    let (listen, faktory) = (free_tcp(), free_tcp());
    let conf = format!("faktory {{\n    listen {faktory}\n}}\n");
    let config = site_config("n0", listen, start_discovery(&[]));
    let mut daemon = Dispatcher::new(&case, "n0", &config, &conf, listen);
    daemon.start();
    daemon.wait_ready();
    let world =
        World { address: faktory, jobs: Arc::default(), end: Arc::default(), record: case.record.clone() };
    let consumers: Vec<_> = (0..CONSUMERS * CONNECTIONS)
        .map(|at| {
            let (world, rng) = (world.clone(), Rng::new(case.seed * 100 + at as u64));
            std::thread::spawn(move || consume(world, format!("c-{}", at % CONSUMERS + 1), rng))
        })
        .collect();
    std::thread::sleep(ms(500));
    // The day so far: one confirmation after another.
    let mut producer =
        Faktory::connect(faktory, None).unwrap_or_else(|| quit("no connection for the producer"));
    for at in 0..8 {
        push(&world, &mut producer, &format!("earlier-{at:04}"));
        std::thread::sleep(ms(700));
    }
    std::thread::sleep(Duration::from_secs(3));
    if case.trouble {
        case.record.say("the daemon is told to end (SIGTERM)");
        daemon.signal("TERM");
        match daemon.wait_end(Duration::from_secs(10)) {
            Some(ended) => case.record.say(&format!("it has ended: {ended}")),
            None => quit("it did not end within 10 s"),
        }
        std::thread::sleep(ms(500));
        daemon.start();
        daemon.wait_ready();
        case.record.say("it is started again, and ready");
    }
    // By now all consumers ask for work, as in the quiet before.
    std::thread::sleep(Duration::from_secs(2));
    let mut producer =
        Faktory::connect(faktory, None).unwrap_or_else(|| quit("no connection for the producer"));
    let start = Instant::now();
    let mut open: Vec<String> = (0..BATCH).map(|at| format!("batch-{at:04}")).collect();
    while !open.is_empty() && start.elapsed() < GIVE_UP {
        open.retain(|jid| !push(&world, &mut producer, jid));
        std::thread::sleep(ms(500));
    }
    // Until the clients of the last job have given up.
    std::thread::sleep(GIVE_UP + ms(500));
    case.record.line(&format!("INFO: {}", producer.call("INFO").unwrap_or_default()));
    // What a producer hears that pushes a job again which was never handed out.
    let lost =
        world.jobs.lock().unwrap().iter().find(|(_, job)| job.handed.is_empty()).map(|(jid, _)| jid.clone());
    if let Some(jid) = lost {
        let again = format!(r#"PUSH {{"jid":"{jid}","jobtype":"qso-confirm","args":[1],"queue":"default"}}"#);
        case.record.say(&format!("{jid}, pushed once more: {}", producer.call(&again).unwrap_or_default()));
    }
    world.end.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    if let Some(ended) = daemon.ended() {
        quit(&format!("the daemon ended: {ended}"));
    }
    drop(daemon);
    let jobs = world.jobs.lock().unwrap();
    let accepted = || jobs.iter().filter(|(_, job)| job.accepted.is_some());
    let mut broken = false;
    for (jid, job) in accepted() {
        if job.handed.is_empty() {
            broken = true;
            case.record.say(&format!(
                "BROKEN: {jid} was accepted (+OK), never handed out within its 20 s, and nobody was told"
            ));
        }
        if job.handed.len() > 1 {
            broken = true;
            case.record.say(&format!("BROKEN: {jid} was handed out {} times", job.handed.len()));
        }
    }
    let handed = accepted().filter(|(_, job)| !job.handed.is_empty()).count();
    let done = accepted().filter(|(_, job)| job.acknowledged).count();
    case.record.say(&format!(
        "seed {}, trouble {}: {} jobs accepted, {handed} of them handed out, {done} acknowledged, {} never accepted",
        case.seed, case.trouble, accepted().count(), jobs.len() - accepted().count()
    ));
    if accepted().count() < 12 {
        quit("too few jobs were accepted for a verdict");
    }
    if broken {
        std::process::exit(1);
    }
    case.record.say("held: each accepted job was handed out, and none twice");
}
