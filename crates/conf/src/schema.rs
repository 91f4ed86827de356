//! The table of all sections and keywords: kind of value, range, default, path in the settings tree, and whether
//! a reload applies a change.

use crate::value::Kind;

use Absent::{Default, Required, Unset};

/// What follows a section's name in its first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Label {
    /// Nothing. The section may occur once.
    None,
    /// A name that tells apart sections of this kind, which may occur repeatedly. It is stored in this field.
    Named(&'static str),
}

/// Definition of a section: a group of keywords in braces.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Name in the file; empty for the keywords outside of all sections.
    pub name: &'static str,
    /// Whether instances of the section have names.
    pub label: Label,
    /// Path of its fields in the tree: names separated by `/`. For a section with [`Label::Named`], the path of
    /// a list with one item for each instance.
    pub path: &'static str,
    /// Whether the platform's JSON, if there is one, supplies these values, so that the file's are ignored.
    pub overridden_by_platform: bool,
    /// Description in the reference for operators.
    pub doc: &'static str,
    /// Keywords that are valid in the section.
    pub keywords: &'static [Keyword],
}

/// What applies if a keyword is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absent {
    /// This value, written as in a file.
    Default(&'static str),
    /// The value stays unset. The keyword's description says what that means.
    Unset,
    /// The configuration is rejected.
    Required,
}

/// Definition of a keyword.
#[derive(Clone, Copy, Debug)]
pub struct Keyword {
    /// Name in the file, unique within the section.
    pub name: &'static str,
    /// Kind and range of its value.
    pub kind: Kind,
    /// What applies if it is not given.
    pub absent: Absent,
    /// Path of the value in the tree: below the section's path, or from the root if it starts with `/`.
    pub path: &'static str,
    /// Whether a reload (SIGHUP) applies a change of the value.
    pub reloadable: bool,
    /// Description in the reference for operators.
    pub doc: &'static str,
}

const fn keyword(
    name: &'static str,
    kind: Kind,
    absent: Absent,
    path: &'static str,
    doc: &'static str,
) -> Keyword {
    Keyword { name, kind, absent, path, reloadable: false, doc }
}

const fn reloadable(keyword: Keyword) -> Keyword {
    Keyword { reloadable: true, ..keyword }
}

const DAY: f64 = 86_400_000.0;
const DEFAULT_ON: Absent = Default("on");
const FRACTION: Kind = Kind::Number { min: 0.0, max: 1.0 };
const NON_NEGATIVE: Kind = Kind::Number { min: 0.0, max: f64::MAX };
const fn time(min: f64, max: f64) -> Kind {
    Kind::Time { min, max }
}

