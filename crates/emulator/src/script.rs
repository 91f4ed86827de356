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
    defaults, find, plain, Class, Disturbance, Faults, Incident, Party, Scenario, Stage, Trouble,
    CLASS_PARAMS, PARAMS, TROUBLES,
};

/// Reads a script from a file, to be played on this stage.
///
/// # Errors
/// All that is wrong with it, each with its line; what this stage cannot play is wrong, too.
pub fn read(path: &Path, stage: Stage) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    match sources.open(path) {
        Ok(_) => of(sources, stage),
        Err(error) => {
            Err(Problems::new(vec![Problem::without_span(format!("{}: {error}", path.display()))], sources))
        }
    }
}

/// Reads a script from a text.
///
/// # Errors
/// As [`read`].
pub fn read_text(name: &str, text: &str, stage: Stage) -> Result<Scenario, Problems> {
    let mut sources = Sources::default();
    sources.add_text(name, text);
    of(sources, stage)
}

fn of(sources: Sources, stage: Stage) -> Result<Scenario, Problems> {
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
                let number = scenario.disturbances.len();
                disturbance(line, stage).map(|one| {
                    places.push((one.at, line.span()));
                    checks.push((number, line.span()));
                    scenario.disturbances.push(one);
                })
            }
            ("incident", None) => incident(line, stage).map(|one| {
                places.push((one.at, line.span()));
                incidents.push(one);
            }),
            (_, None) => parameter(line, &mut scenario, &mut seen, stage),
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
        let ways = &scenario.disturbances[number];
        let nobody = [ways.from, ways.to].into_iter().find_map(|party| nobody(&scenario, party));
        problems.extend(nobody.map(|text| Problem::at(place, text)));
    }
    if scenario.classes.iter().all(|class| class.get("share") == 0.0) {
        problems.push(Problem::without_span("every class has the share 0, expected one that has jobs"));
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
    stage: Stage,
) -> Result<(), Problem> {
    let name = line.keyword.text.as_str();
    let Some(param) = find(PARAMS, name) else {
        let text = format!("found `{name}`, which is no parameter");
        let known = PARAMS.iter().map(|param| param.name).chain(["class", "incident"]);
        return Err(Problem::at(line.keyword.span, text).suggest(name, known));
    };
    if !stage.knows(param.name) {
        let text = format!("found `{name}`, which real processes cannot play; use `incident link`");
        return Err(Problem::at(line.keyword.span, text));
    }
    if seen.contains(&param.name) {
        return Err(Problem::at(line.keyword.span, format!("`{name}` comes twice")));
    }
    seen.push(param.name);
    let value = param.kind.parse(&line.keyword, &line.args)?;
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
            problems.push(Problem::at(inner.keyword.span, text).suggest(word, known));
            continue;
        };
        match param.kind.parse(&inner.keyword, &inner.args) {
            Ok(value) => drop(class.values.insert(param.name, plain(&value))),
            Err(problem) => problems.push(problem),
        }
    }
    Ok(class)
}

