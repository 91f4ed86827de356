//! The Faktory front, with stand-in producers and consumers. Every job is counted exactly once.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::faktory::*;
use common::world::*;

#[test]
fn a_job_is_handed_to_a_consumer_unchanged() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    let text =
        r#"{"jid":"job-00000001","jobtype":"qso-confirm",  "args":[1,"two"],"custom":{"key":"HA5XX"}}"#;
    assert_eq!(producer.call(&format!("PUSH {text}")), "+OK");
    assert_eq!(consumer.reply(), text);
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "refused=0", "failed=0", "late_reports=0"]);
}

#[test]
fn malformed_and_unsupported_commands_get_an_error_and_are_counted() {
    let daemon = start_daemon(FRONT_ENABLED);
    let to = daemon.address("faktory");
    let mut producer = Peer::producer(to);
    let long = format!("PUSH {}", "x".repeat(70_000));
    let replies: Vec<String> = [
        "HELLO {\"v\":2}",
        "PUSH {\"jid\":",
        "PUSH {\"jid\":\"short\",\"jobtype\":\"log-lookup\",\"args\":[]}",
        "PUSH {\"jid\":\"job-00000001\",\"jobtype\":\"log-lookup\",\"args\":[],\"at\":\"2030-01-01T00:00:00Z\"}",
        "PUSH {\"jid\":\"job-00000001\",\"jobtype\":\"unheard-of\",\"args\":[]}",
        "FETCH default",
        "FLUSH",
        "ACK 7",
        &long,
    ]
    .iter()
    .map(|command| producer.call(command))
    .collect();
    insta::assert_snapshot!(replies.join("\n"), @r#"
    -ERR HELLO was said already
    -ERR malformed PUSH: EOF while parsing a value at line 1 column 7
    -ERR malformed PUSH: jid: 8 to 256 characters
    -ERR malformed PUSH: at: scheduled jobs are not taken
    -ERR jobtype "unheard-of" is not known
    -ERR only a client whose HELLO has a wid may FETCH
    -ERR "FLUSH" is not supported
    -ERR malformed ACK: invalid type: integer `7`, expected struct Jid at line 1 column 1
    -ERR a command is longer than 65536 bytes
    "#);
    let mut without_hello = Peer::connect(to);
    without_hello.reply();
    assert_eq!(without_hello.call("PUSH {}"), "-ERR HELLO with v 2 comes first");
    daemon.wait_counters("faktory", &["taken=0", "turned_down=1", "malformed=7"]);
}

#[test]
fn without_a_consumer_a_push_is_refused() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut producer = Peer::producer(daemon.address("faktory"));
    let mut job = job("job-00000001", "qso-confirm");
    job["custom"] = serde_json::json!({"time_left_ms": 200});
    assert!(producer.push(&job).starts_with("-ERR unavailable"));
    // A refused job may be pushed again.
    assert!(producer.push(&job).starts_with("-ERR unavailable"));
    daemon.wait_counters("faktory", &["taken=2", "refused=2", "sent=0"]);
}

/// Guards against accepted jobs that nobody gets: once a producer has read +OK it hears nothing more of the job.
#[test]
fn a_job_that_no_consumer_fetches_in_time_is_refused_to_its_producer() {
    let daemon = start_daemon(&front_with("claim 100ms"));
    let mut busy = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut busy, &job("job-00000001", "qso-confirm"));
    let mut waiting = job("job-00000002", "qso-confirm");
    waiting["custom"] = serde_json::json!({"time_left_ms": 3000});
    let reply = producer.push(&waiting);
    assert!(reply.starts_with("-ERR unavailable"), "pushed while the only consumer was busy: {reply}");
    daemon.wait_counters("faktory", &["taken=2", "refused=1", "written=1"]);
    let sent = sent_count(&daemon);
    assert!(
        (3..=7).contains(&sent),
        "offered more than once, and at most as often as `send_cap` allows: {sent}"
    );
    assert_eq!(busy.call("FETCH default"), "nil", "a refused job is not handed out");
    assert_eq!(busy.ack("job-00000001"), "+OK");
    // A refused job may be pushed again.
    waiting["custom"] = serde_json::json!({});
    busy.send("FETCH default");
    deliver(&mut producer, &mut busy, &waiting);
    assert_eq!(busy.ack("job-00000002"), "+OK");
    daemon.wait_counters("faktory", &["taken=3", "served=2", "refused=1", "failed=0"]);
}

