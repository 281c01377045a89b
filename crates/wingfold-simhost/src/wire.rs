//! The line protocol: reading events, writing actions. Nothing is decided here.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use wingfold_director::interface::{
    Action, AttemptCounts, ClassId, Endpoint, EndpointListKind, Event, HealthCheckOutcome, HostId, HostLoad,
    Micros, ProxyId, Readiness, Timestamp, ZoneId,
};
use wingfold_settings::{PlatformSettings, ReportNames};

/// The table number that stands for every joined proxy.
const ALL_TABLES: u32 = 65_535;

/// What can be wrong with the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field that should be there is not.
    #[error("message `{message}`: field `{field}` is missing")]
    Missing { message: String, field: &'static str },
    /// A field does not hold what it should.
    #[error("message `{message}`: field `{field}` cannot be read: `{value}`")]
    Invalid { message: String, field: &'static str, value: String },
    /// More fields than the message has.
    #[error("message `{message}`: more fields than expected")]
    Excess { message: String },
    /// A message that may not stand here, or that the protocol does not have.
    #[error("message `{message}`: {problem}")]
    Unexpected { message: String, problem: &'static str },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// The parts of one line, read in order.
pub struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits the message name off a line.
    pub fn new(line: &'a str) -> Self {
        match line.split_once('\t') {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }

    /// The message name.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// An error about a value of this message.
    pub fn invalid(&self, field: &'static str, value: &str) -> WireError {
        WireError::Invalid {
            message: self.message.to_string(),
            field,
            value: value.chars().take(80).collect(),
        }
    }

    /// An error about this message as a whole.
    pub fn unexpected(&self, problem: &'static str) -> WireError {
        let message = self.message.chars().take(80).collect();
        WireError::Unexpected { message, problem }
    }

    /// The next part as text.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let missing = || WireError::Missing { message: self.message.to_string(), field };
        let rest = self.rest.ok_or_else(missing)?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(value)
    }

    /// Everything to the end of the line.
    fn tail(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let missing = || WireError::Missing { message: self.message.to_string(), field };
        self.rest.take().ok_or_else(missing)
    }

    /// The next part, parsed.
    pub fn value<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid(field, text))
    }

    /// The next part, parsed; `-` stands for an absent value.
    fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, WireError> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| self.invalid(field, text))
    }

    fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value: f64 = self.value(field)?;
        match value.is_finite() {
            true => Ok(value),
            false => Err(self.invalid(field, &value.to_string())),
        }
    }

    fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.invalid(field, other)),
        }
    }

    fn name(&mut self, field: &'static str) -> Result<Arc<str>, WireError> {
        match self.text(field)? {
            "" => Err(self.invalid(field, "")),
            text => Ok(Arc::from(text)),
        }
    }

    fn host(&mut self) -> Result<HostId, WireError> {
        self.name("host").map(HostId)
    }

    fn zone(&mut self) -> Result<ZoneId, WireError> {
        self.name("rack_zone").map(ZoneId)
    }

    fn proxy(&mut self) -> Result<ProxyId, WireError> {
        self.value("edge").map(ProxyId)
    }

    fn class(&mut self, names: &ReportNames) -> Result<ClassId, WireError> {
        let text = self.text("profile")?;
        let at = names.classes.iter().position(|name| name == text);
        at.map(ClassId).ok_or_else(|| self.invalid("profile", text))
    }

    fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, WireError> {
        match self.text(field)? {
            "-" => Ok(Vec::new()),
            text => STANDARD.decode(text).map_err(|_| self.invalid(field, text)),
        }
    }

    fn load(&mut self, names: &ReportNames) -> Result<HostLoad, WireError> {
        let text = self.text("pressure")?;
        let mut load = HostLoad::default();
        if text == "-" || text.is_empty() {
            return Ok(load);
        }
        for (at, part) in text.split(',').enumerate() {
            let value = match part {
                "-" => None,
                _ => Some(part.parse::<f64>().map_err(|_| self.invalid("pressure", text))?),
            };
            if let Some(name) = names.load_fields.get(at) {
                wingfold_settings::set_load_field(&mut load, name, value);
            }
        }
        Ok(load)
    }

    /// Makes sure that nothing is left over.
    pub fn end(&self) -> Result<(), WireError> {
        match self.rest {
            None => Ok(()),
            Some(_) => Err(WireError::Excess { message: self.message.to_string() }),
        }
    }
}

