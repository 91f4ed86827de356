use super::*;
use SentChange::{MayHaveRun, NeverRan};

#[test]
fn each_process_reads_what_the_others_recorded_also_over_a_replacement() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut old = SentIds::open(directory.path()).expect("opened");
    old.record(MayHaveRun(1)).expect("recorded");
    let mut new = SentIds::open(directory.path()).expect("opened");
    old.record(NeverRan(1)).expect("recorded");
    assert_eq!(new.read_new().expect("read"), [MayHaveRun(1), NeverRan(1)]);
    assert_eq!(new.read_new().expect("read"), []);
    let mut written = 2;
    while !old.previous.exists() {
        written += 1;
        old.record(MayHaveRun(written)).expect("recorded");
    }
    let read = new.read_new().expect("read");
    assert_eq!(read.len() as u64, written - 2, "all of the full file, and the first of the next");
    assert_eq!(read.last(), Some(&MayHaveRun(written)));
    new.record(MayHaveRun(7)).expect("recorded");
    assert_eq!(old.read_new().expect("read").last(), Some(&MayHaveRun(7)));
    assert_eq!(SentIds::open(directory.path()).expect("opened").read_previous().len() as u64, written - 1);
}

#[test]
fn damaged_and_old_lines_are_skipped() {
    let now = Duration::from_secs(1000);
    let line = |age_ms: u64| format!("+00000000000000aa {age_ms}\n");
    assert_eq!(parse(line(999_000).as_bytes(), now), [MayHaveRun(0xaa)]);
    // Too old, and from before the machine's last start.
    assert_eq!(parse((line(800_000) + &line(1_000_001)).as_bytes(), now), []);
    let damaged =
        "+0000000000\n+00000000000000zz 999000\n*00000000000000aa 999000\n\u{fffd}\n\n+00000000000000aa\n";
    assert_eq!(parse((damaged.to_owned() + &line(999_000)).as_bytes(), now), [MayHaveRun(0xaa)]);
}

/// A line of which only a part was written spoils no other one.
#[test]
fn a_line_written_in_part_is_skipped() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut ids = SentIds::open(directory.path()).expect("opened");
    ids.file.write_all(b"+0000").expect("written");
    ids.line_complete = false;
    ids.record(MayHaveRun(2)).expect("recorded");
    assert_eq!(ids.read_new().expect("read"), [MayHaveRun(2)]);
}