/// Guards against the loss of a batch at a daemon that does not know yet how many jobs its consumers take at a time.
#[test]
fn each_accepted_job_of_a_batch_after_a_restart_is_handed_out_once() {
    const RUN_TIME: Duration = Duration::from_millis(200);
    const BATCH: usize = 24;
    let mut settings = platform_config("127.0.0.1:9".parse().expect("an address"));
    settings["settings"]["classes"][1]["goal_time_ms"] = 150.0.into();
    let daemon = Daemon::start(&settings, Some(&front_with("claim 250ms")));
    let at = daemon.address("faktory");
    let handed_out: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let end = Arc::new(AtomicBool::new(false));
    // Two consumers, which work on two jobs each.
    let consumers: Vec<_> = ["c-1", "c-1", "c-2", "c-2"]
        .into_iter()
        .map(|wid| {
            let (mut consumer, handed_out, end) = (Peer::consumer(at, wid), handed_out.clone(), end.clone());
            thread::spawn(move || {
                while !end.load(Ordering::Relaxed) {
                    let reply = consumer.call("FETCH default");
                    let Ok(job) = serde_json::from_str::<serde_json::Value>(&reply) else { continue };
                    let jid = job["jid"].as_str().expect("a jid").to_owned();
                    *handed_out.lock().expect("jobs").entry(jid.clone()).or_default() += 1;
                    thread::sleep(RUN_TIME);
                    assert_eq!(consumer.ack(&jid), "+OK");
                }
            })
        })
        .collect();
    let mut producer = Peer::producer(at);
    wait_for("consumers", || (producer.info()["listed"].as_array()?.len() == 2).then_some(()));
    let mut open: Vec<String> = (0..BATCH).map(|number| format!("batch-{number:04}")).collect();
    let start = Instant::now();
    while !open.is_empty() {
        open.retain(|jid| producer.push(&job(jid, "qso-confirm")) != "+OK");
        assert!(start.elapsed() < TEST_TIMEOUT, "not accepted: {open:?}");
    }
    wait_for("the end of all jobs", || (open_jobs(&mut producer) == 0).then_some(()));
    end.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|consumer| consumer.join().expect("a consumer"));
    let handed_out = handed_out.lock().expect("jobs");
    let wrong = |number: &usize| handed_out.get(&format!("batch-{number:04}")) != Some(&1);
    let wrong: Vec<usize> = (0..BATCH).filter(wrong).collect();
    assert!(wrong.is_empty(), "accepted, and not handed out exactly once: {wrong:?} of {handed_out:?}");
}

/// The number of attempts of the Faktory front so far.
fn sent_count(daemon: &Daemon) -> u64 {
    let counters = daemon.counters("faktory");
    let sent = counters.split(' ').find_map(|part| part.strip_prefix("sent="));
    sent.expect("a total").parse().expect("a number")
}

/// Number of jobs that the daemon took and has not answered.
fn open_jobs(observer: &mut Peer) -> i64 {
    let info = observer.info();
    let count = |name: &str| info[name].as_i64().expect("a count");
    count("taken") - count("served") - count("refused") - count("failed") - count("client_gone")
}

/// A producer that has left before the reply does not know that its job was accepted and may push it elsewhere, so no
/// consumer may get it. The daemon must notice this even if other bytes follow the PUSH.
#[test]
fn a_job_whose_producer_left_before_its_reply_is_not_handed_out() {
    let daemon = start_daemon(FRONT_ENABLED);
    let at = daemon.address("faktory");
    for (number, trailing) in ["", "INFO", "INF", "INFO\r\nINFO"].iter().enumerate() {
        let mut leaving = Peer::producer(at);
        leaving.send(&format!("PUSH {}", job(&format!("job-gone-{number}"), "log-lookup")));
        wait_for("the push", || {
            daemon.counters("faktory").contains(&format!(" taken={} ", number + 1)).then_some(())
        });
        leaving.send_and_close(trailing);
    }
    daemon.wait_counters("faktory", &["taken=4", "client_gone=4", "sent=0"]);
    let mut consumer = Peer::consumer(at, "c-1");
    assert_eq!(consumer.call("FETCH default"), "nil", "handed out for a producer that had left");
    let mut staying = Peer::producer(at);
    consumer.send("FETCH default");
    deliver(&mut staying, &mut consumer, &job("job-stays", "log-lookup"));
    assert_eq!(consumer.ack("job-stays"), "+OK");
    daemon.wait_counters("faktory", &["taken=5", "client_gone=4", "served=1"]);
}