/// All sections. The first one holds the keywords outside of all others.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "",
        label: Label::None,
        path: "",
        overridden_by_platform: true,
        doc: "Keywords outside of all sections: the identity of this dispatcher, its addresses and the \
             installation that it belongs to.",
        keywords: &[
            keyword(
                "name",
                Kind::Text,
                Default("rookspoke"),
                "name",
                "The dispatcher's name in logs and metrics.",
            ),
            keyword(
                "listen",
                Kind::Address,
                Required,
                "listen",
                "Address that clients connect to. Port 0 selects a free port.",
            ),
            reloadable(keyword(
                "discovery",
                Kind::Address,
                Unset,
                "discovery",
                "Address of the discovery service that serves the list of log workers. Without it, the \
                 `worker` sections are the list.",
            )),
            keyword(
                "console",
                Kind::Address,
                Unset,
                "console",
                "Address of the operators' console: readiness, metrics and manual ejection of log workers. \
                 Without it, there is no console.",
            ),
            keyword(
                "state",
                Kind::Text,
                Unset,
                "state",
                "Directory for state that must survive a restart: the manually ejected log workers. Without \
                 it, log workers cannot be ejected manually.",
            ),
            keyword(
                "accept-fd",
                Kind::Count { min: 3, max: 1 << 20 },
                Unset,
                "accept_fd",
                "Inherited descriptor of a listening socket that replaces `listen`.",
            ),
            keyword(
                "seed",
                Kind::Seed,
                Unset,
                "seed",
                "Seed of the random number generator. Without it, each start draws a new one.",
            ),
            keyword(
                "sockets",
                Kind::Count { min: 64, max: 1 << 20 },
                Default("1024"),
                "limits/sockets",
                "Maximum number of descriptors that the process uses: half for clients, two fifths for log \
                 workers.",
            ),
            keyword(
                "memory",
                Kind::Count { min: 16, max: 1 << 20 },
                Default("192"),
                "limits/memory_mb",
                "Memory that the process may use, in MiB. It bounds the requests, jobs and answers that are held at a \
                 time, and with 16 KiB each the connections.",
            ),
            keyword("zone", Kind::Text, Default("here"), "settings/zone", "Zone of this dispatcher."),
            keyword(
                "zones",
                Kind::Texts,
                Unset,
                "settings/localities",
                "All zones of the installation. Without it, only `zone`.",
            ),
            keyword(
                "kinds",
                Kind::Texts,
                Default("worker"),
                "settings/machine_types",
                "Kinds of machine that log workers run on.",
            ),
            keyword(
                "dispatchers",
                Kind::Count { min: 1, max: 10_000 },
                Default("1"),
                "settings/balancers",
                "Number of dispatchers that send to these log workers. They divide the capacity of a log \
                 worker in slow start among them.",
            ),
            keyword(
                "number",
                Kind::Count { min: 0, max: 9_999 },
                Default("0"),
                "settings/me",
                "Number of this dispatcher among all `dispatchers`, from 0.",
            ),
            keyword(
                "tick",
                time(0.1, 1_000.0),
                Default("4ms"),
                "settings/quantum_ms",
                "Minimum interval between two rounds of decisions; events that arrive in between are \
                 decided on together.",
            ),
            keyword(
                "over-share-worth",
                FRACTION,
                Default("1"),
                "settings/over_share_worth",
                "Worth of a request beyond its tenant's share, as a fraction of its class's worth.",
            ),
            keyword(
                "worth-by",
                Kind::Choice(&[("request", "request"), ("work", "work")]),
                Default("request"),
                "settings/worth_by",
                "What `worth` is counted for: each request regardless of its size, or each unit of its work.",
            ),
            keyword(
                "cross-zone-price",
                NON_NEGATIVE,
                Default("0"),
                "settings/prices/cross_zone",
                "Cost of sending a request to another zone, as a fraction of its worth.",
            ),
        ],
    },
    Section {
        name: "class",
        label: Label::Named("name"),
        path: "settings/classes",
        overridden_by_platform: true,
        doc: "A class of requests. At least one is required.",
        keywords: &[
            keyword(
                "effect",
                Kind::Choice(&[
                    ("safe", "read_like"),
                    ("once", "non_idempotent"),
                    ("keyed", "idempotency_key"),
                ]),
                Required,
                "effect",
                "Whether a request may be repeated: `safe` without limits; `once` only while it cannot have \
                 run; `keyed` only where log workers discard repeats (`group`, `window`).",
            ),
            keyword(
                "aim",
                time(1.0, DAY),
                Required,
                "goal_time_ms",
                "Latency goal: an answer within this time has its full worth.",
            ),
            keyword(
                "deadline",
                time(1.0, DAY),
                Required,
                "deadline_ms",
                "How long clients wait for an answer if the request does not state its own deadline.",
            ),
            keyword(
                "stretch",
                Kind::Number { min: 0.0, max: 1000.0 },
                Default("0"),
                "aim_stretch",
                "The aim is extended by this multiple of the request's own running time.",
            ),
            keyword(
                "worth",
                NON_NEGATIVE,
                Default("1"),
                "gain",
                "Worth of an answer in time, relative to other classes.",
            ),
            keyword(
                "late-worth",
                FRACTION,
                Default("0"),
                "late_worth",
                "Fraction of the worth that an answer keeps after the aim has passed.",
            ),
            keyword(
                "kind",
                Kind::Text,
                Unset,
                "kind",
                "The only kind of machine that runs this class. Without it, any kind does.",
            ),
            keyword(
                "group",
                Kind::Choice(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]),
                Default("all"),
                "group",
                "With effect `keyed`: which log workers discard a repeat of a request that one of them has \
                 received.",
            ),
            keyword(
                "window",
                time(0.0, DAY),
                Default("5s"),
                "dedup_window_ms",
                "With effect `keyed`: how long after the first send repeats are discarded.",
            ),
        ],
    },
    Section {
        name: "tenant",
        label: Label::Named("name"),
        path: "settings/projects",
        overridden_by_platform: true,
        doc: "A tenant and its share of the service.",
        keywords: &[keyword(
            "allowance",
            Kind::Rate,
            Required,
            "allowance_per_s",
            "Rate of requests within the tenant's share, summed over all dispatchers.",
        )],
    },
    Section {
        name: "worker",
        label: Label::Named("uid"),
        path: "known/targets",
        overridden_by_platform: true,
        doc: "A log worker of a fixed list, for installations without discovery. With `discovery`, the list \
             is used until discovery has answered.",
        keywords: &[
            reloadable(keyword(
                "address",
                Kind::Address,
                Required,
                "endpoint",
                "Address that the log worker listens on.",
            )),
            reloadable(keyword(
                "zone",
                Kind::Text,
                Unset,
                "az",
                "Zone of the log worker. Without it, the dispatcher's zone.",
            )),
            reloadable(keyword(
                "kind",
                Kind::Text,
                Unset,
                "model",
                "Kind of machine of the log worker. Without it, the first of `kinds`.",
            )),
            reloadable(keyword(
                "cell",
                Kind::Count { min: 0, max: u64::MAX },
                Unset,
                "pod_group",
                "Rack of the log worker: a group of log workers that shares which keys it has received.",
            )),
            reloadable(keyword(
                "weight",
                NON_NEGATIVE,
                Default("1"),
                "capacity_hint",
                "Capacity relative to other log workers.",
            )),
            reloadable(keyword(
                "state",
                Kind::Choice(&[("active", "active"), ("draining", "leaving")]),
                Default("active"),
                "state",
                "A draining log worker finishes the jobs that it has and gets no new ones.",
            )),
        ],
    },
    Section {
        name: "limits",
        label: Label::None,
        path: "settings/limits",
        overridden_by_platform: true,
        doc: "What the installation allows a dispatcher to do.",
        keywords: &[
            keyword(
                "attempts",
                Kind::Count { min: 1, max: 100 },
                Default("6"),
                "send_cap",
                "Maximum number of call attempts for a request.",
            ),
            keyword("cancel", Kind::Switch, DEFAULT_ON, "cancel", "Whether call attempts may be cancelled."),
            keyword(
                "probes",
                Kind::Switch,
                Default("off"),
                "probes",
                "Whether log workers may be probed for their load (`GET /stats`).",
            ),
            keyword(
                "second-copies",
                Kind::Switch,
                DEFAULT_ON,
                "second_copies",
                "Whether a safe request may be hedged: sent a second time while the first attempt has no \
                 answer yet.",
            ),
            keyword(
                "retry-after",
                Kind::Switch,
                DEFAULT_ON,
                "retry_after",
                "Whether a refusal tells the client when to retry (`retry-after`).",
            ),
            keyword(
                "max-retry-after",
                time(0.0, DAY),
                Default("2s"),
                "max_retry_after_ms",
                "Maximum time in `retry-after`.",
            ),
            keyword(
                "connection-idle",
                time(1.0, DAY),
                Default("15s"),
                "conn_idle_ms",
                "How long log workers keep an idle connection open; the dispatcher closes its own earlier.",
            ),
            keyword(
                "connect-timeout",
                time(1.0, 60_000.0),
                Default("250ms"),
                "connect_timeout_ms",
                "Maximum time to establish a connection.",
            ),
        ],
    },
    Section {
        name: "rules",
        label: Label::None,
        path: "settings/rules",
        overridden_by_platform: true,
        doc: "Parameters of the rules that a dispatcher always keeps.",
        keywords: &[
            keyword(
                "answer-slack",
                time(0.0, 60_000.0),
                Default("16ms"),
                "answer_slack_ms",
                "How long after the deadline a final answer still counts.",
            ),
            keyword(
                "ask-every",
                time(1.0, DAY),
                Default("10s"),
                "ask_every_ms",
                "Maximum time between two requests to discovery.",
            ),
            keyword(
                "drain-grace",
                time(0.0, 60_000.0),
                Default("500ms"),
                "stop_sending_within_ms",
                "Time within which a draining log worker stops receiving new work.",
            ),
            keyword(
                "cold-from",
                FRACTION,
                Default("0.13"),
                "cold_from",
                "Minimum fraction of its capacity that a log worker has at the beginning of slow start.",
            ),
            keyword(
                "ramp",
                time(0.0, DAY),
                Default("23s"),
                "ramp_time_ms",
                "Maximum duration of slow start.",
            ),
            keyword(
                "fall-multiple",
                Kind::Number { min: 0.01, max: 1000.0 },
                Default("3"),
                "fall_multiple",
                "A log worker in slow start is overloaded if it is sent more than this multiple of its \
                 current capacity within `fall-span`.",
            ),
            keyword(
                "fall-span",
                time(0.0, DAY),
                Default("3s"),
                "overload_for_ms",
                "Period over which `fall-multiple` counts.",
            ),
        ],
    },
    Section {
        name: "reports",
        label: Label::None,
        path: "settings/reporting",
        overridden_by_platform: true,
        doc: "Load reports of log workers.",
        keywords: &[
            keyword(
                "how",
                Kind::Choice(&[("answers", "answers"), ("probes", "probe"), ("none", "none")]),
                Default("none"),
                "how",
                "How load reports arrive: with answers, with probes only, or not at all.",
            ),
            keyword(
                "fields",
                Kind::Texts,
                Unset,
                "fields",
                "Fields of a load report. Known names are `busy_reqs`, `pending`, `cpu_share`, \
                 `failed_ps`, `served_ps`, `x0`, `x1`; fields with other names are skipped.",
            ),
            keyword(
                "x0",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-slots"),
                "/settings/specifics/report_x0",
                "Meaning of the field `x0`.",
            ),
            keyword(
                "x1",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-memory"),
                "/settings/specifics/report_x1",
                "Meaning of the field `x1`.",
            ),
            keyword(
                "starts",
                Kind::Switch,
                DEFAULT_ON,
                "/settings/specifics/tells_start",
                "Whether log workers report the start of a job.",
            ),
            keyword(
                "progress",
                time(0.0, DAY),
                Default("0ms"),
                "/settings/specifics/progress_ms",
                "How often log workers report the progress of a running job; `0ms` for never. A job without \
                 a report for twice this time is cancelled.",
            ),
        ],
    },
    Section {
        name: "faktory",
        label: Label::None,
        path: "faktory",
        overridden_by_platform: false,
        doc: "The Faktory front. Without this section, it is off.",
        keywords: &[
            keyword(
                "listen",
                Kind::Address,
                Required,
                "listen",
                "Address that producers and consumers connect to.",
            ),
            keyword(
                "connections",
                Kind::Count { min: 1, max: 1 << 20 },
                Default("256"),
                "max_connections",
                "Maximum number of connections of producers and consumers together. They count towards \
                 `sockets`.",
            ),
            keyword(
                "claim",
                time(1.0, DAY),
                Default("5s"),
                "claim_ms",
                "How long a job waits for one consumer to fetch it before it is offered to another.",
            ),
            keyword(
                "reconnect",
                time(1.0, DAY),
                Default("2s"),
                "reconnect_ms",
                "How long a consumer that lost its last connection may take to reconnect before its jobs \
                 count as lost.",
            ),
        ],
    },
    Section {
        name: "vrrp",
        label: Label::None,
        path: "faktory/vrrp",
        overridden_by_platform: false,
        doc:
            "A pair of daemons with the Faktory front: the master accepts and hands out new jobs, the backup \
              only accepts the outcomes of the jobs that it handed out. Requires the section `faktory`.",
        keywords: &[
            keyword("listen", Kind::Address, Required, "listen", "IPv4 address and UDP port of this daemon."),
            keyword(
                "peers",
                Kind::PeerAddresses,
                Required,
                "peers",
                "IPv4 addresses and UDP ports of the other daemons.",
            ),
            keyword(
                "router",
                Kind::Count { min: 1, max: 255 },
                Required,
                "vrid",
                "Number of the virtual router (VRID).",
            ),
            keyword(
                "priority",
                Kind::Count { min: 1, max: 255 },
                Default("100"),
                "priority",
                "Priority in the election of the master: 1 to 254; 255 is for the owner of the addresses.",
            ),
            keyword(
                "interval",
                Kind::Centiseconds { max: 4095 },
                Default("1s"),
                "interval_cs",
                "Interval between the advertisements of the master.",
            ),
            keyword(
                "preempt",
                Kind::Switch,
                DEFAULT_ON,
                "preempt",
                "Whether to take over from a master of lower priority.",
            ),
            keyword(
                "addresses",
                Kind::Ipv4s,
                Required,
                "addresses",
                "Virtual addresses, the same on every daemon.",
            ),
        ],
    },
    Section {
        name: "log",
        label: Label::None,
        path: "log",
        overridden_by_platform: false,
        doc: "The log, which is written to standard error.",
        keywords: &[
            keyword(
                "format",
                Kind::Choice(&[("text", "text"), ("json", "json")]),
                Default("text"),
                "format",
                "Plain text, or one JSON object per line.",
            ),
            reloadable(keyword(
                "level",
                Kind::Text,
                Default("info"),
                "level",
                "`error`, `warn`, `info`, `debug`, `trace`, or directives per module, such as \
                 `info,rookspoke_channel=debug`. ROOKSPOKE_LOG takes precedence.",
            )),
            keyword(
                "repeats",
                Kind::Count { min: 1, max: 1_000_000 },
                Default("20"),
                "repeats",
                "Maximum number of lines per second from one place in the program, at the levels `info`, \
                 `warn` and `error`. Suppressed lines are counted.",
            ),
            keyword(
                "queue",
                Kind::Count { min: 1, max: 1_000_000 },
                Default("4096"),
                "queue",
                "Maximum number of lines that wait to be written. Further lines are dropped and counted, so \
                 that a log that nobody reads does not block the daemon.",
            ),
        ],
    },
    Section {
        name: "control",
        label: Label::None,
        path: "control",
        overridden_by_platform: false,
        doc: "The control socket that `rookspoke status` queries. Without this section, there is none.",
        keywords: &[keyword(
            "path",
            Kind::Text,
            Required,
            "path",
            "Path of the Unix socket, which only its owner can access. A socket left by a daemon that has \
             exited is replaced.",
        )],
    },
];

