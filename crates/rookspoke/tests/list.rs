//! How old a list may be, with a real discovery that is up and whose calls fail: six seconds after the last word, and no
//! longer, whatever else is said of calls that fail.

mod common;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

/// How each call fails while discovery is up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fails {
    /// Nobody accepts.
    Refused,
    Status503,
    Reset,
    /// A head, and then nothing.
    HeadAlone,
    /// Half of an object, and the end.
    CutObject,
    /// No answer at all: given up by the dispatcher.
    GivenUp,
}

impl Fails {
    /// What a call gets; what is given back stays open.
    fn answer(self, mut stream: TcpStream) -> Option<TcpStream> {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
        let _ = match self {
            Fails::Status503 => {
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            Fails::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            Fails::HeadAlone => stream.write_all(head),
            Fails::CutObject => {
                let _ = stream.write_all(head);
                let _ = stream.write_all(b"13\r\n{\"rev\":2,\"all\":tru\r\n0\r\n\r\n");
                return None;
            }
            Fails::GivenUp | Fails::Refused => Ok(()),
        };
        Some(stream)
    }
}

/// A discovery that fails every call in one way until it is told to answer.
fn failing(listener: TcpListener, fails: Fails, until: Instant) -> TcpListener {
    let address = listener.local_addr().expect("an address");
    if fails == Fails::Refused {
        drop(listener);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        return wait_for("the port", || TcpListener::bind(address).ok());
    }
    let mut open = Vec::new();
    listener.set_nonblocking(true).expect("a listener");
    while Instant::now() < until {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a stream");
                open.extend(fails.answer(stream));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    listener.set_nonblocking(false).expect("a listener");
    listener
}

fn tells(listener: &TcpListener, list: &serde_json::Value) -> TcpStream {
    loop {
        let (mut stream, _) = listener.accept().expect("a call");
        // One that was given up in the meantime is no caller.
        if read_message(&mut BufReader::new(stream.try_clone().expect("a clone"))).is_none() {
            continue;
        }
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok() {
            return stream;
        }
    }
}

/// A log worker is told to leave to whoever hears, and nobody does: until 6 s after the watch it may be sent to, and is;
/// from then on a job waits, and gets its answer in time from where the next list says.
fn plays(fails: Fails, pushed: bool, ask_every_ms: f64) {
    let case = format!("{fails:?}, {}, {ask_every_ms}", if pushed { "pushed" } else { "asked" });
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = ask_every_ms.into();
    config["settings"]["discovery"] = if pushed { "automatic" } else { "subscribe" }.into();
    let daemon = Daemon::start(&config, None);
    let watch = tells(&listener, &json!({"rev": 1, "all": true, "targets": [one.entry("active")]}));
    daemon.wait_ready();
    let http = daemon.address("http");
    let job = |id: u32| send(http, &job_request("log-lookup", &format!("{id:016x}"), 9_000, ""));
    let status = |client: TcpStream| read_message(&mut BufReader::new(client)).map(|answer| answer.status);
    assert_eq!(status(job(1)), Some(200), "{case}");
    drop(watch);
    let ended = Instant::now();
    let at = move |ms: u64| ended + Duration::from_millis(ms);
    let fails_until = std::thread::spawn(move || failing(listener, fails, at(7_200)));
    // As long as ask_every allows without a call that failed: not a moment of service is given away.
    if ask_every_ms > 6_000.0 {
        std::thread::sleep(at(4_500).saturating_duration_since(Instant::now()));
        assert_eq!((status(job(2)), one.count()), (Some(200), 2), "{case}: it stopped too early");
    }
    std::thread::sleep(at(6_050).saturating_duration_since(Instant::now()));
    let (before, late) = (one.count(), job(3));
    let listener = fails_until.join().expect("a listener");
    assert_eq!(one.count(), before, "{case}: sent by a list that counts as replaced");
    let list = json!({"rev": 2, "all": true, "targets": [one.entry("leaving"), two.entry("active")]});
    let _watch = tells(&listener, &list);
    assert_eq!((status(late), one.count() - before, two.count()), (Some(200), 0, 1), "{case}");
}

#[test]
fn no_list_is_gone_by_for_longer_than_six_seconds_whatever_calls_fail() {
    use Fails::{CutObject, GivenUp, HeadAlone, Refused, Reset, Status503};
    let all = [Refused, Status503, Reset, HeadAlone, CutObject, GivenUp];
    let asked = all.into_iter().map(|fails| (fails, false, 200_000.0));
    let pushed = [(Status503, true, 1_000.0), (Reset, true, 1_000.0)];
    // Far below six seconds, a call that failed allows four times as long, and no more than that.
    let short = [(Status503, false, 400.0), (GivenUp, false, 400.0)];
    let plays: Vec<_> = asked
        .chain(pushed)
        .chain(short)
        .map(|(fails, pushed, every)| std::thread::spawn(move || plays(fails, pushed, every)))
        .collect();
    let failed: Vec<_> = plays.into_iter().filter_map(|play| play.join().err()).collect();
    assert!(failed.is_empty(), "{} of the cases", failed.len());
}

/// The process stands still with a watch open and its call attempt on the way to a connection; the watch says nothing
/// meanwhile. When it wakes, the send comes before any timer that would tell that the list is too old.
#[test]
fn a_send_that_wakes_after_a_long_stop_asks_how_old_the_list_is() {
    let one = LateWorker::start("w-1");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["limits"]["connect_timeout_ms"] = 20_000.0.into();
    let daemon = Daemon::start(&config, None);
    let _silent = tells(&listener, &json!({"rev": 1, "all": true, "targets": [one.entry("active")]}));
    let word = Instant::now();
    daemon.wait_ready();
    let client = send(daemon.address("http"), &job_request("log-lookup", "0000000000000401", 20_000, ""));
    wait_for("the attempt", || daemon.counters("http").contains(" sent=1 ").then_some(()));
    daemon.signal("STOP");
    one.open();
    std::thread::sleep(Duration::from_millis(7_500).saturating_sub(word.elapsed()));
    daemon.signal("CONT");
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(one.count(), 0, "sent by a list of {:?}", word.elapsed());
    daemon.wait_counters("http", &["sent=1", "not_sent=1", "written=0"]);
    drop(client);
}

/// What another discovery has to tell counts 4 s after SIGHUP, though it fails every call; and where the old watch had
/// ended before that, its six seconds go on.
#[test]
fn a_move_by_sighup_leaves_the_old_list_four_seconds_and_no_new_six() {
    let play = |ends_before: bool| {
        let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
        let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let [old, new] = listeners;
        let mut config = platform_config(old.local_addr().expect("an address"));
        config["settings"]["rules"]["ask_every_ms"] = 200_000.0.into();
        let daemon = Daemon::start(&config, None);
        let watch = tells(&old, &json!({"rev": 9, "all": true, "targets": [one.entry("active")]}));
        daemon.wait_ready();
        let http = daemon.address("http");
        let job = |id: u32| send(http, &job_request("log-lookup", &format!("{id:016x}"), 9_000, ""));
        let status =
            |client: TcpStream| read_message(&mut BufReader::new(client)).map(|answer| answer.status);
        let mut watch = Some(watch);
        if ends_before {
            watch = None;
            std::thread::sleep(Duration::from_millis(3_000));
        }
        config["discovery"] = new.local_addr().expect("an address").to_string().into();
        daemon.replace_platform_config(&config.to_string());
        daemon.signal("HUP");
        let moved = Instant::now();
        // Of six seconds three are left, of four all.
        let (served, late) = if ends_before { (1_500, 3_100) } else { (3_000, 4_100) };
        let at = move |ms: u64| moved + Duration::from_millis(ms);
        let fails = std::thread::spawn(move || failing(new, Fails::Status503, at(late + 1_000)));
        std::thread::sleep(at(served).saturating_duration_since(Instant::now()));
        assert_eq!((status(job(1)), one.count()), (Some(200), 1), "it stopped too early: {ends_before}");
        std::thread::sleep(at(late).saturating_duration_since(Instant::now()));
        let waits = job(2);
        let new = fails.join().expect("a listener");
        assert_eq!(one.count(), 1, "sent by a list that counts as replaced: {ends_before}");
        let list = json!({"rev": 1, "all": true, "targets": [one.entry("leaving"), two.entry("active")]});
        let _watch = tells(&new, &list);
        assert_eq!((status(waits), one.count(), two.count()), (Some(200), 1, 1));
        drop((old, watch));
    };
    std::thread::scope(|scope| {
        let plays = [false, true].map(|before| scope.spawn(move || play(before)));
        assert!(plays.into_iter().all(|play| play.join().is_ok()));
    });
}
