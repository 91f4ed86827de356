//! A small backend for the `log` crate: one line on standard error for each record.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};

struct Logger;

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }
    fn log(&self, record: &Record) {
        // The libraries' own debug lines would drown ours.
        if !record.target().starts_with("rookspoke") {
            return;
        }
        let level = record.level().as_str().to_ascii_lowercase();
        let line = format!("{level} {}: {}\n", record.target(), record.args());
        // A log that nobody reads any more must not end the process.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }
    fn flush(&self) {}
}

/// Starts logging down to `level`; a second call changes nothing.
pub fn start(level: LevelFilter) {
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(level);
    }
}
