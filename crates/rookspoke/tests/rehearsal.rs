//! Several real processes under failure, on the rig: what they do to each other's clients and log workers.

use std::future::Future;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rookspoke_decisions::Span;
use rookspoke_emulator::scenario::{Environment, Faults, Scenario};
use rookspoke_emulator::script;
use rookspoke_rig::discovery::ListedState;
use rookspoke_rig::event_log::{Event, ProcessEvent, RequestOutcome};
use rookspoke_rig::routes::Route;
use rookspoke_rig::run::{Options, Outcome, Rig, RigError, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CUT: Faults = Faults {
    cut: true,
    delay: Span(0),
    jitter: Span(0),
    refuse: false,
    rate: 0.0,
    reset_at: 0.0,
    loss: 0.0,
    duplicate: 0.0,
    reorder: 0.0,
};

fn scenario(text: &str) -> Scenario {
    script::read_text("test.lab", text, Environment::Processes)
        .unwrap_or_else(|problems| panic!("{}", problems.render()))
}

fn options() -> Options {
    Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_rookspoke")),
        seed: 7,
        start_timeout: Duration::from_secs(30),
        faults: None,
    }
}

async fn rig(text: &str) -> Arc<Rig> {
    Rig::start(scenario(text), options()).await.unwrap_or_else(|error| panic!("{error}"))
}

/// Plays a script to its end.
async fn play(text: &str) -> (Arc<Rig>, Outcome) {
    play_while(text, |_| async {}).await
}

/// Plays a script to its end, and does something beside it.
async fn play_while<F: Future<Output = ()>>(text: &str, beside: fn(Arc<Rig>) -> F) -> (Arc<Rig>, Outcome) {
    let rig = rig(text).await;
    let (played, ()) = tokio::join!(rig.run(), beside(rig.clone()));
    played.unwrap_or_else(|error| panic!("{error}"));
    let outcome = rig.outcome().await;
    (rig, outcome)
}

/// A play whose rig ran too late proves nothing, whatever came of it: it is played again.
async fn valid(text: &str) -> (Arc<Rig>, Outcome) {
    valid_while(text, |_| async {}).await
}

/// The same with something done beside it each time.
async fn valid_while<F: Future<Output = ()>>(text: &str, beside: fn(Arc<Rig>) -> F) -> (Arc<Rig>, Outcome) {
    for _ in 0..4 {
        let (rig, outcome) = play_while(text, beside).await;
        if outcome.verdict != Verdict::Void {
            return (rig, outcome);
        }
        eprintln!("void: {:?}", outcome.lateness);
    }
    panic!("this machine is too busy for a rehearsal: four plays were void");
}

fn kept(outcome: &Outcome) {
    assert_eq!(outcome.verdict, Verdict::Kept, "{:#?}", outcome.violations);
}

fn broken(outcome: &Outcome) -> Vec<&str> {
    let mut rules: Vec<&str> = outcome.violations.iter().map(|violation| violation.rule.as_str()).collect();
    rules.dedup();
    rules
}

const SMALL: &str = "length 5s\ndispatchers 3\nworkers 6\nclients.swing 0\n";

