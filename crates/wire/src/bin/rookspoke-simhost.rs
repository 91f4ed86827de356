//! Runs dispatchers in the simulator: reads batches of events from standard input and writes a reply with the
//! dispatchers' actions to standard output after each batch.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use rookspoke_decisions::Dispatcher;
use rookspoke_decisions::{Action, Event, ListScope, Listing, Time};
use rookspoke_wire::{
    encode_action, encode_failure, encode_instance, parse_line, parse_listing, parse_settings, Line,
    Vocabulary, WireError,
};

/// Highest number of a buffer for lists of log workers.
const MAX_BUFFER: usize = 15;

/// A simulated dispatcher process.
struct Instance {
    dispatcher: Dispatcher,
    vocabulary: Vocabulary,
}

/// A list of log workers of which not all entry lines have been read.
struct PartialList {
    buffer: usize,
    missing: usize,
    entries: Vec<Listing>,
}

#[derive(Default)]
struct Host {
    /// Time of the current batch; `None` between batches.
    now: Option<Time>,
    /// The instance that the following lines are for.
    selected: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    /// The lists of log workers by buffer number.
    lists: Vec<Option<Arc<[Listing]>>>,
    partial_list: Option<PartialList>,
    actions: Vec<Action>,
    /// The instance that the reply named last.
    reply_instance: Option<u64>,
    reply: String,
}

impl Host {
    /// Processes a line. Returns true when the reply is complete.
    fn process_line(&mut self, line: &str) -> Result<bool, WireError> {
        if let Some(PartialList { buffer, missing, mut entries }) = self.partial_list.take() {
            entries.push(parse_listing(line)?);
            self.set_list(buffer, missing - 1, entries);
            return Ok(false);
        }
        let instance = self.selected.and_then(|id| self.instances.get(&id));
        match parse_line(line, instance.map(|instance| &instance.vocabulary))? {
            Line::Batch(now) if self.now.is_none() => {
                self.now = Some(now);
                (self.selected, self.reply_instance) = (None, None);
            }
            Line::Batch(_) => {
                return Err(WireError::new("batch", "found within another batch, expected flush first"))
            }
            _ if self.now.is_none() => {
                return Err(WireError::new("batch", "missing, expected before any other line"))
            }
            Line::Flush => {
                self.now = None;
                self.reply.push_str("eor\n");
                return Ok(true);
            }
            Line::SelectInstance(id) => self.selected = Some(id),
            Line::Start(seed, pairs) => {
                let id =
                    self.selected.ok_or_else(|| WireError::new("at", "missing, expected before born"))?;
                let (settings, vocabulary) = parse_settings(pairs)?;
                let dispatcher = Dispatcher::new(settings, seed).map_err(|error| {
                    WireError::new(error.setting, format!("{} (expected {})", error.found, error.expected))
                })?;
                self.instances.insert(id, Instance { dispatcher, vocabulary });
            }
            Line::Killed => {
                self.selected.and_then(|id| self.instances.remove(&id));
            }
            Line::List(buffer, _) if buffer > MAX_BUFFER => {
                return Err(WireError::new("buffer", format!("{buffer} (expected at most {MAX_BUFFER})")));
            }
            Line::List(buffer, lines) => self.set_list(buffer, lines, Vec::new()),
            Line::ListUpdate(ListScope::Failed, _) => {
                self.handle(Event::List { scope: ListScope::Failed, entries: Arc::new([]) });
            }
            Line::ListUpdate(scope, buffer) => {
                let list = self.lists.get(buffer).cloned().flatten();
                let entries =
                    list.ok_or_else(|| WireError::new("buffer", format!("list {buffer} was never sent")))?;
                self.handle(Event::List { scope, entries });
            }
            Line::Event(event) => self.handle(event),
        }
        Ok(false)
    }

    /// Stores a list in its buffer, or keeps it as the partial list if entries are missing.
    fn set_list(&mut self, buffer: usize, missing: usize, entries: Vec<Listing>) {
        if missing > 0 {
            self.partial_list = Some(PartialList { buffer, missing, entries });
            return;
        }
        self.lists.resize(MAX_BUFFER + 1, None);
        self.lists[buffer] = Some(entries.into());
    }

    /// Passes an event to the selected instance and appends its actions to the reply. A panic of the
    /// dispatcher is reported in the reply as a failure of the instance.
    fn handle(&mut self, event: Event) {
        let (Some(now), Some(id)) = (self.now, self.selected) else { return };
        let Some(instance) = self.instances.get_mut(&id) else { return };
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        if (result.is_err() || !self.actions.is_empty()) && self.reply_instance != Some(id) {
            encode_instance(&mut self.reply, id);
            self.reply_instance = Some(id);
        }
        for action in self.actions.drain(..) {
            encode_action(&mut self.reply, &action);
        }
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            encode_failure(&mut self.reply, text);
        }
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut line, mut line_number) = (Vec::new(), 0u64);
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|error| format!("standard input: {error}"))?;
        if read == 0 {
            return Ok(());
        }
        line_number += 1;
        if line.last() == Some(&b'\n') {
            line.pop();
        }
        let text = std::str::from_utf8(&line).map_err(|_| {
            format!("line {line_number}: text: found bytes that are not UTF-8, expected text")
        })?;
        if host.process_line(text).map_err(|error| format!("line {line_number}: {error}"))? {
            let written = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|error| format!("standard output: {error}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("rookspoke-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
