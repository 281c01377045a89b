//! Decodes packets into value lists.

use super::part::{part_type, split_part, Part};
use super::value::read_values;
use super::{PacketRejection, ValueList};

/// Units of high-resolution time per second.
const UNITS_PER_S: u64 = 1 << 30;

/// Decodes the value lists of a packet. Parts that do not belong to a value list (notifications, unknown
/// parts) are ignored.
pub fn decode_packet(mut bytes: &[u8]) -> Result<Vec<ValueList>, PacketRejection> {
    let mut list = ValueList::default();
    let mut lists = Vec::new();
    while !bytes.is_empty() {
        let (part, rest) = split_part(bytes)?;
        bytes = rest;
        match part.part_type {
            part_type::HOST => list.host = part.text()?,
            part_type::PLUGIN => list.plugin = part.text()?,
            part_type::PLUGIN_INSTANCE => list.plugin_instance = part.text()?,
            part_type::TYPE => list.type_name = part.text()?,
            part_type::TYPE_INSTANCE => list.type_instance = part.text()?,
            part_type::TIME_HR => list.time = part.number()?,
            part_type::TIME => list.time = high_resolution_seconds(&part)?,
            part_type::INTERVAL_HR => list.interval = part.number()?,
            part_type::INTERVAL => list.interval = high_resolution_seconds(&part)?,
            part_type::VALUES => {
                let values = read_values(part.contents)?;
                lists.push(ValueList { values, ..list.clone() });
            }
            part_type::SIGNED | part_type::ENCRYPTED => return Err(PacketRejection::Malformed),
            _ => {}
        }
    }
    Ok(lists)
}

/// The contents of a part in seconds, converted to 2^-30 seconds.
fn high_resolution_seconds(part: &Part) -> Result<u64, PacketRejection> {
    part.number()?.checked_mul(UNITS_PER_S).ok_or(PacketRejection::Malformed)
}
