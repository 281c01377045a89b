//! Records of past admission updates.
use crate::interface::Timestamp;
use serde::{Deserialize, Serialize};

/// The result of an admission update, kept until the load reports that show its effect have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredAdmissionSample", into = "StoredAdmissionSample")]
pub(crate) struct AdmissionSample {
    /// When the admission update ran.
    pub(crate) updated_at: Timestamp,
    /// Offered load, in units of listed weight, that fully utilizes the hosts in use at the admission ratio
    /// of the update: the capacity of these hosts divided by the ratio.
    pub(crate) saturating_load: f64,
}

/// The stored form of [`AdmissionSample`]: time of the update, saturating load.
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
