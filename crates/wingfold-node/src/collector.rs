//! Serves the connection of a collector, which sends the load reports of its zone and the usage reports of
//! any proxy.

use crate::admission::Admission;
use crate::client::{self, ClientConnection};
use crate::inbox::InboundEvent;
use crate::incoming::{CloseReason, MessageReader};
use crate::message::{CollectorHello, Inbound, InvalidReason, LoadReport};
use crate::outbox;
use std::sync::Arc;
use tokio::net::tcp::OwnedWriteHalf;
use wingfold_director::interface::{Event, HostId, ZoneId};

/// Serves a collector, whose first message has been read already, until its connection ends.
pub async fn serve(
    hello: CollectorHello,
    reader: MessageReader,
    write_half: OwnedWriteHalf,
    connection_id: u64,
    admission: Arc<Admission>,
) -> CloseReason {
    let zone = match admission.zone(&hello.zone) {
        Ok(zone) => zone,
        Err(reason) => return CloseReason::InvalidMessage(reason),
    };
    admission.metrics.collectors_total.increment();
    let (sender, writer) =
        outbox::channel(connection_id, admission.bounds.max_unread_bytes, admission.pong.clone(), None);
    let slot = admission.register_collector(&zone, sender.clone());
    let connection = ClientConnection {
        admission: &admission,
        reader,
        write_half,
        sender: &sender,
        writer,
        collector: Some(&slot),
    };
    client::serve(connection, |message| translate(message, &zone, &admission)).await
}

/// Translates a message from a collector of `zone` into an event, or returns why the message is invalid.
fn translate(message: Inbound, zone: &str, admission: &Admission) -> Result<InboundEvent, InvalidReason> {
    match message {
        Inbound::LoadReport(report) if report.zone.as_ref() == zone => {
            Ok(InboundEvent::Report(load_report_event(report)))
        }
        Inbound::LoadReport(_) => Err(InvalidReason::Name),
        Inbound::UsageReport(report) => admission.usage_event(&report).map(InboundEvent::Report),
        _ => Err(InvalidReason::Turn),
    }
}

fn load_report_event(report: LoadReport) -> Event {
    Event::LoadReport {
        zone: ZoneId(report.zone),
        host: HostId(report.host),
        attempts: report.attempts,
        mean_latency: report.mean_latency,
        load: report.load,
    }
}
