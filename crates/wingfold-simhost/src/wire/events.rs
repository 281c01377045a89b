//! Reads all events of an instance except its launch, its end and its endpoint list.

use super::{Fields, OrderError, WireError};
use wingfold_director::interface::{AttemptCounts, Event, HealthCheckOutcome, Micros};
use wingfold_settings::ReportNames;

/// The status of a health check that the host answered.
const STATUS_OK: u32 = 1;

/// The status of a health check that the host rejected, because it drains or received too many health checks.
const STATUS_REJECTED: u32 = 3;

/// The number of attempts or requests that ended, and the number of them that failed.
struct Totals {
    total: u64,
    failed: u64,
}

impl Totals {
    fn read(fields: &mut Fields) -> Result<Self, WireError> {
        let total = fields.value("total")?;
        let failed = fields.value("lost")?;
        Ok(Totals { total, failed })
    }

    fn with_period(self, period: Micros) -> AttemptCounts {
        AttemptCounts { total: self.total, failed: self.failed, period }
    }
}

/// Reads an event of an instance. The launch, the end and the endpoint list of an instance are not read here.
pub fn read_event(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    match fields.message() {
        "wakeup" => Ok(Event::TimerFired(fields.value("ctx")?)),
        "probe_result" => read_health_check(fields, names),
        "message" => read_peer_message(fields),
        "subscribed" => read_proxy_connected(fields),
        "parted" => Ok(Event::ProxyDisconnected(fields.proxy()?)),
        "roundup" => read_load_report(fields, names),
        "usage" => read_usage(fields, names),
        "installed" => read_acknowledgement(fields),
        "key_load" => read_shard_load(fields, names),
        "charge" => read_shard_ownership(fields),
        "held" => read_shard_entry(fields),
        _ => Err(fields.unexpected(OrderError::UnknownMessage)),
    }
}

fn read_health_check(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    let outcome = match fields.value::<u32>("status")? {
        STATUS_OK => HealthCheckOutcome::Ok,
        STATUS_REJECTED => HealthCheckOutcome::Rejected,
        _ => HealthCheckOutcome::Failed,
    };
    fields.optional::<u64>("duration")?;
    let host = fields.host()?;
    let load = fields.load(names)?;
    Ok(Event::HealthChecked { host, outcome, load })
}

fn read_peer_message(fields: &mut Fields) -> Result<Event, WireError> {
    let from = fields.value("who")?;
    let message = fields.bytes("contents")?;
    Ok(Event::PeerMessage { from, message })
}

fn read_proxy_connected(fields: &mut Fields) -> Result<Event, WireError> {
    let zone = fields.zone()?;
    let requests_per_s = fields.number("weight")?;
    fields.flag("on")?;
    let proxy = fields.proxy()?;
    Ok(Event::ProxyConnected { proxy, zone, requests_per_s })
}

fn read_load_report(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    let zone = fields.zone()?;
    let host = fields.host()?;
    let totals = Totals::read(fields)?;
    let mean_latency = Micros(fields.value("duration")?);
    let attempts = totals.with_period(Micros(fields.value("over")?));
    let load = fields.load(names)?;
    Ok(Event::LoadReport { zone, host, attempts, mean_latency, load })
}

fn read_usage(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    let proxy = fields.proxy()?;
    let class = fields.class(names)?;
    let totals = Totals::read(fields)?;
    let requests = totals.with_period(Micros(fields.value("over")?));
    Ok(Event::Usage { proxy, class, requests })
}

fn read_acknowledgement(fields: &mut Fields) -> Result<Event, WireError> {
    let proxy = fields.proxy()?;
    let barrier = fields.value("number")?;
    let elapsed = Micros(fields.value("duration")?);
    Ok(Event::Acknowledged { proxy, barrier, elapsed })
}

fn read_shard_load(fields: &mut Fields, names: &ReportNames) -> Result<Event, WireError> {
    fields.shard()?;
    fields.class(names)?;
    Totals::read(fields)?;
    fields.value::<u64>("over")?;
    Ok(Event::Shard)
}

fn read_shard_ownership(fields: &mut Fields) -> Result<Event, WireError> {
    fields.shard()?;
    fields.flag("on")?;
    Ok(Event::Shard)
}

fn read_shard_entry(fields: &mut Fields) -> Result<Event, WireError> {
    fields.host()?;
    fields.number("weight")?;
    fields.shard()?;
    Ok(Event::Shard)
}

#[cfg(test)]
mod tests;
