//! The list of tests that are known to be red: CI passes over exactly these, prints them, and fails on anything else.

mod common;

use std::process::Command;

use common::world::Folder;

/// A run over a test command that says this and ends so: whether it passed, and what it said.
fn run(list: &str, said: &str, code: i32) -> (bool, String) {
    let folder = Folder::new();
    let (path, output) = (folder.path().join("KNOWN-RED.txt"), folder.path().join("said"));
    std::fs::write(&path, list).expect("the list is written");
    std::fs::write(&output, said).expect("the output is written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let test = format!("cat {}; exit {code}", output.display());
    let done = Command::new(script).args(["sh", "-c", &test, "test"]).env("KNOWN_RED", &path).output();
    let done = done.expect("the script runs");
    (done.status.success(), String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned())
}

const GREEN: &str =
    "     Running tests/list.rs (target/debug/deps/list-0a1b)\ntest old ... ok\ntest new ... ok\n\
                          Running tests/ends.rs (target/debug/deps/ends-2c3d)\ntest old ... ok\n";

fn red(tests: &[&str]) -> String {
    let mut file = "";
    let lines = GREEN.lines().map(|line| {
        file = if line.contains("Running") {
            if line.contains("list") {
                "list"
            } else {
                "ends"
            }
        } else {
            file
        };
        let name = line.strip_prefix("test ").and_then(|rest| rest.split(' ').next()).unwrap_or_default();
        let is_red = tests.contains(&format!("{file}::{name}").as_str());
        format!("{}\n", if is_red { line.replace("ok", "FAILED") } else { line.to_owned() })
    });
    lines.collect()
}

#[test]
fn exactly_the_listed_tests_are_passed_over_and_printed() {
    let listed = "# what is known\nlist::old | the bench's clock jumps | #37\n";
    assert!(run("", GREEN, 0).0, "nothing is known, nothing is red");
    let (passed, said) = run(listed, &red(&["list::old"]), 101);
    assert!(passed && said.contains("known red: list::old | the bench's clock jumps | #37"), "{said}");
    let three = format!("{listed}list::new | the same | #37\nends::old | the same | #37\n");
    assert!(run(&three, &red(&["list::old", "list::new", "ends::old"]), 101).0);
}

#[test]
fn a_failure_that_is_shown_by_hand_is_printed_and_passes_over_no_test() {
    let by_hand = "by hand: ROOKSPOKE_SOAK_SEEDS=1..2 cargo test --test soak | 3 sends | #53\n";
    let (passed, said) = run(by_hand, GREEN, 0);
    assert!(passed && said.contains(&format!("known red: {by_hand}")), "{said}");
    assert!(!run(by_hand, &red(&["list::old"]), 101).0, "no test is passed over");
    assert!(!run(&by_hand.replace("#53", "soon"), GREEN, 0).0, "it names an issue");
    let (passed, said) = run(&by_hand.repeat(4), GREEN, 0);
    assert!(!passed && said.contains("three at most"), "{said}");
}

#[test]
fn anything_else_fails() {
    let line = |name: &str| format!("{name} | a fault | #37\n");
    let (known, three) =
        (line("list::old"), [line("list::old"), line("list::new"), line("ends::old")].concat());
    let only = red(&["list::old"]);
    let cases: [(&str, String, String, i32, &str); 12] = [
        ("a red test and no list", String::new(), only.clone(), 101, ""),
        (
            "a red one beside it",
            known.clone(),
            red(&["list::old", "ends::old"]),
            101,
            "not listed: ends::old",
        ),
        ("a fourth line", three + &line("list::other"), only.clone(), 101, "three at most"),
        ("an unknown name", line("list::odd"), only.clone(), 101, "list::odd: no such test"),
        ("the same name in another file", line("ends::new"), only.clone(), 101, "ends::new: no such test"),
        ("a test that has become green", known.clone(), GREEN.into(), 0, "is green"),
        ("the same test twice", known.clone() + &known, only.clone(), 101, "twice"),
        ("no cause", "list::old | #37\n".into(), only.clone(), 101, "expected"),
        ("no issue", "list::old | a fault\n".into(), only.clone(), 101, "expected"),
        ("no build", known.clone(), "error: could not compile `x`\n".into(), 101, "no such test"),
        (
            "an end of its own beside it",
            known.clone(),
            only.clone() + "process didn't exit successfully: `x` (exit status: 3)\n",
            101,
            "broke off",
        ),
        (
            "a crash beside it",
            known,
            only + "process didn't exit successfully: `x` (signal: 6, SIGABRT)\n",
            101,
            "broke off",
        ),
    ];
    for (case, list, said, code, expected) in cases {
        let (passed, told) = run(&list, &said, code);
        assert!(!passed && told.contains(expected), "{case}: {told}");
    }
}
