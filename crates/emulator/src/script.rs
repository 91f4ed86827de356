//! Parser of scenario scripts. They share the grammar of the configuration file: a keyword with arguments per line.
//!
//! ```text
//! workers 40
//! worker.slots 8
//! class log-lookup {
//!     work 900ms
//! }
//! incident crash at 10s for 15s part 0.25
//! ```

use std::path::Path;

use rookspoke_conf::{parse, Line, Problem, Problems, Sources, Span as SourceSpan, Word};
use rookspoke_decisions::Span;

use crate::scenario::{
    defaults, find_param, to_number, Class, Endpoint, Environment, Faults, Incident, IncidentKind,
    LinkIncident, Scenario, CLASS_PARAMS, INCIDENT_KINDS, INCIDENT_PART, INCIDENT_SIZE, INCIDENT_TIME,
    PARAMS,
};

/// Reads a script from a file, for use in this environment.
///
/// # Errors
/// Every problem of the script with its line, among them whatever the environment cannot run.
pub fn read(path: &Path, environment: Environment) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    match sources.open(path) {
        Ok(_) => parse_script(sources, environment),
        Err(error) => {
            Err(Problems::new(vec![Problem::without_span(format!("{}: {error}", path.display()))], sources))
        }
    }
}

/// Parses a script. `name` stands for the file in the problems' locations.
///
/// # Errors
/// As [`read`].
pub fn read_text(name: &str, text: &str, environment: Environment) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    sources.add_text(name, text);
    parse_script(sources, environment)
}

fn parse_script(sources: Sources, environment: Environment) -> Result<Scenario, Problems> {
    let mut problems = Vec::new();
    let lines = parse(0, &sources.get(0).text, &mut problems);
    let mut scenario = Scenario::default();
    let mut script_classes = Vec::new();
    let mut incidents: Vec<Incident> = Vec::new();
    let mut starts: Vec<(Span, SourceSpan)> = Vec::new();
    let mut endpoint_checks: Vec<(usize, SourceSpan)> = Vec::new();
    let mut seen_parameters: Vec<&'static str> = Vec::new();
    for line in &lines {
        let result = match (line.keyword.text.as_str(), &line.block) {
            ("class", Some(block)) => {
                parse_class(line, block, &mut problems).map(|class| script_classes.push(class))
            }
            ("incident", None) if is_link(line) => {
                let number = scenario.link_incidents.len();
                parse_link_incident(line, environment).map(|link_incident| {
                    starts.push((link_incident.at, line.span()));
                    endpoint_checks.push((number, line.span()));
                    scenario.link_incidents.push(link_incident);
                })
            }
            ("incident", None) => parse_incident(line, environment).map(|incident| {
                starts.push((incident.at, line.span()));
                incidents.push(incident);
            }),
            (_, None) => parse_parameter(line, &mut scenario, &mut seen_parameters, environment),
            (name, Some(_)) => {
                let text = format!("found the section `{name}`, expected `class NAME`");
                Err(Problem::at(line.keyword.span, text))
            }
        };
        problems.extend(result.err());
    }
    if !script_classes.is_empty() {
        scenario.classes = script_classes;
    }
    let length = scenario.span("length");
    for (at, span) in starts.iter().filter(|(at, _)| *at >= length) {
        let (at, length) = (at.secs(), length.secs());
        let text = format!("found an incident at {at}s, but clients send for {length}s only");
        problems.push(Problem::at(*span, text));
    }
    for (number, span) in endpoint_checks {
        let incident = &scenario.link_incidents[number];
        let missing =
            [incident.from, incident.to].into_iter().find_map(|end| missing_endpoint(&scenario, end));
        problems.extend(missing.map(|text| Problem::at(span, text)));
    }
    if scenario.classes.iter().all(|class| class.get("share") == 0.0) {
        problems.push(Problem::without_span(
            "found the share 0 in every class, expected at least one class with a share above 0",
        ));
    }
    scenario.incidents = incidents;
    match problems.is_empty() {
        true => Ok(scenario),
        false => Err(Problems::new(problems, sources)),
    }
}

