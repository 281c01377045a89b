//! collectd's binary network protocol, both ways, from its public description ("Binary protocol" of collectd's wiki): parts
//! of a type, a length and contents; values with the kind of each; times in 2^-30 seconds; packets signed with
//! HMAC-SHA-256 or encrypted with AES-256 in OFB mode.

mod decode;
mod encode;
mod intake;
mod part;
mod security;
#[cfg(test)]
mod tests;
mod users;
mod value;

pub use decode::read;
pub use encode::packets;
pub use intake::{Intake, MappedHost};
pub use security::Secrecy;
pub use users::Users;
pub use value::TypedValue;

use crate::meter::{Interval, Sample, Value};
use crate::names;
use wingfold_director::interface::Timestamp;

/// The types that wingfold's values have; `deploy/wingfold.types.db` is this text.
pub const TYPES_DB: &str = "\
wingfold_count\tvalue:ABSOLUTE:0:U
wingfold_gauge\tvalue:GAUGE:U:U
wingfold_spread\tcount:ABSOLUTE:0:U, p50:GAUGE:0:U, p90:GAUGE:0:U, p99:GAUGE:0:U, max:GAUGE:0:U
";

/// Bytes of a packet, if nothing else is set: what fits into one Ethernet frame.
pub const PACKET: usize = 1452;

/// Values under one name and time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// The machine, or here the director.
    pub host: String,
    /// What reads the values.
    pub plugin: String,
    /// Which of several.
    pub plugin_instance: String,
    /// How the values are to be understood: a line of a types file.
    pub kind: String,
    /// Which of several.
    pub kind_instance: String,
    /// In 2^-30 seconds of the world's clock.
    pub time: u64,
    /// In the same.
    pub interval: u64,
    /// The values.
    pub values: Vec<TypedValue>,
}

/// Microseconds in collectd's unit of 2^-30 seconds.
pub fn high_resolution(micros: u64) -> u64 {
    ((u128::from(micros) << 30) / 1_000_000) as u64
}

/// A point in time that was given in collectd's unit.
pub fn timestamp(time: u64) -> Timestamp {
    Timestamp(((u128::from(time) * 1_000_000) >> 30) as u64)
}

/// A sample as collectd has it.
pub fn list(director: &str, interval: &Interval, sample: &Sample) -> Option<List> {
    let (kind, values) = match sample.value {
        Value::Count(count) => ("wingfold_count", vec![TypedValue::Absolute(count)]),
        Value::Gauge(value) => ("wingfold_gauge", vec![TypedValue::Gauge(value)]),
        Value::Spread(count, figures) => {
            let figures = figures.into_iter().map(TypedValue::Gauge);
            ("wingfold_spread", std::iter::once(TypedValue::Absolute(count)).chain(figures).collect())
        }
    };
    let sound = values.iter().all(|one| !matches!(one, TypedValue::Gauge(value) if !value.is_finite()));
    let labels: Vec<String> = sample.labels.iter().map(|label| names::encode(label)).collect();
    sound.then(|| List {
        host: names::encode(director),
        plugin: "wingfold".into(),
        plugin_instance: labels.join("."),
        kind: kind.into(),
        kind_instance: sample.figure.entry().name.into(),
        time: high_resolution(interval.at.0),
        interval: high_resolution(interval.length.0),
        values,
    })
}

/// Why a packet is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refused {
    /// It is no packet.
    #[error("it cannot be read")]
    Form,
    /// It is not secured as it must be.
    #[error("it is neither signed nor encrypted")]
    Open,
    /// Nobody of that name is known.
    #[error("its user is not known")]
    User,
    /// Its signature, or its checksum after decrypting, is wrong.
    #[error("its key is wrong, or it was changed")]
    Key,
    /// It was seen before, or its time has passed or lies ahead.
    #[error("it is old, from the future, or was sent before")]
    Replayed,
    /// It speaks of machines that nobody maps to a host.
    #[error("it names no host that is known")]
    Host,
}
