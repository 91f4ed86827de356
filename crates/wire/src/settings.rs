//! Parses the settings of an instance, including the names and the report columns that later lines refer to.

use rustc_hash::FxHashMap;

use super::WireError;
use rookspoke_decisions::{
    Class, Discovery, Effect, Group, KindId, Limits, LoadReport, Name, Reporting, Rules, Settings, Span,
    Tenant, WorthBy,
};

/// The part of an instance's settings that is needed to parse later lines.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Names of the classes, indexed by [`rookspoke_decisions::ClassId`].
    pub classes: Vec<Name>,
    /// Names of the tenants, indexed by [`rookspoke_decisions::TenantId`].
    pub tenants: Vec<Name>,
    /// Meaning of each column of a load report.
    pub report_fields: Vec<ReportField>,
    /// Names of the columns, in the same order.
    pub report_columns: Vec<Name>,
}

impl Vocabulary {
    /// The meaning of the report column with this name.
    pub fn report_field(&self, name: &str) -> ReportField {
        let index = self.report_columns.iter().position(|column| column.as_ref() == name);
        index.and_then(|index| self.report_fields.get(index)).copied().unwrap_or(ReportField::Ignored)
    }
}

/// Meaning of a column of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests that the log worker holds, running or queued.
    Inflight,
    /// Requests in its queue.
    Queue,
    /// Fraction of its cores in use.
    Util,
    /// Errors per second.
    ErrorsPerS,
    /// Requests served per second.
    ServedPerS,
    /// Slots that no job occupies.
    FreeSlots,
    /// Memory units that no job occupies.
    FreeMemory,
    /// Of no use to a dispatcher; the value is ignored.
    Ignored,
}

impl ReportField {
    /// Stores a value in the matching field of a report.
    pub fn store(self, report: &mut LoadReport, value: f64) {
        let field = match self {
            ReportField::Inflight => &mut report.inflight,
            ReportField::Queue => &mut report.queue,
            ReportField::Util => &mut report.util,
            ReportField::ErrorsPerS => &mut report.errors_per_s,
            ReportField::ServedPerS => &mut report.served_per_s,
            ReportField::FreeSlots => &mut report.free_slots,
            ReportField::FreeMemory => &mut report.free_memory,
            ReportField::Ignored => return,
        };
        *field = Some(value);
    }
}

/// The settings as `key=value` pairs.
struct Pairs<'a>(FxHashMap<&'a str, &'a str>);

fn invalid(key: &str, value: &str) -> WireError {
    WireError::new(key, format!("{value:?}"))
}

impl<'a> Pairs<'a> {
    /// The value of a key. `-` stands for an absent value.
    fn optional(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|value| *value != "-")
    }
    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        self.optional(key).ok_or_else(|| WireError::new(key, "missing"))
    }
    fn optional_number(&self, key: &str) -> Result<Option<f64>, WireError> {
        self.optional(key)
            .map(|value| {
                let number = value.parse().ok().filter(|number: &f64| number.is_finite());
                number.ok_or_else(|| invalid(key, value))
            })
            .transpose()
    }
    fn number(&self, key: &str) -> Result<f64, WireError> {
        self.optional_number(key)?.ok_or_else(|| WireError::new(key, "missing"))
    }
    fn span(&self, key: &str) -> Result<Span, WireError> {
        Ok(Span::from_ms(self.number(key)?))
    }
    fn count(&self, key: &str) -> Result<usize, WireError> {
        let value = self.text(key)?;
        value.parse().map_err(|_| invalid(key, value))
    }
    fn optional_count(&self, key: &str) -> Result<usize, WireError> {
        self.optional(key).map_or(Ok(0), |_| self.count(key))
    }
    fn flag(&self, key: &str, default: bool) -> Result<bool, WireError> {
        match self.optional(key) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(value) => Err(invalid(key, value)),
        }
    }
    fn names(&self, key: &str) -> Vec<Name> {
        self.optional(key).map_or(Vec::new(), |list| {
            list.split(',').filter(|name| !name.is_empty()).map(Name::from).collect()
        })
    }
    /// The number of class `index` in a list with one number for each class.
    fn per_class(&self, key: &str, index: usize) -> Result<Option<f64>, WireError> {
        let Some(list) = self.optional(key) else { return Ok(None) };
        let Some(value) = list.split(',').nth(index) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| invalid(key, value))
    }
}

fn parse_class(pairs: &Pairs, index: usize) -> Result<Class, WireError> {
    let key = |field: &str| format!("classes.{index}.{field}");
    let effect = match pairs.text(&key("effect"))? {
        "read_like" => Effect::Safe,
        "non_idempotent" => Effect::Unsafe,
        "idempotency_key" => Effect::Keyed {
            group: match pairs.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(invalid(&key("group"), other)),
            },
            window: pairs.span(&key("dedup_window_ms"))?,
        },
        other => return Err(invalid(&key("effect"), other)),
    };
    let stretch = match pairs.optional_number(&key("aim_stretch"))? {
        Some(class_stretch) => class_stretch,
        None => pairs.per_class("specifics.class_stretch", index)?.unwrap_or(0.0),
    };
    let kind = match pairs.per_class("specifics.class_kind", index)? {
        Some(kind) if kind >= 0.0 => Some(KindId(kind as usize)),
        _ => None,
    };
    Ok(Class {
        name: pairs.text(&key("name"))?.into(),
        aim: pairs.span(&key("goal_time_ms"))?,
        stretch,
        late_worth: pairs.optional_number(&key("late_worth"))?.unwrap_or(0.0),
        worth: pairs.optional_number(&key("gain"))?.unwrap_or(1.0),
        effect,
        kind,
    })
}

