//! Relays probes: asks a host for its load and hands on what it says.

use crate::config::Bounds;
use crate::http::Http;
use crate::inbox::{InboundEvent, InboundSender};
use crate::list::Target;
use crate::log;
use crate::message::{HostLoadReport, InvalidReason};
use crate::metrics::Metrics;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use wingfold_director::interface::{HealthCheckOutcome, HostId, HostLoad};

/// A load report holds a few figures.
const REPORT_BYTES: usize = 4096;
/// Connections to hosts are kept for the next round of probes, and not much longer.
const IDLE: Duration = Duration::from_secs(5);

/// Sends probes.
#[derive(Clone, Debug)]
pub struct Prober {
    http: Http,
    within: Duration,
    places: Arc<Semaphore>,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

impl Prober {
    /// A prober inside these bounds.
    pub fn new(bounds: &Bounds, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let http = Http::new(bounds.connect, IDLE, REPORT_BYTES);
        let places = Arc::new(Semaphore::new(bounds.probes));
        Prober { http, within: bounds.probe, places, inbox, metrics }
    }

    /// Probes a host; what comes of it arrives in the inbox. Never waits.
    pub fn probe(&self, host: HostId, target: Option<Target>) {
        self.metrics.probes_total.one();
        let place = self.places.clone().try_acquire_owned().ok();
        let life = target.as_ref().map_or(0, |target| target.life);
        let (Some(target), Some(place)) = (target, place) else {
            return self.tell(host, life, HealthCheckOutcome::Failed, HostLoad::default());
        };
        let this = self.clone();
        tokio::spawn(async move {
            let (outcome, load) = this.ask(&target.addr).await;
            drop(place);
            this.tell(host, life, outcome, load);
        });
    }

    fn tell(&self, host: HostId, life: u64, outcome: HealthCheckOutcome, load: HostLoad) {
        if outcome != HealthCheckOutcome::Ok {
            self.metrics.probes_failed_total.one();
        }
        self.inbox.send(InboundEvent::HealthChecked { host, incarnation: life, outcome, load });
    }

    async fn ask(&self, address: &str) -> (HealthCheckOutcome, HostLoad) {
        let failed = (HealthCheckOutcome::Failed, HostLoad::default());
        let Ok((status, body)) = self.http.get(address, "/status/load", self.within).await else {
            return failed;
        };
        let outcome = match status {
            StatusCode::OK => HealthCheckOutcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
            _ => return failed,
        };
        // A deployment without reports answers with no body, or with one that says something else.
        if body.is_empty() {
            return (outcome, HostLoad::default());
        }
        let report = serde_json::from_slice(&body).map_err(|error| log::plain(&error.to_string()));
        match report
            .and_then(|r: HostLoadReport| r.host_load().map_err(|invalid: InvalidReason| invalid.to_string()))
        {
            Ok(load) => (outcome, load),
            Err(error) => {
                tracing::warn!(address, error, "probe: unreadable load report");
                failed
            }
        }
    }
}
