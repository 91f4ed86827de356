//! Settings pairs and the names and columns they fix for later lines.

use rustc_hash::FxHashMap;

use super::WireError;
use rookspoke_decisions::{
    Class, Discovery, Effect, Group, KindId, Limits, LoadReport, Name, Reporting, Rules, Settings, Span,
    Tenant, WorthBy,
};

/// What later lines need of an instance's settings.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Class names, in order.
    pub classes: Vec<Name>,
    /// Tenant names, in order.
    pub tenants: Vec<Name>,
    /// The columns of a load report.
    pub report: Vec<ReportField>,
    /// Their names, in the same order.
    pub columns: Vec<Name>,
}

impl Vocabulary {
    /// What the report field of this name means here.
    pub fn column(&self, name: &str) -> ReportField {
        let at = self.columns.iter().position(|c| c.as_ref() == name);
        at.and_then(|at| self.report.get(at)).copied().unwrap_or(ReportField::Other)
    }
}

/// What a column of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests held.
    Inflight,
    /// Requests waiting.
    Queue,
    /// Cores in use.
    Util,
    /// Errors a second.
    Errors,
    /// Requests served a second.
    Served,
    /// Free slots.
    FreeSlots,
    /// Free memory.
    FreeMemory,
    /// Read and skipped.
    Other,
}

impl ReportField {
    /// Puts a value where it belongs in a report.
    pub fn put(self, report: &mut LoadReport, value: f64) {
        let place = match self {
            ReportField::Inflight => &mut report.inflight,
            ReportField::Queue => &mut report.queue,
            ReportField::Util => &mut report.util,
            ReportField::Errors => &mut report.errors_per_s,
            ReportField::Served => &mut report.served_per_s,
            ReportField::FreeSlots => &mut report.free_slots,
            ReportField::FreeMemory => &mut report.free_memory,
            ReportField::Other => return,
        };
        *place = Some(value);
    }
}

struct Pairs<'a>(FxHashMap<&'a str, &'a str>);

fn bad(key: &str, value: &str) -> WireError {
    WireError::new(key, format!("{value:?}"))
}

impl<'a> Pairs<'a> {
    fn opt(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|v| *v != "-")
    }
    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        self.opt(key).ok_or_else(|| WireError::new(key, "missing"))
    }
    fn opt_num(&self, key: &str) -> Result<Option<f64>, WireError> {
        self.opt(key)
            .map(|v| v.parse().ok().filter(|n: &f64| n.is_finite()).ok_or_else(|| bad(key, v)))
            .transpose()
    }
    fn num(&self, key: &str) -> Result<f64, WireError> {
        self.opt_num(key)?.ok_or_else(|| WireError::new(key, "missing"))
    }
    fn span(&self, key: &str) -> Result<Span, WireError> {
        Ok(Span::from_ms(self.num(key)?))
    }
    fn count(&self, key: &str) -> Result<usize, WireError> {
        let v = self.text(key)?;
        v.parse().map_err(|_| bad(key, v))
    }
    fn opt_count(&self, key: &str) -> Result<usize, WireError> {
        self.opt(key).map_or(Ok(0), |_| self.count(key))
    }
    fn flag(&self, key: &str, absent: bool) -> Result<bool, WireError> {
        match self.opt(key) {
            None => Ok(absent),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(v) => Err(bad(key, v)),
        }
    }
    fn names(&self, key: &str) -> Vec<Name> {
        self.opt(key).map_or(Vec::new(), |v| v.split(',').filter(|n| !n.is_empty()).map(Name::from).collect())
    }
    /// The `at`-th of a list of numbers with one place for each class.
    fn per_class(&self, key: &str, at: usize) -> Result<Option<f64>, WireError> {
        let Some(list) = self.opt(key) else { return Ok(None) };
        let Some(v) = list.split(',').nth(at) else { return Ok(None) };
        v.parse().map(Some).map_err(|_| bad(key, v))
    }
}

fn class(pairs: &Pairs, at: usize) -> Result<Class, WireError> {
    let key = |field: &str| format!("classes.{at}.{field}");
    let effect = match pairs.text(&key("effect"))? {
        "read_like" => Effect::Safe,
        "non_idempotent" => Effect::Unsafe,
        "idempotency_key" => Effect::Keyed {
            group: match pairs.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                v => return Err(bad(&key("group"), v)),
            },
            window: pairs.span(&key("dedup_window_ms"))?,
        },
        v => return Err(bad(&key("effect"), v)),
    };
    let stretch = match pairs.opt_num(&key("aim_stretch"))? {
        Some(own) => own,
        None => pairs.per_class("specifics.class_stretch", at)?.unwrap_or(0.0),
    };
    let kind = match pairs.per_class("specifics.class_kind", at)? {
        Some(kind) if kind >= 0.0 => Some(KindId(kind as usize)),
        _ => None,
    };
    Ok(Class {
        name: pairs.text(&key("name"))?.into(),
        aim: pairs.span(&key("goal_time_ms"))?,
        stretch,
        late_worth: pairs.opt_num(&key("late_worth"))?.unwrap_or(0.0),
        worth: pairs.opt_num(&key("gain"))?.unwrap_or(1.0),
        effect,
        kind,
    })
}

