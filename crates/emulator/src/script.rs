//! Scripts: a scenario in lines, in the grammar of the project's configuration.
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

use rookspoke_conf::{parse, Line, Problem, Problems, Sources, Span as Place, Word};
use rookspoke_decisions::Span;

use crate::scenario::{
    defaults, find_param, to_number, Class, Endpoint, Environment, Faults, Incident, IncidentKind,
    LinkIncident, Scenario, CLASS_PARAMS, INCIDENT_KINDS, PARAMS,
};

/// Reads a script from a file, to be played on this stage.
///
/// # Errors
/// All that is wrong with it, each with its line; what this stage cannot play is wrong, too.
pub fn read(path: &Path, environment: Environment) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    match sources.open(path) {
        Ok(_) => of(sources, environment),
        Err(error) => {
            Err(Problems::new(vec![Problem::general(format!("{}: {error}", path.display()))], sources))
        }
    }
}

/// Reads a script from a text.
///
/// # Errors
/// As [`read`].
pub fn read_text(name: &str, text: &str, environment: Environment) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    sources.add_text(name, text);
    of(sources, environment)
}

fn of(sources: Sources, environment: Environment) -> Result<Scenario, Problems> {
    let mut problems = Vec::new();
    let lines = parse(0, &sources.get(0).text, &mut problems);
    let mut scenario = Scenario::default();
    let mut own_classes = Vec::new();
    let mut incidents: Vec<Incident> = Vec::new();
    let mut places: Vec<(Span, Place)> = Vec::new();
    let mut checks: Vec<(usize, Place)> = Vec::new();
    let mut seen: Vec<&'static str> = Vec::new();
    for line in &lines {
        let result = match (line.keyword.text.as_str(), &line.block) {
            ("class", Some(block)) => class(line, block, &mut problems).map(|class| own_classes.push(class)),
            ("incident", None) if is_link(line) => {
                let number = scenario.link_incidents.len();
                disturbance(line, environment).map(|one| {
                    places.push((one.at, line.span()));
                    checks.push((number, line.span()));
                    scenario.link_incidents.push(one);
                })
            }
            ("incident", None) => incident(line, environment).map(|one| {
                places.push((one.at, line.span()));
                incidents.push(one);
            }),
            (_, None) => parameter(line, &mut scenario, &mut seen, environment),
            (name, Some(_)) => {
                let text = format!("found the section `{name}`, expected `class NAME`");
                Err(Problem::at(line.keyword.span, text))
            }
        };
        problems.extend(result.err());
    }
    if !own_classes.is_empty() {
        scenario.classes = own_classes;
    }
    let length = scenario.span("length");
    for (at, place) in places.iter().filter(|(at, _)| *at >= length) {
        let (at, length) = (at.secs(), length.secs());
        let text = format!("found an incident at {at}s, but clients send for {length}s only");
        problems.push(Problem::at(*place, text));
    }
    for (number, place) in checks {
        let ways = &scenario.link_incidents[number];
        let nobody = [ways.from, ways.to].into_iter().find_map(|party| nobody(&scenario, party));
        problems.extend(nobody.map(|text| Problem::at(place, text)));
    }
    if scenario.classes.iter().all(|class| class.get("share") == 0.0) {
        problems.push(Problem::general("every class has the share 0, expected one that has jobs"));
    }
    scenario.incidents = incidents;
    match problems.is_empty() {
        true => Ok(scenario),
        false => Err(Problems::new(problems, sources)),
    }
}

fn parameter(
    line: &Line,
    scenario: &mut Scenario,
    seen: &mut Vec<&'static str>,
    environment: Environment,
) -> Result<(), Problem> {
    let name = line.keyword.text.as_str();
    let Some(param) = find_param(PARAMS, name) else {
        let text = format!("found `{name}`, which is no parameter");
        let known = PARAMS.iter().map(|param| param.name).chain(["class", "incident"]);
        return Err(Problem::at(line.keyword.span, text).nearest(name, known));
    };
    if !environment.supports_parameter(param.name) {
        let text = format!("found `{name}`, which real processes cannot play; use `incident link`");
        return Err(Problem::at(line.keyword.span, text));
    }
    if seen.contains(&param.name) {
        return Err(Problem::at(line.keyword.span, format!("`{name}` comes twice")));
    }
    seen.push(param.name);
    let value = param.kind.read(&line.keyword, &line.args)?;
    scenario.values.insert(param.name, to_number(&value));
    Ok(())
}

