//! What a director tells of itself, and what happens to it on the way out: which figures there are, when silence is a
//! figure, how much may wait for a receiver, when one is given up on and tried again, and how figures look to Graphite and
//! collectd. Nothing here opens a socket or reads a clock (docs/figures-design.md).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod catalogue;
pub mod collectd;
pub mod graphite;
pub mod meter;
pub mod names;
pub mod receiver;
pub mod silence;
pub mod spread;

pub use catalogue::{Figure, Kind};
pub use meter::{Interval, Meter, Sample, Value};
pub use receiver::{Dropped, Input, Order, Receiver, Rules};
pub use silence::{Silence, State};