/// Parses the `key=value` pairs of a `born` line. Unknown keys are ignored.
pub fn parse_settings<'a>(parts: impl Iterator<Item = &'a str>) -> Result<(Settings, Vocabulary), WireError> {
    let mut map = FxHashMap::default();
    for part in parts {
        let (key, value) = part.split_once('=').ok_or_else(|| invalid("env", part))?;
        map.insert(key, value);
    }
    let pairs = Pairs(map);
    let classes = (0..pairs.count("classes.count")?)
        .map(|index| parse_class(&pairs, index))
        .collect::<Result<Vec<_>, _>>()?;
    let tenants = (0..pairs.optional_count("projects.count")?)
        .map(|index| {
            Ok(Tenant {
                name: pairs.text(&format!("projects.{index}.name"))?.into(),
                allowance_per_s: pairs.number(&format!("projects.{index}.allowance_per_s"))?,
            })
        })
        .collect::<Result<Vec<_>, WireError>>()?;
    let discovery = match pairs.text("discovery")? {
        "automatic" => Discovery::Automatic,
        "subscribe" => Discovery::Subscribe,
        other => return Err(invalid("discovery", other)),
    };
    let reporting = match pairs.optional("reporting.how") {
        Some("answers") => Reporting::Answers,
        Some("probe") => Reporting::Probe,
        Some("none") | None => Reporting::None,
        Some(other) => return Err(invalid("reporting.how", other)),
    };
    let worth_by = match pairs.optional("worth_by") {
        Some("request") | None => WorthBy::Request,
        Some("work") => WorthBy::Work,
        Some(other) => return Err(invalid("worth_by", other)),
    };
    // The columns x0 and x1 have the meaning that the settings give them.
    let extra_column = |key: &str| match pairs.optional(key) {
        Some("free_slots") => ReportField::FreeSlots,
        Some("free_memory") => ReportField::FreeMemory,
        _ => ReportField::Ignored,
    };
    let report_columns = pairs.names("reporting.fields");
    let report_fields = report_columns.iter().map(|column| match column.as_ref() {
        "busy_reqs" => ReportField::Inflight,
        "pending" => ReportField::Queue,
        "cpu_share" => ReportField::Util,
        "failed_ps" => ReportField::ErrorsPerS,
        "served_ps" => ReportField::ServedPerS,
        "x0" => extra_column("specifics.report_x0"),
        "x1" => extra_column("specifics.report_x1"),
        _ => ReportField::Ignored,
    });
    let vocabulary = Vocabulary {
        classes: classes.iter().map(|class| class.name.clone()).collect(),
        tenants: tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        report_fields: report_fields.collect(),
        report_columns,
    };
    let settings = Settings {
        dispatcher_index: pairs.count("me")?,
        dispatchers: pairs.count("balancers")?,
        zone: pairs.text("zone")?.into(),
        zones: pairs.names("localities"),
        kinds: pairs.names("machine_types"),
        classes,
        tenants,
        over_share_worth: pairs.optional_number("over_share_worth")?.unwrap_or(1.0),
        worth_by,
        discovery,
        reporting,
        reports_start: pairs.flag("specifics.tells_start", false)?,
        progress_interval: Span::from_ms(pairs.optional_number("specifics.progress_ms")?.unwrap_or(0.0)),
        waste_price: pairs.optional_number("prices.waste")?.unwrap_or(0.0),
        cross_zone_price: pairs.optional_number("prices.cross_zone")?.unwrap_or(0.0),
        quantum: pairs.span("quantum_ms")?,
        limits: Limits {
            cancel: pairs.flag("limits.cancel", false)?,
            probes: pairs.flag("limits.probes", false)?,
            second_copies: pairs.flag("limits.second_copies", false)?,
            retry_after: pairs.flag("limits.retry_after", false)?,
            max_retry_after: Span::from_ms(
                pairs.optional_number("limits.max_retry_after_ms")?.unwrap_or(0.0),
            ),
            max_attempts: pairs.count("limits.send_cap")?,
        },
        rules: Rules {
            answer_slack: pairs.span("rules.answer_slack_ms")?,
            ask_every: match discovery {
                Discovery::Subscribe => pairs.span("rules.ask_every_ms")?,
                Discovery::Automatic => Span(0),
            },
            drain_grace: pairs.span("rules.stop_sending_within_ms")?,
            initial_capacity: pairs.number("rules.cold_from")?,
            ramp: pairs.span("rules.ramp_time_ms")?,
            overload_multiple: pairs.number("rules.fall_multiple")?,
            overload_window: pairs.span("rules.overload_for_ms")?,
        },
    };
    settings.validate().map_err(|error| {
        WireError::new(error.setting, format!("{} (expected {})", error.found, error.expected))
    })?;
    Ok((settings, vocabulary))
}