fn multi(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn a_calm_play_keeps_the_rules_and_the_daemons_count_as_their_clients_do() {
    multi(async {
        let (rig, outcome) = valid(SMALL).await;
        kept(&outcome);
        assert!(outcome.report.jobs > 30 && outcome.report.service > 0.8, "{:?}", outcome.report);
        assert_eq!(rig.event_log.count(|seen| matches!(seen, Event::CounterCheck { .. })), 3);
    });
}

/// Not by itself: the test below starts it as a process of its own, and kills that.
#[test]
#[ignore = "a part of another test"]
fn a_rig_that_waits() {
    multi(async {
        let rig = rig(SMALL).await;
        for dispatcher in &rig.dispatchers {
            println!("pid {}", dispatcher.pid().await.expect("it runs"));
        }
        rig.dispatchers[1].suspend().await;
        println!("up");
        tokio::time::sleep(Duration::from_secs(120)).await;
    });
}

#[test]
fn nothing_outlives_a_rig_that_is_killed() {
    for signal in ["KILL", "INT"] {
        let mut own = Command::new(std::env::current_exe().expect("this test's own program"));
        own.args(["--exact", "a_rig_that_waits", "--ignored", "--nocapture"]).stdout(Stdio::piped());
        let mut child = own.spawn().expect("it starts");
        let mut lines =
            BufReader::new(child.stdout.take().expect("its output")).lines().map_while(Result::ok);
        let mut pids: Vec<String> = Vec::new();
        for line in lines.by_ref() {
            pids.extend(line.rsplit_once("pid ").map(|(_, pid)| pid.to_owned()));
            if line.ends_with("up") {
                break;
            }
        }
        assert_eq!(pids.len(), 3, "{signal}");
        let folder =
            std::fs::read_link(format!("/proc/{}/cwd", pids[0])).expect("the folder of a dispatcher");
        let folder = folder.parent().expect("the rig's folder").to_owned();
        let killed = Command::new("kill").args(["-s", signal, &child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
        child.wait().expect("it ends");
        let start = Instant::now();
        let lives = |pid: &String| {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            // One that nobody has waited for yet lives no more.
            stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z'))
        };
        while pids.iter().any(lives) || folder.exists() {
            assert!(start.elapsed() < Duration::from_secs(30), "{signal}: {pids:?} or {folder:?} is left");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn a_dispatcher_that_cannot_start_is_told_with_its_log_and_leaves_nothing() {
    multi(async {
        let broken = Options { program: Path::new("/bin/false").to_owned(), ..options() };
        let error = Rig::start(scenario(SMALL), broken).await.err().expect("an error");
        assert!(matches!(error, RigError::Start(_)), "{error}");
        assert!(error.to_string().contains("exited before it listened"), "{error}");
    });
}

/// A proxy that doubles a request: what clients send to one dispatcher goes to another, too.
async fn double(to: std::net::SocketAddr, also: std::net::SocketAddr) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut far, mut second) =
                    (TcpStream::connect(to).await.expect("up"), TcpStream::connect(also).await.expect("up"));
                let (mut up, mut down) = (vec![0; 4096], vec![0; 4096]);
                loop {
                    tokio::select! {
                        read = near.read(&mut up) => match read {
                            Ok(read @ 1..) => {
                                let _ = far.write_all(&up[..read]).await;
                                let _ = second.write_all(&up[..read]).await;
                            }
                            _ => return,
                        },
                        read = far.read(&mut down) => match read {
                            Ok(read @ 1..) => drop(near.write_all(&down[..read]).await),
                            _ => return,
                        },
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_request_that_is_doubled_on_its_way_trips_the_judge() {
    multi(async {
        let rig = rig(SMALL).await;
        let to = |number: usize| rig.dispatchers[number].client_address().expect("it is up");
        rig.redirect_clients(0, double(to(0), to(1)).await);
        rig.run().await.expect("it plays");
        let outcome = rig.outcome().await;
        let rules = broken(&outcome);
        // The second one counts jobs that no client handed to it.
        assert!(["no duplicate", "true figures"].iter().all(|rule| rules.contains(rule)), "{rules:?}");
    });
}

/// Links that hold requests past a drain, and lose answers: nobody can keep the rules over them.
#[test]
fn what_broken_links_do_to_the_rules_trips_the_judges() {
    multi(async {
        let held = "length 4s\ndispatchers 1\nworkers 1\nclients.load 0.3\ndiscovery.notices 100ms\n\
                    incident link at 1s for 3s from dispatchers to w0 cut\n\
                    incident rolling at 1500ms for 1s part 1 size 9";
        let (_, outcome) = play(held).await;
        assert!(broken(&outcome).contains(&"clean drain"), "{:?}", broken(&outcome));
        let lost = "length 2s\ndispatchers 1\nworkers 2\n\
                    incident link at 500ms for 3s from clients to n0 back reset-at 30";
        let (_, outcome) = play(lost).await;
        assert!(broken(&outcome).contains(&"one answer"), "{:?}", broken(&outcome));
    });
}

/// It gets jobs while it stands still, and news of a drain behind them.
#[test]
fn a_dispatcher_that_stands_still_for_five_seconds_sends_nothing_late_and_nothing_twice() {
    multi(async {
        let text = "length 12s\ndispatchers 3\nworkers 6\nclients.load 0.5\nclients.swing 0\n\
                    incident stall at 2s for 5s part 0.34\nincident rolling at 3s for 2s part 0.34 size 8\n\
                    discovery.notices 200ms";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        assert_eq!(
            rig.event_log.count(|s| matches!(s, Event::Dispatcher { event: ProcessEvent::Resumed, .. })),
            1
        );
        assert_eq!(
            rig.event_log
                .count(|s| matches!(s, Event::Closed { outcome: RequestOutcome::ConnectionLost, .. })),
            0
        );
    });
}

/// Requests arrive and answers don't: jobs that must not run twice run once, and each client has its answer.
#[test]
fn a_way_that_is_cut_for_answers_alone_repeats_nothing_unsafe() {
    multi(async {
        let text = "length 10s\ndispatchers 2\nworkers 6\nclients.swing 0\n\
                    incident link at 2s for 4s from dispatchers to w1 back cut";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        let way = rig.route_to_worker(0, 1);
        assert!(rig.link(way).is_some(), "{way:?} leads through a link");
    });
}

#[test]
fn a_drain_that_discovery_cannot_tell_of_breaks_no_rule() {
    multi(async {
        let text = "length 12s\ndispatchers 2\nworkers 6\nclients.swing 0\ndiscovery.notices 200ms\n\
                    incident link at 2s for 6s from dispatchers to discovery delay 3s back delay 3s\n\
                    incident rolling at 3s for 1s part 0.34 size 2";
        kept(&valid(text).await.1);
    });
}

/// Calls hang, watches say nothing, then an old list comes: what is sent to log workers that are gone by then comes
/// back unharmed, and what could be told is heeded.
#[test]
fn a_discovery_that_is_silent_and_one_that_tells_old_lists_break_no_rule() {
    multi(async {
        let text = "length 14s\ndispatchers 3\nworkers 6\nclients.load 0.4\nclients.swing 0\n\
                    discovery.notices 200ms\nincident discovery-silent at 1s for 4s\n\
                    incident rolling at 2s for 2s part 0.34 size 2\nincident discovery-old at 7s for 4s\n\
                    incident crash at 8s for 2s part 0.34\nincident kill at 9s for 500ms part 0.34";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        assert_eq!(rig.dispatchers_in_rotation(), 3);
    });
}

/// All watches fall silent at once, and stay so; a third of the log workers begin to drain right after, and stay up. What
/// was missed counts as told after 6 s though nothing brings it: by then nobody sends anything to anybody.
#[test]
fn drains_that_silent_watches_have_missed_are_kept_by_all_dispatchers() {
    multi(async {
        let text = "length 14s\ndispatchers 4\nworkers 6\nclients.load 0.4\nclients.swing 0\n\
                    incident discovery-silent at 1s for 11s";
        let (rig, outcome) = valid_while(text, |rig| async move {
            tokio::time::sleep(Duration::from_millis(1300)).await;
            (0..2).for_each(|worker| rig.discovery_server.update(worker, ListedState::Draining));
        })
        .await;
        kept(&outcome);
        let told = rig.event_log.count(|seen| matches!(seen, Event::Notified { accepts_work: false, .. }));
        assert_eq!(told, 8, "each of four was told of two, in the end");
        let end = outcome.report.windows.last().expect("a window").service;
        assert!(end > 0.3, "they serve again once a list is there: {end}");
    });
}

/// Its body never came whole, so nothing ran: neither at the daemon that is killed nor behind a slow link.
#[test]
fn a_dispatcher_killed_in_the_middle_of_a_body_has_run_nothing() {
    multi(async {
        let rig = rig(
            "length 1s\ndispatchers 2\nworkers 2\nincident link at 0.9s for 1ms from n0 to workers delay 1ms",
        )
        .await;
        for worker in 0..2 {
            let slow = Faults { cut: false, rate: 40.0, ..CUT };
            rig.link(rig.route_to_worker(0, worker)).expect("a link").set(slow, Faults::default());
        }
        let head = |id: u64, length: usize| {
            format!(
                "POST /qso-confirm/k1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id:016x}\r\n\
                 X-Service-Class: qso-confirm\r\nX-Time-Left-Ms: 15000\r\nContent-Length: {length}\r\n\r\n"
            )
        };
        let facts = r#"{"slots":1,"work":0.1,"key":1,"worth":1}"#;
        let address = rig.dispatchers[0].client_address().expect("it is up");
        let mut half = TcpStream::connect(address).await.expect("a connection");
        half.write_all(format!("{}{}", head(1, facts.len()), &facts[..9]).as_bytes()).await.expect("sent");
        let mut whole = TcpStream::connect(address).await.expect("a connection");
        whole.write_all(format!("{}{facts}", head(2, facts.len())).as_bytes()).await.expect("sent");
        // Long enough for some of it to have left the daemon, and far too short for all.
        tokio::time::sleep(Duration::from_millis(600)).await;
        rig.kill_dispatcher(0).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(rig.event_log.count(|seen| matches!(seen, Event::Reached { .. })), 0);
        assert_eq!(half.read(&mut [0; 16]).await.unwrap_or(0), 0, "its client hears of it");
        rig.restart_dispatcher(0).await.expect("it starts again");
        assert_eq!(rig.dispatchers[0].client_address(), Some(address), "under the same address");
    });
}

#[test]
fn all_dispatchers_killed_in_one_instant_come_back_and_serve() {
    multi(async {
        let text = "length 12s\ndispatchers 4\nworkers 6\nclients.load 0.4\nclients.swing 0\n\
                    incident kill at 3s for 1s part 1";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        assert_eq!(
            rig.event_log.count(|s| matches!(s, Event::Dispatcher { event: ProcessEvent::Killed, .. })),
            4
        );
        let end = outcome.report.windows.last().expect("a window").service;
        assert!(rig.dispatchers_in_rotation() == 4 && end > 0.3, "{end}");
    });
}

/// Clients go on over the connections that they have, one log worker hangs: each process ends by itself, all that it took
/// is answered, and its next one serves.
#[test]
fn all_dispatchers_restarted_in_turn_lose_nothing_and_end_by_themselves() {
    multi(async {
        // With longer deadlines a job of before SIGTERM may still be out at SIGKILL, 3.7 s after it.
        let text = "length 18s\ndispatchers 6\nworkers 10\nclients.load 0.4\nclients.swing 0\n\
                    class log-lookup {\n share 0.7\n effect safe\n deadline 3s\n}\n\
                    class qso-confirm {\n share 0.3\n effect once\n deadline 3s\n}\n\
                    incident restart at 2s for 9s part 1\nincident pause at 3s for 6s part 0.1";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        let lived = |which: ProcessEvent| {
            rig.event_log.count(|seen| matches!(seen, Event::Dispatcher { event, .. } if *event == which))
        };
        assert_eq!(
            (lived(ProcessEvent::Terminated), lived(ProcessEvent::Exited), lived(ProcessEvent::Killed)),
            (6, 6, 0)
        );
        let lost = rig
            .event_log
            .count(|seen| matches!(seen, Event::Closed { outcome: RequestOutcome::ConnectionLost, .. }));
        assert_eq!(lost, 0, "taken and not answered");
        assert!(rig.dispatchers_in_rotation() == 6 && outcome.report.service > 0.6, "{:?}", outcome.report);
    });
}

/// With deadlines of 0.7 s the kill comes 1.4 s after SIGTERM, and clients use what is open until then.
#[test]
fn all_dispatchers_restarted_in_turn_lose_nothing_with_short_deadlines() {
    multi(async {
        let text = "length 16s\ndispatchers 4\nworkers 10\nclients.load 0.3\nclients.swing 0\n\
                    class log-lookup {\n share 0.7\n effect safe\n deadline 700ms\n aim 400ms\n}\n\
                    class qso-confirm {\n share 0.3\n effect once\n deadline 600ms\n aim 400ms\n}\n\
                    incident restart at 2s for 9s part 1\nincident pause at 3s for 6s part 0.3";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        let ends = |which: ProcessEvent| {
            rig.event_log.count(|seen| matches!(seen, Event::Dispatcher { event, .. } if *event == which))
        };
        assert_eq!(ends(ProcessEvent::Terminated), 4);
        assert_eq!(rig.dispatchers_in_rotation(), 4);
    });
}

#[test]
fn a_rig_that_runs_late_calls_its_play_void() {
    // One thread for all of the rig, and somebody who holds it up.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let rig = rig(SMALL).await;
        let holds = tokio::spawn(async {
            loop {
                std::thread::sleep(Duration::from_millis(120));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        rig.run().await.expect("it plays");
        holds.abort();
        let outcome = rig.outcome().await;
        assert_eq!(outcome.verdict, Verdict::Void, "{:?}", outcome.lateness);
    });
}

/// A stall, restarts, kills, a cut between zones and a discovery that is gone, all at once.
#[test]
fn everything_at_once_breaks_no_rule() {
    multi(async {
        let text = "length 14s\ndispatchers 4\nworkers 8\nclients.load 0.4\nclients.swing 0\n\
                    incident crash at 2s for 4s part 0.25\nincident restart at 3s for 4s part 0.5\n\
                    incident slowed at 4s for 4s part 0.5 size 0.5\nincident zone-cut at 5s for 2s\n\
                    incident discovery-gone at 6s for 3s\nincident kill at 9s for 1s part 0.25\n\
                    incident resets at 7s for 3s size 0.3\nincident stall at 10s for 1s part 0.5\n\
                    incident link at 3s for 6s from clients to n1 delay 30ms jitter 20ms";
        let (rig, outcome) = valid(text).await;
        kept(&outcome);
        assert!(rig.link(Route::Clients(1)).is_some());
    });
}
