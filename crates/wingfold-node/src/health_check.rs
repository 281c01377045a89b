//! Health checks of hosts: requests the load of a host, and delivers the outcome of the check to the engine.

use crate::config::Bounds;
use crate::http::HttpClient;
use crate::inbox::{InboundEvent, InboundSender};
use crate::list::HealthCheckTarget;
use crate::log;
use crate::message::{HostLoadReport, InvalidReason};
use crate::metrics::Metrics;
use hyper::body::Bytes;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use wingfold_director::interface::{HealthCheckOutcome, HostId, HostLoad};

/// Limit on the bytes of a load report, which holds a few numbers.
const MAX_REPORT_BYTES: usize = 4096;
/// Connections to hosts are kept until the next round of health checks, and not much longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends health checks to hosts and delivers their outcomes.
#[derive(Clone, Debug)]
pub struct HealthChecker {
    http: HttpClient,
    timeout: Duration,
    /// One permit for each health check that may be under way.
    permits: Arc<Semaphore>,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

/// The result of a health check.
#[derive(Debug)]
struct HealthCheckResult {
    outcome: HealthCheckOutcome,
    load: HostLoad,
}

impl HealthCheckResult {
    fn failed() -> HealthCheckResult {
        HealthCheckResult::without_load(HealthCheckOutcome::Failed)
    }

    fn without_load(outcome: HealthCheckOutcome) -> HealthCheckResult {
        HealthCheckResult { outcome, load: HostLoad::default() }
    }
}

/// Why the body of a response is not a valid load report.
#[derive(Debug, thiserror::Error)]
enum LoadReportError {
    #[error("{}", log::sanitize(&.0.to_string()))]
    Unreadable(#[from] serde_json::Error),
    #[error(transparent)]
    Invalid(#[from] InvalidReason),
}

impl HealthChecker {
    /// Creates a health checker with the timeouts and limits in `bounds`.
    pub fn new(bounds: &Bounds, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let http = HttpClient::new(bounds.health_check_connect_timeout, IDLE_TIMEOUT, MAX_REPORT_BYTES);
        let permits = Arc::new(Semaphore::new(bounds.max_health_checks));
        HealthChecker { http, timeout: bounds.health_check_timeout, permits, inbox, metrics }
    }

    /// Starts the health check of a host and returns at once; the outcome arrives in the inbox. The check
    /// fails without a request if the host is not known or too many checks are under way. The task of a check
    /// ends no later than the timeout.
    pub fn check(&self, host: HostId, target: Option<HealthCheckTarget>) {
        self.metrics.probes_total.increment();
        let permit = self.permits.clone().try_acquire_owned().ok();
        let incarnation = target.as_ref().map_or(0, |target| target.incarnation);
        let (Some(target), Some(permit)) = (target, permit) else {
            self.deliver(host, incarnation, HealthCheckResult::failed());
            return;
        };
        let checker = self.clone();
        tokio::spawn(async move {
            let result = checker.request_load(&target.address).await;
            drop(permit);
            checker.deliver(host, incarnation, result);
        });
    }

    fn deliver(&self, host: HostId, incarnation: u64, result: HealthCheckResult) {
        if result.outcome != HealthCheckOutcome::Ok {
            self.metrics.probes_failed_total.increment();
        }
        self.inbox.send(InboundEvent::HealthChecked {
            host,
            incarnation,
            outcome: result.outcome,
            load: result.load,
        });
    }

    async fn request_load(&self, address: &str) -> HealthCheckResult {
        let Ok(response) = self.http.get(address, "/status/load", self.timeout).await else {
            return HealthCheckResult::failed();
        };
        let outcome = match response.status {
            StatusCode::OK => HealthCheckOutcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
            _ => return HealthCheckResult::failed(),
        };
        // In a deployment without load reports, hosts respond with an empty body.
        if response.body.is_empty() {
            return HealthCheckResult::without_load(outcome);
        }
        match read_load(&response.body) {
            Ok(load) => HealthCheckResult { outcome, load },
            Err(error) => {
                tracing::warn!(address, %error, "health check: unreadable load report");
                HealthCheckResult::failed()
            }
        }
    }
}

fn read_load(body: &Bytes) -> Result<HostLoad, LoadReportError> {
    let report: HostLoadReport = serde_json::from_slice(body)?;
    Ok(report.host_load()?)
}
