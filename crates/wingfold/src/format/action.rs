//! Formats the actions of the director.

use super::{class_names, time};
use wingfold_capture::Head;
use wingfold_director::interface::Action;

/// An action as one line of text.
pub fn action(head: &Head, action: &Action) -> String {
    match action {
        Action::WatchEndpoints(true) => "start watching the endpoint list".into(),
        Action::WatchEndpoints(false) => "stop watching the endpoint list".into(),
        Action::FetchEndpoints => "fetch the endpoint list".into(),
        Action::SetTimer { at, token } => format!("set timer {token} for {}", time(*at)),
        Action::CheckHealth(host) => format!("check the health of {}", host.0),
        Action::SendToPeer { to, message } => {
            let receiver = to.map_or("all other directors".into(), |number| format!("director {number}"));
            format!("send {} bytes to {receiver}", message.len())
        }
        Action::SetEntry { table, host, weight } => {
            format!("table {}: set {} to weight {weight}", table.0, host.0)
        }
        Action::ClearTable(table) => format!("table {}: remove all entries", table.0),
        Action::AssignTable { proxy, table, classes: mask } => {
            format!("proxy {} uses table {} for {}", proxy.0, table.0, class_names(head, *mask))
        }
        Action::SetEjected { host, ejected: true } => format!("eject {} from all tables", host.0),
        Action::SetEjected { host, ejected: false } => format!("end the ejection of {}", host.0),
        Action::SetAdmission { table, classes: mask, level, retry } => {
            let table = table.map_or("all tables".into(), |table| format!("table {}", table.0));
            format!(
                "{table}: admission level {level} for {}, retry policy {retry:?}",
                class_names(head, *mask)
            )
        }
        Action::Barrier { all_proxies: true, number } => format!("barrier {number} to all proxies"),
        Action::Barrier { all_proxies: false, number } => {
            format!("barrier {number} to the proxies that get a message in this call")
        }
        Action::EvictHost(host) => format!("evict host {}: drop its records", host.0),
        Action::Notice(notice) => format!("log: {notice}"),
    }
}
