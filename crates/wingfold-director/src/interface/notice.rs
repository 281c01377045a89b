//! Notices: reports of a director's decisions for the log.
use super::{HostId, Readiness, ZoneId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A decision, with the facts behind it. [`fmt::Display`] renders it as one line of `key=value` facts.
///
/// Captures and checkpoints store notices as texts. Notices with equal texts are equal, so that a notice that
/// was read back equals the notice that was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum Notice {
    /// The settings ask for shards of the key space, which are not supported: the director takes no actions.
    ShardsUnsupported,
    /// A request for the endpoint list failed.
    EndpointListFailed {
        /// Seconds until the next request.
        retry_in_s: f64,
    },
    /// The endpoint list reports a host as draining or removed.
    HostNotReady {
        /// The host.
        host: HostId,
        /// The state of the host on the list.
        readiness: Readiness,
    },
    /// A host has started, or is listed for the first time.
    HostStarted {
        /// The host.
        host: HostId,
    },
    /// The ranking of a zone has halved or doubled the weight of a host.
    WeightChanged {
        /// The host.
        host: HostId,
        /// The zone whose ranking changed the weight.
        zone: ZoneId,
        /// How many times the weight is halved from now on.
        weight_halvings: u32,
        /// The score of the host, in milliseconds.
        score: f64,
        /// The score of the zone's leading group, in milliseconds.
        leading_score: f64,
    },
    /// The number of requests per connection for which a zone's subsets are sized has changed.
    SubsetSizeChanged {
        /// The zone.
        zone: ZoneId,
        /// Requests that a connection should carry before it is closed for being idle.
        requests_per_connection: f64,
        /// Median loss of the zone's hosts, as a ratio.
        baseline_loss: f64,
        /// Utilization of the hosts' cores, as a ratio.
        utilization: f64,
    },
    /// A zone has ejected a host.
    HostEjected {
        /// The host.
        host: HostId,
        /// The zone whose tables no longer contain the host.
        zone: ZoneId,
        /// Consecutive attempts of the zone that failed.
        consecutive_failures: f64,
        /// Attempts of the zone that were expected since the last load report on the host.
        missed_attempts: f64,
        /// Consecutive attempts of all zones that failed or whose answers came too late to be of use.
        consecutive_useless: f64,
    },
    /// A host has passed its probation in a zone and is back in use there.
    HostRecovered {
        /// The host.
        host: HostId,
        /// The zone whose probation the host passed.
        zone: ZoneId,
    },
    /// The admitted share of the requests has changed.
    AdmissionChanged {
        /// The share of the requests that is admitted from now on, as a ratio.
        admission_ratio: f64,
        /// Median loss of all hosts, as a ratio.
        loss: f64,
        /// Utilization of the hosts' cores, as a ratio.
        utilization: f64,
        /// Median latency of all hosts, in milliseconds.
        latency_ms: f64,
    },
    /// The estimated speed of a machine type relative to its hosts' listed weights has changed.
    RelativeSpeedChanged {
        /// The machine type.
        machine_type: String,
        /// Speed of the machine type per listed weight, as a ratio of that of the fastest type.
        relative_speed: f64,
    },
    /// A notice that was read from a capture or a checkpoint, as its text.
    Recorded(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::ShardsUnsupported => f.write_str("shards are not supported: no orders are given"),
            Notice::EndpointListFailed { retry_in_s } => {
                write!(f, "endpoint list failed retry_in_s={retry_in_s:.1}")
            }
            Notice::HostNotReady { host, readiness } => {
                write!(f, "host {} host={}", readiness_name(*readiness), host.0)
            }
            Notice::HostStarted { host } => write!(f, "host started host={}", host.0),
            Notice::WeightChanged { host, zone, weight_halvings, score, leading_score } => {
                let weight = 0.5f64.powi(*weight_halvings as i32);
                write!(f, "host weight changed host={} zone={} weight_ratio={weight} ", host.0, zone.0)?;
                write!(f, "score_ms={score:.0} leading_score_ms={leading_score:.0}")
            }
            Notice::SubsetSizeChanged { zone, requests_per_connection, baseline_loss, utilization } => {
                write!(f, "subset size changed zone={} ", zone.0)?;
                write!(f, "requests_per_connection={requests_per_connection} ")?;
                write!(f, "baseline_loss={baseline_loss:.2} utilization={utilization:.2}")
            }
            Notice::HostEjected {
                host,
                zone,
                consecutive_failures,
                missed_attempts,
                consecutive_useless,
            } => {
                write!(f, "host ejected host={} zone={} ", host.0, zone.0)?;
                write!(f, "consecutive_failures={consecutive_failures:.0} ")?;
                write!(f, "missed_attempts={missed_attempts:.0} ")?;
                write!(f, "consecutive_useless={consecutive_useless:.0}")
            }
            Notice::HostRecovered { host, zone } => {
                write!(f, "host recovered host={} zone={}", host.0, zone.0)
            }
            Notice::AdmissionChanged { admission_ratio, loss, utilization, latency_ms } => {
                write!(f, "admission changed admission_ratio={admission_ratio:.2} ")?;
                write!(f, "loss={loss:.2} utilization={utilization:.2} latency_ms={latency_ms:.0}")
            }
            Notice::RelativeSpeedChanged { machine_type, relative_speed } => {
                write!(f, "relative speed changed machine_type={machine_type} ")?;
                write!(f, "relative_speed={relative_speed:.2}")
            }
            Notice::Recorded(text) => f.write_str(text),
        }
    }
}

fn readiness_name(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Removed => "removed",
    }
}

impl PartialEq for Notice {
    fn eq(&self, other: &Notice) -> bool {
        self.to_string() == other.to_string()
    }
}

impl From<Notice> for String {
    fn from(notice: Notice) -> String {
        notice.to_string()
    }
}

impl From<String> for Notice {
    fn from(text: String) -> Notice {
        Notice::Recorded(text)
    }
}
