//! What a director reports of its decisions for the log.
use super::{HostId, Readiness, ZoneId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A decision, with the facts behind it. [`fmt::Display`] renders it as one line of `key=value` facts.
///
/// Captures and checkpoints hold notices as texts. Two notices are equal if their texts are, so a notice
/// that was read back equals the one that was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum Notice {
    /// The settings ask for shards of keys: the director takes no actions.
    ShardsUnsupported,
    /// A call for the endpoint list failed.
    EndpointListFailed {
        /// Seconds until the next call.
        retry_in_s: f64,
    },
    /// The endpoint list names a host as draining or removed.
    HostNotReady {
        /// The host.
        host: HostId,
        /// Its state on the list.
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
        /// The zone whose ranking it is.
        zone: ZoneId,
        /// Halvings of its weight from now on.
        weight_halvings: u32,
        /// Its score, in ms.
        score: f64,
        /// The score of the zone's leading group, in ms.
        leading_score: f64,
    },
    /// A zone's subsets are sized for another number of requests a connection.
    SubsetSizeChanged {
        /// The zone.
        zone: ZoneId,
        /// Requests that a connection should carry before it would close idle.
        requests_per_connection: f64,
        /// The median loss of the zone's hosts, as a ratio.
        baseline_loss: f64,
        /// Busy share of the hosts' cores.
        utilization: f64,
    },
    /// A zone has ejected a host.
    HostEjected {
        /// The host.
        host: HostId,
        /// The zone whose tables it leaves.
        zone: ZoneId,
        /// Attempts of the zone that failed in a row.
        consecutive_failures: f64,
        /// Attempts of the zone that should have come since the last report on the host.
        missed_attempts: f64,
        /// Attempts of all zones in a row that failed or came too late.
        consecutive_useless: f64,
    },
    /// A zone uses a host again after its probation.
    HostRecovered {
        /// The host.
        host: HostId,
        /// The zone.
        zone: ZoneId,
    },
    /// Another share of the requests is admitted.
    AdmissionChanged {
        /// The share that is admitted from now on.
        admission_ratio: f64,
        /// The median loss of all hosts, as a ratio.
        loss: f64,
        /// Busy share of the hosts' cores.
        utilization: f64,
        /// The median latency of all hosts, in ms.
        latency_ms: f64,
    },
    /// The hosts of a machine type are faster or slower for their listed weight than they were taken for.
    RelativeSpeedChanged {
        /// The machine type.
        machine_type: String,
        /// Its speed, as a ratio of the fastest type's.
        relative_speed: f64,
    },
    /// A notice that was read back: its text.
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
