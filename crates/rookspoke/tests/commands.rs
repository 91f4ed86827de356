//! The command line, the control socket, reloads of a configuration file, and logs: JSON, rate limiting, and a standard
//! error stream that nobody reads.

mod common;

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::{Command, Output, Stdio};

use common::world::*;
use serde_json::Value;

/// Runs the program in this directory until it exits, without the platform's environment variables.
fn run(dir: &Path, args: &[&str]) -> Output {
    program(dir).args(args).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A configuration file with a fixed list of these log workers, followed by `more`.
fn config_file(workers: &[&Worker], more: &str) -> String {
    let mut file = String::from(
        "listen 127.0.0.1:0\nclass log-lookup {\n effect safe\n aim 5s\n deadline 10s\n}\n\
         class qso-confirm {\n effect once\n aim 5s\n deadline 20s\n}\n",
    );
    for worker in workers {
        file.push_str(&format!("worker {} {{\n address {}\n}}\n", worker.uid, worker.address));
    }
    file + more
}

/// Without the platform, a configuration file with a fixed list is enough, with neither JSON nor discovery. A reload
/// replaces the list.
#[test]
fn jobs_go_to_a_fixed_list_of_log_workers_and_a_reload_replaces_it() {
    let (one, two) = (Worker::serving_with("w-1", "from one"), Worker::serving_with("w-2", "from two"));
    let daemon = Daemon::serve_file(&config_file(&[&one], ""));
    daemon.wait_ready();
    let http = daemon.address("http");
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).text(), "from one");
    // A valid file, in which one setting takes effect only after a restart.
    daemon.replace_config_file(&config_file(&[&two], "name another\n"));
    daemon.signal("HUP");
    let line = daemon.wait_log("settings in effect only after a restart");
    assert!(line.ends_with("restart: name"), "{line}");
    daemon.wait_counters("http", &["lists=2"]);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).text(), "from two");
    // An invalid file changes nothing, and the error names the position.
    daemon.replace_config_file("listen 127.0.0.1:0\nclass {\n");
    daemon.signal("HUP");
    let line = daemon.wait_log("new configuration rejected");
    assert!(line.contains("site.conf:2:1: "), "{line}");
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000003", 5000, "")).text(), "from two");
    assert_eq!(one.count(), 1);
}

