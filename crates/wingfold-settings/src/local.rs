//! Local settings of the program, in addition to the platform's: one HCL file. deploy/wingfold.hcl shows
//! every key with its default. Without a file, the capture and all metrics are off, and the log has its
//! defaults.

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
pub use secret::SecretError;

use self::capture::read_capture;
use self::log::read_log;
use self::metrics::read_metrics;
use crate::hcl::{self, Diagnostics};
use std::fmt;

/// File descriptors that a capture needs: the segment, the catalogue, and one more to read or replace a file.
const CAPTURE_DESCRIPTORS: usize = 3;

/// All local settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// The `log` block.
    pub log: LogSettings,
    /// The `capture` block; `None` if the capture is off.
    pub capture: Option<CaptureSettings>,
    /// The `figures` block, and the blocks of the sinks and of the load receiver; `None` if metrics are off.
    pub metrics: Option<MetricsSettings>,
}

impl LocalSettings {
    /// Parses the text of a settings file; diagnostics give `file` as the name of the file.
    pub fn parse(file: &str, text: &str) -> Result<LocalSettings, Diagnostics> {
        LocalSettings::parse_with_secret_reader(file, text, secret::read_secret_file)
    }

    /// Like [`LocalSettings::parse`], but `read_secret` reads the key files whose paths the text gives.
    pub fn parse_with_secret_reader<E: fmt::Display>(
        file: &str,
        text: &str,
        read_secret: impl Fn(&str) -> Result<String, E>,
    ) -> Result<LocalSettings, Diagnostics> {
        let read_secret = |path: &str| read_secret(path).map_err(|error| error.to_string());
        hcl::read(file, text, |top| LocalSettings {
            log: top.block("log").map(|block| read_log(&block)).unwrap_or_default(),
            capture: top.block("capture").and_then(|block| read_capture(&block)),
            metrics: read_metrics(top, &read_secret),
        })
    }

    /// The blocks that differ in `new` and take effect only at a restart. The sinks are not among them: a
    /// reload replaces them.
    pub fn changes_that_need_restart(&self, new: &LocalSettings) -> Vec<&'static str> {
        let without_sinks = |settings: &LocalSettings| {
            let metrics = settings.metrics.clone();
            metrics.map(|metrics| MetricsSettings { sinks: SinkSettings::default(), ..metrics })
        };
        let differs = [
            ("log", self.log != new.log),
            ("capture", self.capture != new.capture),
            ("figures", without_sinks(self) != without_sinks(new)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(block, _)| block).collect()
    }

    /// Bytes of memory that these settings reserve for the capture and the sinks' queues.
    pub fn reserved_memory_bytes(&self) -> usize {
        let capture = self.capture.as_ref().map_or(0, CaptureSettings::memory_bytes);
        let sinks = self.metrics.as_ref().map_or(0, |metrics| metrics.sinks.memory_bytes());
        capture + sinks
    }

    /// The number of file descriptors that these settings reserve for the capture and for metrics.
    pub fn file_descriptors(&self) -> usize {
        let capture = if self.capture.is_some() { CAPTURE_DESCRIPTORS } else { 0 };
        let metrics = self.metrics.as_ref().map_or(0, MetricsSettings::file_descriptors);
        capture + metrics
    }
}
