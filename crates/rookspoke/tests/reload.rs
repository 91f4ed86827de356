//! SIGHUP reloads the configuration, in which the address of discovery may have changed.

mod common;

use std::io::BufReader;
use std::sync::atomic::Ordering;

use common::world::*;

/// SIGHUP once ended the process. On a reload the file takes precedence over the environment, which dates from the
/// process's start; the list of the new discovery is used whatever its version; jobs in progress continue.
#[test]
fn a_reload_switches_discovery_and_disturbs_no_job_in_progress() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let one = Worker::start("w-1", move |request, to| {
        let _ = released.lock().expect("a job").recv();
        serve(request, to, "from one");
        true
    });
    let two = Worker::start("w-2", |request, to| {
        serve(request, to, "from two");
        true
    });
    let (old, new) = (Discovery::listing(&[&one]), Discovery::listing(&[&two]));
    let mut config = platform_config(old.address);
    let mut daemon = Daemon::start_with_env(&config, &[("PROXY_DISCOVERY", old.address.to_string())]);
    daemon.wait_ready();
    let http = daemon.address("http");
    let mut in_progress =
        BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (one.count() == 1).then_some(()));

    // An invalid file is rejected and changes nothing.
    daemon.replace_platform_config("{\"name\": ");
    daemon.signal("HUP");
    daemon.wait_log("new configuration rejected: PROXY_CONFIG: ");
    assert_eq!((old.watches.load(Ordering::SeqCst), new.watches.load(Ordering::SeqCst)), (1, 0));

    config["discovery"] = new.address.to_string().into();
    config["listen"] = "127.0.0.1:1".into();
    daemon.replace_platform_config(&config.to_string());
    daemon.signal("HUP");
    let line = daemon.wait_log("settings in effect only after a restart");
    assert!(line.ends_with("restart: listen"), "{line}");
    daemon.wait_counters("http", &["lists=2"]);
    wait_for("the end of the old watch", || (old.open_watches.load(Ordering::SeqCst) == 0).then_some(()));
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).text(), "from two");
    release.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut in_progress).expect("an answer").text(), "from one");

    // Reload again, and once more during the shutdown.
    config["discovery"] = old.address.to_string().into();
    daemon.replace_platform_config(&config.to_string());
    daemon.signal("HUP");
    daemon.wait_counters("http", &["lists=3"]);
    daemon.signal("TERM");
    daemon.signal("HUP");
    assert!(daemon.wait_exit().success());
}
