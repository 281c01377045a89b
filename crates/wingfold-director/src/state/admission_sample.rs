//! A past admission update.
use crate::interface::Timestamp;
use serde::{Deserialize, Serialize};

/// What an admission update decided, kept until the load reports that follow from it have come in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredAdmissionSample", into = "StoredAdmissionSample")]
pub(crate) struct AdmissionSample {
    /// Time of the update.
    pub(crate) updated_at: Timestamp,
    /// Capacity of the hosts in use over the admission ratio: the offered load, in units of listed weight,
    /// that keeps these hosts fully busy at this ratio.
    pub(crate) saturating_load: f64,
}

/// The stored form of [`AdmissionSample`]: time, saturating load.
type StoredAdmissionSample = (Timestamp, f64);

impl From<StoredAdmissionSample> for AdmissionSample {
    fn from((updated_at, saturating_load): StoredAdmissionSample) -> Self {
        AdmissionSample { updated_at, saturating_load }
    }
}

impl From<AdmissionSample> for StoredAdmissionSample {
    fn from(sample: AdmissionSample) -> Self {
        (sample.updated_at, sample.saturating_load)
    }
}
