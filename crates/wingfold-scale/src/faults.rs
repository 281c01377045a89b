//! The faults that a run can inject.

use clap::ValueEnum;
use std::fmt;

/// A fault, injected once in a run and ended after the duration given for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// No fault
    #[default]
    None,
    /// Discovery answers every request, pending watches included, with 503
    DiscoveryDown,
    /// The hosts, the proxies and the collector of one zone send nothing; their connections stay open
    ZoneSilent,
    /// A quarter of the directors is restarted
    RestartQuarter,
    /// A third of the directors gets no response from discovery
    RegionCut,
}

impl Fault {
    /// Returns the name of the fault on the command line and in reports.
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

/// Returns whether the fault `restart-quarter` restarts this director.
pub fn is_restarted(director: usize) -> bool {
    director.is_multiple_of(4)
}

/// Returns whether the fault `region-cut` cuts this director off from discovery.
pub fn is_in_region(director: usize) -> bool {
    director.is_multiple_of(3)
}
