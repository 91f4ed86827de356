//! Kinds of values: how they are written, what they become, and how they are shown again.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde_json::{json, Number, Value};

use crate::problem::Problem;
use crate::syntax::Word;

/// What a keyword's value may be. Bounds are part of the kind, and hold on both ends.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A time, with its unit; kept in milliseconds.
    Time {
        /// The least, in milliseconds.
        min: f64,
        /// The most, in milliseconds.
        max: f64,
    },
    /// A time in steps of 10 ms; kept in hundredths of a second, as VRRP counts.
    Centiseconds {
        /// The most, in hundredths of a second.
        max: u64,
    },
    /// A number of bytes, with or without a unit.
    Size {
        /// The least, in bytes.
        min: u64,
        /// The most, in bytes.
        max: u64,
    },
    /// A whole number.
    Count {
        /// The least.
        min: u64,
        /// The most.
        max: u64,
    },
    /// Any number.
    Number {
        /// The least.
        min: f64,
        /// The most.
        max: f64,
    },
    /// So many in a time; kept as a number for each second.
    Rate,
    /// On or off.
    Switch,
    /// One of a few words, next to what each becomes.
    Choice(&'static [(&'static str, &'static str)]),
    /// A word, or any text in quotes.
    Text,
    /// One or more of them.
    Texts,
    /// An address with a port.
    Address,
    /// An IPv4 address with a port, one or more.
    PeerAddresses,
    /// IPv4 addresses, one or more.
    Ipv4s,
    /// Sixteen hexadecimal digits.
    Seed,
}

const TIMES: [(&str, f64); 5] =
    [("us", 0.001), ("ms", 1.0), ("s", 1_000.0), ("min", 60_000.0), ("h", 3_600_000.0)];
const SIZES: [(&str, u64); 6] =
    [("B", 1), ("kB", 1_000), ("KiB", 1 << 10), ("MB", 1_000_000), ("MiB", 1 << 20), ("GiB", 1 << 30)];
const RATES: [(&str, f64); 3] = [("s", 1.0), ("min", 60.0), ("h", 3600.0)];

impl Kind {
    /// What is expected, in words: for errors and for the page.
    pub fn expected(&self) -> String {
        match *self {
            Kind::Time { min, max } => {
                format!("a time from {} to {}, such as `250ms`", format_ms(min), format_ms(max))
            }
            Kind::Centiseconds { max } => {
                format!("a time from 10ms to {} in steps of 10ms", format_ms(max as f64 * 10.0))
            }
            Kind::Size { min, max } => {
                format!("a size from {} to {}, such as `64KiB`", format_bytes(min), format_bytes(max))
            }
            Kind::Count { min, max: u64::MAX } => format!("a whole number from {min} on"),
            Kind::Count { min, max } => format!("a whole number from {min} to {max}"),
            Kind::Number { min, max } if max == f64::MAX => format!("a number from {min} on"),
            Kind::Number { min, max } => format!("a number from {min} to {max}"),
            Kind::Rate => "a rate, such as `5/s`".into(),
            Kind::Switch => "`on` or `off`".into(),
            Kind::Choice(words) => {
                let words: Vec<String> = words.iter().map(|(word, _)| format!("`{word}`")).collect();
                format!("one of {}", words.join(", "))
            }
            Kind::Text => "a word, or a text in quotes".into(),
            Kind::Texts => "one or more words".into(),
            Kind::Address => "an address with a port, such as `127.0.0.1:3000`".into(),
            Kind::PeerAddresses => "one or more IPv4 addresses with a port".into(),
            Kind::Ipv4s => "one or more IPv4 addresses".into(),
            Kind::Seed => "16 hexadecimal digits".into(),
        }
    }

    /// Whether more than one word may follow the keyword.
    fn is_list(&self) -> bool {
        matches!(self, Kind::Texts | Kind::PeerAddresses | Kind::Ipv4s)
    }

    /// Reads the words that follow a keyword.
    ///
    /// # Errors
    /// Says what was found and what is expected, at the word that is wrong.
    pub fn parse(&self, keyword: &Word, args: &[Word]) -> Result<Value, Problem> {
        let Some(first) = args.first() else {
            let text = format!("`{}` has no value, expected {}", keyword.text, self.expected());
            return Err(Problem::at(keyword.span, text));
        };
        if let (Some(second), false) = (args.get(1), self.is_list()) {
            let text = format!("found `{}` after the value, expected the end of the line", second.text);
            return Err(Problem::at(second.span, text));
        }
        if self.is_list() {
            let values = args.iter().map(|arg| self.parse_word(arg)).collect::<Result<Vec<_>, _>>()?;
            return Ok(Value::Array(values));
        }
        self.parse_word(first)
    }

