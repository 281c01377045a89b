//! The records that make up a director's state: plain data, and queries and updates on them. Decisions are
//! taken in `policy`.
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

/// A map from zones to values that keeps insertion order: the zones of the settings in their order there,
/// then those that proxies named. No result depends on the alphabetical order of zone names.
pub(crate) type ByZone<T> = indexmap::IndexMap<ZoneId, T>;
