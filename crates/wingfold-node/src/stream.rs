//! Serves the stream of a proxy: announces it to the engine and translates usage reports and acknowledgements
//! into events, until the stream ends.

use crate::admission::Admission;
use crate::client::{self, ClientConnection};
use crate::inbox::{InboundEvent, InboundSender};
use crate::incoming::{CloseReason, MessageReader};
use crate::message::{Inbound, InvalidReason, ProxyHello};
use crate::outbox;
use std::sync::Arc;
use tokio::net::tcp::OwnedWriteHalf;
use wingfold_director::interface::{Event, ProxyId, ZoneId};

/// Sends the disconnect event when it is dropped, so that the event is sent however the stream ends.
struct DisconnectOnDrop {
    proxy: ProxyId,
    connection_id: u64,
    inbox: InboundSender,
}

impl Drop for DisconnectOnDrop {
    fn drop(&mut self) {
        self.inbox
            .send(InboundEvent::ProxyDisconnected { proxy: self.proxy, connection_id: self.connection_id });
    }
}

/// Serves a stream from its first message, which has been read, until the stream ends.
pub async fn serve(
    hello: ProxyHello,
    reader: MessageReader,
    write_half: OwnedWriteHalf,
    connection_id: u64,
    admission: Arc<Admission>,
) -> CloseReason {
    let zone = match admission.zone(&hello.zone) {
        Ok(zone) if hello.proxy < admission.proxies => zone,
        _ => return CloseReason::InvalidMessage(InvalidReason::Name),
    };
    let proxy = ProxyId(hello.proxy);
    let (sender, writer) = outbox::channel(
        connection_id,
        admission.bounds.max_unread_bytes,
        admission.pong.clone(),
        admission.write_delays.clone(),
    );
    let _disconnect = DisconnectOnDrop { proxy, connection_id, inbox: admission.inbox.clone() };
    admission.inbox.send(InboundEvent::ProxyConnected {
        proxy,
        zone: ZoneId(zone),
        requests_per_s: hello.requests_per_s,
        connection: sender.clone(),
    });
    admission.metrics.streams_joined_total.increment();
    let connection = ClientConnection {
        admission: &admission,
        reader,
        write_half,
        sender: &sender,
        writer,
        collector: None,
    };
    client::serve(connection, |message| translate(message, proxy, &admission)).await
}

/// Translates a message of a proxy's stream into an event for the engine.
fn translate(message: Inbound, proxy: ProxyId, admission: &Admission) -> Result<InboundEvent, InvalidReason> {
    match message {
        Inbound::Acknowledgement(acknowledgement) if acknowledgement.proxy == proxy.0 => {
            Ok(InboundEvent::Required(Event::Acknowledged {
                proxy,
                barrier: acknowledgement.barrier,
                elapsed: acknowledgement.elapsed,
            }))
        }
        Inbound::UsageReport(report) if report.proxy == proxy.0 => {
            admission.usage_event(&report).map(InboundEvent::Report)
        }
        Inbound::Acknowledgement(_) | Inbound::UsageReport(_) => Err(InvalidReason::Name),
        _ => Err(InvalidReason::Turn),
    }
}
