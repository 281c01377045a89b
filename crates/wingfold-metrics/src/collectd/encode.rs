//! Encodes value lists as packets.

use super::part::{part_type, write_part, write_text};
use super::security::{overhead, secure};
use super::value::write_values;
use super::{PacketSecurity, ValueList};
use rand::RngCore;

/// The smallest limit, in bytes, on the value lists in a packet; it applies even if the packet size is set
/// lower.
const MIN_CONTENT_BYTES: usize = 256;

/// Encodes value lists as packets of at most `max_bytes`, and signs or encrypts the packets.
pub fn encode_packets(
    lists: &[ValueList],
    max_bytes: usize,
    security: &PacketSecurity,
    rng: &mut impl RngCore,
) -> Vec<Vec<u8>> {
    let max_content_bytes = max_bytes.saturating_sub(overhead(security)).max(MIN_CONTENT_BYTES);
    let mut packets = Vec::new();
    let mut packet: Vec<u8> = Vec::new();
    let mut previous: Option<&ValueList> = None;
    for list in lists {
        let mut parts = parts_after(previous, list);
        if !packet.is_empty() && packet.len() + parts.len() > max_content_bytes {
            packets.push(secure(std::mem::take(&mut packet), security, rng));
            parts = parts_after(None, list);
        }
        packet.extend(parts);
        previous = Some(list);
    }
    if !packet.is_empty() {
        packets.push(secure(packet, security, rng));
    }
    packets
}

/// Encodes the parts of a value list that differ from the previous list in the packet, or all parts if there
/// is none, and the values.
fn parts_after(previous: Option<&ValueList>, list: &ValueList) -> Vec<u8> {
    let mut parts = Vec::new();
    let text_differs =
        |field: fn(&ValueList) -> &String| previous.is_none_or(|previous| field(previous) != field(list));
    let number_differs =
        |field: fn(&ValueList) -> u64| previous.is_none_or(|previous| field(previous) != field(list));
    if text_differs(|list| &list.host) {
        write_text(&mut parts, part_type::HOST, &list.host);
    }
    if number_differs(|list| list.time) {
        write_part(&mut parts, part_type::TIME_HR, &list.time.to_be_bytes());
    }
    if number_differs(|list| list.interval) {
        write_part(&mut parts, part_type::INTERVAL_HR, &list.interval.to_be_bytes());
    }
    if text_differs(|list| &list.plugin) {
        write_text(&mut parts, part_type::PLUGIN, &list.plugin);
    }
    if text_differs(|list| &list.plugin_instance) {
        write_text(&mut parts, part_type::PLUGIN_INSTANCE, &list.plugin_instance);
    }
    if text_differs(|list| &list.type_name) {
        write_text(&mut parts, part_type::TYPE, &list.type_name);
    }
    if text_differs(|list| &list.type_instance) {
        write_text(&mut parts, part_type::TYPE_INSTANCE, &list.type_instance);
    }
    write_part(&mut parts, part_type::VALUES, &write_values(&list.values));
    parts
}
