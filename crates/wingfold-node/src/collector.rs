//! Takes in a collector's connection: the sums of its zone and the usage of any proxy.

use crate::door::Door;
use crate::inbox::News;
use crate::incoming::{Ending, Incoming};
use crate::message::{Heard, Inbound, Source};
use crate::{outbox, party};
use std::sync::Arc;
use tokio::net::tcp::OwnedWriteHalf;
use wingfold_director::interface::{Event, HostId, ZoneId};

/// Serves a collector whose first message was read, until its connection ends.
pub async fn serve(first: Source, from: Incoming, to: OwnedWriteHalf, door: Arc<Door>) -> Ending {
    let Some(zone) = door.zone(&first.site) else {
        return Ending::Wrong("the settings have no such zone");
    };
    door.book.collectors_total.one();
    let (link, outbox) = outbox::link(door.number(), door.bounds.unread);
    let _place = door.place(&zone, link.clone());
    let admit = |message| match message {
        Inbound::Load(heard) if heard.site == zone => Ok(News::Report(sums(heard))),
        Inbound::Load(_) => Err("sums of another zone"),
        Inbound::Rate(rate) => door.usage(&rate).map(News::Report),
        _ => Err("not one of a collector"),
    };
    party::serve(&door, (from, to), (&link, outbox), admit).await
}

fn sums(heard: Heard) -> Event {
    let (sums, mean, load) = (heard.sums(), heard.mean(), heard.load());
    Event::Heard(ZoneId(heard.site), HostId(heard.target), sums, mean, load)
}
