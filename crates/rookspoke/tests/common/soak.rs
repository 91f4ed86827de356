//! Seeds of soaks: few of them in every run, others by hand.

use std::ops::Range;

/// Names the seeds of a soak that is run by hand, as `FROM..TO`.
const VARIABLE: &str = "ROOKSPOKE_SOAK_SEEDS";

/// The seeds that the environment names, if it does.
pub fn seeds_by_hand() -> Option<Range<u64>> {
    let text = std::env::var(VARIABLE).ok()?;
    let ends = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    Some(ends.unwrap_or_else(|| panic!("{VARIABLE}: found {text:?}, expected `FROM..TO`")))
}