    fn parse_word(&self, word: &Word) -> Result<Value, Problem> {
        let text = word.text.as_str();
        let value = match *self {
            Kind::Time { min, max } => split_unit(text, &TIMES)
                .map(|(number, unit)| number * unit)
                .filter(|ms| (min..=max).contains(ms))
                .map(json_number),
            Kind::Centiseconds { max } => split_unit(text, &TIMES)
                .map(|(number, unit)| number * unit / 10.0)
                .filter(|cs| cs.fract() == 0.0 && (1.0..=max as f64).contains(cs))
                .map(|cs| json!(cs as u64)),
            Kind::Size { min, max } => parse_size(text).filter(|n| (min..=max).contains(n)).map(|n| json!(n)),
            Kind::Count { min, max } => {
                text.parse::<u64>().ok().filter(|n| (min..=max).contains(n)).map(|n| json!(n))
            }
            Kind::Number { min, max } => {
                text.parse::<f64>().ok().filter(|n| (min..=max).contains(n)).map(json_number)
            }
            Kind::Rate => text.split_once('/').and_then(|(count, unit)| {
                let unit = RATES.iter().find(|(name, _)| *name == unit)?.1;
                count
                    .parse::<f64>()
                    .ok()
                    .filter(|n| n.is_finite() && *n >= 0.0)
                    .map(|n| json_number(n / unit))
            }),
            Kind::Switch => match text {
                "on" | "yes" | "true" => Some(json!(true)),
                "off" | "no" | "false" => Some(json!(false)),
                _ => None,
            },
            Kind::Choice(words) => {
                words.iter().find(|(word, _)| *word == text).map(|(_, value)| json!(value))
            }
            Kind::Text | Kind::Texts => (!text.is_empty()).then(|| json!(text)),
            Kind::Address => text.parse::<SocketAddr>().ok().map(|_| json!(text)),
            Kind::PeerAddresses => text.parse::<SocketAddrV4>().ok().map(|_| json!(text)),
            Kind::Ipv4s => text.parse::<Ipv4Addr>().ok().map(|_| json!(text)),
            Kind::Seed => {
                let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
                digits.then(|| json!(text.to_ascii_lowercase()))
            }
        };
        value.ok_or_else(|| {
            let problem = Problem::at(word.span, format!("found `{text}`, expected {}", self.expected()));
            match *self {
                Kind::Choice(words) => problem.suggest(text, words.iter().map(|(word, _)| *word)),
                Kind::Time { .. } | Kind::Centiseconds { .. } if text.parse::<f64>().is_ok() => {
                    problem.help("a time needs its unit: us, ms, s, min or h")
                }
                _ => problem,
            }
        })
    }

    /// How a value is written in a file.
    pub fn format(&self, value: &Value) -> String {
        match (self, value) {
            (_, Value::Array(values)) => {
                values.iter().map(|value| self.format(value)).collect::<Vec<_>>().join(" ")
            }
            (Kind::Time { .. }, value) => value.as_f64().map_or_else(|| value.to_string(), format_ms),
            (Kind::Centiseconds { .. }, value) => {
                value.as_f64().map_or_else(|| value.to_string(), |cs| format_ms(cs * 10.0))
            }
            (Kind::Size { .. }, value) => value.as_u64().map_or_else(|| value.to_string(), format_bytes),
            (Kind::Rate, value) => format!("{value}/s"),
            (_, Value::Bool(on)) => if *on { "on" } else { "off" }.into(),
            (Kind::Choice(words), Value::String(text)) => {
                words.iter().find(|(_, value)| value == text).map_or(text.as_str(), |(word, _)| word).into()
            }
            (_, Value::String(text)) => {
                let plain = |c: char| !c.is_whitespace() && !matches!(c, '"' | '{' | '}' | '#');
                match !text.is_empty() && text.chars().all(plain) {
                    true => text.clone(),
                    false => quote(text),
                }
            }
            (_, value) => value.to_string(),
        }
    }
}