#[test]
fn check_prints_the_settings_of_a_valid_file_or_the_position_of_an_error() {
    let dir = TempDir::new();
    let write_file = |text: &str| std::fs::write(dir.path().join("site.conf"), text).expect("a file");
    write_file("listen 127.0.0.1:3000\nclass a {\n effect safe\n aim 1s\n deadline 2s\n}\nworker w {\n address 127.0.0.1:1\n}\n");
    let valid = run(dir.path(), &["check", "site.conf"]);
    assert!(valid.status.success(), "{}", text(&valid.stderr));
    let line = |key: &str| {
        let out = text(&valid.stdout);
        let line = out.lines().find(|line| line.starts_with(key)).expect("a line").to_owned();
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(line("class a aim"), "class a aim 1s site.conf:4");
    assert_eq!(line("rules drain-grace"), "rules drain-grace 500ms default");
    write_file("lisen 127.0.0.1:3000\n");
    let invalid = run(dir.path(), &["check", "site.conf"]);
    assert_eq!(invalid.status.code(), Some(3));
    insta::assert_snapshot!(text(&invalid.stderr));
    assert_eq!(run(dir.path(), &["check"]).status.code(), Some(2));
    assert_eq!(run(dir.path(), &["serve", "--config", "."]).status.code(), Some(3));
}

#[test]
fn config_show_names_the_origin_of_each_setting() {
    let dir = TempDir::new();
    let site = "listen 127.0.0.1:3000\nclass a {\n effect safe\n aim 1s\n deadline 2s\n}\nworker w {\n address 127.0.0.1:1\n}\n";
    std::fs::write(dir.path().join("site.conf"), site).expect("a file");
    let mut command = program(dir.path());
    command.env("ROOKSPOKE_LOG", "warn");
    let args = ["config", "show", "--json", "--config", "site.conf", "--set", "limits.attempts=2"];
    let shown = command.args(args).output().expect("the program runs");
    let rows: Vec<Value> = serde_json::from_slice(&shown.stdout).expect("JSON");
    let origin = |key: &str| {
        let row = rows.iter().find(|row| row["key"] == key).expect("a row");
        format!("{} {}", row["value"].as_str().expect("text"), row["origin"].as_str().expect("text"))
    };
    assert_eq!(origin("limits attempts"), "2 command line");
    assert_eq!(origin("log level"), "warn environment ROOKSPOKE_LOG");
    assert_eq!(origin("listen"), "127.0.0.1:3000 site.conf:1");
    assert_eq!(origin("sockets"), "1024 default");
}

#[test]
fn completions_and_manual_pages_cover_every_command() {
    let dir = TempDir::new();
    let commands = ["serve", "check", "config", "status", "completions", "man"];
    for shell in ["bash", "zsh", "fish"] {
        let script = text(&run(dir.path(), &["completions", shell]).stdout);
        assert!(commands.iter().all(|command| script.contains(command)), "{shell}");
    }
    assert!(run(dir.path(), &["man", "--out", "pages"]).status.success());
    let pages = std::fs::read_dir(dir.path().join("pages")).expect("a directory").count();
    assert!(pages > commands.len(), "{pages} pages");
}

/// Otherwise a file of the former format would be ignored, and the Faktory front stay off without a message.
#[test]
fn a_file_of_the_former_format_is_an_error_that_names_the_new_one() {
    let unreachable = "127.0.0.1:9".parse().expect("an address");
    let (mut command, dir) = Daemon::command(&platform_config(unreachable), None);
    std::fs::write(dir.path().join("deploy/faktory.toml"), "enabled = true\n").expect("a file");
    let output = command.output().expect("the daemon runs");
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("found deploy/faktory.toml, expected"), "{}", text(&output.stderr));
}

#[test]
fn a_configuration_of_10_mb_or_a_directory_is_rejected() {
    let unreachable = "127.0.0.1:9".parse().expect("an address");
    let error = |path: &str| {
        let (mut command, dir) = Daemon::command(&platform_config(unreachable), None);
        std::fs::write(dir.path().join("long.json"), vec![b' '; 10 << 20]).expect("a file");
        let output = command.env("PROXY_CONFIG", path).output().expect("the daemon runs");
        assert_eq!(output.status.code(), Some(3));
        text(&output.stderr)
    };
    assert!(error("long.json").contains("found 10485760 bytes, expected at most"));
    assert!(error("deploy").contains("found a folder, expected a file"));
}

#[test]
fn status_reports_a_serving_and_an_ending_daemon_and_fails_without_one() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let worker = Worker::start("w-1", move |request, to| {
        let _ = released.lock().expect("a job").recv();
        serve(request, to, "done");
        true
    });
    let mut daemon = Daemon::serve_file(&config_file(&[&worker], "control {\n path control\n}\n"));
    daemon.wait_ready();
    let status = |json: bool| {
        let args = ["status", "--control", "control", "--json"];
        run(daemon.dir(), &args[..if json { 4 } else { 3 }])
    };
    let status_json: Value = serde_json::from_slice(&status(true).stdout).expect("JSON");
    assert_eq!((&status_json["ready"], &status_json["ending"]), (&true.into(), &false.into()));
    assert!(text(&status(false).stdout).contains("ending              no"));
    let _open = send(daemon.address("http"), &job_request("qso-confirm", "0000000000000001", 20_000, ""));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    daemon.signal("TERM");
    wait_for("a daemon that is ending", || {
        let status_json: Value = serde_json::from_slice(&status(true).stdout)
            .expect("the control socket answers until the daemon exits");
        (status_json["ending"] == true).then_some(())
    });
    release.send(()).expect("the log worker waits");
    assert!(daemon.wait_exit().success());
    assert!(!daemon.dir().join("control").exists(), "the control socket is removed on exit");
    let without_daemon = run(daemon.dir(), &["status", "--control", "control"]);
    assert_eq!(without_daemon.status.code(), Some(4), "{}", text(&without_daemon.stderr));
}