/// Guards against a second run: the producer leaves as a consumer fetches its job, and pushes the job again.
#[test]
fn a_job_fetched_as_its_producer_leaves_does_not_run_twice() {
    const ROUNDS: usize = 20;
    let daemon = start_daemon(FRONT_ENABLED);
    let at = daemon.address("faktory");
    for round in 0..ROUNDS {
        let mut consumer = fetching_consumer(&daemon, &format!("c-{round}"));
        // From now on the consumer is known, and does not fetch.
        let earlier = job(&format!("earlier-{round}"), "log-lookup");
        deliver(&mut Peer::producer(at), &mut consumer, &earlier);
        assert_eq!(consumer.ack(&format!("earlier-{round}")), "+OK");
        let pushed = job(&format!("job-{round:08}"), "qso-confirm");
        let mut leaving = Peer::producer(at);
        leaving.send(&format!("PUSH {pushed}"));
        wait_for("the offer", || (Peer::producer(at).info()["offered"] == 1).then_some(()));
        let mut again = Peer::producer(at);
        // The daemon finds both when it goes on.
        daemon.signal("STOP");
        leaving.send_and_close("");
        consumer.send("FETCH default");
        daemon.signal("CONT");
        wait_for("the offer to end", || (again.info()["offered"] == 0).then_some(()));
        again.send(&format!("PUSH {pushed}"));
        assert_eq!(consumer.fetch_pending(), pushed);
        consumer.send("FETCH default");
        let reply = again.reply();
        assert!(reply == "+OK" || reply.ends_with("was pushed before"), "pushed again: {reply}");
    }
    daemon.wait_counters("faktory", &[&format!("written={}", 2 * ROUNDS)]);
}

/// Nobody can tell whether the job ran, so no other consumer may get it.
#[test]
fn a_confirmation_whose_consumer_disconnects_is_failed_and_never_handed_out_again() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    let pushed = job("job-00000001", "qso-confirm");
    assert_eq!(producer.push(&pushed), "+OK");
    assert_eq!(first.reply(), pushed.to_string());
    let mut second = fetching_consumer(&daemon, "c-2");
    drop(first);
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "served=0", "refused=0", "sent=1"]);
    assert_eq!(second.reply(), "nil");
    // The late report is answered and changes nothing, and the same job cannot be pushed again.
    assert_eq!(second.ack("job-00000001"), "+OK");
    assert_eq!(producer.push(&pushed), "-ERR job job-00000001 was pushed before");
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "served=0", "late_reports=1", "turned_down=1"]);
}

#[test]
fn a_lookup_whose_consumer_disconnects_goes_to_another() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut first, &job("job-00000001", "log-lookup"));
    let mut second = fetching_consumer(&daemon, "c-2");
    drop(first);
    assert_eq!(second.fetch_pending()["jid"], "job-00000001");
    assert_eq!(second.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "failed=0", "sent=2"]);
}

/// Guards against accepted jobs that are refused in silence, since they would start too late on their next consumer.
#[test]
fn an_accepted_lookup_goes_to_another_consumer_however_late() {
    let mut settings = platform_config("127.0.0.1:9".parse().expect("an address"));
    settings["settings"]["classes"][0]["goal_time_ms"] = 10.0.into();
    let daemon = Daemon::start(&settings, Some(FRONT_ENABLED));
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    let mut lookup = job("job-00000001", "log-lookup");
    lookup["custom"] = serde_json::json!({"time_left_ms": 60_000});
    deliver(&mut producer, &mut first, &lookup);
    let mut second = fetching_consumer(&daemon, "c-2");
    // Later than the latest start with which the lookup would meet its aim.
    thread::sleep(Duration::from_secs(2));
    drop(first);
    wait_for("the lookup", || (second.reply_to_fetch()? == lookup).then_some(()));
    assert_eq!(second.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "refused=0", "failed=0", "sent=2"]);
}

