//! wingfold's own settings: what the platform's configuration does not speak of. One HCL file (deploy/wingfold.hcl
//! shows every key with its default and the reason for it); everything is off where nothing is said.

mod address;
mod capture;
mod collectd;
mod graphite;
mod log;
mod metrics;
mod secret;
mod sink;
#[cfg(test)]
mod tests;

pub use capture::{CaptureSettings, CaptureTarget};
pub use collectd::{CollectdSettings, LoadReceiverSettings};
pub use graphite::{GraphiteProtocol, GraphiteSettings, SinkAssignment};
pub use log::{LogFormat, LogSettings};
pub use metrics::{MetricsSettings, SinkSettings};

use self::capture::read_capture;
use self::log::read_log;
use self::metrics::read_metrics;
use crate::hcl::{self, Diagnostics};

/// Descriptors of a capture: the segment, the catalogue, and one while a file is read or replaced.
const CAPTURE_DESCRIPTORS: usize = 3;

/// All of wingfold's own settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// The log.
    pub log: LogSettings,
    /// The capture; `None`: off.
    pub capture: Option<CaptureSettings>,
    /// Figures; `None`: off.
    pub metrics: Option<MetricsSettings>,
}

impl LocalSettings {
    /// Reads a file's text; `file` is its name in faults.
    pub fn parse(file: &str, text: &str) -> Result<LocalSettings, Diagnostics> {
        LocalSettings::parse_with(file, text, secret::read_secret_file)
    }

    /// The same; `read_secret` reads the files of keys that it names.
    pub fn parse_with(
        file: &str,
        text: &str,
        read_secret: impl Fn(&str) -> Result<String, String>,
    ) -> Result<LocalSettings, Diagnostics> {
        hcl::read(file, text, |top| LocalSettings {
            log: top.block("log").map(|block| read_log(&block)).unwrap_or_default(),
            capture: top.block("capture").and_then(|block| read_capture(&block)),
            metrics: read_metrics(top, &read_secret),
        })
    }

    /// The keys that differ in `new` and take effect at a restart only.
    pub fn changes_that_need_restart(&self, new: &LocalSettings) -> Vec<&'static str> {
        let rest = |own: &LocalSettings| {
            own.metrics.clone().map(|figures| MetricsSettings { sinks: SinkSettings::default(), ..figures })
        };
        let differs = [
            ("log", self.log != new.log),
            ("capture", self.capture != new.capture),
            ("figures", rest(self) != rest(new)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// Bytes of memory that it takes away from the director's own.
    pub fn reserved_memory_bytes(&self) -> usize {
        let capture = self.capture.as_ref().map_or(0, CaptureSettings::memory_bytes);
        let sinks = self.metrics.as_ref().map_or(0, |figures| figures.sinks.memory_bytes());
        capture + sinks
    }

    /// Descriptors that it holds open.
    pub fn file_descriptors(&self) -> usize {
        let capture = if self.capture.is_some() { CAPTURE_DESCRIPTORS } else { 0 };
        let figures = self.metrics.as_ref().map_or(0, MetricsSettings::file_descriptors);
        capture + figures
    }
}
