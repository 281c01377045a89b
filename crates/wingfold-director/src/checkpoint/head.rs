//! The head of a checkpoint, in front of its records. All numbers are little-endian.
use super::{CheckpointError, Damage, VERSION};

/// The bytes that every checkpoint begins with.
const MAGIC: [u8; 4] = *b"WFDS";

/// Bytes of the head: magic, version, digest of the settings, length and checksum of the records.
pub(super) const HEAD_BYTES: usize = 4 + 2 + 8 + 4 + 4;

/// The head of a checkpoint, without its magic number.
pub(super) struct CheckpointHead {
    version: u16,
    /// [`Settings::digest`](crate::interface::Settings::digest) of the settings in the records.
    pub(super) settings_digest: u64,
    records_bytes: u32,
    /// CRC-32 of the records.
    pub(super) checksum: u32,
}

impl CheckpointHead {
    /// The head for some records.
    pub(super) fn of_records(records: &[u8], settings_digest: u64) -> CheckpointHead {
        CheckpointHead {
            version: VERSION,
            settings_digest,
            records_bytes: records.len() as u32,
            checksum: crc32fast::hash(records),
        }
    }

    /// The head of a checkpoint, and its records.
    pub(super) fn split(bytes: &[u8]) -> Result<(CheckpointHead, &[u8]), CheckpointError> {
        let has = bytes.len();
        let Some((head, records)) = bytes.split_first_chunk::<HEAD_BYTES>() else {
            return Err(CheckpointError::Cut { has, needs: HEAD_BYTES });
        };
        let head = CheckpointHead::read(head)?;
        let needs = HEAD_BYTES + head.records_bytes as usize;
        if has != needs {
            return Err(CheckpointError::Cut { has, needs });
        }
        Ok((head, records))
    }

    /// The bytes of the head.
    pub(super) fn write(&self) -> [u8; HEAD_BYTES] {
        let mut bytes = [0; HEAD_BYTES];
        let mut rest = &mut bytes[..];
        put(&mut rest, &MAGIC);
        put(&mut rest, &self.version.to_le_bytes());
        put(&mut rest, &self.settings_digest.to_le_bytes());
        put(&mut rest, &self.records_bytes.to_le_bytes());
        put(&mut rest, &self.checksum.to_le_bytes());
        bytes
    }

    fn read(bytes: &[u8; HEAD_BYTES]) -> Result<CheckpointHead, CheckpointError> {
        let mut rest = &bytes[..];
        if take::<4>(&mut rest) != MAGIC {
            return Err(CheckpointError::Damaged(Damage::Magic));
        }
        let version = u16::from_le_bytes(take(&mut rest));
        if version != VERSION {
            return Err(CheckpointError::Version { found: version });
        }
        Ok(CheckpointHead {
            version,
            settings_digest: u64::from_le_bytes(take(&mut rest)),
            records_bytes: u32::from_le_bytes(take(&mut rest)),
            checksum: u32::from_le_bytes(take(&mut rest)),
        })
    }
}

/// Writes a field to the front of `rest` and goes on behind it.
fn put(rest: &mut &mut [u8], field: &[u8]) {
    let (front, behind) = std::mem::take(rest).split_at_mut(field.len());
    front.copy_from_slice(field);
    *rest = behind;
}

/// Reads a field from the front of `rest` and goes on behind it.
fn take<const BYTES: usize>(rest: &mut &[u8]) -> [u8; BYTES] {
    let (field, behind) = rest.split_first_chunk::<BYTES>().expect("the fields fill HEAD_BYTES");
    *rest = behind;
    *field
}