/// Guards against an accepted job that is offered once to a busy consumer and never again (review/6).
#[test]
fn an_accepted_lookup_goes_to_a_consumer_that_did_not_fetch_it_in_time() {
    let daemon = start_daemon(&front_with("claim 100ms"));
    let at = daemon.address("faktory");
    let mut lookup = job("job-00000001", "log-lookup");
    lookup["custom"] = serde_json::json!({"time_left_ms": 60_000});
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(at);
    deliver(&mut producer, &mut first, &lookup);
    let mut busy = fetching_consumer(&daemon, "c-2");
    deliver(&mut producer, &mut busy, &job("job-00000002", "qso-confirm"));
    drop(first);
    // The lookup, the confirmation, and the offer of the lookup to the busy consumer.
    wait_for("the offer", || (sent_count(&daemon) >= 3).then_some(()));
    wait_for("the end of the offer", || (producer.info()["offered"] == 0).then_some(()));
    assert_eq!(busy.ack("job-00000002"), "+OK");
    busy.send("FETCH default");
    wait_for("the lookup", || (busy.reply_to_fetch()? == lookup).then_some(()));
    assert_eq!(busy.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=2", "served=2", "refused=0", "failed=0"]);
}

/// Guards against an accepted job that its only consumer never gets again, since an earlier attempt there has ended.
#[test]
fn an_accepted_lookup_goes_to_its_only_consumer_again_after_a_fail_and_after_its_reservation() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut lookup = job("job-00000001", "log-lookup");
    lookup["custom"] = serde_json::json!({"time_left_ms": 60_000});
    lookup["reserve_for"] = 3.into();
    deliver(&mut Peer::producer(daemon.address("faktory")), &mut consumer, &lookup);
    assert_eq!(consumer.fail("job-00000001"), "+OK");
    for _ in 0..2 {
        consumer.send("FETCH default");
        wait_for("the lookup", || (consumer.reply_to_fetch()? == lookup).then_some(()));
    }
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "refused=0", "failed=0", "sent=3"]);
}

/// Guards against an accepted job that is refused in silence (review/7): its attempts were spent on consumers of another
/// queue, though one of its own queue waited.
#[test]
fn an_accepted_lookup_goes_to_the_one_other_consumer_of_its_queue() {
    const OTHER_QUEUE_CONSUMERS: usize = 40;
    let daemon = start_daemon(FRONT_ENABLED);
    let at = daemon.address("faktory");
    let mut others: Vec<Peer> =
        (0..OTHER_QUEUE_CONSUMERS).map(|number| Peer::consumer(at, &format!("o-{number}"))).collect();
    others.iter_mut().for_each(|other| other.send("FETCH confirmations"));
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(at);
    // With a key, the job has an order of consumers that it prefers.
    let mut lookup = job("job-00000001", "log-lookup");
    lookup["custom"] = serde_json::json!({"key": "HA5XX"});
    deliver(&mut producer, &mut first, &lookup);
    let mut second = fetching_consumer(&daemon, "c-2");
    drop(first);
    wait_for("the lookup", || (second.reply_to_fetch()? == lookup).then_some(()));
    assert_eq!(second.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "refused=0", "sent=2", "attempts_exhausted=0"]);
}

/// Guards against an accepted job that is refused in silence after as many attempts as the settings allow: each of its
/// consumers leaves in turn.
#[test]
fn an_accepted_lookup_is_handed_out_again_however_many_consumers_left_with_it() {
    const LEAVING: usize = 9;
    let daemon = start_daemon(FRONT_ENABLED);
    let mut lookup = job("job-00000001", "log-lookup");
    lookup["custom"] = serde_json::json!({"time_left_ms": 60_000});
    let mut holder = fetching_consumer(&daemon, "c-0");
    deliver(&mut Peer::producer(daemon.address("faktory")), &mut holder, &lookup);
    for number in 1..=LEAVING {
        let mut next = fetching_consumer(&daemon, &format!("c-{number}"));
        drop(holder);
        wait_for("the lookup", || (next.reply_to_fetch()? == lookup).then_some(()));
        holder = next;
    }
    assert_eq!(holder.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "refused=0", "attempts_exhausted=0"]);
}

/// A consumer's connections may fetch from different queues: each gets the jobs of its own.
#[test]
fn a_consumer_whose_connections_fetch_from_different_queues_serves_all_of_them() {
    let daemon = start_daemon(FRONT_ENABLED);
    let at = daemon.address("faktory");
    let mut one = fetching_consumer(&daemon, "c-1");
    let mut other = Peer::consumer(at, "c-1");
    other.send("FETCH confirmations");
    let mut confirmation = job("job-00000001", "qso-confirm");
    confirmation["queue"] = "confirmations".into();
    let mut producer = Peer::producer(at);
    producer.send(&format!("PUSH {confirmation}"));
    let got = wait_for("the confirmation", || {
        let reply = other.reply();
        (reply != "nil").then_some(reply).or_else(|| {
            other.send("FETCH confirmations");
            None
        })
    });
    assert_eq!((got, producer.reply()), (confirmation.to_string(), "+OK".into()));
    deliver(&mut producer, &mut one, &job("job-00000002", "log-lookup"));
    daemon.wait_counters("faktory", &["taken=2", "sent=2", "refused=0"]);
}