/// Reads the settings of a `launch`.
pub fn launch(fields: &mut Fields) -> Result<(u64, PlatformSettings), WireError> {
    let seed = fields.value("random_seed")?;
    let text = fields.tail("info")?;
    let info = wingfold_settings::parse_json(text).map_err(|e| fields.invalid("info", &e.to_string()))?;
    Ok((seed, info))
}

/// Reads the head of a `fleet` message: `None` for a failed call, and how many entries follow.
pub fn fleet(fields: &mut Fields) -> Result<(Option<EndpointListKind>, usize), WireError> {
    let kind = match fields.text("how")? {
        "Partial" => Some(EndpointListKind::Changes),
        "Complete" => Some(EndpointListKind::Complete),
        "Persisted" => Some(EndpointListKind::Cached),
        "Error" => None,
        other => return Err(fields.invalid("how", other)),
    };
    fields.optional::<u64>("number")?;
    let entries = match fields.rest {
        None if kind.is_none() => 0,
        _ => fields.optional("items")?.unwrap_or(0),
    };
    Ok((kind, entries))
}

/// Reads one entry of a list.
pub fn item(fields: &mut Fields) -> Result<Endpoint, WireError> {
    let kind = fields.text("kind")?.to_string();
    let zone = fields.zone()?;
    fields.optional::<i64>("cell")?;
    let readiness = match fields.text("readiness")? {
        "Ready" => Readiness::Ready,
        "Terminating" => Readiness::Draining,
        "Gone" => Readiness::Removed,
        other => return Err(fields.invalid("readiness", other)),
    };
    let weight = fields.optional("weight")?.unwrap_or(1.0);
    let started = fields.optional("up_since")?.filter(|at| *at != 0).map(Timestamp);
    let host = fields.host()?;
    Ok(Endpoint { host, machine_type: kind, zone, readiness, weight, started_at: started })
}

fn sums(fields: &mut Fields) -> Result<(u64, u64), WireError> {
    Ok((fields.value("total")?, fields.value("lost")?))
}

/// Reads any event of an instance that is neither its start, its end nor its list.
pub fn event(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    Ok(match fields.message() {
        "wakeup" => Event::TimerFired(fields.value("ctx")?),
        "probe_result" => {
            let outcome = match fields.value::<u32>("status")? {
                1 => HealthCheckOutcome::Ok,
                3 => HealthCheckOutcome::Rejected,
                _ => HealthCheckOutcome::Failed,
            };
            fields.optional::<u64>("duration")?;
            Event::HealthChecked { host: fields.host()?, outcome, load: fields.load(names)? }
        }
        "message" => Event::PeerMessage { from: fields.value("who")?, message: fields.bytes("contents")? },
        "subscribed" => {
            let (zone, rate) = (fields.zone()?, fields.number("weight")?);
            fields.flag("on")?;
            Event::ProxyConnected { proxy: fields.proxy()?, zone, requests_per_s: rate }
        }
        "parted" => Event::ProxyDisconnected(fields.proxy()?),
        "roundup" => {
            let (zone, host) = (fields.zone()?, fields.host()?);
            let (total, lost) = sums(fields)?;
            let mean = Micros(fields.value("duration")?);
            let over = Micros(fields.value("over")?);
            Event::LoadReport {
                zone,
                host,
                attempts: AttemptCounts { total, failed: lost, period: over },
                mean_latency: mean,
                load: fields.load(names)?,
            }
        }
        "usage" => {
            let (proxy, class) = (fields.proxy()?, fields.class(names)?);
            let (total, lost) = sums(fields)?;
            Event::Usage {
                proxy,
                class,
                requests: AttemptCounts { total, failed: lost, period: Micros(fields.value("over")?) },
            }
        }
        "installed" => {
            let (proxy, mark) = (fields.proxy()?, fields.value("number")?);
            Event::Acknowledged { proxy, barrier: mark, elapsed: Micros(fields.value("duration")?) }
        }
        "key_load" => {
            fields.value::<u32>("set_id")?;
            fields.class(names)?;
            sums(fields)?;
            fields.value::<u64>("over")?;
            Event::Shard
        }
        "charge" => {
            fields.value::<u32>("set_id")?;
            fields.flag("on")?;
            Event::Shard
        }
        "held" => {
            fields.host()?;
            fields.number("weight")?;
            fields.value::<u32>("set_id")?;
            Event::Shard
        }
        _ => return Err(fields.unexpected("not a message of this protocol")),
    })
}