fn parse_parameter(
    line: &Line,
    scenario: &mut Scenario,
    seen_parameters: &mut Vec<&'static str>,
    environment: Environment,
) -> Result<(), Problem> {
    let name = line.keyword.text.as_str();
    let Some(param) = find_param(PARAMS, name) else {
        let text = format!("found `{name}`, which is no parameter");
        let known = PARAMS.iter().map(|param| param.name).chain(["class", "incident"]);
        return Err(Problem::at(line.keyword.span, text).suggest(name, known));
    };
    if !environment.supports_parameter(param.name) {
        let text = format!("found `{name}`, which does not apply to real processes; use `incident link`");
        return Err(Problem::at(line.keyword.span, text));
    }
    if seen_parameters.contains(&param.name) {
        return Err(Problem::at(line.keyword.span, format!("`{name}` is given twice")));
    }
    seen_parameters.push(param.name);
    let value = param.kind.parse(&line.keyword, &line.args)?;
    scenario.values.insert(param.name, to_number(&value));
    Ok(())
}

fn parse_class(line: &Line, block: &[Line], problems: &mut Vec<Problem>) -> Result<Class, Problem> {
    let [name] = line.args.as_slice() else {
        return Err(Problem::at(line.span(), "expected one name after `class`"));
    };
    let mut class = Class { name: name.text.clone(), values: defaults(CLASS_PARAMS) };
    for inner in block {
        let word = inner.keyword.text.as_str();
        let Some(param) = find_param(CLASS_PARAMS, word) else {
            let text = format!("found `{word}`, which is no parameter of a class");
            let known = CLASS_PARAMS.iter().map(|param| param.name);
            problems.push(Problem::at(inner.keyword.span, text).suggest(word, known));
            continue;
        };
        match param.kind.parse(&inner.keyword, &inner.args) {
            Ok(value) => drop(class.values.insert(param.name, to_number(&value))),
            Err(problem) => problems.push(problem),
        }
    }
    Ok(class)
}

/// Parses `incident KIND at TIME [for TIME] [part PART] [size NUMBER]`.
fn parse_incident(line: &Line, environment: Environment) -> Result<Incident, Problem> {
    let mut words = line.args.iter();
    let Some(kind) = words.next() else {
        return Err(Problem::at(line.span(), "expected a kind after `incident`"));
    };
    let Some((name, incident_kind)) = INCIDENT_KINDS.iter().find(|(name, _)| *name == kind.text) else {
        let text = format!("found `{}`, which is no kind of incident", kind.text);
        let known = INCIDENT_KINDS.iter().map(|(name, _)| *name).chain([LINK]);
        return Err(Problem::at(kind.span, text).suggest(&kind.text, known));
    };
    if !environment.supports_incident(*incident_kind) {
        let text = format!("found `{name}`, which the emulator does not support; use `rehearse`");
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut size) = (None, None, None, None);
    while let Some(word) = words.next() {
        let (kind, field) = match word.text.as_str() {
            "at" => (INCIDENT_TIME, &mut at),
            "for" => (INCIDENT_TIME, &mut length),
            "part" => (INCIDENT_PART, &mut part),
            "size" => (INCIDENT_SIZE, &mut size),
            other => {
                let text = format!("found `{other}`, expected `at`, `for`, `part` or `size`");
                return Err(Problem::at(word.span, text).suggest(other, ["at", "for", "part", "size"]));
            }
        };
        set_once(field, parse_value(kind, word, words.next())?, word)?;
    }
    let Some(at) = at else {
        return Err(Problem::at(line.span(), "expected `at TIME`"));
    };
    let (default_length, default_part, default_size) = incident_defaults(*incident_kind);
    Ok(Incident {
        kind: *incident_kind,
        at: Span::from_ms(at),
        length: Span::from_ms(length.unwrap_or(default_length)),
        part: part.unwrap_or(default_part),
        size: size.unwrap_or(default_size),
    })
}

/// The kind of incident that injects faults on a route.
const LINK: &str = "link";

fn is_link(line: &Line) -> bool {
    line.args.first().is_some_and(|word| word.text == LINK)
}

