//! Encodes and decodes values with their types, which are the contents of a part.

use super::part::split_u16;
use super::PacketRejection;

/// Bytes of a value's type.
const TYPE_BYTES: usize = 1;
/// Bytes of a value's number.
const NUMBER_BYTES: usize = 8;

/// A value with its type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TypedValue {
    /// A running total that may wrap.
    Counter(u64),
    /// A value at one time.
    Gauge(f64),
    /// A total that may also decrease; receivers compute its rate.
    Derive(i64),
    /// The number of events since the last reading.
    Absolute(u64),
}

impl TypedValue {
    fn type_code(&self) -> u8 {
        match self {
            TypedValue::Counter(_) => 0,
            TypedValue::Gauge(_) => 1,
            TypedValue::Derive(_) => 2,
            TypedValue::Absolute(_) => 3,
        }
    }

    /// Whether receivers accept the value: a gauge must be finite.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            TypedValue::Gauge(value) => value.is_finite(),
            _ => true,
        }
    }

    /// Gauges are little-endian; values of all other types are big-endian.
    fn to_bytes(self) -> [u8; NUMBER_BYTES] {
        match self {
            TypedValue::Counter(value) | TypedValue::Absolute(value) => value.to_be_bytes(),
            TypedValue::Derive(value) => value.to_be_bytes(),
            TypedValue::Gauge(value) => value.to_le_bytes(),
        }
    }

    fn from_bytes(type_code: u8, bytes: [u8; NUMBER_BYTES]) -> Result<TypedValue, PacketRejection> {
        match type_code {
            0 => Ok(TypedValue::Counter(u64::from_be_bytes(bytes))),
            1 => Ok(TypedValue::Gauge(f64::from_le_bytes(bytes))),
            2 => Ok(TypedValue::Derive(i64::from_be_bytes(bytes))),
            3 => Ok(TypedValue::Absolute(u64::from_be_bytes(bytes))),
            _ => Err(PacketRejection::Malformed),
        }
    }
}

/// Encodes values as the contents of a part: the number of values, then all types, then all numbers.
pub(super) fn write_values(values: &[TypedValue]) -> Vec<u8> {
    let mut contents = (values.len() as u16).to_be_bytes().to_vec();
    contents.extend(values.iter().map(TypedValue::type_code));
    contents.extend(values.iter().flat_map(|value| value.to_bytes()));
    contents
}

/// Decodes values from the contents of a part.
pub(super) fn read_values(contents: &[u8]) -> Result<Vec<TypedValue>, PacketRejection> {
    let (count, rest) = split_u16(contents)?;
    let count = usize::from(count);
    if rest.len() != count * (TYPE_BYTES + NUMBER_BYTES) || count == 0 {
        return Err(PacketRejection::Malformed);
    }
    let (type_codes, numbers) = rest.split_at(count * TYPE_BYTES);
    let value = |(type_code, bytes): (&u8, &[u8])| {
        let bytes = bytes.try_into().map_err(|_| PacketRejection::Malformed)?;
        TypedValue::from_bytes(*type_code, bytes)
    };
    type_codes.iter().zip(numbers.chunks_exact(NUMBER_BYTES)).map(value).collect()
}
