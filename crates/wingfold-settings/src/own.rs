//! wingfold's own settings: what the platform's configuration does not speak of. One HCL file (deploy/wingfold.hcl
//! shows every key with its default and the reason for it); everything is off where nothing is said.

mod address;
mod capture;
mod collectd;
mod figures;
mod graphite;
mod log;
mod receiver;
mod secret;
#[cfg(test)]
mod tests;

pub use capture::{Capture, Target};
pub use collectd::{Collectd, CollectdIn};
pub use figures::{Figures, Sinks};
pub use graphite::{Deal, Graphite, Protocol};
pub use log::{Form, Log};

use self::capture::capture;
use self::figures::figures;
use self::log::log;
use crate::hcl::{self, Faults};

/// Descriptors of a capture: the segment, the catalogue, and one while a file is read or replaced.
const CAPTURE_DESCRIPTORS: usize = 3;

/// All of wingfold's own settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// The log.
    pub log: Log,
    /// The capture; `None`: off.
    pub capture: Option<Capture>,
    /// Figures; `None`: off.
    pub figures: Option<Figures>,
}

impl Own {
    /// Reads a file's text; `file` is its name in faults.
    pub fn read(file: &str, text: &str) -> Result<Own, Faults> {
        Own::read_with(file, text, secret::read)
    }

    /// The same; `read_secret` reads the files of keys that it names.
    pub fn read_with(
        file: &str,
        text: &str,
        read_secret: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Own, Faults> {
        hcl::read(file, text, |top| Own {
            log: top.block("log").map(|block| log(&block)).unwrap_or_default(),
            capture: top.block("capture").and_then(|block| capture(&block)),
            figures: figures(top, &read_secret),
        })
    }

    /// The keys that differ in `new` and take effect at a restart only.
    pub fn needs_restart(&self, new: &Own) -> Vec<&'static str> {
        let rest =
            |own: &Own| own.figures.clone().map(|figures| Figures { sinks: Sinks::default(), ..figures });
        let differs = [
            ("log", self.log != new.log),
            ("capture", self.capture != new.capture),
            ("figures", rest(self) != rest(new)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// Bytes of memory that it takes away from the director's own.
    pub fn memory(&self) -> usize {
        let capture = self.capture.as_ref().map_or(0, Capture::memory);
        let sinks = self.figures.as_ref().map_or(0, |figures| figures.sinks.memory());
        capture + sinks
    }

    /// Descriptors that it holds open.
    pub fn descriptors(&self) -> usize {
        let capture = if self.capture.is_some() { CAPTURE_DESCRIPTORS } else { 0 };
        let figures = self.figures.as_ref().map_or(0, Figures::descriptors);
        capture + figures
    }
}