/// Guards against an accepted job that is handed to nobody: its FETCH and the end of that connection arrive together.
#[test]
fn a_fetch_whose_connection_is_closed_already_gets_no_job() {
    let daemon = start_daemon(FRONT_ENABLED);
    let at = daemon.address("faktory");
    let mut consumer = fetching_consumer(&daemon, "c-1");
    deliver(&mut Peer::producer(at), &mut consumer, &job("earlier-1", "log-lookup"));
    assert_eq!(consumer.ack("earlier-1"), "+OK");
    let closing = Peer::consumer(at, "c-1");
    let mut producer = Peer::producer(at);
    producer.send(&format!("PUSH {}", job("job-00000001", "qso-confirm")));
    wait_for("the offer", || (consumer.info()["offered"] == 1).then_some(()));
    daemon.signal("STOP");
    closing.send_and_close("FETCH default\r\n");
    daemon.signal("CONT");
    consumer.send("FETCH default");
    let got = wait_for("the job", || consumer.reply_to_fetch());
    assert_eq!((got["jid"].as_str(), producer.reply()), (Some("job-00000001"), "+OK".into()));
    daemon.wait_counters("faktory", &["taken=2", "written=2", "refused=0", "failed=0"]);
}

/// A reservation belongs to the job's id, not to the connection that fetched it.
#[test]
fn an_ack_over_another_connection_of_the_consumer_is_accepted() {
    let daemon = start_daemon("faktory {\n listen 127.0.0.1:0\n reconnect 1min\n}\n");
    let mut first = fetching_consumer(&daemon, "c-1");
    let to = daemon.address("faktory");
    deliver(&mut Peer::producer(to), &mut first, &job("job-00000001", "qso-confirm"));
    drop(first);
    assert_eq!(Peer::consumer(to, "c-1").ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "served=1", "failed=0", "late_reports=0"]);
}

/// A consumer may report FAIL for a job that did run, so a failed confirmation is not handed out again.
#[test]
fn a_confirmation_reported_failed_is_not_run_again_and_the_first_report_wins() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut first = fetching_consumer(&daemon, "c-1");
    let mut second = fetching_consumer(&daemon, "c-2");
    let mut producer = Peer::producer(daemon.address("faktory"));
    assert_eq!(producer.push(&job("job-00000001", "qso-confirm")), "+OK");
    // Either consumer may have been chosen.
    let (one, two) = (first.reply(), second.reply());
    assert!((one == "nil") != (two == "nil"), "expected the job in exactly one reply, found {one} and {two}");
    assert_eq!(first.fail("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "sent=1"]);
    assert_eq!(first.ack("job-00000001"), "+OK");
    assert_eq!(second.fail("job-00000001"), "+OK");
    assert_eq!((first.call("FETCH default"), second.call("FETCH default")), ("nil".into(), "nil".into()));
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "served=0", "sent=1", "late_reports=2"]);
}

#[test]
fn a_second_ack_and_a_late_fail_are_answered_and_counted_as_late_reports() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut consumer, &job("job-00000001", "qso-confirm"));
    let replies = [consumer.ack("job-00000001"), consumer.ack("job-00000001"), consumer.fail("job-00000001")];
    assert_eq!(replies, ["+OK", "+OK", "+OK"]);
    daemon.wait_counters("faktory", &["taken=1", "served=1", "failed=0", "late_reports=2"]);
}

/// Rule 3: a draining consumer gets no new jobs, not even one that was offered to it before.
#[test]
fn a_draining_consumer_gets_no_new_jobs() {
    let daemon = start_daemon(FRONT_ENABLED);
    let to = daemon.address("faktory");
    let mut draining = fetching_consumer(&daemon, "c-1");
    // The consumer reports the state `quiet` over a second connection while a FETCH waits on the first.
    assert_eq!(Peer::consumer(to, "c-1").beat("c-1", "quiet"), "+OK");
    assert_eq!(draining.reply(), "nil");
    let mut producer = Peer::producer(to);
    let mut other = fetching_consumer(&daemon, "c-2");
    for at in 0..5 {
        let jid = format!("job-{at:08}");
        deliver(&mut producer, &mut other, &job(&jid, "qso-confirm"));
        assert_eq!(other.ack(&jid), "+OK");
        other.send("FETCH default");
        assert_eq!(draining.call("FETCH default"), "nil");
    }
    daemon.wait_counters("faktory", &["taken=5", "served=5", "sent=5"]);
}

