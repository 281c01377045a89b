//! What a run of a scenario comes to: requests by their end, service over time, and how near each rule came to its limit.

use crate::rules::Margins;
use hdrhistogram::Histogram;
use wingfold_director::interface::Micros;

/// Windows that the worst ten seconds are found in.
pub const WINDOW_S: f64 = 5.0;

/// What became of the requests of a class in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Asked for.
    pub asked: u64,
    /// Turned away by levels.
    pub refused: u64,
    /// Answered within the aim.
    pub good: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered.
    pub lost: u64,
}

impl Served {
    /// Adds another's counts.
    pub fn add(&mut self, other: &Served) {
        self.asked += other.asked;
        self.refused += other.refused;
        self.good += other.good;
        self.late += other.late;
        self.lost += other.lost;
    }
}

/// A run's results.
#[derive(Clone, Debug)]
pub struct Played {
    /// By zone, then class.
    pub served: Vec<Vec<Served>>,
    /// Worth asked for and answered in time, by window.
    pub windows: Vec<(f64, f64)>,
    /// Time of good answers in microseconds, by class.
    pub times: Vec<Histogram<u64>>,
    /// How near each rule came to its limit.
    pub margins: Margins,
    /// Second tries.
    pub retries: u64,
    /// Requests that crossed zones.
    pub crossed: u64,
    /// Messages and lines that directors sent.
    pub messages: u64,
    /// Lines in them.
    pub lines: u64,
    /// Time, director and text of the module's log.
    pub log: Vec<(Micros, usize, String)>,
    /// One number for all tables of each director at the end.
    pub digests: Vec<u64>,
}

impl Played {
    /// Worth answered in time, of the worth asked for.
    pub fn service(&self) -> f64 {
        let (asked, good) = self.windows.iter().fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        good / f64::max(asked, 1e-9)
    }

    /// The same in the worst ten seconds.
    pub fn worst(&self) -> f64 {
        let two = self.windows.windows(2).map(|two| (two[0].0 + two[1].0, two[0].1 + two[1].1));
        two.filter(|two| two.0 > 0.0).map(|two| two.1 / two.0).fold(1.0, f64::min)
    }

    /// One class over all zones.
    pub fn class(&self, class: usize) -> Served {
        let mut all = Served::default();
        self.served.iter().for_each(|zone| all.add(&zone[class]));
        all
    }
}
