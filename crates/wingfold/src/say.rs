//! Times, events and orders in words.

use std::fmt::Write;
use wingfold_capture::Head;
use wingfold_director::interface::{
    Action, AttemptCounts, ClassMask, Event, HostLoad, Micros, Readiness, Timestamp,
};

const DAY: u64 = 86_400_000_000;

/// A time as people write it: the day only where the clock is the world's (a captured emulator's day begins at 0).
pub fn time(at: Timestamp) -> String {
    if at.0 < 10_000 * DAY {
        return format!("{:.3}s", at.secs());
    }
    let unix = std::time::UNIX_EPOCH + std::time::Duration::from_micros(at.0);
    humantime::format_rfc3339_millis(unix).to_string()
}

/// Reads a time: `2026-11-30T03:12:05Z`, `03:12:05` on the day of the capture's start (UTC; the next day if that has
/// passed by then), `+90s` after the start, or seconds of the capture's own clock.
pub fn parse_time(text: &str, start: Timestamp) -> Result<Timestamp, String> {
    let wrong = || {
        format!("`{text}` is no time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds are expected")
    };
    if let Some(after) = text.strip_prefix('+') {
        let after = humantime::parse_duration(after).map_err(|_| wrong())?;
        return Ok(Timestamp(start.0 + after.as_micros() as u64));
    }
    if let Ok(secs) = text.trim_end_matches('s').parse::<f64>() {
        return if secs >= 0.0 { Ok(Timestamp::from_secs(secs)) } else { Err(wrong()) };
    }
    if let Ok(time) = humantime::parse_rfc3339_weak(text) {
        let unix = time.duration_since(std::time::UNIX_EPOCH).map_err(|_| wrong())?;
        return Ok(Timestamp(unix.as_micros() as u64));
    }
    let parts: Vec<f64> = text.split(':').map(str::parse).collect::<Result<_, _>>().map_err(|_| wrong())?;
    let [hours, minutes, secs] = match parts[..] {
        [hours, minutes] => [hours, minutes, 0.0],
        [hours, minutes, secs] => [hours, minutes, secs],
        _ => return Err(wrong()),
    };
    if !((0.0..24.0).contains(&hours) && (0.0..60.0).contains(&minutes) && (0.0..61.0).contains(&secs)) {
        return Err(wrong());
    }
    let of_day = Micros::from_secs(hours * 3600.0 + minutes * 60.0 + secs).0;
    let at = start.0 - start.0 % DAY + of_day;
    // A capture that begins at 23:50 has its 03:12 on the next day.
    Ok(Timestamp(if at + DAY / 2 < start.0 { at + DAY } else { at }))
}

/// The classes of a mask by their names.
pub fn classes(head: &Head, mask: ClassMask) -> String {
    let all = head.class_names.len().max(head.settings.classes.len());
    let named = (0..all.min(64)).filter(|at| mask.0 >> at & 1 == 1).map(|at| class(head, at));
    let named: Vec<String> = named.collect();
    if mask.0 == 0 || named.len() == all {
        "all classes".into()
    } else {
        named.join("+")
    }
}

/// A class by its name.
pub fn class(head: &Head, at: usize) -> String {
    head.class_names.get(at).cloned().unwrap_or_else(|| format!("class {at}"))
}

fn sums(sums: &AttemptCounts) -> String {
    format!("{} tries, {} lost, over {:.1} s", sums.total, sums.failed, sums.period.secs())
}

fn load(load: &HostLoad) -> String {
    let told = [
        ("in hand", load.in_flight),
        ("waiting", load.queued),
        ("busy", load.utilization),
        ("ms", load.service_ms),
    ];
    let told = told.iter().filter_map(|(name, value)| value.map(|value| format!(", {name} {value:.2}")));
    told.collect()
}

/// One event in a line or, for a list, a few.
pub fn event(head: &Head, event: &Event) -> String {
    match event {
        Event::EndpointList { kind, endpoints: entries } => {
            let mut text = format!("list {kind:?} with {} entries", entries.len());
            for entry in entries.iter().take(40) {
                let state = match entry.readiness {
                    Readiness::Ready => "ready",
                    Readiness::Draining => "draining",
                    Readiness::Removed => "gone",
                };
                let _ =
                    write!(text, "; {} in {} {state} weight {}", entry.host.0, entry.zone.0, entry.weight);
            }
            if entries.len() > 40 {
                let _ = write!(text, "; and {} more", entries.len() - 40);
            }
            text
        }
        Event::EndpointListFailed => "a call for the list failed".into(),
        Event::DiscoveryMoved => "the list has another address".into(),
        Event::TimerFired(token) => format!("timer {token}"),
        Event::HealthChecked { host, outcome, load: told } => {
            format!("probe of {}: {outcome:?}{}", host.0, load(told))
        }
        Event::PeerMessage { from, message: word } => {
            format!("word of director {from}, {} bytes", word.len())
        }
        Event::ProxyConnected { proxy, zone, requests_per_s: rate } => {
            format!("proxy {} of {} joined, {rate:.1} requests/s", proxy.0, zone.0)
        }
        Event::ProxyDisconnected(proxy) => format!("proxy {} left", proxy.0),
        Event::LoadReport { zone, host, attempts: told, mean_latency: mean, load: report } => {
            let mean = mean.secs() * 1e3;
            format!("{} heard of {}: {}, {mean:.0} ms{}", zone.0, host.0, sums(told), load(report))
        }
        Event::Usage { proxy, class: at, requests: told } => {
            format!("proxy {} of {}: {}", proxy.0, class(head, at.0), sums(told))
        }
        Event::Acknowledged { proxy, barrier: mark, elapsed: took } => {
            format!("proxy {} applied mark {mark} after {:.0} ms", proxy.0, took.secs() * 1e3)
        }
        Event::Shard => "something about slices".into(),
    }
}

/// One order in a line.
pub fn action(head: &Head, action: &Action) -> String {
    match action {
        Action::WatchEndpoints(on) => format!("watch the list: {on}"),
        Action::FetchEndpoints => "ask for the list".into(),
        Action::SetTimer { at, token } => format!("timer {token} at {}", time(*at)),
        Action::CheckHealth(host) => format!("probe {}", host.0),
        Action::SendToPeer { to, message: word } => format!("tell {to:?} {} bytes", word.len()),
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
        Action::Barrier { all_proxies: all, number: mark } => format!("mark {mark}, of everyone: {all}"),
        Action::EvictHost(host) => format!("forget {}", host.0),
        Action::Notice(text) => format!("log: {text}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_read_as_operators_write_them() {
        // 2026-11-30T23:50:00Z.
        let start = Timestamp(1_796_082_600_000_000);
        let read = |text: &str| parse_time(text, start).map(time);
        assert_eq!(time(start), "2026-11-30T23:50:00.000Z");
        assert_eq!(read("23:55").unwrap(), "2026-11-30T23:55:00.000Z");
        assert_eq!(read("03:12:05.5").unwrap(), "2026-12-01T03:12:05.500Z", "after midnight");
        assert_eq!(read("+90s").unwrap(), "2026-11-30T23:51:30.000Z");
        assert_eq!(read("2026-12-01T03:12:00Z").unwrap(), "2026-12-01T03:12:00.000Z");
        assert_eq!(parse_time("12.5", Timestamp(0)).unwrap(), Timestamp(12_500_000));
        for wrong in ["", "soon", "25:00", "03:61", "-4", "+soon", "1:2:3:4"] {
            assert!(read(wrong).is_err(), "{wrong}");
        }
    }
}
