//! Encodes the output lines of the simulator's protocol.

use std::fmt::Write;

use base64::prelude::{Engine, BASE64_STANDARD};

use rookspoke_decisions::{Action, Span};

/// Writes the line that names the instance of the actions that follow.
pub fn encode_instance(out: &mut String, instance: u64) {
    let _ = writeln!(out, "on_behalf\t{instance}");
}

/// Writes the line that reports the failure of an instance, with its panic message.
pub fn encode_failure(out: &mut String, text: &str) {
    let _ = writeln!(out, "give_in\t{}", one_line(text));
}

/// Replaces line breaks and tabs, which separate lines and fields.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

fn ms_or_absent(span: Option<Span>) -> String {
    span.map_or("-".into(), |span| span.ms().to_string())
}

/// Writes the line of an action.
pub fn encode_action(out: &mut String, action: &Action) {
    // Writing to a `String` cannot fail.
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
            let to = peer.map_or("-1".into(), |peer| peer.to_string());
            let bytes = if content.is_empty() { "-".into() } else { BASE64_STANDARD.encode(content) };
            writeln!(out, "publish\t{to}\t{bytes}")
        }
        Action::Log(text) => writeln!(out, "journal_line\t{}", one_line(text)),
    };
}
