//! Encodes and decodes collectd's binary network protocol, following its public description ("Binary
//! protocol" of collectd's wiki): parts of a type, a length and contents; values with the type of each; times
//! in 2^-30 seconds; packets signed with HMAC-SHA-256 or encrypted with AES-256 in OFB mode.

mod decode;
mod encode;
mod load_receiver;
mod part;
mod rejection;
mod security;
#[cfg(test)]
mod tests;
mod users;
mod value;
mod value_list;

pub use decode::decode_packet;
pub use encode::encode_packets;
pub use load_receiver::{LoadReceiver, MappedHost, ReportedLoad};
pub use rejection::PacketRejection;
pub use security::{Credentials, PacketSecurity};
pub use users::{InvalidUserLine, Users};
pub use value::TypedValue;
pub use value_list::{high_resolution, timestamp, ValueList, TYPES_DB};

/// The default of the largest packet size in bytes: the payload of one Ethernet frame.
pub const DEFAULT_PACKET_BYTES: usize = 1452;
