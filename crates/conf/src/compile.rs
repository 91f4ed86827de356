//! Converts lines to a tree of values: looks up each keyword in the table, parses its value, fills in defaults
//! and checks values that depend on each other.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::{json, Map, Value};

use crate::problem::{Problem, Problems};
use crate::resolved::{Origin, Resolved};
use crate::schema::{self, Absent, Keyword, Label, Section, SECTIONS};
use crate::source::{Sources, Span};
use crate::syntax::{self, Line, Word};

/// Maximum number of files in one configuration.
const MAX_FILES: usize = 64;
/// Maximum depth of nested includes.
const MAX_INCLUDE_DEPTH: usize = 8;
/// Maximum number of errors reported at once. A file in another format would otherwise fill many screens.
const MAX_PROBLEMS: usize = 20;

/// A value from the command line or the environment, which takes precedence over the file.
#[derive(Clone, Debug)]
pub struct Override {
    /// A keyword outside of all sections, or `section.keyword` in a section without instance names.
    pub key: String,
    /// The value, written as in a file.
    pub value: String,
    /// Where the value comes from.
    pub origin: Origin,
}

/// Sources of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Input<'a> {
    /// Path of the configuration file.
    pub file: Option<&'a Path>,
    /// The platform's JSON and its path. It takes precedence over the file.
    pub platform: Option<(Value, String)>,
    /// Values that take precedence over both, from the command line or the environment.
    pub overrides: Vec<Override>,
}

/// Reads a configuration and fills in defaults.
///
/// # Errors
/// All errors that were found. A long list is cut off after the first ones.
pub fn compile(input: Input<'_>) -> Result<Resolved, Problems> {
    let mut builder = Builder { has_platform: input.platform.is_some(), ..Builder::default() };
    if let Some((tree, path)) = input.platform {
        builder.add_platform(tree, &path);
    }
    if let Some(path) = input.file {
        match builder.sources.open(path) {
            Ok(file) => {
                let lines = builder.parse_file(file, &mut vec![canonical(path)]);
                builder.top_level(&lines);
            }
            Err(error) => {
                builder.problems.push(Problem::without_span(format!("{}: {error}", path.display())));
            }
        }
    }
    for over in input.overrides {
        builder.add_override(&over);
    }
    // Only after all lines were parsed is it certain that a value is missing rather than invalid.
    if builder.problems.is_empty() {
        builder.fill_defaults();
        builder.check();
    }
    builder.finish()
}

#[derive(Default)]
struct Builder {
    tree: Value,
    origins: BTreeMap<String, Origin>,
    spans: BTreeMap<String, Span>,
    sources: Sources,
    problems: Vec<Problem>,
    warnings: Vec<String>,
    has_platform: bool,
    /// Location of the first line of each section found so far, by section name and instance name.
    first_lines: BTreeMap<(&'static str, Option<String>), Span>,
}

fn canonical(path: &Path) -> PathBuf {
    std::fs::canonicalize(path).unwrap_or_else(|_| path.to_path_buf())
}

impl Builder {
    fn add_platform(&mut self, tree: Value, path: &str) {
        self.tree = tree;
        for section in SECTIONS.iter().filter(|section| section.overridden_by_platform) {
            let list = self.tree.pointer(&format!("/{}", section.path)).and_then(Value::as_array);
            let items: Vec<Option<usize>> = match section.label {
                Label::None => vec![None],
                // The list of log workers is not a setting, and may be long.
                Label::Named("uid") => Vec::new(),
                Label::Named(_) => (0..list.map_or(0, Vec::len)).map(Some).collect(),
            };
            for item in items {
                for keyword in section.keywords {
                    let pointer = section.pointer(item, keyword.path);
                    if self.tree.pointer(&pointer).is_some() {
                        self.origins.insert(pointer, Origin::Platform(path.into()));
                    }
                }
            }
        }
    }

