//! Packs lists of values into packets.

use super::part::{part_type, write_part, write_text};
use super::security::{overhead, secure};
use super::value::write_values;
use super::{List, Secrecy};
use rand::RngCore;

/// The least room for lists in a packet, whatever its size is set to.
const MIN_ROOM: usize = 256;

/// Packs lists into packets of at most `size` bytes, secured.
pub fn packets(lists: &[List], size: usize, secrecy: &Secrecy, rng: &mut impl RngCore) -> Vec<Vec<u8>> {
    let room = size.saturating_sub(overhead(secrecy)).max(MIN_ROOM);
    let mut packets = Vec::new();
    let mut packet: Vec<u8> = Vec::new();
    let mut previous: Option<&List> = None;
    for list in lists {
        let mut parts = parts_after(previous, list);
        if !packet.is_empty() && packet.len() + parts.len() > room {
            packets.push(secure(std::mem::take(&mut packet), secrecy, rng));
            parts = parts_after(None, list);
        }
        packet.extend(parts);
        previous = Some(list);
    }
    if !packet.is_empty() {
        packets.push(secure(packet, secrecy, rng));
    }
    packets
}

/// A list's parts that differ from the previous list's in the packet.
fn parts_after(previous: Option<&List>, list: &List) -> Vec<u8> {
    let mut out = Vec::new();
    let text_differs =
        |field: fn(&List) -> &String| previous.is_none_or(|previous| field(previous) != field(list));
    let number_differs =
        |field: fn(&List) -> u64| previous.is_none_or(|previous| field(previous) != field(list));
    if text_differs(|list| &list.host) {
        write_text(&mut out, part_type::HOST, &list.host);
    }
    if number_differs(|list| list.time) {
        write_part(&mut out, part_type::TIME_HR, &list.time.to_be_bytes());
    }
    if number_differs(|list| list.interval) {
        write_part(&mut out, part_type::INTERVAL_HR, &list.interval.to_be_bytes());
    }
    if text_differs(|list| &list.plugin) {
        write_text(&mut out, part_type::PLUGIN, &list.plugin);
    }
    if text_differs(|list| &list.plugin_instance) {
        write_text(&mut out, part_type::PLUGIN_INSTANCE, &list.plugin_instance);
    }
    if text_differs(|list| &list.kind) {
        write_text(&mut out, part_type::TYPE, &list.kind);
    }
    if text_differs(|list| &list.kind_instance) {
        write_text(&mut out, part_type::TYPE_INSTANCE, &list.kind_instance);
    }
    write_part(&mut out, part_type::VALUES, &write_values(&list.values));
    out
}