/// `incident KIND at TIME [for TIME] [part PART] [size NUMBER]`
fn incident(line: &Line, stage: Stage) -> Result<Incident, Problem> {
    let mut words = line.args.iter();
    let Some(kind) = words.next() else {
        return Err(Problem::at(line.span(), "expected a kind after `incident`"));
    };
    let Some((name, trouble)) = TROUBLES.iter().find(|(name, _)| *name == kind.text) else {
        let text = format!("found `{}`, which is no kind of incident", kind.text);
        let known = TROUBLES.iter().map(|(name, _)| *name).chain([LINK]);
        return Err(Problem::at(kind.span, text).suggest(&kind.text, known));
    };
    if !stage.plays(*trouble) {
        let text = format!("found `{name}`, which the emulator cannot play; `rehearse` plays it");
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut size) = (None, None, None, None);
    while let Some(word) = words.next() {
        let (kind, place) = match word.text.as_str() {
            "at" => (crate::scenario::TIME_OF_DAY, &mut at),
            "for" => (crate::scenario::TIME_OF_DAY, &mut length),
            "part" => (crate::scenario::PART_OF, &mut part),
            "size" => (crate::scenario::SIZE_OF, &mut size),
            other => {
                let text = format!("found `{other}`, expected `at`, `for`, `part` or `size`");
                return Err(Problem::at(word.span, text).suggest(other, ["at", "for", "part", "size"]));
            }
        };
        put(place, value(kind, word, words.next())?, word)?;
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

/// The kind of incident that disturbs a way.
const LINK: &str = "link";

fn is_link(line: &Line) -> bool {
    line.args.first().is_some_and(|word| word.text == LINK)
}

/// The value after a word.
fn value(kind: rookspoke_conf::Kind, word: &Word, value: Option<&Word>) -> Result<f64, Problem> {
    let value: Vec<Word> = value.into_iter().cloned().collect();
    Ok(plain(&kind.parse(word, &value)?))
}

fn put<T>(place: &mut Option<T>, value: T, word: &Word) -> Result<(), Problem> {
    match place.replace(value) {
        Some(_) => Err(Problem::at(word.span, format!("`{}` comes twice", word.text))),
        None => Ok(()),
    }
}

/// `incident link at TIME for TIME from PARTY to PARTY [part PART] FAULT... [back FAULT...]`
fn disturbance(line: &Line, stage: Stage) -> Result<Disturbance, Problem> {
    let kind = &line.args[0];
    if stage == Stage::Emulator {
        let text = "found `link`, which the emulator cannot play; `rehearse` plays it";
        return Err(Problem::at(kind.span, text));
    }
    let (mut at, mut length, mut part, mut from, mut to) = (None, None, None, None, None);
    let (mut there, mut back, mut is_back, mut any) = (Faults::default(), Faults::default(), false, false);
    let mut words = line.args[1..].iter();
    while let Some(word) = words.next() {
        match word.text.as_str() {
            "at" => put(&mut at, value(crate::scenario::TIME_OF_DAY, word, words.next())?, word)?,
            "for" => put(&mut length, value(crate::scenario::TIME_OF_DAY, word, words.next())?, word)?,
            "part" => put(&mut part, value(crate::scenario::PART_OF, word, words.next())?, word)?,
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
    Ok(Disturbance {
        at: Span::from_ms(at.ok_or_else(|| missing("`at TIME`"))?),
        length: Span::from_ms(length.ok_or_else(|| missing("`for TIME`"))?),
        from,
        to,
        part: part.unwrap_or(1.0),
        there,
        back,
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
        "delay" => faults.delay = Span::from_ms(number(crate::scenario::TIME_OF_DAY)?),
        "jitter" => faults.jitter = Span::from_ms(number(crate::scenario::TIME_OF_DAY)?),
        "rate" => faults.rate = number(crate::scenario::SIZE_OF)?,
        "reset-at" => faults.reset_at = number(crate::scenario::SIZE_OF)?,
        "loss" => faults.loss = number(crate::scenario::PART_OF)?,
        "duplicate" => faults.duplicate = number(crate::scenario::PART_OF)?,
        "reorder" => faults.reorder = number(crate::scenario::PART_OF)?,
        other => {
            let text = format!("found `{other}`, expected {FAULTS}");
            let known =
                ["delay", "jitter", "cut", "refuse", "rate", "reset-at", "loss", "duplicate", "reorder"];
            return Err(Problem::at(word.span, text).suggest(other, known));
        }
    }
    Ok(())
}

const PARTIES: &str =
    "`clients`, `discovery`, `dispatchers`, `dispatchers.z0`, `n0`, `workers`, `workers.z0` or `w0`";

/// Who is meant: everybody of a kind, those of a zone, or one by number.
fn party(word: &Word, name: Option<&Word>) -> Result<Party, Problem> {
    let Some(name) = name else {
        return Err(Problem::at(word.span, format!("expected {PARTIES} after `{}`", word.text)));
    };
    let number = |prefix: &str| name.text.strip_prefix(prefix).and_then(|digits| digits.parse().ok());
    let found = match name.text.as_str() {
        "clients" => Some(Party::Clients),
        "discovery" => Some(Party::Discovery),
        "dispatchers" => Some(Party::Dispatchers(None)),
        "workers" => Some(Party::Workers(None)),
        _ => number("dispatchers.z")
            .map(|zone| Party::Dispatchers(Some(zone)))
            .or_else(|| number("workers.z").map(|zone| Party::Workers(Some(zone))))
            .or_else(|| number("n").map(Party::Dispatcher))
            .or_else(|| number("w").map(Party::Worker)),
    };
    found.ok_or_else(|| Problem::at(name.span, format!("found `{}`, expected {PARTIES}", name.text)))
}

fn is_way(from: Party, to: Party) -> bool {
    let dispatches = |party| matches!(party, Party::Dispatchers(_) | Party::Dispatcher(_));
    match to {
        Party::Clients => false,
        Party::Discovery | Party::Workers(_) | Party::Worker(_) => dispatches(from),
        Party::Dispatchers(_) | Party::Dispatcher(_) => from == Party::Clients,
    }
}

/// Says who is meant that does not exist.
fn nobody(scenario: &Scenario, party: Party) -> Option<String> {
    let beyond = |number: usize, of: &str| {
        let most = scenario.count(of);
        (number >= most).then(|| format!("found number {number} of the {of}, expected less than {most}"))
    };
    match party {
        Party::Clients | Party::Discovery | Party::Dispatchers(None) | Party::Workers(None) => None,
        Party::Dispatchers(Some(zone)) | Party::Workers(Some(zone)) => beyond(zone, "zones"),
        Party::Dispatcher(number) => beyond(number, "dispatchers"),
        Party::Worker(number) => beyond(number, "workers"),
    }
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
        Trouble::DiscoverySilent | Trouble::DiscoveryOld => (15_000.0, 1.0, 0.0),
        Trouble::Slowed => (10_000.0, 0.25, 0.5),
        Trouble::Kill => (2_000.0, 0.5, 0.0),
        Trouble::Restart => (20_000.0, 1.0, 0.0),
    }
}