#[test]
fn a_stale_control_socket_is_replaced_and_a_live_one_is_not() {
    let worker = Worker::serving_with("w-1", "x");
    let file = config_file(&[&worker], "control {\n path control\n}\n");
    // A socket file without a listener, as a killed daemon leaves it.
    let stale = TempDir::new();
    drop(UnixListener::bind(stale.path().join("control")).expect("a socket"));
    // A process that another test is starting may hold an inherited copy of the listener until its exec.
    wait_for("the stale socket to refuse connections", || {
        UnixStream::connect(stale.path().join("control")).is_err().then_some(())
    });
    let daemon = Daemon::serve_file_in(stale, &file);
    daemon.wait_ready();
    let pid_in_status = |dir: &Path| {
        let mut status = String::new();
        UnixStream::connect(dir.join("control"))
            .expect("it listens")
            .read_to_string(&mut status)
            .expect("text");
        serde_json::from_str::<Value>(&status).expect("JSON")["pid"].clone()
    };
    let first = pid_in_status(daemon.dir());
    let second = run(daemon.dir(), &["serve", "--config", "site.conf"]);
    assert_eq!(second.status.code(), Some(1));
    assert!(
        text(&second.stderr).contains("the control socket is in use by another daemon"),
        "{}",
        text(&second.stderr)
    );
    assert_eq!(pid_in_status(daemon.dir()), first, "the first daemon still answers");
    // A path that is no socket may be a user's file and is not replaced.
    let other = TempDir::new();
    std::fs::write(other.path().join("control"), "precious").expect("a file");
    std::fs::write(other.path().join("site.conf"), &file).expect("a file");
    let third = run(other.path(), &["serve", "--config", "site.conf"]);
    assert_eq!(third.status.code(), Some(1));
    assert_eq!(std::fs::read_to_string(other.path().join("control")).expect("a file"), "precious");
}

/// If nobody reads the log, the pipe fills up: lines are dropped and counted, and requests are still answered.
#[test]
fn a_full_or_closed_standard_error_does_not_block_the_daemon() {
    let worker = Worker::serving_with("w-1", "served");
    for closed in [false, true] {
        let dir = TempDir::new();
        let more = "log {\n level trace\n queue 16\n}\ncontrol {\n path control\n}\n";
        std::fs::write(dir.path().join("site.conf"), config_file(&[&worker], more)).expect("a file");
        let mut command = program(dir.path());
        command.args(["serve", "--config", "site.conf", "--set", "listen=127.0.0.1:0"]);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the daemon starts");
        let mut stderr = child.stderr.take().expect("standard error");
        // Read the log up to the line with the address, and no further.
        let mut log = String::new();
        let http = loop {
            let mut byte = [0];
            stderr.read_exact(&mut byte).expect("the log");
            log.push(byte[0] as char);
            let line = log.lines().find(|line| line.contains("http listens at ") && log.ends_with('\n'));
            if let Some(line) = line {
                break line.rsplit(' ').next().expect("an address").parse().expect("an address");
            }
        };
        let stderr = (!closed).then_some(stderr);
        wait_for("ready", || (get(http, "/health/ready").status == 200).then_some(()));
        for n in 0..400 {
            let answer = exchange(http, &job_request("log-lookup", &format!("{n:016x}"), 5000, ""));
            assert_eq!(answer.text(), "served");
        }
        let status = run(dir.path(), &["status", "--control", "control", "--json"]);
        let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
        let dropped = status["log_dropped"].as_u64().expect("a number");
        assert!(closed || dropped > 0, "no log line was dropped");
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().expect("kill runs").success());
        let exit = wait_for("the daemon to exit", || child.try_wait().expect("a child"));
        assert!(exit.success(), "{exit}");
        drop(stderr);
    }
}