/// Parses the value after a keyword.
fn parse_value(kind: rookspoke_conf::Kind, word: &Word, value: Option<&Word>) -> Result<f64, Problem> {
    let value: Vec<Word> = value.into_iter().cloned().collect();
    Ok(to_number(&kind.parse(word, &value)?))
}

fn set_once<T>(field: &mut Option<T>, value: T, word: &Word) -> Result<(), Problem> {
    match field.replace(value) {
        Some(_) => Err(Problem::at(word.span, format!("`{}` is given twice", word.text))),
        None => Ok(()),
    }
}

/// Parses `incident link at TIME for TIME from ENDPOINT to ENDPOINT [part PART] FAULT... [back FAULT...]`.
fn parse_link_incident(line: &Line, environment: Environment) -> Result<LinkIncident, Problem> {
    let kind = &line.args[0];
    if environment == Environment::Emulator {
        let text = "found `link`, which the emulator does not support; use `rehearse`";
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut from, mut to) = (None, None, None, None, None);
    let (mut forward, mut backward) = (Faults::default(), Faults::default());
    let (mut is_back, mut has_faults) = (false, false);
    let mut words = line.args[1..].iter();
    while let Some(word) = words.next() {
        match word.text.as_str() {
            "at" => set_once(&mut at, parse_value(INCIDENT_TIME, word, words.next())?, word)?,
            "for" => set_once(&mut length, parse_value(INCIDENT_TIME, word, words.next())?, word)?,
            "part" => set_once(&mut part, parse_value(INCIDENT_PART, word, words.next())?, word)?,
            "from" => set_once(&mut from, parse_endpoint(word, words.next())?, word)?,
            "to" => set_once(&mut to, parse_endpoint(word, words.next())?, word)?,
            "back" => is_back = true,
            _ => {
                let faults = if is_back { &mut backward } else { &mut forward };
                parse_fault(faults, word, &mut words)?;
                has_faults = true;
            }
        }
    }
    let missing = |what: &str| Problem::at(line.span(), format!("expected {what}"));
    let (from, to) =
        (from.ok_or_else(|| missing("`from ENDPOINT`"))?, to.ok_or_else(|| missing("`to ENDPOINT`"))?);
    if !is_route(from, to) {
        let text =
            "found no route between these endpoints: clients connect to dispatchers, and dispatchers to \
                    discovery and to log workers";
        return Err(Problem::at(line.span(), text));
    }
    if !has_faults {
        return Err(missing(FAULTS));
    }
    Ok(LinkIncident {
        at: Span::from_ms(at.ok_or_else(|| missing("`at TIME`"))?),
        length: Span::from_ms(length.ok_or_else(|| missing("`for TIME`"))?),
        from,
        to,
        part: part.unwrap_or(1.0),
        forward,
        backward,
    })
}

const FAULTS: &str =
    "`delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`";

/// Parses one fault of a link: a keyword, and its value if it takes one.
fn parse_fault<'a>(
    faults: &mut Faults,
    word: &Word,
    words: &mut impl Iterator<Item = &'a Word>,
) -> Result<(), Problem> {
    let mut number = |kind| parse_value(kind, word, words.next());
    match word.text.as_str() {
        "cut" => faults.cut = true,
        "refuse" => faults.refuse = true,
        "delay" => faults.delay = Span::from_ms(number(INCIDENT_TIME)?),
        "jitter" => faults.jitter = Span::from_ms(number(INCIDENT_TIME)?),
        "rate" => faults.rate = number(INCIDENT_SIZE)?,
        "reset-at" => faults.reset_at = number(INCIDENT_SIZE)?,
        "loss" => faults.loss = number(INCIDENT_PART)?,
        "duplicate" => faults.duplicate = number(INCIDENT_PART)?,
        "reorder" => faults.reorder = number(INCIDENT_PART)?,
        other => {
            let text = format!("found `{other}`, expected {FAULTS}");
            let known =
                ["delay", "jitter", "cut", "refuse", "rate", "reset-at", "loss", "duplicate", "reorder"];
            return Err(Problem::at(word.span, text).suggest(other, known));
        }
    }
    Ok(())
}

