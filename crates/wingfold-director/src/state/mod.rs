//! The records that a director keeps: plain data and queries on them. Nothing is decided here.
use crate::interface::ZoneId;

mod admission_sample;
mod class_group;
mod host;
mod plan;
mod proxy;
mod send_queue;
mod table;
mod zone;
mod zone_host_stats;

pub(crate) use admission_sample::*;
pub(crate) use class_group::*;
pub(crate) use host::*;
pub(crate) use plan::*;
pub(crate) use proxy::*;
pub(crate) use send_queue::*;
pub(crate) use table::*;
pub(crate) use zone::*;
pub(crate) use zone_host_stats::*;

/// Values by zone, in the order of the settings: no result depends on the order of the zones' names.
pub(crate) type ByZone<T> = indexmap::IndexMap<ZoneId, T>;