    /// Parses a file and replaces its includes by the lines of the included files.
    fn parse_file(&mut self, file: usize, open_files: &mut Vec<PathBuf>) -> Vec<Line> {
        let text = self.sources.get(file).text.clone();
        let lines = syntax::parse(file, &text, &mut self.problems);
        self.expand(lines, open_files)
    }

    /// Replaces the includes among these lines, also inside sections.
    fn expand(&mut self, lines: Vec<Line>, open_files: &mut Vec<PathBuf>) -> Vec<Line> {
        let mut all = Vec::new();
        for mut line in lines {
            if line.keyword.text == "include" {
                self.include(&line, open_files, &mut all);
                continue;
            }
            line.block = line.block.map(|block| self.expand(block, open_files));
            all.push(line);
        }
        all
    }

    /// Appends the lines of the files that an include matches. `open_files` are the files being expanded.
    fn include(&mut self, line: &Line, open_files: &mut Vec<PathBuf>, all: &mut Vec<Line>) {
        let [pattern] = line.args.as_slice() else {
            let text = format!("found {} values, expected one path or pattern", line.args.len());
            return self.problems.push(Problem::at(line.span(), text));
        };
        if line.block.is_some() {
            return self
                .problems
                .push(Problem::at(line.span(), "found `{` after `include`, expected the end of the line"));
        }
        if open_files.len() > MAX_INCLUDE_DEPTH {
            let text = format!(
                "found includes nested more than {MAX_INCLUDE_DEPTH} deep, expected at most \
                 {MAX_INCLUDE_DEPTH}"
            );
            return self.problems.push(Problem::at(line.span(), text));
        }
        let directory = self.sources.get(line.keyword.span.file).directory.clone();
        let path = directory.join(&pattern.text);
        // A file name may itself contain a pattern character.
        let is_pattern = pattern.text.contains(['*', '?', '[']) && !path.exists();
        let found = match is_pattern {
            false => vec![path],
            true => match glob::glob(&path.to_string_lossy()) {
                // `glob` returns the paths sorted by name, independently of the order in the directory.
                Ok(paths) => {
                    let (found, failed): (Vec<_>, Vec<_>) = paths.partition(Result::is_ok);
                    for error in failed.into_iter().filter_map(Result::err) {
                        let text = format!("cannot list the files for `{}`: {error}", pattern.text);
                        self.problems.push(Problem::at(pattern.span, text));
                    }
                    found.into_iter().filter_map(Result::ok).filter(|path| !path.is_dir()).collect()
                }
                Err(error) => {
                    let text = format!("found `{}`, expected a valid pattern: {error}", pattern.text);
                    return self.problems.push(Problem::at(pattern.span, text));
                }
            },
        };
        for path in found {
            let canonical_path = canonical(&path);
            if open_files.contains(&canonical_path) {
                let text = format!("found an include cycle: `{}` includes itself", path.display());
                self.problems.push(Problem::at(pattern.span, text));
                continue;
            }
            if self.sources.len() >= MAX_FILES {
                let text = format!("found more than {MAX_FILES} files, expected at most {MAX_FILES}");
                return self.problems.push(Problem::at(pattern.span, text));
            }
            match self.sources.open(&path) {
                Ok(file) => {
                    open_files.push(canonical_path);
                    let lines = self.parse_file(file, open_files);
                    open_files.pop();
                    all.extend(lines);
                }
                Err(error) => {
                    let text = format!("{}: {error}", path.display());
                    self.problems.push(Problem::at(pattern.span, text));
                }
            }
        }
    }

    /// Processes the lines outside of all sections.
    fn top_level(&mut self, lines: &[Line]) {
        let top = &SECTIONS[0];
        for line in lines {
            let name = line.keyword.text.as_str();
            match (schema::section(name).filter(|section| !section.name.is_empty()), &line.block) {
                (Some(section), Some(block)) => self.section(section, line, block),
                (Some(section), None) => {
                    let text =
                        format!("`{}` is a section, expected `{{` at the end of its line", section.name);
                    self.problems.push(Problem::at(line.span(), text));
                }
                (None, Some(_)) => {
                    let names = SECTIONS.iter().map(|section| section.name);
                    let text = format!("found the section `{name}`, expected a known section");
                    self.problems.push(Problem::at(line.keyword.span, text).suggest(name, names));
                }
                (None, None) => self.line(top, None, line),
            }
        }
    }

