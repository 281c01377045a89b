//! Writes replies: the actions of each instance, and the line that ends a reply.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::fmt::{self, Write};
use wingfold_director::interface::{Action, ClassMask, Notice, Retry, TableId};

/// The table number that represents all connected proxies.
const ALL_PROXIES_TABLE: u32 = 65_535;

/// The receiver number that represents all peers.
const ALL_PEERS: i64 = -1;

/// Represents an empty message to a peer.
const EMPTY_MESSAGE: &str = "-";

/// Writes a line with the number of an instance, followed by the lines of its actions. Writes nothing if no
/// action has a line.
pub fn write_actions(out: &mut String, instance: u64, actions: &[Action]) {
    if !actions.iter().any(has_line) {
        return;
    }
    out.push_str(&format!("source\t{instance}\n"));
    for action in actions {
        write_action(out, action);
    }
}

/// Writes the last line of a reply.
pub fn write_acknowledgement(out: &mut String, sequence: u64) {
    out.push_str(&format!("ack\t{sequence}\n"));
}

/// Whether the protocol has a line for an action. It has none for `EvictHost`: the simulator keeps no records
/// of hosts on behalf of a director.
fn has_line(action: &Action) -> bool {
    !matches!(action, Action::EvictHost(_))
}

/// Writes an action as a line, if the protocol has one for it.
fn write_action(out: &mut String, action: &Action) {
    if !has_line(action) {
        return;
    }
    write_fields(out, action).expect("writing to a string does not fail");
    out.push('\n');
}

fn write_fields(out: &mut String, action: &Action) -> fmt::Result {
    match action {
        Action::EvictHost(_) => Ok(()),
        Action::WatchEndpoints(on) => write!(out, "listen\t{}", flag(*on)),
        Action::FetchEndpoints => write!(out, "get_list"),
        Action::SetTimer { at, token } => write!(out, "timer\t{}\t{token}", at.0),
        Action::CheckHealth(host) => write!(out, "sample\t{}", host.0),
        Action::SendToPeer { to, message } => write_peer_message(out, *to, message),
        Action::SetEntry { table, host, weight } => {
            write!(out, "assign\t{}\t{}\t{weight}", table.0, host.0)
        }
        Action::ClearTable(table) => write!(out, "truncate\t{}", table.0),
        Action::AssignTable { proxy, table, classes } => {
            write!(out, "bind\t{}\t{}\t{}", proxy.0, table.0, classes.0)
        }
        Action::SetEjected { host, ejected } => write!(out, "hold_back\t{}\t{}", flag(*ejected), host.0),
        Action::SetAdmission { table, classes, level, retry } => {
            write_admission(out, *table, *classes, *level, *retry)
        }
        Action::Barrier { all_proxies, number } => {
            write!(out, "ask_receipt\t{}\t{number}", flag(*all_proxies))
        }
        Action::Notice(notice) => write_notice(out, notice),
    }
}

fn flag(on: bool) -> u8 {
    u8::from(on)
}

fn write_peer_message(out: &mut String, to: Option<u32>, message: &[u8]) -> fmt::Result {
    let receiver = to.map_or(ALL_PEERS, i64::from);
    let contents = if message.is_empty() { EMPTY_MESSAGE.to_string() } else { STANDARD.encode(message) };
    write!(out, "broadcast_to\t{receiver}\t{contents}")
}

fn write_admission(
    out: &mut String,
    table: Option<TableId>,
    classes: ClassMask,
    level: f64,
    retry: Retry,
) -> fmt::Result {
    let table = table.map_or(ALL_PROXIES_TABLE, |table| table.0);
    let retry = wingfold_settings::retry_code(retry);
    write!(out, "allow\t{}\t{level}\t{table}\t{retry}", classes.0)
}

/// Writes a notice on one line: control characters of its text, such as line ends, become spaces.
fn write_notice(out: &mut String, notice: &Notice) -> fmt::Result {
    let text = notice.to_string();
    let line: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    write!(out, "debug\t{line}")
}

#[cfg(test)]
mod tests;
