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
    pub platform: bool,
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
    Nothing,
    /// It is an error.
    Error,
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
    pub reload: bool,
    /// What it means.
    pub doc: &'static str,
}

const fn key(
    name: &'static str,
    kind: Kind,
    absent: Absent,
    path: &'static str,
    doc: &'static str,
) -> Keyword {
    Keyword { name, kind, absent, path, reload: false, doc }
}

const fn live(keyword: Keyword) -> Keyword {
    Keyword { reload: true, ..keyword }
}

use Absent::{Default, Error, Nothing};

const DAY: f64 = 86_400_000.0;
const ON: Absent = Default("on");
const PART: Kind = Kind::Number { least: 0.0, most: 1.0 };
const POSITIVE: Kind = Kind::Number { least: 0.0, most: f64::MAX };
const fn time(least: f64, most: f64) -> Kind {
    Kind::Time { least, most }
}

/// All sections; the first holds the lines outside of all others.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "",
        label: Label::None,
        path: "",
        platform: true,
        doc: "Lines outside of all sections: who this dispatcher is, and where the others are.",
        keywords: &[
            key("name", Kind::Text, Default("rookspoke"), "name", "The dispatcher's name in logs and figures."),
            key("listen", Kind::Address, Error, "listen", "Where clients connect. Port 0 takes a free one."),
            live(key(
                "discovery",
                Kind::Address,
                Nothing,
                "discovery",
                "Where the list of log workers is asked for. Without it, the `worker` sections are the list.",
            )),
            key(
                "console",
                Kind::Address,
                Nothing,
                "console",
                "Where operators ask: ready, figures, log workers out by hand. Without it there is no such place.",
            ),
            key(
                "state",
                Kind::Text,
                Nothing,
                "state",
                "The folder of what a restart must not forget: which log workers are out by hand. Without it, none \
                 can be taken out.",
            ),
            key(
                "accept-fd",
                Kind::Count { least: 3, most: 1 << 20 },
                Nothing,
                "accept_fd",
                "An inherited descriptor that listens for clients in the place of `listen`.",
            ),
            key("seed", Kind::Seed, Nothing, "seed", "For random numbers. Without it, another one each start."),
            key(
                "sockets",
                Kind::Count { least: 64, most: 1 << 20 },
                Default("1024"),
                "limits/sockets",
                "The most descriptors that the process uses: half for clients, two fifths for log workers.",
            ),
            key("zone", Kind::Text, Default("here"), "settings/zone", "The zone that this dispatcher is in."),
            key("zones", Kind::Texts, Nothing, "settings/localities", "All zones. Without it, just `zone`."),
            key(
                "kinds",
                Kind::Texts,
                Default("worker"),
                "settings/machine_types",
                "The kinds of machine that log workers run on.",
            ),
            key(
                "dispatchers",
                Kind::Count { least: 1, most: 10_000 },
                Default("1"),
                "settings/balancers",
                "How many dispatchers send to these log workers: each keeps to its part of a cold one.",
            ),
            key(
                "number",
                Kind::Count { least: 0, most: 9_999 },
                Default("0"),
                "settings/me",
                "This dispatcher's number among them, from 0.",
            ),
            key(
                "tick",
                time(0.1, 1_000.0),
                Default("4ms"),
                "settings/quantum_ms",
                "Events are decided on together, no more often than this.",
            ),
            key(
                "over-share-worth",
                PART,
                Default("1"),
                "settings/over_share_worth",
                "What a request beyond its tenant's share is worth, as a part of its class's worth.",
            ),
            key(
                "worth-by",
                Kind::Choice(&[("request", "request"), ("work", "work")]),
                Default("request"),
                "settings/worth_by",
                "What `worth` is counted for: each request, whatever its size, or each unit of its work.",
            ),
            key(
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
        platform: true,
        doc: "A class of requests. There is at least one.",
        keywords: &[
            key(
                "effect",
                Kind::Choice(&[
                    ("safe", "read_like"),
                    ("once", "non_idempotent"),
                    ("keyed", "idempotency_key"),
                ]),
                Error,
                "effect",
                "How far a request may be repeated: at will; never once it may have run; or only where log \
                 workers discard repeats (`group`, `window`).",
            ),
            key("aim", time(1.0, DAY), Error, "goal_time_ms", "An answer within this time has its full worth."),
            key(
                "deadline",
                time(1.0, DAY),
                Error,
                "deadline_ms",
                "How long clients wait, where they do not say so themselves.",
            ),
            key(
                "stretch",
                Kind::Number { least: 0.0, most: 1000.0 },
                Default("0"),
                "aim_stretch",
                "The aim grows by this times the request's own running time.",
            ),
            key("worth", POSITIVE, Default("1"), "gain", "What an answer in time is worth, against other classes."),
            key("late-worth", PART, Default("0"), "late_worth", "The part of the worth that is left after the aim."),
            key("kind", Kind::Text, Nothing, "kind", "The only kind of machine that runs it. Without it, any."),
            key(
                "group",
                Kind::Choice(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]),
                Default("all"),
                "group",
                "With effect `keyed`: which log workers discard a repeat.",
            ),
            key(
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
        platform: true,
        doc: "A tenant, and its share of the service.",
        keywords: &[key(
            "allowance",
            Kind::Rate,
            Error,
            "allowance_per_s",
            "Requests within its share, over all dispatchers.",
        )],
    },
    Section {
        name: "worker",
        label: Label::Named("uid"),
        path: "known/targets",
        platform: true,
        doc: "A log worker of a fixed list, for installations without discovery. With `discovery`, the list \
              that holds until discovery has answered.",
        keywords: &[
            live(key("address", Kind::Address, Error, "endpoint", "Where it listens.")),
            live(key("zone", Kind::Text, Nothing, "az", "The zone that it is in. Without it, the dispatcher's.")),
            live(key("kind", Kind::Text, Nothing, "model", "Its kind of machine. Without it, the first of `kinds`.")),
            live(key(
                "cell",
                Kind::Count { least: 0, most: u64::MAX },
                Nothing,
                "pod_group",
                "Its cell: a group that shares which keys it has seen.",
            )),
            live(key("weight", POSITIVE, Default("1"), "capacity_hint", "Its size against other log workers.")),
            live(key(
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
        platform: true,
        doc: "What the installation lets a dispatcher do.",
        keywords: &[
            key(
                "attempts",
                Kind::Count { least: 1, most: 100 },
                Default("6"),
                "send_cap",
                "The most call attempts for a request.",
            ),
            key("cancel", Kind::Switch, ON, "cancel", "Attempts may be called off."),
            key("probes", Kind::Switch, Default("off"), "probes", "Log workers may be asked for their load (`GET /stats`)."),
            key(
                "second-copies",
                Kind::Switch,
                ON,
                "second_copies",
                "A second copy of a safe request may be sent while the first is out.",
            ),
            key("retry-after", Kind::Switch, ON, "retry_after", "Refused clients are told when to come back."),
            key(
                "max-retry-after",
                time(0.0, DAY),
                Default("2s"),
                "max_retry_after_ms",
                "The longest time that they are told.",
            ),
            key(
                "connection-idle",
                time(1.0, DAY),
                Default("15s"),
                "conn_idle_ms",
                "How long log workers leave an idle connection open: ours are closed sooner.",
            ),
            key(
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
        platform: true,
        doc: "The figures of the rules that are always kept.",
        keywords: &[
            key(
                "answer-slack",
                time(0.0, 60_000.0),
                Default("16ms"),
                "answer_slack_ms",
                "How long past the deadline a final answer still counts.",
            ),
            key(
                "ask-every",
                time(1.0, DAY),
                Default("10s"),
                "ask_every_ms",
                "How long a dispatcher may go without asking discovery.",
            ),
            key(
                "drain-grace",
                time(0.0, 60_000.0),
                Default("500ms"),
                "stop_sending_within_ms",
                "New work to a draining log worker stops within this time.",
            ),
            key(
                "cold-from",
                PART,
                Default("0.13"),
                "cold_from",
                "The part of its capacity that a log worker starts with, at the least.",
            ),
            key("ramp", time(0.0, DAY), Default("23s"), "ramp_time_ms", "When it is warm, at the latest."),
            key(
                "fall-multiple",
                Kind::Number { least: 0.01, most: 1000.0 },
                Default("3"),
                "fall_multiple",
                "Sent more than this times its present capacity, a cold log worker falls over",
            ),
            key("fall-span", time(0.0, DAY), Default("3s"), "overload_for_ms", "within this time."),
        ],
    },
    Section {
        name: "reports",
        label: Label::None,
        path: "settings/reporting",
        platform: true,
        doc: "The load reports of log workers.",
        keywords: &[
            key(
                "how",
                Kind::Choice(&[("answers", "answers"), ("probes", "probe"), ("none", "none")]),
                Default("none"),
                "how",
                "Where they come from: with answers, with probes alone, or nowhere.",
            ),
            key(
                "fields",
                Kind::Texts,
                Nothing,
                "fields",
                "Their fields, by the names `busy_reqs`, `pending`, `cpu_share`, `failed_ps`, `served_ps`, `x0`, \
                 `x1`; others are skipped.",
            ),
            key(
                "x0",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-slots"),
                "/settings/specifics/report_x0",
                "What the field `x0` means.",
            ),
            key(
                "x1",
                Kind::Choice(&[("free-slots", "free_slots"), ("free-memory", "free_memory")]),
                Default("free-memory"),
                "/settings/specifics/report_x1",
                "What the field `x1` means.",
            ),
            key(
                "starts",
                Kind::Switch,
                ON,
                "/settings/specifics/tells_start",
                "Log workers tell when a job starts.",
            ),
            key(
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
        platform: false,
        doc: "The Faktory front. Without this section it is off.",
        keywords: &[
            key("listen", Kind::Address, Error, "listen", "Where producers and consumers connect."),
            key(
                "connections",
                Kind::Count { least: 1, most: 1 << 20 },
                Default("256"),
                "max_connections",
                "The most connections of both together. They come out of `sockets`.",
            ),
            key(
                "claim",
                time(1.0, DAY),
                Default("5s"),
                "claim_ms",
                "How long a job waits for one consumer to fetch it before it is offered to another.",
            ),
            key(
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
        platform: false,
        doc: "A pair of daemons with the Faktory front: the master takes and hands out new work, the backup only \
              hears how its own ended. Needs the section `faktory`.",
        keywords: &[
            key("listen", Kind::Address, Error, "listen", "This daemon's own IPv4 address and UDP port."),
            key("peers", Kind::PeerAddresses, Error, "peers", "The other daemons'."),
            key("router", Kind::Count { least: 1, most: 255 }, Error, "vrid", "The number of the virtual router."),
            key(
                "priority",
                Kind::Count { least: 1, most: 255 },
                Default("100"),
                "priority",
                "1 to 254; 255 is for the owner of the addresses.",
            ),
            key(
                "interval",
                Kind::Hundredths { most: 4095 },
                Default("1s"),
                "interval_cs",
                "How often the master advertises.",
            ),
            key("preempt", Kind::Switch, ON, "preempt", "Whether to take over from a master of lower priority."),
            key("addresses", Kind::Ipv4s, Error, "addresses", "The virtual addresses, the same on every daemon."),
        ],
    },
    Section {
        name: "log",
        label: Label::None,
        path: "log",
        platform: false,
        doc: "What is written to standard error.",
        keywords: &[
            key(
                "format",
                Kind::Choice(&[("text", "text"), ("json", "json")]),
                Default("text"),
                "format",
                "Lines for people, or one JSON object a line.",
            ),
            live(key(
                "level",
                Kind::Text,
                Default("info"),
                "level",
                "`error`, `warn`, `info`, `debug`, `trace`, or directives for each part, such as \
                 `info,rookspoke_channel=debug`. ROOKSPOKE_LOG goes before it.",
            )),
            key(
                "repeats",
                Kind::Count { least: 1, most: 1_000_000 },
                Default("20"),
                "repeats",
                "The most lines a second from one place in the program, at the levels from `info` up. What is \
                 left out is counted.",
            ),
            key(
                "queue",
                Kind::Count { least: 1, most: 1_000_000 },
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
        platform: false,
        doc: "The socket that `rookspoke status` asks. Without this section there is none.",
        keywords: &[key(
            "path",
            Kind::Text,
            Error,
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
pub fn page() -> String {
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
                Nothing => "none".into(),
                Error => "required".into(),
            };
            let reload = if keyword.reload { "yes" } else { "no" };
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
