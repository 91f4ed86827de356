//! The stand-ins and the cases of the second review. `rookspoke-review-2 CASE FOLDER` plays a case, writes `record.txt`
//! to the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod busy_consumer;
mod faktory;
mod http;
mod memory;
mod other_queue;
mod pipeline;
mod taken_back;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A case that takes longer than this could not run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rookspoke-review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = PathBuf::from(folder).join("record.txt");
    let limit = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        world::note("verdict: the case took too long");
        world::kill_children();
        world::write_record(&limit);
        std::process::exit(2);
    });
    world::note(format!("case {case}, trouble: {}", world::trouble()));
    let run: fn() -> Result<bool, world::Failure> = match case.as_str() {
        "busy-consumer" => busy_consumer::run,
        "other-queue" => other_queue::run,
        "pipeline" => pipeline::run,
        "taken-back" => taken_back::run,
        "memory" => memory::run,
        _ => || Err("no case of this name".into()),
    };
    // A stand-in that panics could not run its case.
    let result = std::panic::catch_unwind(run).unwrap_or_else(|_| Err("a stand-in panicked".into()));
    world::kill_children();
    let (code, text) = match result {
        Ok(true) => (1, "the rule was broken".to_owned()),
        Ok(false) => (0, "the rule held".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    world::note(format!("verdict: {text}"));
    world::write_record(&record);
    println!("{case}: {text}");
    ExitCode::from(code)
}