/// Reads the pairs of a `born` line; keys that are not known are skipped.
pub fn parse_settings<'a>(parts: impl Iterator<Item = &'a str>) -> Result<(Settings, Vocabulary), WireError> {
    let mut map = FxHashMap::default();
    for part in parts {
        let (key, value) = part.split_once('=').ok_or_else(|| bad("env", part))?;
        map.insert(key, value);
    }
    let pairs = Pairs(map);
    let classes =
        (0..pairs.count("classes.count")?).map(|at| class(&pairs, at)).collect::<Result<Vec<_>, _>>()?;
    let tenants = (0..pairs.opt_count("projects.count")?)
        .map(|at| {
            Ok(Tenant {
                name: pairs.text(&format!("projects.{at}.name"))?.into(),
                allowance_per_s: pairs.num(&format!("projects.{at}.allowance_per_s"))?,
            })
        })
        .collect::<Result<Vec<_>, WireError>>()?;
    let discovery = match pairs.text("discovery")? {
        "automatic" => Discovery::Automatic,
        "subscribe" => Discovery::Subscribe,
        v => return Err(bad("discovery", v)),
    };
    let reporting = match pairs.opt("reporting.how") {
        Some("answers") => Reporting::Answers,
        Some("probe") => Reporting::Probe,
        Some("none") | None => Reporting::None,
        Some(v) => return Err(bad("reporting.how", v)),
    };
    let worth_by = match pairs.opt("worth_by") {
        Some("request") | None => WorthBy::Request,
        Some("work") => WorthBy::Work,
        Some(v) => return Err(bad("worth_by", v)),
    };
    let extra = |key: &str| match pairs.opt(key) {
        Some("free_slots") => ReportField::FreeSlots,
        Some("free_memory") => ReportField::FreeMemory,
        _ => ReportField::Other,
    };
    let columns = pairs.names("reporting.fields");
    let report = columns.iter().map(|field| match field.as_ref() {
        "busy_reqs" => ReportField::Inflight,
        "pending" => ReportField::Queue,
        "cpu_share" => ReportField::Util,
        "failed_ps" => ReportField::Errors,
        "served_ps" => ReportField::Served,
        "x0" => extra("specifics.report_x0"),
        "x1" => extra("specifics.report_x1"),
        _ => ReportField::Other,
    });
    let vocabulary = Vocabulary {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        tenants: tenants.iter().map(|t| t.name.clone()).collect(),
        report: report.collect(),
        columns,
    };
    let settings = Settings {
        dispatcher_index: pairs.count("me")?,
        dispatchers: pairs.count("balancers")?,
        zone: pairs.text("zone")?.into(),
        zones: pairs.names("localities"),
        kinds: pairs.names("machine_types"),
        classes,
        tenants,
        over_share_worth: pairs.opt_num("over_share_worth")?.unwrap_or(1.0),
        worth_by,
        discovery,
        reporting,
        reports_start: pairs.flag("specifics.tells_start", false)?,
        progress_interval: Span::from_ms(pairs.opt_num("specifics.progress_ms")?.unwrap_or(0.0)),
        waste_price: pairs.opt_num("prices.waste")?.unwrap_or(0.0),
        cross_zone_price: pairs.opt_num("prices.cross_zone")?.unwrap_or(0.0),
        quantum: pairs.span("quantum_ms")?,
        limits: Limits {
            cancel: pairs.flag("limits.cancel", false)?,
            probes: pairs.flag("limits.probes", false)?,
            second_copies: pairs.flag("limits.second_copies", false)?,
            retry_after: pairs.flag("limits.retry_after", false)?,
            max_retry_after: Span::from_ms(pairs.opt_num("limits.max_retry_after_ms")?.unwrap_or(0.0)),
            max_attempts: pairs.count("limits.send_cap")?,
        },
        rules: Rules {
            answer_slack: pairs.span("rules.answer_slack_ms")?,
            ask_every: match discovery {
                Discovery::Subscribe => pairs.span("rules.ask_every_ms")?,
                Discovery::Automatic => Span(0),
            },
            drain_grace: pairs.span("rules.stop_sending_within_ms")?,
            initial_capacity: pairs.num("rules.cold_from")?,
            ramp: pairs.span("rules.ramp_time_ms")?,
            overload_multiple: pairs.num("rules.fall_multiple")?,
            overload_window: pairs.span("rules.overload_for_ms")?,
        },
    };
    settings
        .validate()
        .map_err(|e| WireError::new(e.setting, format!("{} (expected {})", e.found, e.expected)))?;
    Ok((settings, vocabulary))
}
