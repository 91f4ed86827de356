//! Tests `rookspoke-simhost` with short transcripts: replies, unusual but valid batches, and malformed
//! input.

use std::io::Write;
use std::process::{Command, Stdio};

const ENV: &str = "balancers=1\tme=0\tzone=hall\tlocalities=hall\tmachine_types=box\tdiscovery=automatic\t\
classes.count=1\tclasses.0.name=job\tclasses.0.effect=non_idempotent\tclasses.0.goal_time_ms=400.0\t\
limits.send_cap=3\tquantum_ms=4.0\trules.answer_slack_ms=16.0\trules.stop_sending_within_ms=500.0\t\
rules.cold_from=0.2\trules.ramp_time_ms=20000.0\trules.fall_multiple=3.0\trules.overload_for_ms=1000.0\t\
reporting.how=answers\treporting.fields=x0,pending\tspecifics.report_x0=free_slots\tsome.new_key=17";

fn run(input: &str) -> (String, String, Option<i32>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rookspoke-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("rookspoke-simhost starts");
    let mut stdin = child.stdin.take().expect("standard input");
    // The process may stop reading at a malformed line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("rookspoke-simhost exits");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (text(output.stdout), text(output.stderr), output.status.code())
}

/// The first batch of an instance, which starts it with a list of one log worker.
fn start(id: u32) -> String {
    format!(
        "batch\t1000\nat\t{id}\nborn\t5\t{ENV}\nsheet\t0\t1\nitem\tbox\thall\t-\t1\tw_a\tin_service\t0\n\
         directory_update\tdisk\t1\t0\nflush\n"
    )
}

const JOB: &str = "job_in\ta2c82f7c5d3a91c4\tjob\t-\t-\t1\t0\t6000\t-\tds-1\n";

#[test]
fn a_job_is_sent_and_served() {
    let report = "report_back\ta2c82f7c5d3a91c4\t0\tw_a\tserved\t50\t1\t-\t3,0\n";
    let input = format!("{}batch\t1004\nat\t3\n{JOB}flush\nbatch\t1060\nat\t3\n{report}flush\n", start(3));
    let (out, err, code) = run(&input);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    assert!(out.contains("on_behalf\t3\ncall_out\ta2c82f7c5d3a91c4\tw_a\t4996\n"), "{out}");
    assert_eq!(out.matches("eor\n").count(), 3);
}

#[test]
fn an_empty_batch_and_the_end_of_input_are_normal() {
    assert_eq!(run("batch\t8412.25\nflush\n"), ("eor\n".into(), String::new(), Some(0)));
    assert_eq!(run(""), (String::new(), String::new(), Some(0)));
}

#[test]
fn buffer_numbers_are_reused_within_a_batch_and_a_killed_instance_can_start_again() {
    let input = format!(
        "{}batch\t1004\nat\t3\nexit\nborn\t6\t{ENV}\nsheet\t0\t1\nitem\tbox\thall\t-\t1\tw_b\tin_service\t0\n\
         directory_update\tdisk\t2\t0\nat\t4\nborn\t7\t{ENV}\nsheet\t0\t1\n\
         item\tbox\thall\t-\t1\tw_c\tin_service\t0\ndirectory_update\tdisk\t2\t0\nflush\n\
         batch\t1008\nat\t3\n{JOB}at\t4\n{JOB}flush\n",
        start(3)
    );
    let (out, err, code) = run(&input);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    assert!(out.contains("on_behalf\t3\ncall_out\ta2c82f7c5d3a91c4\tw_b\t"), "{out}");
    assert!(out.contains("on_behalf\t4\ncall_out\ta2c82f7c5d3a91c4\tw_c\t"), "{out}");
}

#[test]
fn the_error_for_malformed_input_names_line_field_and_value() {
    let batch_start = format!("{}batch\t1004\nat\t3\n", start(3));
    let cases = [
        ("batch\tsoon\n".to_string(), "line 1: clock_ms: \"soon\""),
        (format!("{batch_start}job_in\tXYZ\tjob\n"), "line 10: ticket: \"XYZ\""),
        (format!("{batch_start}job_in\ta2c82f7c5d3a91c4\tnone\n"), "line 10: qos: \"none\""),
        (format!("{batch_start}shout\n"), "line 10: message: \"shout\" is not a known message"),
        (format!("{batch_start}ring\n"), "line 10: nonce: missing"),
        (format!("{batch_start}directory_update\tdiff\t2\t9\n"), "line 10: buffer: list 9 was never sent"),
        (
            format!("{}batch\t1004\nat\t8\nring\t1\n", start(3)),
            "line 10: at: ring for an instance that is not running",
        ),
        ("batch\t1\nat\t1\nborn\t5\tme=0\n".to_string(), "line 3: classes.count: missing"),
    ];
    for (input, expected) in cases {
        let (_, err, code) = run(&input);
        assert_eq!(code, Some(1), "{input}");
        assert!(err.contains(expected), "{err} for {expected}");
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn instances_act_the_same_in_one_process_as_in_separate_ones() {
    let transcript = |id: u32| format!("{}batch\t1004\nat\t{id}\n{JOB}flush\n", start(id));
    let (first, second) = (run(&transcript(1)).0, run(&transcript(2)).0);
    let both = format!("{}{}batch\t1004\nat\t1\n{JOB}at\t2\n{JOB}flush\n", start(1), start(2));
    let together = run(&both).0;
    for alone in [first, second] {
        let sent = alone.lines().find(|line| line.starts_with("call_out")).expect("sent");
        assert!(together.contains(sent));
    }
}
