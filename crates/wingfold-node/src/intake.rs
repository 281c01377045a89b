//! Takes collectd's packets in, where that is switched on: the load of hosts that no report tells. What they tell goes
//! through the inbox like any report; who sends wrongly costs a count.

use crate::clock::Clock;
use crate::inbox::{InboundEvent, InboundSender};
use crate::metrics::Metrics;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::{Event, HealthCheckOutcome, HostId};
use wingfold_figures::collectd::{Intake, Refused};

/// collectd's packets are no longer than this.
const LARGEST: usize = 65_535;
/// Packets taken at a turn, before others get one.
const A_TURN: u32 = 64;

/// Takes packets for good.
pub async fn run(
    socket: UdpSocket,
    mut intake: Intake,
    clock: Clock,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
) {
    let mut bytes = vec![0; LARGEST];
    let mut turn = 0;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else {
            tokio::task::yield_now().await;
            continue;
        };
        turn += 1;
        match intake.take(clock.now(), &bytes[..length]) {
            Ok(loads) => {
                metrics.collectd_in_total.one();
                for (host, load) in loads {
                    // As the answer of a probe: no zone met the host, its load alone is told.
                    let told = Event::HealthChecked {
                        host: HostId(host.into()),
                        outcome: HealthCheckOutcome::Ok,
                        load,
                    };
                    inbox.send(InboundEvent::Report(told));
                }
            }
            Err(why) => {
                metrics.collectd_refused(why).one();
                tracing::debug!(%from, %why, "collectd: packet refused");
            }
        }
        if turn % A_TURN == 0 {
            tokio::task::yield_now().await;
        }
    }
}

impl Metrics {
    fn collectd_refused(&self, why: Refused) -> &crate::metrics::Count {
        match why {
            Refused::Form => &self.collectd_refused_form_total,
            Refused::Open => &self.collectd_refused_open_total,
            Refused::User => &self.collectd_refused_user_total,
            Refused::Key => &self.collectd_refused_key_total,
            Refused::Replayed => &self.collectd_refused_replayed_total,
            Refused::Host => &self.collectd_refused_host_total,
        }
    }
}