/// Looks up a section by its name.
pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

impl Section {
    /// Looks up one of the section's keywords by its name.
    pub fn keyword(&self, name: &str) -> Option<&'static Keyword> {
        self.keywords.iter().find(|keyword| keyword.name == name)
    }

    /// JSON pointer (RFC 6901) of a keyword's value. `item` is the index of the instance in a section that is a
    /// list.
    pub fn pointer(&self, item: Option<usize>, path: &str) -> String {
        match (path.strip_prefix('/'), item) {
            // Relative to the root, not to the section.
            (Some(path), _) => format!("/{path}"),
            (None, Some(item)) => format!("/{}/{item}/{path}", self.path),
            (None, None) if self.path.is_empty() => format!("/{path}"),
            (None, None) => format!("/{}/{path}", self.path),
        }
    }
}

/// The table in Markdown, as it is included in `docs/configuration.md`.
pub fn markdown() -> String {
    let mut text = String::new();
    for section in SECTIONS {
        let title = match (section.name, section.label) {
            ("", _) => "Outside of all sections".to_owned(),
            (name, Label::None) => format!("`{name} {{ ... }}`"),
            (name, Label::Named(_)) => format!("`{name} NAME {{ ... }}`"),
        };
        text.push_str(&format!("### {title}\n\n{}\n\n", section.doc));
        text.push_str("| keyword | value | default | reload | meaning |\n| --- | --- | --- | --- | --- |\n");
        for keyword in section.keywords {
            let default = match keyword.absent {
                Default(text) => format!("`{text}`"),
                Unset => "none".into(),
                Required => "required".into(),
            };
            let reload = if keyword.reloadable { "yes" } else { "no" };
            let kind = keyword.kind.expected();
            text.push_str(&format!(
                "| `{}` | {kind} | {default} | {reload} | {} |\n",
                keyword.name, keyword.doc
            ));
        }
        text.push('\n');
    }
    text
}