/// Each line is a JSON object, and those of an attempt carry a span with its number and log worker.
#[test]
fn json_log_lines_of_an_attempt_name_the_attempt_and_its_log_worker() {
    let worker = Worker::start("w-1", |_, to| {
        // Neither chunked nor a report of the job's state.
        let _ = to.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{broken}\n");
        false
    });
    let daemon = Daemon::serve_file(&config_file(&[&worker], "log {\n format json\n}\n"));
    daemon.wait_ready();
    let http = daemon.address("http");
    assert_eq!(exchange(http, &job_request("qso-confirm", "00000000000000ab", 5000, "")).status, 500);
    let line = daemon.wait_log("unreadable response");
    let line: Value = serde_json::from_str(&line).expect("JSON");
    let span = &line["span"];
    assert_eq!(
        (&span["name"], &span["attempt"], &span["worker"]),
        (&"attempt".into(), &0.into(), &"w-1".into())
    );
    assert_eq!(worker.count(), 1);
}

/// A repeated log line is limited to a few per second, and the lines beyond that are counted.
#[test]
fn repeated_log_lines_are_suppressed_and_counted() {
    // One log worker for each job, since a log worker that failed gets no jobs for a while.
    let workers: Vec<Worker> = (0..8)
        .map(|n| {
            Worker::start(&format!("w-{n}"), |_, to| {
                let _ = to.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{broken}\n");
                false
            })
        })
        .collect();
    let workers: Vec<&Worker> = workers.iter().collect();
    let mut daemon = Daemon::serve_file(&config_file(&workers, "log {\n repeats 1\n level info\n}\n"));
    daemon.wait_ready();
    let http = daemon.address("http");
    let open: Vec<_> =
        (0..8).map(|n| send(http, &job_request("qso-confirm", &format!("{n:016x}"), 5000, ""))).collect();
    for stream in open {
        let answer = read_message(&mut std::io::BufReader::new(stream)).expect("an answer");
        assert_eq!(answer.status, 500);
    }
    daemon.signal("TERM");
    daemon.wait_exit();
    daemon.wait_log("http counters at exit");
    let log = daemon.log();
    let written = log.iter().filter(|line| line.contains("unreadable response")).count();
    let suppressed =
        log.iter().filter(|line| line.contains("repeated log lines of one call site were suppressed"));
    let count = |line: &String| line.split("count=").nth(1)?.split(' ').next()?.parse::<usize>().ok();
    let suppressed_count: usize = suppressed.filter_map(count).sum();
    assert!(suppressed_count > 0, "{written} were written");
    assert_eq!(written + suppressed_count, 8, "every line is written or counted");
}

/// The example files are valid without changes, and an error that a new user makes in one is reported with its position.
#[test]
fn the_example_files_are_valid_and_errors_in_them_are_located() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let dir = TempDir::new();
    for name in ["example.conf", "four-sites.conf"] {
        let file = std::fs::read_to_string(deploy.join(name)).expect("an example");
        std::fs::write(dir.path().join(name), &file).expect("a copy");
        let output = run(dir.path(), &["check", name]);
        assert!(output.status.success(), "{name}: {}", text(&output.stderr));
    }
    let file = std::fs::read_to_string(deploy.join("four-sites.conf")).expect("an example");
    for (valid, invalid) in [
        ("allowance 60/s", "allowance -60/s"),
        ("worth-by work", "worth-by weight"),
        ("group cell", "group rack"),
        ("over-share-worth 0.1", "over-share-worth 1.1"),
        ("    aim 300ms\n", ""),
    ] {
        assert!(file.contains(valid), "{valid}");
        std::fs::write(dir.path().join("bad.conf"), file.replace(valid, invalid)).expect("a copy");
        let output = run(dir.path(), &["check", "bad.conf"]);
        let printed = text(&output.stderr) + &text(&output.stdout);
        assert!(!output.status.success() && printed.contains("bad.conf:"), "{invalid}: {printed}");
    }
}