#[test]
fn a_job_not_reported_by_its_deadline_is_failed_once() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    let mut job = job("job-00000001", "qso-confirm");
    job["custom"] = serde_json::json!({"time_left_ms": 400});
    deliver(&mut producer, &mut consumer, &job);
    daemon.wait_counters("faktory", &["taken=1", "failed=1"]);
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "served=0", "late_reports=1"]);
}

/// A job whose reservation expires may have run, so it is failed and not handed out again.
#[test]
fn a_confirmation_whose_reservation_expires_is_failed() {
    let daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    let mut job = job("job-00000001", "qso-confirm");
    job["reserve_for"] = 0.into();
    deliver(&mut producer, &mut consumer, &job);
    daemon.wait_counters("faktory", &["taken=1", "failed=1", "sent=1"]);
}

#[test]
fn on_sigterm_accepted_jobs_are_finished_and_new_ones_refused() {
    let mut daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut consumer, &job("job-00000001", "qso-confirm"));
    daemon.signal("TERM");
    wait_for("a refusal", || {
        producer.push(&job("job-00000002", "no-such")).contains("about to end").then_some(())
    });
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    assert!(daemon.wait_exit().success());
    assert!(daemon.wait_log("faktory counters at exit").contains("taken=1 "));
}

/// Consumers that wait for a job when the last one is reported get the reply that there is none, not a reset.
#[test]
fn on_sigterm_every_command_that_was_read_is_answered() {
    let mut daemon = start_daemon(FRONT_ENABLED);
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut consumer, &job("job-00000001", "qso-confirm"));
    let mut others: Vec<Peer> = (2..12).map(|n| fetching_consumer(&daemon, &format!("c-{n}"))).collect();
    daemon.signal("TERM");
    wait_for("a refusal", || {
        producer.push(&job("job-00000002", "no-such")).contains("about to end").then_some(())
    });
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    for other in &mut others {
        assert_eq!(other.reply(), "nil");
        assert_eq!(other.reply(), "", "the connection is closed after its last reply");
    }
    assert!(daemon.wait_exit().success());
}

/// Connections that never send HELLO could once occupy the whole capacity indefinitely, by connecting again and again.
#[test]
fn connections_without_hello_are_closed_for_producers_and_consumers() {
    let daemon = start_daemon("faktory {\n listen 127.0.0.1:0\n connections 4\n}\n");
    let at = daemon.address("faktory");
    let mut consumer = Peer::consumer(at, "w-1");
    let silent: Vec<Peer> = (0..20).map(|_| Peer::connect(at)).collect();
    let mut producers: Vec<Peer> = (0..6).map(|_| Peer::producer(at)).collect();
    assert!(producers.last_mut().expect("one").call("INFO").contains("faktory_version"));
    assert!(
        consumer.call("BEAT {\"wid\":\"w-1\"}").starts_with("+OK"),
        "a consumer's connection is not closed for others"
    );
    drop(silent);
}

/// An operator's ban holds on every front: a job that was only offered to the banned consumer goes to another one, and
/// the consumer may still report a job that it holds.
#[test]
fn a_banned_consumer_gets_no_job_until_the_ban_is_lifted() {
    let mut settings = platform_config("127.0.0.1:9".parse().expect("an address"));
    settings["console"] = "127.0.0.1:0".into();
    let (mut command, folder) = Daemon::command(&settings, Some(FRONT_ENABLED));
    command.env("TMPDIR", folder.path());
    let daemon = Daemon::spawn((command, folder));
    let mut consumer = fetching_consumer(&daemon, "c-1");
    let mut producer = Peer::producer(daemon.address("faktory"));
    deliver(&mut producer, &mut consumer, &job("job-00000001", "qso-confirm"));
    let call = |to: &str| daemon.console_call("PUT", &format!("log-workers/c-1/{to}")).status;
    assert_eq!(call("offline"), 200);
    assert_eq!(consumer.ack("job-00000001"), "+OK");
    assert!(producer.push(&job("job-00000002", "qso-confirm")).starts_with("-ERR unavailable"));
    assert_eq!(consumer.call("FETCH default"), "nil");
    assert_eq!(call("online"), 200);
    consumer.send("FETCH default");
    deliver(&mut producer, &mut consumer, &job("job-00000003", "qso-confirm"));
    assert_eq!((daemon.metric("passed.qso-confirm"), daemon.metric("upstream_tries")), (1, 2));
}
