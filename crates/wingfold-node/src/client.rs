//! Serves a connection whose client is known: reads and writes side by side, so that neither waits for the other.

use crate::admission::Admission;
use crate::inbox::News;
use crate::incoming::{Ending, Incoming};
use crate::message::{Inbound, Invalid};
use crate::outbox::{Link, Outbox, Slow};
use crate::stage;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::yield_now;

/// Messages of one client that are taken in at a turn, before the engine and the other clients get theirs: a period's
/// sums of a large zone. One that sends without a pause is slowed down and holds nobody up.
pub const A_TURN: usize = 256;

/// Serves until the connection ends; `admit` says what a message means, or what is wrong with it. One that is wrong
/// is dropped whole: the ones around it are sound. A collector's zone is told of every sign of life.
pub async fn serve(
    admission: &Admission,
    (mut from, to): (Incoming, OwnedWriteHalf),
    (link, outbox): (&Link, Outbox),
    collects: Option<&str>,
    admit: impl Fn(Inbound) -> Result<News, Invalid>,
) -> Ending {
    let reads = async {
        let mut taken = 0;
        loop {
            if taken == A_TURN {
                taken = 0;
                yield_now().await;
            }
            taken += 1;
            let next = from.next().await;
            // A collector that says anything lives, whatever is in it.
            if let (Some(zone), Ok(_)) = (collects, &next) {
                admission.pulse.record(zone);
            }
            let news = match next {
                Err(ending) => return ending,
                Ok(Ok(Inbound::Ping)) => match link.send(vec![admission.pong.clone()]) {
                    Ok(()) => continue,
                    Err(Slow) => return Ending::Slow,
                },
                Ok(message) => {
                    let stage = stage!("admit", failed = tracing::field::Empty).entered();
                    let news = message.and_then(&admit);
                    if let Err(invalid) = &news {
                        stage.record("failed", tracing::field::debug(invalid));
                    }
                    news
                }
            };
            match news {
                Ok(news) => admission.inbox.put(news),
                Err(invalid) => admission.metrics.invalid(invalid),
            }
        }
    };
    tokio::select! {
        // An end that was decided comes before more is written.
        biased;
        () = link.ended() => Ending::Ended,
        ending = reads => ending,
        written = outbox.write(to) => written.map_or_else(Ending::Broken, |()| Ending::Ended),
    }
}

#[cfg(test)]
mod tests;
