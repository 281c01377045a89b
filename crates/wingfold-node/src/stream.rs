//! Takes in a proxy's stream: its joining, its usage and its marks, until it ends.

use crate::door::Door;
use crate::inbox::{Inbox, News};
use crate::incoming::{Ending, Incoming};
use crate::message::{Inbound, Subscribe};
use crate::outbox::{self, Slow};
use std::sync::Arc;
use tokio::net::tcp::OwnedWriteHalf;
use wingfold_director::interface::{Event, ProxyId, ZoneId};

/// Tells of the leaving, however the stream ends.
struct Leaving {
    proxy: ProxyId,
    link: u64,
    inbox: Inbox,
}

impl Drop for Leaving {
    fn drop(&mut self) {
        self.inbox.put(News::Left(self.proxy, self.link));
    }
}

/// Serves a stream whose first message was read, until it ends.
pub async fn serve(first: Subscribe, mut from: Incoming, to: OwnedWriteHalf, door: Arc<Door>) -> Ending {
    let proxy = ProxyId(first.id);
    if first.id >= door.proxies {
        return Ending::Wrong("the settings have no such proxy");
    }
    let Some(zone) = door.zone(&first.site) else {
        return Ending::Wrong("the settings have no such zone");
    };
    from.allow(door.bounds.silence);
    let (link, outbox) = outbox::link(door.number(), door.bounds.unread);
    let _leaving = Leaving { proxy, link: link.number, inbox: door.inbox.clone() };
    door.inbox.put(News::Joined(proxy, ZoneId(zone), first.rps, link.clone()));
    door.book.streams_joined_total.one();
    let reads = async {
        loop {
            let event = match from.next().await {
                Err(ending) => return ending,
                Ok(Inbound::Ping) => match link.send(vec![door.pong.clone()]) {
                    Ok(()) => continue,
                    Err(Slow) => return Ending::Ended,
                },
                Ok(Inbound::Ack(ack)) if ack.id == first.id => {
                    door.inbox.put(News::Told(Event::Applied(proxy, ack.seq, ack.took())));
                    continue;
                }
                Ok(Inbound::Rate(rate)) if rate.id == first.id => door.usage(&rate),
                Ok(Inbound::Ack(_) | Inbound::Rate(_)) => Err("of another proxy"),
                Ok(_) => Err("not one of a proxy that has joined"),
            };
            match event {
                Ok(event) => door.inbox.put(News::Report(event)),
                Err(problem) => return Ending::Wrong(problem),
            }
        }
    };
    // Reading and writing go on side by side: neither waits for the other.
    tokio::select! {
        ending = reads => ending,
        written = outbox.write(to) => written.map_or_else(Ending::Broken, |()| Ending::Ended),
        () = link.ended() => Ending::Ended,
    }
}
