//! Reads lists of values from packets.

use super::part::{part_type, split_part, Part};
use super::value::read_values;
use super::{List, Refused};

/// Units of high-resolution time in a second.
const UNITS_PER_S: u64 = 1 << 30;

/// Reads a packet's lists; what belongs to no list (messages, unknown parts) is passed over.
pub fn read(mut bytes: &[u8]) -> Result<Vec<List>, Refused> {
    let mut list = List::default();
    let mut lists = Vec::new();
    while !bytes.is_empty() {
        let (part, rest) = split_part(bytes)?;
        bytes = rest;
        match part.part_type {
            part_type::HOST => list.host = part.text()?,
            part_type::PLUGIN => list.plugin = part.text()?,
            part_type::PLUGIN_INSTANCE => list.plugin_instance = part.text()?,
            part_type::TYPE => list.kind = part.text()?,
            part_type::TYPE_INSTANCE => list.kind_instance = part.text()?,
            part_type::TIME_HR => list.time = part.number()?,
            part_type::TIME => list.time = seconds(&part)?,
            part_type::INTERVAL_HR => list.interval = part.number()?,
            part_type::INTERVAL => list.interval = seconds(&part)?,
            part_type::VALUES => {
                let values = read_values(part.contents)?;
                lists.push(List { values, ..list.clone() });
            }
            part_type::SIGNED | part_type::ENCRYPTED => return Err(Refused::Form),
            _ => {}
        }
    }
    Ok(lists)
}

/// A time in seconds, as high-resolution time.
fn seconds(part: &Part) -> Result<u64, Refused> {
    part.number()?.checked_mul(UNITS_PER_S).ok_or(Refused::Form)
}
