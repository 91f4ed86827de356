//! Parses the load reports of log workers.

use rookspoke_decisions::LoadReport;
use rookspoke_wire::{ReportField, Vocabulary};

/// Parses `name=value,name=value`. Values that are not numbers and names that the settings don't know are
/// skipped.
pub fn from_pairs(text: &str, vocabulary: &Vocabulary) -> Option<LoadReport> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    from_fields(pairs.filter_map(|(name, v)| Some((name.trim(), v.trim().parse().ok()?))), vocabulary)
}

/// Parses a report that is a JSON object, or has the form of the header.
pub fn from_body(body: &[u8], vocabulary: &Vocabulary) -> Option<LoadReport> {
    match serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body) {
        Ok(map) => from_map(&map, vocabulary),
        Err(_) => from_pairs(std::str::from_utf8(body).ok()?, vocabulary),
    }
}

/// Parses a report that is a JSON object.
pub fn from_map(
    map: &serde_json::Map<String, serde_json::Value>,
    vocabulary: &Vocabulary,
) -> Option<LoadReport> {
    from_fields(map.iter().filter_map(|(name, v)| Some((name.as_str(), v.as_f64()?))), vocabulary)
}

fn from_fields<'a>(
    fields: impl Iterator<Item = (&'a str, f64)>,
    vocabulary: &Vocabulary,
) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in fields.filter(|(_, value)| value.is_finite()) {
        column(name, vocabulary).store(&mut report, value);
    }
    (report != LoadReport::default()).then_some(report)
}

/// Maps a field's name on sockets to the column name, which is that of the simulator's protocol.
fn column(name: &str, vocabulary: &Vocabulary) -> ReportField {
    let column_name = match name {
        "inflight" => "busy_reqs",
        "queue" => "pending",
        "util" => "cpu_share",
        "eps" => "failed_ps",
        "qps" => "served_ps",
        other => other,
    };
    vocabulary.report_field(column_name)
}
