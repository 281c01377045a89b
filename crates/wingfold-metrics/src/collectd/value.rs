//! Values and their kinds, as the contents of a part.

use super::part::split_u16;
use super::Refused;

/// Bytes of a value's kind and of its number.
const KIND_BYTES: usize = 1;
const NUMBER_BYTES: usize = 8;

/// TypedValue value with its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TypedValue {
    /// Ever growing, of a width that wraps.
    Counter(u64),
    /// As it is.
    Gauge(f64),
    /// Growing or falling; its rate is what counts.
    Derive(i64),
    /// Counted since the last reading.
    Absolute(u64),
}

impl TypedValue {
    fn kind(&self) -> u8 {
        match self {
            TypedValue::Counter(_) => 0,
            TypedValue::Gauge(_) => 1,
            TypedValue::Derive(_) => 2,
            TypedValue::Absolute(_) => 3,
        }
    }

    /// Gauges alone are little-endian.
    fn to_bytes(self) -> [u8; NUMBER_BYTES] {
        match self {
            TypedValue::Counter(value) | TypedValue::Absolute(value) => value.to_be_bytes(),
            TypedValue::Derive(value) => value.to_be_bytes(),
            TypedValue::Gauge(value) => value.to_le_bytes(),
        }
    }

    fn from_bytes(kind: u8, bytes: [u8; NUMBER_BYTES]) -> Result<TypedValue, Refused> {
        match kind {
            0 => Ok(TypedValue::Counter(u64::from_be_bytes(bytes))),
            1 => Ok(TypedValue::Gauge(f64::from_le_bytes(bytes))),
            2 => Ok(TypedValue::Derive(i64::from_be_bytes(bytes))),
            3 => Ok(TypedValue::Absolute(u64::from_be_bytes(bytes))),
            _ => Err(Refused::Form),
        }
    }
}

/// Values as the contents of a part: their count, all kinds, all numbers.
pub(super) fn write_values(values: &[TypedValue]) -> Vec<u8> {
    let mut contents = (values.len() as u16).to_be_bytes().to_vec();
    contents.extend(values.iter().map(TypedValue::kind));
    contents.extend(values.iter().flat_map(|value| value.to_bytes()));
    contents
}

/// Reads values from the contents of a part.
pub(super) fn read_values(contents: &[u8]) -> Result<Vec<TypedValue>, Refused> {
    let (count, rest) = split_u16(contents)?;
    let count = usize::from(count);
    if rest.len() != count * (KIND_BYTES + NUMBER_BYTES) || count == 0 {
        return Err(Refused::Form);
    }
    let (kinds, numbers) = rest.split_at(count * KIND_BYTES);
    let value = |(kind, bytes): (&u8, &[u8])| {
        let bytes = bytes.try_into().map_err(|_| Refused::Form)?;
        TypedValue::from_bytes(*kind, bytes)
    };
    kinds.iter().zip(numbers.chunks_exact(NUMBER_BYTES)).map(value).collect()
}
