//! The command line, the control socket, and logs that nobody reads.

mod common;

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::{Command, Output, Stdio};

use common::world::*;
use serde_json::Value;

/// The program, run to its end in a folder, without the platform's variables.
fn run(folder: &Path, args: &[&str]) -> Output {
    program(folder).args(args).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A site file over these log workers.
fn site(workers: &[&Worker], more: &str) -> String {
    let mut file = String::from(
        "listen 127.0.0.1:0\nclass log-lookup {\n effect safe\n aim 5s\n deadline 10s\n}\n\
         class qso-confirm {\n effect once\n aim 5s\n deadline 20s\n}\n",
    );
    for worker in workers {
        file.push_str(&format!("worker {} {{\n address {}\n}}\n", worker.uid, worker.address));
    }
    file + more
}

/// A site without the platform needs no JSON and no discovery; a reload moves it to another list.
#[test]
fn a_fixed_list_serves_and_a_reload_changes_it() {
    let (one, two) = (Worker::serving_with("w-1", "from one"), Worker::serving_with("w-2", "from two"));
    let daemon = Daemon::serve_file(&site(&[&one], ""));
    daemon.wait_ready();
    let http = daemon.address("http");
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).text(), "from one");
    // Valid in itself, with one part that only a restart heeds.
    daemon.replace_config_file(&site(&[&two], "name another\n"));
    daemon.signal("HUP");
    let line = daemon.wait_log("settings in effect only after a restart");
    assert!(line.ends_with("restart: name"), "{line}");
    daemon.wait_counters("http", &["lists=2"]);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).text(), "from two");
    // One that makes no sense changes nothing, and says where.
    daemon.replace_config_file("listen 127.0.0.1:0\nclass {\n");
    daemon.signal("HUP");
    let line = daemon.wait_log("new configuration rejected");
    assert!(line.contains("site.conf:2:1: "), "{line}");
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000003", 5000, "")).text(), "from two");
    assert_eq!(one.count(), 1);
}

#[test]
fn check_says_what_holds_or_where_it_is_wrong() {
    let folder = TempDir::new();
    let file = |text: &str| std::fs::write(folder.path().join("site.conf"), text).expect("a file");
    file("listen 127.0.0.1:3000\nclass a {\n effect safe\n aim 1s\n deadline 2s\n}\nworker w {\n address 127.0.0.1:1\n}\n");
    let good = run(folder.path(), &["check", "site.conf"]);
    assert!(good.status.success(), "{}", text(&good.stderr));
    let line = |key: &str| {
        let out = text(&good.stdout);
        let line = out.lines().find(|line| line.starts_with(key)).expect("a line").to_owned();
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(line("class a aim"), "class a aim 1s site.conf:4");
    assert_eq!(line("rules drain-grace"), "rules drain-grace 500ms default");
    file("lisen 127.0.0.1:3000\n");
    let bad = run(folder.path(), &["check", "site.conf"]);
    assert_eq!(bad.status.code(), Some(3));
    insta::assert_snapshot!(text(&bad.stderr));
    assert_eq!(run(folder.path(), &["check"]).status.code(), Some(2));
    assert_eq!(run(folder.path(), &["serve", "--config", "."]).status.code(), Some(3));
}

#[test]
fn config_show_names_flag_environment_file_and_default() {
    let folder = TempDir::new();
    let site = "listen 127.0.0.1:3000\nclass a {\n effect safe\n aim 1s\n deadline 2s\n}\nworker w {\n address 127.0.0.1:1\n}\n";
    std::fs::write(folder.path().join("site.conf"), site).expect("a file");
    let mut command = program(folder.path());
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
fn completions_and_manual_know_every_command() {
    let folder = TempDir::new();
    let commands = ["serve", "check", "config", "status", "completions", "man"];
    for shell in ["bash", "zsh", "fish"] {
        let script = text(&run(folder.path(), &["completions", shell]).stdout);
        assert!(commands.iter().all(|command| script.contains(command)), "{shell}");
    }
    assert!(run(folder.path(), &["man", "--out", "pages"]).status.success());
    let pages = std::fs::read_dir(folder.path().join("pages")).expect("a folder").count();
    assert!(pages > commands.len(), "{pages} pages");
}

/// What it was before would otherwise go unheard, and the front stay off in silence.
#[test]
fn a_file_of_the_former_form_is_named_with_the_new_one() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let (mut command, folder) = Daemon::command(&platform_config(nowhere), None);
    std::fs::write(folder.path().join("deploy/faktory.toml"), "enabled = true\n").expect("a file");
    let done = command.output().expect("the daemon runs");
    assert_eq!(done.status.code(), Some(3));
    assert!(text(&done.stderr).contains("found deploy/faktory.toml, expected"), "{}", text(&done.stderr));
}

#[test]
fn a_configuration_of_10_mb_or_a_folder_is_turned_down() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let said = |path: &str| {
        let (mut command, folder) = Daemon::command(&platform_config(nowhere), None);
        std::fs::write(folder.path().join("long.json"), vec![b' '; 10 << 20]).expect("a file");
        let done = command.env("PROXY_CONFIG", path).output().expect("the daemon runs");
        assert_eq!(done.status.code(), Some(3));
        text(&done.stderr)
    };
    assert!(said("long.json").contains("found 10485760 bytes, expected at most"));
    assert!(said("deploy").contains("found a folder, expected a file"));
}

