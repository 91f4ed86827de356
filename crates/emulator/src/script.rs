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
    defaults, find, plain, Class, Incident, Scenario, Trouble, CLASS_PARAMS, PARAMS, TROUBLES,
};

/// Reads a script from a file.
///
/// # Errors
/// All that is wrong with it, each with its line.
pub fn read(path: &Path) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    match sources.open(path) {
        Ok(_) => of(sources),
        Err(error) => {
            Err(Problems::new(vec![Problem::general(format!("{}: {error}", path.display()))], sources))
        }
    }
}

/// Reads a script from a text.
///
/// # Errors
/// As [`read`].
pub fn read_text(name: &str, text: &str) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    sources.add_text(name, text);
    of(sources)
}

fn of(sources: Sources) -> Result<Scenario, Problems> {
    let mut problems = Vec::new();
    let lines = parse(0, &sources.get(0).text, &mut problems);
    let mut scenario = Scenario::default();
    let mut own_classes = Vec::new();
    let mut incidents: Vec<(Incident, Place)> = Vec::new();
    let mut seen: Vec<&'static str> = Vec::new();
    for line in &lines {
        let result = match (line.keyword.text.as_str(), &line.block) {
            ("class", Some(block)) => class(line, block, &mut problems).map(|class| own_classes.push(class)),
            ("incident", None) => incident(line).map(|one| incidents.push((one, line.span()))),
            (_, None) => parameter(line, &mut scenario, &mut seen),
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
    for (incident, place) in &incidents {
        if incident.at >= length {
            let text = format!(
                "found an incident at {}s, but clients send for {}s only",
                incident.at.secs(),
                length.secs()
            );
            problems.push(Problem::at(*place, text));
        }
    }
    if scenario.classes.iter().all(|class| class.get("share") == 0.0) {
        problems.push(Problem::general("every class has the share 0, expected one that has jobs"));
    }
    scenario.incidents = incidents.into_iter().map(|(incident, _)| incident).collect();
    match problems.is_empty() {
        true => Ok(scenario),
        false => Err(Problems::new(problems, sources)),
    }
}

fn parameter(line: &Line, scenario: &mut Scenario, seen: &mut Vec<&'static str>) -> Result<(), Problem> {
    let name = line.keyword.text.as_str();
    let Some(param) = find(PARAMS, name) else {
        let text = format!("found `{name}`, which is no parameter");
        let known = PARAMS.iter().map(|param| param.name).chain(["class", "incident"]);
        return Err(Problem::at(line.keyword.span, text).nearest(name, known));
    };
    if seen.contains(&param.name) {
        return Err(Problem::at(line.keyword.span, format!("`{name}` comes twice")));
    }
    seen.push(param.name);
    let value = param.kind.read(&line.keyword, &line.args)?;
    scenario.values.insert(param.name, plain(&value));
    Ok(())
}

fn class(line: &Line, block: &[Line], problems: &mut Vec<Problem>) -> Result<Class, Problem> {
    let [name] = line.args.as_slice() else {
        return Err(Problem::at(line.span(), "expected one name after `class`"));
    };
    let mut class = Class { name: name.text.clone(), values: defaults(CLASS_PARAMS) };
    for inner in block {
        let word = inner.keyword.text.as_str();
        let Some(param) = find(CLASS_PARAMS, word) else {
            let text = format!("found `{word}`, which is no parameter of a class");
            let known = CLASS_PARAMS.iter().map(|param| param.name);
            problems.push(Problem::at(inner.keyword.span, text).nearest(word, known));
            continue;
        };
        match param.kind.read(&inner.keyword, &inner.args) {
            Ok(value) => drop(class.values.insert(param.name, plain(&value))),
            Err(problem) => problems.push(problem),
        }
    }
    Ok(class)
}

/// `incident KIND at TIME [for TIME] [part PART] [size NUMBER]`
fn incident(line: &Line) -> Result<Incident, Problem> {
    let mut words = line.args.iter();
    let Some(kind) = words.next() else {
        return Err(Problem::at(line.span(), "expected a kind after `incident`"));
    };
    let Some((_, trouble)) = TROUBLES.iter().find(|(name, _)| *name == kind.text) else {
        let text = format!("found `{}`, which is no kind of incident", kind.text);
        return Err(Problem::at(kind.span, text).nearest(&kind.text, TROUBLES.iter().map(|(name, _)| *name)));
    };
    let (mut at, mut length, mut part, mut size) = (None, None, None, None);
    while let Some(word) = words.next() {
        let (kind, place) = match word.text.as_str() {
            "at" => (crate::scenario::TIME_OF_DAY, &mut at),
            "for" => (crate::scenario::TIME_OF_DAY, &mut length),
            "part" => (crate::scenario::PART_OF, &mut part),
            "size" => (crate::scenario::SIZE_OF, &mut size),
            other => {
                let text = format!("found `{other}`, expected `at`, `for`, `part` or `size`");
                return Err(Problem::at(word.span, text).nearest(other, ["at", "for", "part", "size"]));
            }
        };
        let value: Vec<Word> = words.next().into_iter().cloned().collect();
        if place.replace(plain(&kind.read(word, &value)?)).is_some() {
            return Err(Problem::at(word.span, format!("`{}` comes twice", word.text)));
        }
    }
    let Some(at) = at else {
        return Err(Problem::at(line.span(), "expected `at TIME`"));
    };
    let usual = usual(*trouble);
    Ok(Incident {
        trouble: *trouble,
        at: Span::from_ms(at),
        length: Span::from_ms(length.unwrap_or(usual.0)),
        part: part.unwrap_or(usual.1),
        size: size.unwrap_or(usual.2),
    })
}

/// What holds where a line does not say: length in milliseconds, part, size.
fn usual(trouble: Trouble) -> (f64, f64, f64) {
    match trouble {
        Trouble::Crash | Trouble::Silent => (15_000.0, 0.25, 0.0),
        Trouble::Slow => (20_000.0, 0.2, 5.0),
        Trouble::Neighbour => (25_000.0, 0.4, 0.5),
        Trouble::ReportsLate => (15_000.0, 1.0, 3.0),
        Trouble::Costly => (15_000.0, 0.02, 15.0),
        Trouble::Resets => (10_000.0, 1.0, 0.2),
        Trouble::ZoneCut => (10_000.0, 1.0, 0.0),
        Trouble::DiscoveryGone => (15_000.0, 1.0, 0.0),
        Trouble::Rolling => (30_000.0, 1.0, 3.0),
        Trouble::Pause => (2_000.0, 0.25, 0.0),
        Trouble::HostPause => (3_000.0, 0.5, 0.0),
    }
}