    fn section(&mut self, section: &'static Section, line: &Line, block: &[Line]) {
        let label = match (section.label, line.args.as_slice()) {
            (Label::None, []) => None,
            (Label::None, [extra, ..]) => {
                let text = format!("found `{}`, expected nothing after `{}`", extra.text, section.name);
                return self.problems.push(Problem::at(extra.span, text));
            }
            (Label::Named(_), [name]) => Some(name),
            (Label::Named(_), args) => {
                let text = format!("found {} names, expected one after `{}`", args.len(), section.name);
                return self.problems.push(Problem::at(line.span(), text));
            }
        };
        let key = (section.name, label.map(|word| word.text.clone()));
        if let Some(first) = self.first_lines.insert(key, line.span()) {
            let first = self.sources.location(first);
            let text =
                format!("found `{}` twice, expected it once; the first is at {first}", join_words(line));
            return self.problems.push(Problem::at(line.span(), text));
        }
        let item = match (section.label, label) {
            (Label::Named(field), Some(name)) => {
                let list = format!("/{}", section.path);
                let item = self.tree.pointer(&list).and_then(Value::as_array).map_or(0, Vec::len);
                if !self.is_ignored(section) {
                    let pointer = section.pointer(Some(item), field);
                    self.set(&pointer, json!(name.text), Some(name.span));
                    self.spans.insert(format!("{list}/{item}"), line.span());
                }
                Some(item)
            }
            _ => {
                // An empty section is present in the tree too, since it turns its function on.
                if !self.is_ignored(section) {
                    self.spans.insert(format!("/{}", section.path), line.span());
                    if self.tree.pointer(&format!("/{}", section.path)).is_none() {
                        set_pointer(&mut self.tree, &format!("/{}", section.path), json!({}));
                    }
                }
                None
            }
        };
        if self.is_ignored(section) {
            let location = self.sources.location(line.span());
            self.warnings.push(format!(
                "{location}: `{}` is ignored: the platform's JSON takes precedence",
                join_words(line)
            ));
        }
        block.iter().for_each(|inner| self.line(section, item, inner));
    }

    /// Whether the platform's JSON takes precedence over a section of the file.
    fn is_ignored(&self, section: &Section) -> bool {
        self.has_platform && section.overridden_by_platform
    }

    fn line(&mut self, section: &'static Section, item: Option<usize>, line: &Line) {
        let name = line.keyword.text.as_str();
        let Some(keyword) = section.keyword(name) else {
            return self.problems.push(unknown_keyword(section, &line.keyword));
        };
        if line.block.is_some() {
            let text = format!(
                "found `{{` on the line of the keyword `{name}`, expected its value and the end of the line"
            );
            return self.problems.push(Problem::at(line.span(), text));
        }
        let value = match keyword.kind.parse(&line.keyword, &line.args) {
            Ok(value) => value,
            Err(problem) => return self.problems.push(problem),
        };
        let pointer = section.pointer(item, keyword.path);
        if self.is_ignored(section) {
            if section.name.is_empty() {
                let location = self.sources.location(line.span());
                self.warnings
                    .push(format!("{location}: `{name}` is ignored: the platform's JSON takes precedence"));
            }
            return;
        }
        if let Some(first) = self.spans.get(&pointer) {
            let first = self.sources.location(*first);
            let text = format!("found `{name}` twice, expected it once; the first is at {first}");
            return self.problems.push(Problem::at(line.keyword.span, text));
        }
        self.set(&pointer, value, Some(line.span()));
    }

