//! Groups of classes whose requests may go to the same hosts.
use crate::interface::{Class, Endpoint, ZoneId};
use serde::{Deserialize, Serialize};

/// Classes whose requests may go to the same hosts. The classes of a group share one table in each subset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClassGroup {
    /// The first class of the group. All classes of the group have the same host restrictions.
    #[serde(rename = "sample")]
    pub(crate) representative: Class,
    /// The classes of the group; bit `k` stands for the class at position `k` of the settings.
    #[serde(rename = "mask")]
    pub(crate) classes: u64,
}

impl ClassGroup {
    /// Groups classes with equal host restrictions. The groups are in the order of their first classes.
    pub(crate) fn from_classes(classes: &[Class]) -> Vec<ClassGroup> {
        let mut groups: Vec<ClassGroup> = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            match groups.iter_mut().find(|group| has_same_restrictions(&group.representative, class)) {
                Some(group) => group.classes |= 1 << index,
                None => groups.push(ClassGroup { representative: class.clone(), classes: 1 << index }),
            }
        }
        groups
    }

    /// Whether proxies in `proxy_zone` may send requests of the group to the host of `endpoint`.
    pub(crate) fn allows(&self, proxy_zone: &ZoneId, endpoint: &Endpoint) -> bool {
        let class = &self.representative;
        (!class.own_zone_only || endpoint.zone == *proxy_zone)
            && (class.allowed_zones.is_empty() || class.allowed_zones.contains(&endpoint.zone))
            && (class.allowed_machine_types.is_empty()
                || class.allowed_machine_types.contains(&endpoint.machine_type))
    }
}

/// Whether two classes are restricted to the same hosts.
fn has_same_restrictions(one: &Class, other: &Class) -> bool {
    one.own_zone_only == other.own_zone_only
        && one.allowed_zones == other.allowed_zones
        && one.allowed_machine_types == other.allowed_machine_types
}
