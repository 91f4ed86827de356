//! Hosts dispatchers on the drill's wire: batches on standard input, replies on standard output.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use rookspoke_decisions::Dispatcher;
use rookspoke_decisions::{Action, Event, ListScope, Listing, Time};
use rookspoke_wire::{
    encode_action, encode_fault, encode_instance, parse_line, parse_listing, parse_settings, Line,
    Vocabulary, WireError,
};

/// Numbered lists go from 0 to this.
const LAST_SHEET: usize = 15;

struct Instance {
    dispatcher: Dispatcher,
    words: Vocabulary,
}

#[derive(Default)]
struct Host {
    now: Option<Time>,
    who: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    sheets: Vec<Option<Arc<[Listing]>>>,
    filling: Option<(usize, usize, Vec<Listing>)>,
    actions: Vec<Action>,
    named: Option<u64>,
    reply: String,
}

impl Host {
    /// Takes one line; true when the reply is complete.
    fn take(&mut self, line: &str) -> Result<bool, WireError> {
        if let Some((number, left, mut entries)) = self.filling.take() {
            entries.push(parse_listing(line)?);
            self.fill(number, left - 1, entries);
            return Ok(false);
        }
        let words = self.who.and_then(|who| self.instances.get(&who)).map(|i| &i.words);
        match parse_line(line, words)? {
            Line::Batch(now) if self.now.is_none() => {
                self.now = Some(now);
                (self.who, self.named) = (None, None);
            }
            Line::Batch(_) => return Err(WireError::new("batch", "inside a batch")),
            _ if self.now.is_none() => return Err(WireError::new("batch", "missing before other lines")),
            Line::Flush => {
                self.now = None;
                self.reply.push_str("eor\n");
                return Ok(true);
            }
            Line::At(who) => self.who = Some(who),
            Line::Born(seed, pairs) => {
                let who = self.who.ok_or_else(|| WireError::new("at", "missing before born"))?;
                let (settings, words) = parse_settings(pairs)?;
                let dispatcher = Dispatcher::new(settings, seed).map_err(|e| {
                    WireError::new(e.setting, format!("{} (expected {})", e.found, e.expected))
                })?;
                self.instances.insert(who, Instance { dispatcher, words });
            }
            Line::Exit => {
                self.who.and_then(|who| self.instances.remove(&who));
            }
            Line::Sheet(number, _) if number > LAST_SHEET => {
                return Err(WireError::new("buffer", number.to_string()));
            }
            Line::Sheet(number, lines) => self.fill(number, lines, Vec::new()),
            Line::Directory(ListScope::Failed, _) => {
                self.decide(Event::List { scope: ListScope::Failed, entries: Arc::new([]) });
            }
            Line::Directory(scope, number) => {
                let sheet = self.sheets.get(number).cloned().flatten();
                let entries =
                    sheet.ok_or_else(|| WireError::new("buffer", format!("list {number} was never sent")))?;
                self.decide(Event::List { scope, entries });
            }
            Line::Event(event) => self.decide(event),
        }
        Ok(false)
    }

    fn fill(&mut self, number: usize, left: usize, entries: Vec<Listing>) {
        if left > 0 {
            self.filling = Some((number, left, entries));
            return;
        }
        self.sheets.resize(LAST_SHEET + 1, None);
        self.sheets[number] = Some(entries.into());
    }

    fn decide(&mut self, event: Event) {
        let (Some(now), Some(who)) = (self.now, self.who) else { return };
        let Some(instance) = self.instances.get_mut(&who) else { return };
        let actions = &mut self.actions;
        let run = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        if (run.is_err() || !self.actions.is_empty()) && self.named != Some(who) {
            encode_instance(&mut self.reply, who);
            self.named = Some(who);
        }
        for action in self.actions.drain(..) {
            encode_action(&mut self.reply, &action);
        }
        if let Err(panic) = run {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            encode_fault(&mut self.reply, text);
        }
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut line, mut number) = (Vec::new(), 0u64);
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        number += 1;
        if line.last() == Some(&b'\n') {
            line.pop();
        }
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: text: not UTF-8"))?;
        if host.take(text).map_err(|e| format!("line {number}: {e}"))? {
            let written = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|e| format!("standard output: {e}"))?;
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