/// Text in quotes, as the grammar reads it.
fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").replace('\t', "\\t");
    format!("\"{escaped}\"")
}

/// Whole numbers stay whole: readers of counts turn a fraction down.
fn json_number(value: f64) -> Value {
    match value.fract() == 0.0 && value.abs() < 9e15 && value >= 0.0 {
        true => json!(value as u64),
        false => Number::from_f64(value).map_or(Value::Null, Value::Number),
    }
}

fn split_unit(text: &str, units: &[(&str, f64)]) -> Option<(f64, f64)> {
    let at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let unit = units.iter().find(|(name, _)| *name == &text[at..])?.1;
    let digits = text[..at].bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = text[..at].parse::<f64>().ok().filter(|n| digits && n.is_finite())?;
    Some((number, unit))
}

fn parse_size(text: &str) -> Option<u64> {
    let at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let unit = match &text[at..] {
        "" => 1,
        unit => SIZES.iter().find(|(name, _)| *name == unit)?.1,
    };
    text[..at].parse::<u64>().ok()?.checked_mul(unit)
}

fn format_ms(ms: f64) -> String {
    let unit = TIMES.iter().rev().find(|(_, unit)| ms >= *unit && (ms / unit).fract() == 0.0);
    match unit {
        Some((name, unit)) => format!("{}{name}", ms / unit),
        None => format!("{ms}ms"),
    }
}

fn format_bytes(bytes: u64) -> String {
    let binary = |name: &str| name.len() != 2;
    let unit =
        SIZES.iter().rev().find(|(name, unit)| binary(name) && bytes >= *unit && bytes.is_multiple_of(*unit));
    unit.map_or_else(|| format!("{bytes}B"), |(name, unit)| format!("{}{name}", bytes / unit))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::source::Span;

    fn word(text: &str) -> Word {
        Word { text: text.into(), span: Span { file: 0, start: 0, end: text.len() } }
    }

    fn read(kind: Kind, text: &str) -> Result<Value, String> {
        kind.parse(&word("k"), &[word(text)]).map_err(|problem| problem.message)
    }

    const ANY: Kind = Kind::Time { min: 0.0, max: 3.6e6 };

    #[test]
    fn times_have_units() {
        assert_eq!(read(ANY, "250ms"), Ok(json!(250)));
        assert_eq!(read(ANY, "1.5s"), Ok(json!(1500)));
        assert_eq!(read(ANY, "50us"), Ok(json!(0.05)));
        for bad in ["250", "ms", "-1s", "1e3ms", "2h", "1 s", "NaNms", "infs", "1.2.3s"] {
            assert!(read(ANY, bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn sizes_are_whole_and_do_not_wrap() {
        let any = Kind::Size { min: 1, max: u64::MAX };
        assert_eq!(read(any, "64KiB"), Ok(json!(65536)));
        assert_eq!(read(any, "512"), Ok(json!(512)));
        for bad in ["64K", "99999999999999999999", "18446744073709551615GiB", "-1", "1.5MiB", "0"] {
            assert!(read(any, bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn bounds_hold_on_both_ends() {
        let kind = Kind::Count { min: 2, max: 4 };
        let found: Vec<bool> = ["1", "2", "4", "5"].iter().map(|n| read(kind, n).is_ok()).collect();
        assert_eq!(found, [false, true, true, false]);
        assert!(read(Kind::Number { min: 0.0, max: 1.0 }, "NaN").is_err());
    }

    proptest::proptest! {
        #[test]
        fn what_is_shown_reads_back(ms in 0u32..3_600_000, text in ".{1,20}", bytes in 1u64..1 << 40) {
            let time = json!(ms);
            proptest::prop_assert_eq!(read(ANY, &ANY.format(&time)), Ok(time));
            let sizes = Kind::Size { min: 1, max: 1 << 40 };
            proptest::prop_assert_eq!(read(sizes, &sizes.format(&json!(bytes))), Ok(json!(bytes)));
            let line = format!("k {}", Kind::Text.format(&json!(text)));
            // A text may hold characters that end a line for people only.
            let mut problems = Vec::new();
            let lines = crate::syntax::parse(0, &line, &mut problems);
            if !text.contains('\r') {
                proptest::prop_assert_eq!(&lines[0].args[0].text, &text);
            }
        }
    }
}
