//! Seeds of soak tests: each test has a few that run every time; the environment can name others.

use std::ops::Range;

/// Environment variable that names the seeds to run instead, as `FROM..TO` (`TO` excluded).
const SEEDS_VARIABLE: &str = "ROOKSPOKE_SOAK_SEEDS";

/// The seeds that the environment names, or `None`; panics if they cannot be parsed.
pub fn seeds_from_env() -> Option<Range<u64>> {
    let text = std::env::var(SEEDS_VARIABLE).ok()?;
    let range = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    Some(range.unwrap_or_else(|| panic!("{SEEDS_VARIABLE}: found {text:?}, expected `FROM..TO`")))
}
