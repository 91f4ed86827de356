//! Load reports as log workers word them.

use rookspoke_decisions::LoadReport;
use rookspoke_wire::{ReportField, Vocabulary};

/// Reads `name=value,name=value`; values that are no numbers and names that the settings do not know are
/// skipped.
pub fn from_pairs(text: &str, words: &Vocabulary) -> Option<LoadReport> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    from_fields(pairs.filter_map(|(name, v)| Some((name.trim(), v.trim().parse().ok()?))), words)
}

/// Reads a report written as a JSON object, or in the form of the header.
pub fn from_body(body: &[u8], words: &Vocabulary) -> Option<LoadReport> {
    match serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body) {
        Ok(map) => from_map(&map, words),
        Err(_) => from_pairs(std::str::from_utf8(body).ok()?, words),
    }
}

/// Reads a report written as a JSON object.
pub fn from_map(map: &serde_json::Map<String, serde_json::Value>, words: &Vocabulary) -> Option<LoadReport> {
    from_fields(map.iter().filter_map(|(name, v)| Some((name.as_str(), v.as_f64()?))), words)
}

fn from_fields<'a>(fields: impl Iterator<Item = (&'a str, f64)>, words: &Vocabulary) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in fields.filter(|f| f.1.is_finite()) {
        field(name, words).put(&mut report, value);
    }
    (report != LoadReport::default()).then_some(report)
}

/// What a field is called on sockets, where the simulator's wire has names of its own.
fn field(name: &str, words: &Vocabulary) -> ReportField {
    let on_wire = match name {
        "inflight" => "busy_reqs",
        "queue" => "pending",
        "util" => "cpu_share",
        "eps" => "failed_ps",
        "qps" => "served_ps",
        other => other,
    };
    words.column(on_wire)
}
