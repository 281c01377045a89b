//! Serves a connection whose party is known: reads and writes side by side, so that neither waits for the other.

use crate::door::Door;
use crate::inbox::News;
use crate::incoming::{Ending, Incoming};
use crate::message::{Inbound, Spoilt};
use crate::outbox::{Link, Outbox, Slow};
use tokio::net::tcp::OwnedWriteHalf;

/// Serves until the connection ends; `admit` says what a message means, or what is wrong with it. One that is wrong
/// is dropped whole: the ones around it are sound.
pub async fn serve(
    door: &Door,
    (mut from, to): (Incoming, OwnedWriteHalf),
    (link, outbox): (&Link, Outbox),
    admit: impl Fn(Inbound) -> Result<News, Spoilt>,
) -> Ending {
    let reads = async {
        loop {
            let news = match from.next().await {
                Err(ending) => return ending,
                Ok(Ok(Inbound::Ping)) => match link.send(vec![door.pong.clone()]) {
                    Ok(()) => continue,
                    Err(Slow) => return Ending::Slow,
                },
                Ok(message) => message.and_then(&admit),
            };
            match news {
                Ok(news) => door.inbox.put(news),
                Err(spoilt) => door.book.spoilt(spoilt),
            }
        }
    };
    tokio::select! {
        ending = reads => ending,
        written = outbox.write(to) => written.map_or_else(Ending::Broken, |()| Ending::Ended),
        () = link.ended() => Ending::Ended,
    }
}
