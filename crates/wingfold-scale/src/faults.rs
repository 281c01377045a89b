//! The faults that a run can play.

use clap::ValueEnum;
use std::fmt;

/// A fault, played once in a run and taken back after a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Nothing goes wrong
    #[default]
    None,
    /// Discovery answers 503 and ends its watches, then is back
    DiscoveryDown,
    /// The hosts, the proxies and the collector of one zone fall silent, then go on
    ZoneSilent,
    /// One in four directors is restarted
    RestartQuarter,
    /// The directors of a third of the fleet get no answer from discovery, then do again
    RegionCut,
}

impl Fault {
    /// Its name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::DiscoveryDown => "discovery-down",
            Fault::ZoneSilent => "zone-silent",
            Fault::RestartQuarter => "restart-quarter",
            Fault::RegionCut => "region-cut",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether a director is one of those that `restart-quarter` restarts.
pub fn is_restarted(director: usize) -> bool {
    director.is_multiple_of(4)
}

/// Whether a director is in the region that `region-cut` cuts off.
pub fn is_in_region(director: usize) -> bool {
    director.is_multiple_of(3)
}