#[test]
fn status_tells_of_a_daemon_that_serves_and_one_that_ends() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let worker = Worker::start("w-1", move |request, to| {
        let _ = wait.lock().expect("a job").recv();
        serve(request, to, "done");
        true
    });
    let mut daemon = Daemon::serve_file(&site(&[&worker], "control {\n path control\n}\n"));
    daemon.wait_ready();
    let status = |json: bool| {
        let args = ["status", "--control", "control", "--json"];
        run(daemon.dir(), &args[..if json { 4 } else { 3 }])
    };
    let whole: Value = serde_json::from_slice(&status(true).stdout).expect("JSON");
    assert_eq!((&whole["ready"], &whole["ending"]), (&true.into(), &false.into()));
    assert!(text(&status(false).stdout).contains("ending              no"));
    let _open = send(daemon.address("http"), &job_request("qso-confirm", "0000000000000001", 20_000, ""));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    daemon.signal("TERM");
    wait_for("a daemon that is ending", || {
        let whole: Value = serde_json::from_slice(&status(true).stdout).expect("it answers until its end");
        (whole["ending"] == true).then_some(())
    });
    go.send(()).expect("the log worker waits");
    assert!(daemon.wait_exit().success());
    assert!(!daemon.dir().join("control").exists(), "the socket goes with it");
    let gone = run(daemon.dir(), &["status", "--control", "control"]);
    assert_eq!(gone.status.code(), Some(4), "{}", text(&gone.stderr));
}

#[test]
fn a_stale_control_socket_is_replaced_and_a_live_one_is_not() {
    let worker = Worker::serving_with("w-1", "x");
    let file = site(&[&worker], "control {\n path control\n}\n");
    // What a killed daemon leaves.
    let stale = TempDir::new();
    drop(UnixListener::bind(stale.path().join("control")).expect("a socket"));
    // A process that another test is just starting may hold a copy until it is replaced.
    wait_for("nobody there", || UnixStream::connect(stale.path().join("control")).is_err().then_some(()));
    let daemon = Daemon::serve_file_in(stale, &file);
    daemon.wait_ready();
    let says = |folder: &Path| {
        let mut said = String::new();
        UnixStream::connect(folder.join("control"))
            .expect("it listens")
            .read_to_string(&mut said)
            .expect("text");
        serde_json::from_str::<Value>(&said).expect("JSON")["pid"].clone()
    };
    let first = says(daemon.dir());
    let second = run(daemon.dir(), &["serve", "--config", "site.conf"]);
    assert_eq!(second.status.code(), Some(1));
    assert!(
        text(&second.stderr).contains("the control socket is in use by another daemon"),
        "{}",
        text(&second.stderr)
    );
    assert_eq!(says(daemon.dir()), first, "the first still answers");
    // One that is no socket is somebody's file.
    let other = TempDir::new();
    std::fs::write(other.path().join("control"), "precious").expect("a file");
    std::fs::write(other.path().join("site.conf"), &file).expect("a file");
    let third = run(other.path(), &["serve", "--config", "site.conf"]);
    assert_eq!(third.status.code(), Some(1));
    assert_eq!(std::fs::read_to_string(other.path().join("control")).expect("a file"), "precious");
}