    fn set(&mut self, pointer: &str, value: Value, span: Option<Span>) {
        set_pointer(&mut self.tree, pointer, value);
        let origin = match span {
            Some(span) => Origin::File(self.sources.location(span)),
            None => Origin::Default,
        };
        self.origins.insert(pointer.into(), origin);
        if let Some(span) = span {
            self.spans.insert(pointer.into(), span);
        }
    }

    fn add_override(&mut self, over: &Override) {
        let name = format!("{} {}", over.origin, over.key);
        let file = self.sources.add_text(&name, &over.value);
        let span = Span { file, start: 0, end: over.value.len() };
        let (section, keyword) = over.key.split_once('.').unwrap_or(("", &over.key));
        let key_word = Word { text: keyword.into(), span };
        let known = schema::section(section).filter(|section| section.label == Label::None);
        let Some(section) = known else {
            let text =
                format!("found the section `{section}`, expected a known section without instance names");
            let names = SECTIONS.iter().filter(|s| s.label == Label::None).map(|s| s.name);
            return self.problems.push(Problem::at(span, text).suggest(section, names));
        };
        let Some(keyword) = section.keyword(keyword) else {
            return self.problems.push(unknown_keyword(section, &key_word));
        };
        // A value of several words is a list, as in a file.
        let mut problems = Vec::new();
        let line = format!("{} {}", keyword.name, over.value);
        let args = syntax::parse(file, &line, &mut problems).pop().map_or_else(Vec::new, |line| line.args);
        let args: Vec<Word> = args.into_iter().map(|word| Word { span, ..word }).collect();
        if !problems.is_empty() {
            return self.problems.push(Problem::at(
                span,
                format!("found `{}`, expected the value of a keyword as in a file", over.value),
            ));
        }
        match keyword.kind.parse(&key_word, &args) {
            Ok(value) => {
                let pointer = section.pointer(None, keyword.path);
                set_pointer(&mut self.tree, &pointer, value);
                self.origins.insert(pointer.clone(), over.origin.clone());
                self.spans.insert(pointer, span);
            }
            Err(problem) => self.problems.push(problem),
        }
    }

    /// Fills in defaults and reports required keywords that are missing.
    fn fill_defaults(&mut self) {
        for section in SECTIONS {
            if self.is_ignored(section) {
                continue;
            }
            let list = self.tree.pointer(&format!("/{}", section.path));
            let items: Vec<Option<usize>> = match section.label {
                // These functions are off unless their section is present.
                Label::None if OPTIONAL.contains(&section.name) && list.is_none() => continue,
                Label::None => vec![None],
                Label::Named(_) => {
                    (0..list.and_then(Value::as_array).map_or(0, Vec::len)).map(Some).collect()
                }
            };
            for item in items {
                for keyword in section.keywords {
                    self.fill_default(section, item, keyword);
                }
            }
        }
        if !self.has_platform {
            self.fill_dependent();
        }
    }

    fn fill_default(&mut self, section: &Section, item: Option<usize>, keyword: &Keyword) {
        let pointer = section.pointer(item, keyword.path);
        if self.tree.pointer(&pointer).is_some() {
            return;
        }
        match keyword.absent {
            Absent::Unset => {}
            Absent::Default(text) => {
                let value = keyword.kind.parse(&Word::synthetic(keyword.name), &[Word::synthetic(text)]);
                // Tests check that every default in the table is valid.
                if let Ok(value) = value {
                    self.set(&pointer, value, None);
                }
            }
            Absent::Required => {
                let inner = match item {
                    Some(item) => format!("/{}/{item}", section.path),
                    None => format!("/{}", section.path),
                };
                let at = self.spans.get(&inner).copied();
                let place =
                    if section.name.is_empty() { String::new() } else { format!(" in `{}`", section.name) };
                let text =
                    format!("`{}` is missing{place}, expected {}", keyword.name, keyword.kind.expected());
                let span = at.or(self.start_of_file());
                self.problems.push(Problem { message: text, span, help: None });
            }
        }
    }

