//! Identifiers of hosts, zones, proxies, tables and request classes.
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The address of a host, which the director uses only as an identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId(pub Arc<str>);

/// The name of a zone, which the director uses only as an identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub Arc<str>);

/// The number of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyId(pub u32);

/// The number of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableId(pub u32);

/// A request class, by its position in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// A set of request classes: bit `k` is set if the set contains the class at position `k`. A mask of 0 stands
/// for all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassMask(pub u64);