fn class(line: &Line, block: &[Line], problems: &mut Vec<Problem>) -> Result<Class, Problem> {
    let [name] = line.args.as_slice() else {
        return Err(Problem::at(line.span(), "expected one name after `class`"));
    };
    let mut class = Class { name: name.text.clone(), values: defaults(CLASS_PARAMS) };
    for inner in block {
        let word = inner.keyword.text.as_str();
        let Some(param) = find_param(CLASS_PARAMS, word) else {
            let text = format!("found `{word}`, which is no parameter of a class");
            let known = CLASS_PARAMS.iter().map(|param| param.name);
            problems.push(Problem::at(inner.keyword.span, text).nearest(word, known));
            continue;
        };
        match param.kind.read(&inner.keyword, &inner.args) {
            Ok(value) => drop(class.values.insert(param.name, to_number(&value))),
            Err(problem) => problems.push(problem),
        }
    }
    Ok(class)
}

/// `incident KIND at TIME [for TIME] [part PART] [size NUMBER]`
fn incident(line: &Line, environment: Environment) -> Result<Incident, Problem> {
    let mut words = line.args.iter();
    let Some(kind) = words.next() else {
        return Err(Problem::at(line.span(), "expected a kind after `incident`"));
    };
    let Some((name, incident_kind)) = INCIDENT_KINDS.iter().find(|(name, _)| *name == kind.text) else {
        let text = format!("found `{}`, which is no kind of incident", kind.text);
        let known = INCIDENT_KINDS.iter().map(|(name, _)| *name).chain([LINK]);
        return Err(Problem::at(kind.span, text).nearest(&kind.text, known));
    };
    if !environment.supports_incident(*incident_kind) {
        let text = format!("found `{name}`, which the emulator cannot play; `rehearse` plays it");
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut size) = (None, None, None, None);
    while let Some(word) = words.next() {
        let (kind, place) = match word.text.as_str() {
            "at" => (crate::scenario::INCIDENT_TIME, &mut at),
            "for" => (crate::scenario::INCIDENT_TIME, &mut length),
            "part" => (crate::scenario::INCIDENT_PART, &mut part),
            "size" => (crate::scenario::INCIDENT_SIZE, &mut size),
            other => {
                let text = format!("found `{other}`, expected `at`, `for`, `part` or `size`");
                return Err(Problem::at(word.span, text).nearest(other, ["at", "for", "part", "size"]));
            }
        };
        put(place, value(kind, word, words.next())?, word)?;
    }
    let Some(at) = at else {
        return Err(Problem::at(line.span(), "expected `at TIME`"));
    };
    let usual = usual(*incident_kind);
    Ok(Incident {
        kind: *incident_kind,
        at: Span::from_ms(at),
        length: Span::from_ms(length.unwrap_or(usual.0)),
        part: part.unwrap_or(usual.1),
        size: size.unwrap_or(usual.2),
    })
}

/// The kind of incident that disturbs a way.
const LINK: &str = "link";

fn is_link(line: &Line) -> bool {
    line.args.first().is_some_and(|word| word.text == LINK)
}

/// The value after a word.
fn value(kind: rookspoke_conf::Kind, word: &Word, value: Option<&Word>) -> Result<f64, Problem> {
    let value: Vec<Word> = value.into_iter().cloned().collect();
    Ok(to_number(&kind.read(word, &value)?))
}

fn put<T>(place: &mut Option<T>, value: T, word: &Word) -> Result<(), Problem> {
    match place.replace(value) {
        Some(_) => Err(Problem::at(word.span, format!("`{}` comes twice", word.text))),
        None => Ok(()),
    }
}