    /// The start of the file, as the location of errors about something missing in it.
    fn start_of_file(&self) -> Option<Span> {
        let is_file = !self.sources.is_empty() && !self.has_platform;
        is_file.then_some(Span { file: 0, start: 0, end: 0 })
    }

    /// Fills in values that are derived from other values.
    fn fill_dependent(&mut self) {
        let text = |tree: &Value, pointer: &str| tree.pointer(pointer).cloned().unwrap_or(Value::Null);
        let zone = text(&self.tree, "/settings/zone");
        if self.tree.pointer("/settings/localities").is_none() {
            self.set("/settings/localities", json!([zone]), None);
        }
        let kind = text(&self.tree, "/settings/machine_types/0");
        let listed = self.tree.pointer("/known/targets").and_then(Value::as_array).map_or(0, Vec::len);
        for item in 0..listed {
            for (field, value) in [("az", &zone), ("model", &kind)] {
                let pointer = format!("/known/targets/{item}/{field}");
                if self.tree.pointer(&pointer).is_none() {
                    self.set(&pointer, value.clone(), None);
                }
            }
        }
        if listed > 0 {
            set_pointer(&mut self.tree, "/known/rev", json!(0));
            set_pointer(&mut self.tree, "/known/all", json!(true));
        }
        let has_discovery = self.tree.pointer("/discovery").is_some();
        set_pointer(
            &mut self.tree,
            "/settings/discovery",
            json!(if has_discovery { "subscribe" } else { "automatic" }),
        );
        if self.tree.pointer("/settings/reporting/fields").is_none() {
            set_pointer(&mut self.tree, "/settings/reporting/fields", json!([]));
        }
        if self.tree.pointer("/settings/projects").is_none() {
            set_pointer(&mut self.tree, "/settings/projects", json!([]));
        }
    }

    /// Checks values that depend on each other.
    fn check(&mut self) {
        if !self.has_platform {
            self.check_platform();
        }
        let has = |pointer: &str| self.tree.pointer(pointer).is_some_and(|value| !value.is_null());
        if has("/faktory/vrrp") && !has("/faktory/listen") {
            let at = self.spans.get("/faktory/vrrp").copied();
            let text =
                "found `vrrp` without `faktory`, expected both: VRRP elects the daemon of a pair that \
                        accepts jobs";
            self.problems.push(Problem { message: text.into(), span: at, help: None });
        }
    }

    fn check_platform(&mut self) {
        let count =
            |tree: &Value, pointer: &str| tree.pointer(pointer).and_then(Value::as_array).map_or(0, Vec::len);
        if count(&self.tree, "/settings/classes") == 0 {
            let message = "found no section `class`, expected at least one".into();
            self.problems.push(Problem { message, span: self.start_of_file(), help: None });
        }
        if self.tree.pointer("/discovery").is_none() && count(&self.tree, "/known/targets") == 0 {
            let message =
                "found neither `discovery` nor a section `worker`, expected one of them: without log workers, \
                           no request can be served";
            self.problems.push(Problem { message: message.into(), span: self.start_of_file(), help: None });
        }
        self.check_listed("/settings/zone", "/settings/localities", "zones");
        for item in 0..count(&self.tree, "/known/targets") {
            self.check_listed(&format!("/known/targets/{item}/az"), "/settings/localities", "zones");
            self.check_listed(&format!("/known/targets/{item}/model"), "/settings/machine_types", "kinds");
        }
        let kinds: Vec<String> = names(&self.tree, "/settings/machine_types");
        let mut class_kinds = Vec::new();
        for item in 0..count(&self.tree, "/settings/classes") {
            let pointer = format!("/settings/classes/{item}/kind");
            self.check_listed(&pointer, "/settings/machine_types", "kinds");
            let kind = self.tree.pointer(&pointer).and_then(Value::as_str);
            let index = kind.and_then(|kind| kinds.iter().position(|name| name == kind));
            class_kinds.push(index.map_or(json!(-1), |index| json!(index)));
        }
        set_pointer(&mut self.tree, "/settings/specifics/class_kind", Value::Array(class_kinds));
        let number = |pointer: &str| self.tree.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
        let (own_number, dispatchers) = (number("/settings/me"), number("/settings/balancers"));
        if own_number >= dispatchers {
            let at = self.spans.get("/settings/me").or(self.spans.get("/settings/balancers")).copied();
            let text =
                format!("found {own_number} for `number`, expected less than `dispatchers` ({dispatchers})");
            self.problems.push(Problem { message: text, span: at, help: None });
        }
    }