/// A reader who stopped reading: the pipe fills, lines are dropped and counted, and requests are still answered.
#[test]
fn a_full_or_closed_standard_error_holds_up_nothing() {
    let worker = Worker::serving_with("w-1", "served");
    for closed in [false, true] {
        let folder = TempDir::new();
        let more = "log {\n level trace\n queue 16\n}\ncontrol {\n path control\n}\n";
        std::fs::write(folder.path().join("site.conf"), site(&[&worker], more)).expect("a file");
        let mut command = program(folder.path());
        command.args(["serve", "--config", "site.conf", "--set", "listen=127.0.0.1:0"]);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the daemon starts");
        let mut stderr = child.stderr.take().expect("standard error");
        // The address is in the log; after that nobody reads any more.
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
        let status = run(folder.path(), &["status", "--control", "control", "--json"]);
        let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
        let dropped = status["log_dropped"].as_u64().expect("a number");
        assert!(closed || dropped > 0, "nothing was dropped");
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().expect("kill runs").success());
        let exit = wait_for("its end", || child.try_wait().expect("a child"));
        assert!(exit.success(), "{exit}");
        drop(stderr);
    }
}

/// JSON lines are JSON, and those of an attempt say whose it is.
#[test]
fn json_lines_carry_the_request_and_its_attempt() {
    let worker = Worker::start("w-1", |_, to| {
        // Not what was asked for.
        let _ = to.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{broken}\n");
        false
    });
    let daemon = Daemon::serve_file(&site(&[&worker], "log {\n format json\n}\n"));
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

/// The same line over and over is cut to a few a second, and what was left out is counted.
#[test]
fn a_line_that_repeats_is_left_out_and_counted() {
    // One each, since one that broke is left alone for a while.
    let workers: Vec<Worker> = (0..8)
        .map(|n| {
            Worker::start(&format!("w-{n}"), |_, to| {
                let _ = to.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{broken}\n");
                false
            })
        })
        .collect();
    let workers: Vec<&Worker> = workers.iter().collect();
    let mut daemon = Daemon::serve_file(&site(&workers, "log {\n repeats 1\n level info\n}\n"));
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
    let told = log.iter().filter(|line| line.contains("repeated log lines of one call site were suppressed"));
    let count = |line: &String| line.split("count=").nth(1)?.split(' ').next()?.parse::<usize>().ok();
    let left_out: usize = told.filter_map(count).sum();
    assert!(left_out > 0, "{written} were written");
    assert_eq!(written + left_out, 8, "every line is written or counted");
}

/// As a new user would: the files that come along are taken as they are, and a slip in one is told with its place.
#[test]
fn the_example_files_are_accepted() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let folder = TempDir::new();
    for name in ["example.conf", "four-sites.conf"] {
        let file = std::fs::read_to_string(deploy.join(name)).expect("an example");
        std::fs::write(folder.path().join(name), &file).expect("a copy");
        let done = run(folder.path(), &["check", name]);
        assert!(done.status.success(), "{name}: {}", text(&done.stderr));
    }
    let file = std::fs::read_to_string(deploy.join("four-sites.conf")).expect("an example");
    for (good, bad) in [
        ("allowance 60/s", "allowance -60/s"),
        ("worth-by work", "worth-by weight"),
        ("group cell", "group rack"),
        ("over-share-worth 0.1", "over-share-worth 1.1"),
        ("    aim 300ms\n", ""),
    ] {
        assert!(file.contains(good), "{good}");
        std::fs::write(folder.path().join("bad.conf"), file.replace(good, bad)).expect("a copy");
        let done = run(folder.path(), &["check", "bad.conf"]);
        let said = text(&done.stderr) + &text(&done.stdout);
        assert!(!done.status.success() && said.contains("bad.conf:"), "{bad}: {said}");
    }
}
