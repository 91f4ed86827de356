//! SIGHUP: the configuration is read again, and discovery may have moved.

mod common;

use std::io::BufReader;
use std::sync::atomic::Ordering;

use common::world::*;

/// It once ended the process. What the file says now goes before the environment, which is as old as the
/// process; the new list stands for itself, whatever versions it counts; all that is under way goes on.
#[test]
fn a_reload_moves_the_resolver_and_nothing_else() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let one = Worker::start("w-1", move |request, to| {
        let _ = wait.lock().expect("a job").recv();
        serve(request, to, "from one");
        true
    });
    let two = Worker::start("w-2", |request, to| {
        serve(request, to, "from two");
        true
    });
    let (old, new) = (Discovery::listing(&[&one]), Discovery::listing(&[&two]));
    let mut file = platform_config(old.address);
    let mut daemon = Daemon::start_with_env(&file, &[("PROXY_DISCOVERY", old.address.to_string())]);
    daemon.wait_ready();
    let http = daemon.address("http");
    let mut under_way =
        BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (one.count() == 1).then_some(()));

    // A file that makes no sense changes nothing.
    daemon.replace_platform_config("{\"name\": ");
    daemon.signal("HUP");
    daemon.wait_log("new configuration rejected: PROXY_CONFIG: ");
    assert_eq!((old.watches.load(Ordering::SeqCst), new.watches.load(Ordering::SeqCst)), (1, 0));

    file["discovery"] = new.address.to_string().into();
    file["listen"] = "127.0.0.1:1".into();
    daemon.replace_platform_config(&file.to_string());
    daemon.signal("HUP");
    let line = daemon.wait_log("settings in effect only after a restart");
    assert!(line.ends_with("restart: listen"), "{line}");
    daemon.wait_counters("http", &["lists=2"]);
    wait_for("the end of the old watch", || (old.open_watches.load(Ordering::SeqCst) == 0).then_some(()));
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).text(), "from two");
    go.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut under_way).expect("an answer").text(), "from one");

    // Again, and once more while it ends.
    file["discovery"] = old.address.to_string().into();
    daemon.replace_platform_config(&file.to_string());
    daemon.signal("HUP");
    daemon.wait_counters("http", &["lists=3"]);
    daemon.signal("TERM");
    daemon.signal("HUP");
    assert!(daemon.wait_exit().success());
}
