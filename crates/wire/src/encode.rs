//! Reply lines.

use std::fmt::Write;

use base64::prelude::{Engine, BASE64_STANDARD};

use rookspoke_decisions::{Action, Span};

/// Names the instance whose actions follow.
pub fn encode_instance(out: &mut String, who: u64) {
    let _ = writeln!(out, "on_behalf\t{who}");
}

/// Declares that the decisions have failed.
pub fn encode_fault(out: &mut String, text: &str) {
    let _ = writeln!(out, "give_in\t{}", one_line(text));
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

fn ms_or_absent(span: Option<Span>) -> String {
    span.map_or("-".into(), |s| s.ms().to_string())
}

/// Writes one action as a reply line.
pub fn encode_action(out: &mut String, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Send { request, worker, timeout, .. } => {
            writeln!(out, "call_out\t{request}\t{worker}\t{}", ms_or_absent(*timeout))
        }
        Action::Cancel { request, attempt } => writeln!(out, "abandon\t{request}\t{attempt}"),
        Action::Refuse { request, retry_after, .. } => {
            writeln!(out, "deny\t{request}\t{}", ms_or_absent(*retry_after))
        }
        Action::Fail { request, .. } => writeln!(out, "surrender\t{request}"),
        Action::Subscribe => writeln!(out, "watch\t1"),
        Action::FetchList => writeln!(out, "read_list"),
        Action::SetTimer { at, token } => writeln!(out, "wake_at\t{}\t{token}", at.ms()),
        Action::Probe(worker) => writeln!(out, "probe\t{worker}"),
        Action::CloseIdle(worker) => writeln!(out, "release\t{worker}"),
        Action::SendToPeer { peer, content } => {
            let to = peer.map_or("-1".into(), |p| p.to_string());
            let bytes = if content.is_empty() { "-".into() } else { BASE64_STANDARD.encode(content) };
            writeln!(out, "publish\t{to}\t{bytes}")
        }
        Action::Log(text) => writeln!(out, "journal_line\t{}", one_line(text)),
    };
}
