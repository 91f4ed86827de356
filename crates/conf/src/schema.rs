//! Every section and keyword: its unit, default and range, where it goes, and whether a reload heeds it.

use crate::value::Kind;

/// What may follow a section's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Label {
    /// Nothing: the section may come once.
    None,
    /// A name of its own: the section may come often, and the name goes to this field.
    Named(&'static str),
}

/// A section of the file.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its name; empty for the lines outside of all sections.
    pub name: &'static str,
    /// What follows the name.
    pub label: Label,
    /// Where its fields go: a path into the tree, of names parted by `/`. The path of a section that may come
    /// often leads to a list.
    pub path: &'static str,
    /// Whether the platform's JSON, where there is one, says these things instead.
    pub overridden_by_platform: bool,
    /// What it is for.
    pub doc: &'static str,
    /// Its keywords.
    pub keywords: &'static [Keyword],
}

/// What holds where a keyword is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absent {
    /// This, as it would stand in a file.
    Default(&'static str),
    /// Nothing: that is a meaning of its own, told in the text.
    Unset,
    /// It is an error.
    Required,
}

/// A keyword.
#[derive(Clone, Copy, Debug)]
pub struct Keyword {
    /// Its name.
    pub name: &'static str,
    /// What follows it.
    pub kind: Kind,
    /// What holds without it.
    pub absent: Absent,
    /// Where it goes, below its section's path.
    pub path: &'static str,
    /// Whether SIGHUP heeds a change of it.
    pub reloadable: bool,
    /// What it means.
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

use Absent::{Default, Required, Unset};

const DAY: f64 = 86_400_000.0;
const DEFAULT_ON: Absent = Default("on");
const FRACTION: Kind = Kind::Number { min: 0.0, max: 1.0 };
const POSITIVE: Kind = Kind::Number { min: 0.0, max: f64::MAX };
const fn time(min: f64, max: f64) -> Kind {
    Kind::Time { min, max }
}

/// All sections; the first holds the lines outside of all others.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "",
        label: Label::None,
        path: "",
        overridden_by_platform: true,
        doc: "Lines outside of all sections: who this dispatcher is, and where the others are.",
        keywords: &[
            keyword("name", Kind::Text, Default("rookspoke"), "name", "The dispatcher's name in logs and figures."),
            keyword("listen", Kind::Address, Required, "listen", "Where clients connect. Port 0 takes a free one."),
            reloadable(keyword(
                "discovery",
                Kind::Address,
                Unset,
                "discovery",
                "Where the list of log workers is asked for. Without it, the `worker` sections are the list.",
            )),
            keyword(
                "console",
                Kind::Address,
                Unset,
                "console",
                "Where operators ask: ready, figures, log workers out by hand. Without it there is no such place.",
            ),
            keyword(
                "state",
                Kind::Text,
                Unset,
                "state",
                "The folder of what a restart must not forget: which log workers are out by hand. Without it, none \
                 can be taken out.",
            ),
            keyword(
                "accept-fd",
                Kind::Count { min: 3, max: 1 << 20 },
                Unset,
                "accept_fd",
                "An inherited descriptor that listens for clients in the place of `listen`.",
            ),
            keyword("seed", Kind::Seed, Unset, "seed", "For random numbers. Without it, another one each start."),
            keyword(
                "sockets",
                Kind::Count { min: 64, max: 1 << 20 },
                Default("1024"),
                "limits/sockets",
                "The most descriptors that the process uses: half for clients, two fifths for log workers.",
            ),
            keyword("zone", Kind::Text, Default("here"), "settings/zone", "The zone that this dispatcher is in."),
            keyword("zones", Kind::Texts, Unset, "settings/localities", "All zones. Without it, just `zone`."),
            keyword(
                "kinds",
                Kind::Texts,
                Default("worker"),
                "settings/machine_types",
                "The kinds of machine that log workers run on.",
            ),
            keyword(
                "dispatchers",
                Kind::Count { min: 1, max: 10_000 },
                Default("1"),
                "settings/balancers",
                "How many dispatchers send to these log workers: each keeps to its part of a cold one.",
            ),
            keyword(
                "number",
                Kind::Count { min: 0, max: 9_999 },
                Default("0"),
                "settings/me",
                "This dispatcher's number among them, from 0.",
            ),
            keyword(
                "tick",
                time(0.1, 1_000.0),
                Default("4ms"),
                "settings/quantum_ms",
                "Events are decided on together, no more often than this.",
            ),
            keyword(
                "over-share-worth",
                FRACTION,
                Default("1"),
                "settings/over_share_worth",
                "What a request beyond its tenant's share is worth, as a part of its class's worth.",
            ),
            keyword(
                "worth-by",
                Kind::Choice(&[("request", "request"), ("work", "work")]),
                Default("request"),
                "settings/worth_by",
                "What `worth` is counted for: each request, whatever its size, or each unit of its work.",
            ),
            keyword(
                "cross-zone-price",
                POSITIVE,
                Default("0"),
                "settings/prices/cross_zone",
                "What sending a request to another zone costs, as a part of its worth.",
            ),
        ],
    },
    Section {
        name: "class",
        label: Label::Named("name"),
        path: "settings/classes",
        overridden_by_platform: true,
        doc: "A class of requests. There is at least one.",
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
                "How far a request may be repeated: at will; never once it may have run; or only where log \
                 workers discard repeats (`group`, `window`).",
            ),
            keyword("aim", time(1.0, DAY), Required, "goal_time_ms", "An answer within this time has its full worth."),
            keyword(
                "deadline",
                time(1.0, DAY),
                Required,
                "deadline_ms",
                "How long clients wait, where they do not say so themselves.",
            ),
            keyword(
                "stretch",
                Kind::Number { min: 0.0, max: 1000.0 },
                Default("0"),
                "aim_stretch",
                "The aim grows by this times the request's own running time.",
            ),
            keyword("worth", POSITIVE, Default("1"), "gain", "What an answer in time is worth, against other classes."),
            keyword("late-worth", FRACTION, Default("0"), "late_worth", "The part of the worth that is left after the aim."),
            keyword("kind", Kind::Text, Unset, "kind", "The only kind of machine that runs it. Without it, any."),
            keyword(
                "group",
                Kind::Choice(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]),
                Default("all"),
                "group",
                "With effect `keyed`: which log workers discard a repeat.",
            ),
            keyword(
                "window",
                time(0.0, DAY),
                Default("5s"),
                "dedup_window_ms",
                "With effect `keyed`: for how long after the first send.",
            ),
        ],
    },
    Section {
        name: "tenant",
        label: Label::Named("name"),
        path: "settings/projects",
        overridden_by_platform: true,
        doc: "A tenant, and its share of the service.",
        keywords: &[keyword(
            "allowance",
            Kind::Rate,
            Required,
            "allowance_per_s",
            "Requests within its share, over all dispatchers.",
        )],
    },
    Section {
        name: "worker",
        label: Label::Named("uid"),
        path: "known/targets",
        overridden_by_platform: true,
        doc: "A log worker of a fixed list, for installations without discovery. With `discovery`, the list \
              that holds until discovery has answered.",
        keywords: &[
            reloadable(keyword("address", Kind::Address, Required, "endpoint", "Where it listens.")),
            reloadable(keyword("zone", Kind::Text, Unset, "az", "The zone that it is in. Without it, the dispatcher's.")),
            reloadable(keyword("kind", Kind::Text, Unset, "model", "Its kind of machine. Without it, the first of `kinds`.")),
            reloadable(keyword(
                "cell",
                Kind::Count { min: 0, max: u64::MAX },
                Unset,
                "pod_group",
                "Its cell: a group that shares which keys it has seen.",
            )),
            reloadable(keyword("weight", POSITIVE, Default("1"), "capacity_hint", "Its size against other log workers.")),
            reloadable(keyword(
                "state",
                Kind::Choice(&[("active", "active"), ("draining", "leaving")]),
                Default("active"),
                "state",
                "A draining one finishes what it has and gets nothing new.",
            )),
        ],
    },
    Section {
        name: "limits",
        label: Label::None,
        path: "settings/limits",
        overridden_by_platform: true,
        doc: "What the installation lets a dispatcher do.",
        keywords: &[
            keyword(
                "attempts",
                Kind::Count { min: 1, max: 100 },
                Default("6"),
                "send_cap",
                "The most call attempts for a request.",
            ),
            keyword("cancel", Kind::Switch, DEFAULT_ON, "cancel", "Attempts may be called off."),
            keyword("probes", Kind::Switch, Default("off"), "probes", "Log workers may be asked for their load (`GET /stats`)."),
            keyword(
                "second-copies",
                Kind::Switch,
                DEFAULT_ON,
                "second_copies",
                "A second copy of a safe request may be sent while the first is out.",
            ),
            keyword("retry-after", Kind::Switch, DEFAULT_ON, "retry_after", "Refused clients are told when to come back."),
            keyword(
                "max-retry-after",
                time(0.0, DAY),
                Default("2s"),
                "max_retry_after_ms",
                "The longest time that they are told.",
            ),
            keyword(
                "connection-idle",
                time(1.0, DAY),
                Default("15s"),
                "conn_idle_ms",
                "How long log workers leave an idle connection open: ours are closed sooner.",
            ),
            keyword(
                "connect-timeout",
                time(1.0, 60_000.0),
                Default("250ms"),
                "connect_timeout_ms",
                "How long a connection may take to come up.",
            ),
        ],
    },
    Section {
        name: "rules",
        label: Label::None,
        path: "settings/rules",
        overridden_by_platform: true,
        doc: "The figures of the rules that are always kept.",
        keywords: &[
            keyword(
                "answer-slack",
                time(0.0, 60_000.0),
                Default("16ms"),
                "answer_slack_ms",
                "How long past the deadline a final answer still counts.",
            ),
            keyword(
                "ask-every",
                time(1.0, DAY),
                Default("10s"),
                "ask_every_ms",
                "How long a dispatcher may go without asking discovery.",
            ),
            keyword(
                "drain-grace",
                time(0.0, 60_000.0),
                Default("500ms"),
                "stop_sending_within_ms",
                "New work to a draining log worker stops within this time.",
            ),
            keyword(
                "cold-from",
                FRACTION,
                Default("0.13"),
                "cold_from",
                "The part of its capacity that a log worker starts with, at the least.",
            ),
            keyword("ramp", time(0.0, DAY), Default("23s"), "ramp_time_ms", "When it is warm, at the latest."),
            keyword(
                "fall-multiple",
                Kind::Number { min: 0.01, max: 1000.0 },
                Default("3"),
                "fall_multiple",
                "Sent more than this times its present capacity, a cold log worker falls over",
            ),
            keyword("fall-span", time(0.0, DAY), Default("3s"), "overload_for_ms", "within this time."),
        ],
    },
    Section {
        name: "reports",
        label: Label::None,
        path: "settings/reporting",
        overridden_by_platform: true,
        doc: "The load reports of log workers.",
        keywords: &[
            keyword(
                "how",
                Kind::Choice(&[("answers", "answers"), ("probes", "probe"), ("none", "none")]),
                Default("none"),
                "how",
                "Where they come from: with answers, with probes alone, or nowhere.",
            ),
            keyword(
                "fields",
                Kind::Texts,
                Unset,
                "fields",
                "Their fields, by the names `busy_reqs`, `pending`, `cpu_share`, `failed_ps`, `served_ps`, `x0`, \
                 `x1`; others are skipped.",
            ),
            keyword(
                "x0",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-slots"),
                "/settings/specifics/report_x0",
                "What the field `x0` means.",
            ),
            keyword(
                "x1",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-memory"),
                "/settings/specifics/report_x1",
                "What the field `x1` means.",
            ),
            keyword(
                "starts",
                Kind::Switch,
                DEFAULT_ON,
                "/settings/specifics/tells_start",
                "Log workers tell when a job starts.",
            ),
            keyword(
                "progress",
                time(0.0, DAY),
                Default("0ms"),
                "/settings/specifics/progress_ms",
                "How often log workers tell how far a job is that they run; 0ms: never. One that says nothing for \
                 twice as long has its job called off.",
            ),
        ],
    },
    Section {
        name: "faktory",
        label: Label::None,
        path: "faktory",
        overridden_by_platform: false,
        doc: "The Faktory front. Without this section it is off.",
        keywords: &[
            keyword("listen", Kind::Address, Required, "listen", "Where producers and consumers connect."),
            keyword(
                "connections",
                Kind::Count { min: 1, max: 1 << 20 },
                Default("256"),
                "max_connections",
                "The most connections of both together. They come out of `sockets`.",
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
                "How long a consumer that lost its last connection may stay away before what it held counts as lost.",
            ),
        ],
    },
    Section {
        name: "vrrp",
        label: Label::None,
        path: "faktory/vrrp",
        overridden_by_platform: false,
        doc: "A pair of daemons with the Faktory front: the master takes and hands out new work, the backup only \
              hears how its own ended. Needs the section `faktory`.",
        keywords: &[
            keyword("listen", Kind::Address, Required, "listen", "This daemon's own IPv4 address and UDP port."),
            keyword("peers", Kind::PeerAddresses, Required, "peers", "The other daemons'."),
            keyword("router", Kind::Count { min: 1, max: 255 }, Required, "vrid", "The number of the virtual router."),
            keyword(
                "priority",
                Kind::Count { min: 1, max: 255 },
                Default("100"),
                "priority",
                "1 to 254; 255 is for the owner of the addresses.",
            ),
            keyword(
                "interval",
                Kind::Centiseconds { max: 4095 },
                Default("1s"),
                "interval_cs",
                "How often the master advertises.",
            ),
            keyword("preempt", Kind::Switch, DEFAULT_ON, "preempt", "Whether to take over from a master of lower priority."),
            keyword("addresses", Kind::Ipv4s, Required, "addresses", "The virtual addresses, the same on every daemon."),
        ],
    },
    Section {
        name: "log",
        label: Label::None,
        path: "log",
        overridden_by_platform: false,
        doc: "What is written to standard error.",
        keywords: &[
            keyword(
                "format",
                Kind::Choice(&[("text", "text"), ("json", "json")]),
                Default("text"),
                "format",
                "Lines for people, or one JSON object a line.",
            ),
            reloadable(keyword(
                "level",
                Kind::Text,
                Default("info"),
                "level",
                "`error`, `warn`, `info`, `debug`, `trace`, or directives for each part, such as \
                 `info,rookspoke_channel=debug`. ROOKSPOKE_LOG goes before it.",
            )),
            keyword(
                "repeats",
                Kind::Count { min: 1, max: 1_000_000 },
                Default("20"),
                "repeats",
                "The most lines a second from one place in the program, at the levels from `info` up. What is \
                 left out is counted.",
            ),
            keyword(
                "queue",
                Kind::Count { min: 1, max: 1_000_000 },
                Default("4096"),
                "queue",
                "Lines that wait to be written. Beyond it they are dropped and counted: a log that nobody reads \
                 holds up nothing.",
            ),
        ],
    },
    Section {
        name: "control",
        label: Label::None,
        path: "control",
        overridden_by_platform: false,
        doc: "The socket that `rookspoke status` asks. Without this section there is none.",
        keywords: &[keyword(
            "path",
            Kind::Text,
            Required,
            "path",
            "A Unix socket, readable for its owner alone. One that a dead daemon left is replaced.",
        )],
    },
];

/// The section of this name.
pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

impl Section {
    /// The keyword of this name.
    pub fn keyword(&self, name: &str) -> Option<&'static Keyword> {
        self.keywords.iter().find(|keyword| keyword.name == name)
    }

    /// The path of a keyword: a JSON pointer (RFC 6901). `item` is the place in the list of a section that may
    /// come often.
    pub fn pointer(&self, item: Option<usize>, path: &str) -> String {
        match (path.strip_prefix('/'), item) {
            // It leads from the root.
            (Some(path), _) => format!("/{path}"),
            (None, Some(item)) => format!("/{}/{item}/{path}", self.path),
            (None, None) if self.path.is_empty() => format!("/{path}"),
            (None, None) => format!("/{}/{path}", self.path),
        }
    }
}

/// The table as a page in Markdown, for `docs/configuration.md`.
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
