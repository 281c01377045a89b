//! Actions as text.

use super::{classes, time};
use wingfold_capture::Head;
use wingfold_director::interface::Action;

/// One action as text on one line.
pub fn action(head: &Head, action: &Action) -> String {
    match action {
        Action::WatchEndpoints(on) => format!("watch the list: {on}"),
        Action::FetchEndpoints => "ask for the list".into(),
        Action::SetTimer { at, token } => format!("timer {token} at {}", time(*at)),
        Action::CheckHealth(host) => format!("probe {}", host.0),
        Action::SendToPeer { to, message } => format!("tell {to:?} {} bytes", message.len()),
        Action::SetEntry { table, host, weight } => format!("table {}: {} at {weight}", table.0, host.0),
        Action::ClearTable(table) => format!("table {}: all lines out", table.0),
        Action::AssignTable { proxy, table, classes: mask } => {
            format!("proxy {} goes by table {} for {}", proxy.0, table.0, classes(head, *mask))
        }
        Action::SetEjected { host, ejected: true } => format!("{} out of all tables", host.0),
        Action::SetEjected { host, ejected: false } => format!("{} back in all tables", host.0),
        Action::SetAdmission { table, classes: mask, level, retry } => {
            let table = table.map_or("all tables".into(), |table| format!("table {}", table.0));
            format!("{table}: {} at level {level}, {retry:?}", classes(head, *mask))
        }
        Action::Barrier { all_proxies, number } => format!("mark {number}, of everyone: {all_proxies}"),
        Action::EvictHost(host) => format!("forget {}", host.0),
        Action::Notice(notice) => format!("log: {notice}"),
    }
}
