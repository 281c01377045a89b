//! The head of a checkpoint, which precedes the records. All numbers are little-endian.
use super::{CheckpointError, Damage, VERSION};

/// The bytes that every checkpoint begins with.
const MAGIC: [u8; 4] = *b"WFDS";

/// Length of the head in bytes: magic number, version, digest of the settings, length and checksum of the
/// records.
pub(super) const HEAD_BYTES: usize = 4 + 2 + 8 + 4 + 4;

/// The head of a checkpoint, without its magic number.
pub(super) struct CheckpointHead {
    /// The format version of the checkpoint.
    version: u16,
    /// [`Settings::digest`](crate::interface::Settings::digest) of the settings in the records.
    pub(super) settings_digest: u64,
    /// Length of the records.
    records_bytes: u32,
    /// CRC-32 of the records.
    pub(super) checksum: u32,
}

impl CheckpointHead {
    /// The head of a checkpoint with these records.
    pub(super) fn of_records(records: &[u8], settings_digest: u64) -> CheckpointHead {
        CheckpointHead {
            version: VERSION,
            settings_digest,
            records_bytes: records.len() as u32,
            checksum: crc32fast::hash(records),
        }
    }

    /// Splits a checkpoint into its head and its records.
    pub(super) fn split(bytes: &[u8]) -> Result<(CheckpointHead, &[u8]), CheckpointError> {
        let actual = bytes.len();
        let Some((head, records)) = bytes.split_first_chunk::<HEAD_BYTES>() else {
            return Err(CheckpointError::Length { actual, expected: HEAD_BYTES });
        };
        let head = CheckpointHead::read(head)?;
        let expected = HEAD_BYTES + head.records_bytes as usize;
        if actual != expected {
            return Err(CheckpointError::Length { actual, expected });
        }
        Ok((head, records))
    }

    /// Encodes the head.
    pub(super) fn write(&self) -> [u8; HEAD_BYTES] {
        let mut bytes = [0; HEAD_BYTES];
        let mut rest = &mut bytes[..];
        write_field(&mut rest, &MAGIC);
        write_field(&mut rest, &self.version.to_le_bytes());
        write_field(&mut rest, &self.settings_digest.to_le_bytes());
        write_field(&mut rest, &self.records_bytes.to_le_bytes());
        write_field(&mut rest, &self.checksum.to_le_bytes());
        bytes
    }

    /// Decodes a head; rejects one without the magic number or with another version.
    fn read(bytes: &[u8; HEAD_BYTES]) -> Result<CheckpointHead, CheckpointError> {
        let mut rest = &bytes[..];
        if read_field::<4>(&mut rest) != MAGIC {
            return Err(CheckpointError::Damaged(Damage::MagicNumber));
        }
        let version = u16::from_le_bytes(read_field(&mut rest));
        if version != VERSION {
            return Err(CheckpointError::Version { found: version });
        }
        Ok(CheckpointHead {
            version,
            settings_digest: u64::from_le_bytes(read_field(&mut rest)),
            records_bytes: u32::from_le_bytes(read_field(&mut rest)),
            checksum: u32::from_le_bytes(read_field(&mut rest)),
        })
    }
}

/// Writes a field to the front of `rest` and advances `rest` past the field.
fn write_field(rest: &mut &mut [u8], field: &[u8]) {
    let (front, remainder) = std::mem::take(rest).split_at_mut(field.len());
    front.copy_from_slice(field);
    *rest = remainder;
}

/// Reads a field from the front of `rest` and advances `rest` past the field.
fn read_field<const BYTES: usize>(rest: &mut &[u8]) -> [u8; BYTES] {
    let (field, remainder) = rest.split_first_chunk::<BYTES>().expect("the fields fill HEAD_BYTES");
    *rest = remainder;
    *field
}