/// Writes one action as a line.
pub fn action(out: &mut String, action: &Action) {
    let flag = |on: &bool| u8::from(*on);
    let written = match action {
        // The simulator keeps no records for a director.
        Action::EvictHost(_) => return,
        Action::WatchEndpoints(on) => write!(out, "listen\t{}", flag(on)),
        Action::FetchEndpoints => write!(out, "get_list"),
        Action::SetTimer { at, token } => write!(out, "timer\t{}\t{token}", at.0),
        Action::CheckHealth(host) => write!(out, "sample\t{}", host.0),
        Action::SendToPeer { to, message: bytes } => {
            let to = to.map_or(-1, i64::from);
            let text = match bytes.is_empty() {
                true => "-".to_string(),
                false => STANDARD.encode(bytes),
            };
            write!(out, "broadcast_to\t{to}\t{text}")
        }
        Action::SetEntry { table, host, weight } => {
            write!(out, "assign\t{}\t{}\t{weight}", table.0, host.0)
        }
        Action::ClearTable(table) => write!(out, "truncate\t{}", table.0),
        Action::AssignTable { proxy, table, classes } => {
            write!(out, "bind\t{}\t{}\t{}", proxy.0, table.0, classes.0)
        }
        Action::SetEjected { host, ejected: on } => write!(out, "hold_back\t{}\t{}", flag(on), host.0),
        Action::SetAdmission { table, classes, level, retry } => {
            let retry = wingfold_settings::retry_code(*retry);
            let table = table.map_or(ALL_TABLES, |table| table.0);
            write!(out, "allow\t{}\t{level}\t{table}\t{retry}", classes.0)
        }
        Action::Barrier { all_proxies: all, number } => write!(out, "ask_receipt\t{}\t{number}", flag(all)),
        Action::Notice(notice) => {
            let plain: String =
                notice.to_string().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
            write!(out, "debug\t{plain}")
        }
    };
    written.expect("writing to a string does not fail");
    out.push('\n');
}

#[cfg(test)]
mod tests {
    use super::*;
    use wingfold_director::interface::{ClassMask, Retry, TableId};

    fn written(one: Action) -> String {
        let mut out = String::new();
        action(&mut out, &one);
        out
    }

