//! Metrics of a wingfold director: the catalogue, the values of each interval, monitoring of the sources of
//! reports, the queue and the connection state of each sink, and the encodings of Graphite and collectd. This
//! crate does no I/O and reads no clock; callers pass the time in (docs/figures-design.md).
#![forbid(unsafe_code)]

pub mod catalogue;
pub mod collectd;
pub mod graphite;
pub mod hash_ring;
pub mod interval;
pub mod label_encoding;
pub mod lag;
pub mod meter;
pub mod sink;
pub mod source_monitor;

pub use catalogue::{Metric, MetricKind};
pub use interval::{Distribution, Interval, Sample, Value};
pub use meter::{ExternalValue, Meter};
pub use sink::{DropReason, Sink, SinkAction, SinkEvent, SinkLimits};
pub use source_monitor::{SourceMonitor, SourceState};