    /// Checks that a name occurs in a list that another keyword defines.
    fn check_listed(&mut self, pointer: &str, list: &str, keyword: &str) {
        let Some(name) = self.tree.pointer(pointer).and_then(Value::as_str) else { return };
        let known = names(&self.tree, list);
        if known.iter().any(|listed| listed == name) {
            return;
        }
        let text = format!("found `{name}`, expected one of `{keyword}`: {}", known.join(", "));
        let span = self.spans.get(pointer).copied().or(self.start_of_file());
        let problem = Problem { message: text, span, help: None };
        let problem = problem.suggest(name, known.iter().map(String::as_str));
        self.problems.push(problem);
    }

    fn finish(mut self) -> Result<Resolved, Problems> {
        if self.problems.is_empty() {
            let Builder { tree, origins, spans, sources, warnings, .. } = self;
            return Ok(Resolved { tree, origins, spans, sources, warnings });
        }
        let more = self.problems.len().saturating_sub(MAX_PROBLEMS);
        self.problems.truncate(MAX_PROBLEMS);
        if more > 0 {
            self.problems.push(Problem::without_span(format!("and {more} more errors")));
        }
        Err(Problems::new(self.problems, self.sources))
    }
}

/// Sections whose function is off unless the section is present.
const OPTIONAL: [&str; 3] = ["faktory", "vrrp", "control"];

fn join_words(line: &Line) -> String {
    let words = std::iter::once(&line.keyword).chain(&line.args);
    words.map(|word| word.text.as_str()).collect::<Vec<_>>().join(" ")
}

fn names(tree: &Value, pointer: &str) -> Vec<String> {
    let list = tree.pointer(pointer).and_then(Value::as_array);
    list.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn unknown_keyword(section: &Section, word: &Word) -> Problem {
    let place = match section.name {
        "" => "outside of all sections".to_owned(),
        name => format!("of the section `{name}`"),
    };
    let problem = Problem::at(word.span, format!("found `{}`, expected a keyword {place}", word.text));
    let problem = problem.suggest(&word.text, section.keywords.iter().map(|keyword| keyword.name));
    if problem.help.is_some() {
        return problem;
    }
    let elsewhere = SECTIONS.iter().find(|other| other.keyword(&word.text).is_some());
    match elsewhere {
        Some(other) if !other.name.is_empty() => {
            problem.help(format!("it belongs in the section `{}`", other.name))
        }
        Some(_) => problem.help("it belongs outside of all sections"),
        None => problem,
    }
}

/// Sets the value at a JSON pointer. Missing objects and list items on the path are created.
fn set_pointer(tree: &mut Value, pointer: &str, value: Value) {
    let mut node = tree;
    for part in pointer.split('/').skip(1) {
        node = match (node, part.parse::<usize>()) {
            (Value::Array(list), Ok(index)) => {
                while list.len() <= index {
                    list.push(json!({}));
                }
                &mut list[index]
            }
            (node, Ok(index)) if node.is_null() || node.as_object().is_some_and(Map::is_empty) => {
                *node = Value::Array(vec![json!({}); index + 1]);
                &mut node[index]
            }
            (node, _) => {
                if !node.is_object() {
                    *node = json!({});
                }
                &mut node[part]
            }
        };
    }
    *node = value;
}