const ENDPOINTS: &str =
    "`clients`, `discovery`, `dispatchers`, `dispatchers.z0`, `n0`, `workers`, `workers.z0` or `w0`";

/// Parses an endpoint: all of a kind, those of one zone, or one by its number.
fn parse_endpoint(word: &Word, name: Option<&Word>) -> Result<Endpoint, Problem> {
    let Some(name) = name else {
        return Err(Problem::at(word.span, format!("expected {ENDPOINTS} after `{}`", word.text)));
    };
    let number = |prefix: &str| name.text.strip_prefix(prefix).and_then(|digits| digits.parse().ok());
    let found = match name.text.as_str() {
        "clients" => Some(Endpoint::Clients),
        "discovery" => Some(Endpoint::Discovery),
        "dispatchers" => Some(Endpoint::Dispatchers(None)),
        "workers" => Some(Endpoint::Workers(None)),
        _ => number("dispatchers.z")
            .map(|zone| Endpoint::Dispatchers(Some(zone)))
            .or_else(|| number("workers.z").map(|zone| Endpoint::Workers(Some(zone))))
            .or_else(|| number("n").map(Endpoint::Dispatcher))
            .or_else(|| number("w").map(Endpoint::Worker)),
    };
    found.ok_or_else(|| Problem::at(name.span, format!("found `{}`, expected {ENDPOINTS}", name.text)))
}

fn is_route(from: Endpoint, to: Endpoint) -> bool {
    let is_dispatcher = |endpoint| matches!(endpoint, Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_));
    match to {
        Endpoint::Clients => false,
        Endpoint::Discovery | Endpoint::Workers(_) | Endpoint::Worker(_) => is_dispatcher(from),
        Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_) => from == Endpoint::Clients,
    }
}

/// Describes the endpoint if the scenario has no zone, dispatcher or log worker of its number.
fn missing_endpoint(scenario: &Scenario, endpoint: Endpoint) -> Option<String> {
    let out_of_range = |number: usize, parameter: &str| {
        let count = scenario.count(parameter);
        (number >= count)
            .then(|| format!("found number {number} of the {parameter}, expected less than {count}"))
    };
    match endpoint {
        Endpoint::Clients | Endpoint::Discovery | Endpoint::Dispatchers(None) | Endpoint::Workers(None) => {
            None
        }
        Endpoint::Dispatchers(Some(zone)) | Endpoint::Workers(Some(zone)) => out_of_range(zone, "zones"),
        Endpoint::Dispatcher(number) => out_of_range(number, "dispatchers"),
        Endpoint::Worker(number) => out_of_range(number, "workers"),
    }
}

/// Defaults of an incident: length in milliseconds, part and size.
fn incident_defaults(kind: IncidentKind) -> (f64, f64, f64) {
    match kind {
        IncidentKind::Crash | IncidentKind::Silent => (15_000.0, 0.25, 0.0),
        IncidentKind::Slow => (20_000.0, 0.2, 5.0),
        IncidentKind::Neighbour => (25_000.0, 0.4, 0.5),
        IncidentKind::ReportsLate => (15_000.0, 1.0, 3.0),
        IncidentKind::Costly => (15_000.0, 0.02, 15.0),
        IncidentKind::Resets => (10_000.0, 1.0, 0.2),
        IncidentKind::ZoneCut => (10_000.0, 1.0, 0.0),
        IncidentKind::DiscoveryGone => (15_000.0, 1.0, 0.0),
        IncidentKind::Rolling => (30_000.0, 1.0, 3.0),
        IncidentKind::Pause => (2_000.0, 0.25, 0.0),
        IncidentKind::HostPause => (3_000.0, 0.5, 0.0),
        IncidentKind::DiscoverySilent | IncidentKind::DiscoveryOld => (15_000.0, 1.0, 0.0),
        IncidentKind::Slowed => (10_000.0, 0.25, 0.5),
        IncidentKind::Kill => (2_000.0, 0.5, 0.0),
        IncidentKind::Restart => (20_000.0, 1.0, 0.0),
    }
}
