//! Takes in a collector's connection: the sums of its zone and the usage of any proxy.

use crate::door::Door;
use crate::inbox::News;
use crate::incoming::{Ending, Incoming};
use crate::message::{Heard, Inbound, Source};
use crate::outbox::{self, Slow};
use std::sync::Arc;
use tokio::net::tcp::OwnedWriteHalf;
use wingfold_director::interface::{Event, HostId, ZoneId};

/// Serves a collector whose first message was read, until its connection ends.
pub async fn serve(first: Source, mut from: Incoming, to: OwnedWriteHalf, door: Arc<Door>) -> Ending {
    let Some(zone) = door.zone(&first.site) else {
        return Ending::Wrong("the settings have no such zone");
    };
    from.allow(door.bounds.silence);
    door.book.collectors_total.one();
    let (link, outbox) = outbox::link(door.number(), door.bounds.unread);
    let _place = door.place(&zone, link.clone());
    let reads = async {
        loop {
            let event = match from.next().await {
                Err(ending) => return ending,
                Ok(Inbound::Ping) => match link.send(vec![door.pong.clone()]) {
                    Ok(()) => continue,
                    Err(Slow) => return Ending::Ended,
                },
                Ok(Inbound::Load(heard)) if heard.site == zone => Ok(sums(heard)),
                Ok(Inbound::Load(_)) => Err("sums of another zone"),
                Ok(Inbound::Rate(rate)) => door.usage(&rate),
                Ok(_) => Err("not one of a collector"),
            };
            match event {
                Ok(event) => door.inbox.put(News::Report(event)),
                Err(problem) => return Ending::Wrong(problem),
            }
        }
    };
    tokio::select! {
        ending = reads => ending,
        written = outbox.write(to) => written.map_or_else(Ending::Broken, |()| Ending::Ended),
        () = link.ended() => Ending::Ended,
    }
}

fn sums(heard: Heard) -> Event {
    let (sums, mean, load) = (heard.sums(), heard.mean(), heard.load());
    Event::Heard(ZoneId(heard.site), HostId(heard.target), sums, mean, load)
}
