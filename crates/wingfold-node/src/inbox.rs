//! Where every reader leaves what it took in, for the one task that owns the decision module. Leaving something
//! never waits: reports beyond the bound are dropped and counted, everything else always has room.

use crate::list::EndpointListResponse;
use crate::metrics::Metrics;
use crate::outbox::Link;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use wingfold_director::interface::{
    EndpointListKind, Event, HealthCheckOutcome, HostId, HostLoad, ProxyId, ZoneId,
};

/// One thing that was taken in.
#[derive(Debug)]
pub enum News {
    /// A proxy has joined: its zone, its usual requests a second, and the way to it.
    Joined(ProxyId, ZoneId, f64, Link),
    /// A stream has ended; the number is that of its link.
    Left(ProxyId, u64),
    /// Something of the list.
    List(EndpointListKind, EndpointListResponse),
    /// A probe's answer, and the life of the host that was asked.
    Probed(HostId, u64, HealthCheckOutcome, HostLoad),
    /// Anything the module is told as it is.
    Told(Event),
    /// A sum or a usage figure; it can be missed.
    Report(Event),
}

/// The readers' end.
#[derive(Clone, Debug)]
pub struct Inbox {
    to: UnboundedSender<News>,
    reports: Arc<AtomicUsize>,
    most: usize,
    metrics: Arc<Metrics>,
}

/// The engine's end.
#[derive(Debug)]
pub struct Intake {
    from: UnboundedReceiver<News>,
    reports: Arc<AtomicUsize>,
}

/// Both ends; `most` reports may wait.
pub fn inbox(most: usize, metrics: Arc<Metrics>) -> (Inbox, Intake) {
    let (to, from) = unbounded_channel();
    let reports = Arc::new(AtomicUsize::new(0));
    (Inbox { to, reports: reports.clone(), most, metrics }, Intake { from, reports })
}

impl Inbox {
    /// Leaves something for the module.
    pub fn put(&self, news: News) {
        if matches!(news, News::Report(_)) {
            if self.reports.load(Ordering::Relaxed) >= self.most {
                self.metrics.reports_dropped_total.one();
                return;
            }
            self.reports.fetch_add(1, Ordering::Relaxed);
        }
        // The engine's end is only gone when the whole director ends.
        let _ = self.to.send(news);
    }
}

impl Intake {
    /// Waits for something, then takes all that is there; false when nothing can come any more.
    pub async fn take(&mut self, into: &mut Vec<News>) -> bool {
        let taken = self.from.recv_many(into, usize::MAX).await;
        let reports = into.iter().filter(|news| matches!(news, News::Report(_))).count();
        self.reports.fetch_sub(reports, Ordering::Relaxed);
        taken > 0
    }
}

#[cfg(test)]
mod tests;