    #[test]
    fn every_action_is_written_as_the_protocol_has_it() {
        let host = || HostId(Arc::from("10.144.17.242:7044"));
        let mask = ClassMask(2);
        let cases = [
            (Action::WatchEndpoints(true), "listen\t1\n"),
            (Action::WatchEndpoints(false), "listen\t0\n"),
            (Action::FetchEndpoints, "get_list\n"),
            (Action::SetTimer { at: Timestamp(8_912_250), token: 77 }, "timer\t8912250\t77\n"),
            (Action::CheckHealth(host()), "sample\t10.144.17.242:7044\n"),
            (Action::SendToPeer { to: None, message: b"hi 7".to_vec() }, "broadcast_to\t-1\taGkgNw==\n"),
            (Action::SendToPeer { to: Some(2), message: Vec::new() }, "broadcast_to\t2\t-\n"),
            (
                Action::SetEntry { table: TableId(117), host: host(), weight: 0.75 },
                "assign\t117\t10.144.17.242:7044\t0.75\n",
            ),
            (
                Action::SetEntry { table: TableId(117), host: host(), weight: 0.0 },
                "assign\t117\t10.144.17.242:7044\t0\n",
            ),
            (Action::ClearTable(TableId(117)), "truncate\t117\n"),
            (
                Action::AssignTable { proxy: ProxyId(41), table: TableId(117), classes: ClassMask(0) },
                "bind\t41\t117\t0\n",
            ),
            (Action::SetEjected { host: host(), ejected: true }, "hold_back\t1\t10.144.17.242:7044\n"),
            (
                Action::SetAdmission {
                    table: Some(TableId(117)),
                    classes: mask,
                    level: 0.75,
                    retry: Retry::OnProof,
                },
                "allow\t2\t0.75\t117\t1\n",
            ),
            (
                Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Never },
                "allow\t2\t1\t65535\t0\n",
            ),
            (
                Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Once },
                "allow\t2\t1\t65535\t2\n",
            ),
            (
                Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Twice },
                "allow\t2\t1\t65535\t3\n",
            ),
            (Action::Barrier { all_proxies: false, number: 12 }, "ask_receipt\t0\t12\n"),
            (
                Action::Notice(wingfold_director::interface::Notice::Recorded("two\tservers\nknown".into())),
                "debug\ttwo servers known\n",
            ),
        ];
        for (action, line) in cases {
            assert_eq!(written(action), line);
        }
    }

    #[test]
    fn every_event_is_read_into_its_own_terms() {
        let names = ReportNames {
            classes: vec!["score".into(), "verdict".into()],
            load_fields: vec!["cpu_share".into(), "busy_reqs".into(), "svc_ms".into(), "pending".into()],
        };
        let read = |line: &str| {
            let mut fields = Fields::new(line);
            let event = event(&mut fields, &names).expect(line);
            fields.end().expect(line);
            format!("{event:?}")
        };
        let cases = [
            ("wakeup\t77", "TimerFired(77)"),
            ("probe_result\t3\t9\th:1\t-", "Rejected"),
            ("probe_result\t5\t9\th:1\t-", "Failed"),
            ("probe_result\t1\t9\th:1\t0.62,7,14.5,-", "utilization: Some(0.62), service_ms: Some(14.5)"),
            ("message\t2\taGkgNw==", "PeerMessage { from: 2, message: [104, 105, 32, 55] }"),
            (
                "subscribed\tn\t6.5\t1\t41",
                "ProxyConnected { proxy: ProxyId(41), zone: ZoneId(\"n\"), requests_per_s: 6.5 }",
            ),
            ("parted\t41", "ProxyDisconnected(ProxyId(41))"),
            (
                "roundup\tn\th:1\t14\t1\t48250\t1000000\t-",
                "AttemptCounts { total: 14, failed: 1, period: Micros(1000000) }",
            ),
            ("usage\t41\tverdict\t9\t0\t2000000", "Usage { proxy: ProxyId(41), class: ClassId(1)"),
            (
                "installed\t41\t12\t412500",
                "Acknowledged { proxy: ProxyId(41), barrier: 12, elapsed: Micros(412500) }",
            ),
            ("key_load\t117\tscore\t23\t2\t1000000", "Shard"),
            ("charge\t117\t1", "Shard"),
            ("held\th:1\t0.5\t117", "Shard"),
        ];
        for (line, part) in cases {
            assert!(read(line).contains(part), "{line}: {}", read(line));
        }
    }
}