/// `incident link at TIME for TIME from PARTY to PARTY [part PART] FAULT... [back FAULT...]`
fn disturbance(line: &Line, environment: Environment) -> Result<LinkIncident, Problem> {
    let kind = &line.args[0];
    if environment == Environment::Emulator {
        let text = "found `link`, which the emulator cannot play; `rehearse` plays it";
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut from, mut to) = (None, None, None, None, None);
    let (mut there, mut back, mut is_back, mut any) = (Faults::default(), Faults::default(), false, false);
    let mut words = line.args[1..].iter();
    while let Some(word) = words.next() {
        match word.text.as_str() {
            "at" => put(&mut at, value(crate::scenario::INCIDENT_TIME, word, words.next())?, word)?,
            "for" => put(&mut length, value(crate::scenario::INCIDENT_TIME, word, words.next())?, word)?,
            "part" => put(&mut part, value(crate::scenario::INCIDENT_PART, word, words.next())?, word)?,
            "from" => put(&mut from, party(word, words.next())?, word)?,
            "to" => put(&mut to, party(word, words.next())?, word)?,
            "back" => is_back = true,
            _ => {
                let faults = if is_back { &mut back } else { &mut there };
                fault(faults, word, &mut words)?;
                any = true;
            }
        }
    }
    let missing = |what: &str| Problem::at(line.span(), format!("expected {what}"));
    let (from, to) = (from.ok_or_else(|| missing("`from PARTY`"))?, to.ok_or_else(|| missing("`to PARTY`"))?);
    if !is_way(from, to) {
        let text =
            "no way leads from the first to the second: clients speak to dispatchers, and dispatchers to \
                    discovery and to log workers";
        return Err(Problem::at(line.span(), text));
    }
    if !any {
        return Err(missing(FAULTS));
    }
    Ok(LinkIncident {
        at: Span::from_ms(at.ok_or_else(|| missing("`at TIME`"))?),
        length: Span::from_ms(length.ok_or_else(|| missing("`for TIME`"))?),
        from,
        to,
        part: part.unwrap_or(1.0),
        forward: there,
        backward: back,
    })
}

const FAULTS: &str =
    "`delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`";

fn fault<'a>(
    faults: &mut Faults,
    word: &Word,
    words: &mut impl Iterator<Item = &'a Word>,
) -> Result<(), Problem> {
    let mut number = |kind| value(kind, word, words.next());
    match word.text.as_str() {
        "cut" => faults.cut = true,
        "refuse" => faults.refuse = true,
        "delay" => faults.delay = Span::from_ms(number(crate::scenario::INCIDENT_TIME)?),
        "jitter" => faults.jitter = Span::from_ms(number(crate::scenario::INCIDENT_TIME)?),
        "rate" => faults.rate = number(crate::scenario::INCIDENT_SIZE)?,
        "reset-at" => faults.reset_at = number(crate::scenario::INCIDENT_SIZE)?,
        "loss" => faults.loss = number(crate::scenario::INCIDENT_PART)?,
        "duplicate" => faults.duplicate = number(crate::scenario::INCIDENT_PART)?,
        "reorder" => faults.reorder = number(crate::scenario::INCIDENT_PART)?,
        other => {
            let text = format!("found `{other}`, expected {FAULTS}");
            let known =
                ["delay", "jitter", "cut", "refuse", "rate", "reset-at", "loss", "duplicate", "reorder"];
            return Err(Problem::at(word.span, text).nearest(other, known));
        }
    }
    Ok(())
}

const PARTIES: &str =
    "`clients`, `discovery`, `dispatchers`, `dispatchers.z0`, `n0`, `workers`, `workers.z0` or `w0`";

/// Who is meant: everybody of a kind, those of a zone, or one by number.
fn party(word: &Word, name: Option<&Word>) -> Result<Endpoint, Problem> {
    let Some(name) = name else {
        return Err(Problem::at(word.span, format!("expected {PARTIES} after `{}`", word.text)));
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
    found.ok_or_else(|| Problem::at(name.span, format!("found `{}`, expected {PARTIES}", name.text)))
}

fn is_way(from: Endpoint, to: Endpoint) -> bool {
    let dispatches = |party| matches!(party, Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_));
    match to {
        Endpoint::Clients => false,
        Endpoint::Discovery | Endpoint::Workers(_) | Endpoint::Worker(_) => dispatches(from),
        Endpoint::Dispatchers(_) | Endpoint::Dispatcher(_) => from == Endpoint::Clients,
    }
}

/// Says who is meant that does not exist.
fn nobody(scenario: &Scenario, party: Endpoint) -> Option<String> {
    let beyond = |number: usize, of: &str| {
        let most = scenario.count(of);
        (number >= most).then(|| format!("found number {number} of the {of}, expected less than {most}"))
    };
    match party {
        Endpoint::Clients | Endpoint::Discovery | Endpoint::Dispatchers(None) | Endpoint::Workers(None) => {
            None
        }
        Endpoint::Dispatchers(Some(zone)) | Endpoint::Workers(Some(zone)) => beyond(zone, "zones"),
        Endpoint::Dispatcher(number) => beyond(number, "dispatchers"),
        Endpoint::Worker(number) => beyond(number, "workers"),
    }
}

/// What holds where a line does not say: length in milliseconds, part, size.
fn usual(kind: IncidentKind) -> (f64, f64, f64) {
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
