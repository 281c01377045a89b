//! Checkpoints: the whole state of a director, encoded as bytes, and its restoration from these.
//!
//! A checkpoint consists of a head and the records of the director in MessagePack, with field names: a later
//! build that has additional fields can read the checkpoint, as these fields get defaults. Floating-point
//! numbers are stored bit for bit, so that a restored director responds to all further events with the same
//! actions as the director that wrote the checkpoint.
mod head;
mod validation;

pub use validation::{HostStatsFault, InvalidRecord};

use crate::director::Director;
use crate::interface::{Settings, SettingsError};
use head::{CheckpointHead, HEAD_BYTES};

/// The format version of checkpoints; checkpoints of other versions are rejected.
pub const VERSION: u16 = 1;

/// The reason why a checkpoint is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CheckpointError {
    /// The checkpoint is shorter or longer than its head states, or too short for a head.
    #[error("the checkpoint is {actual} bytes long, {expected} bytes are expected")]
    Length {
        /// The length of the checkpoint in bytes.
        actual: usize,
        /// The length by the head, in bytes; that of the head alone if the checkpoint is too short for a
        /// head.
        expected: usize,
    },
    /// The bytes are not a checkpoint, or were altered after it was written.
    #[error("the checkpoint is damaged: {0}")]
    Damaged(Damage),
    /// The checkpoint has another format version.
    #[error("the checkpoint has version {found}, this build reads version {VERSION}")]
    Version {
        /// The version of the checkpoint.
        found: u16,
    },
    /// The settings in the checkpoint are not those that the director is to run with.
    #[error("the checkpoint was written under other settings")]
    OtherSettings,
    /// The settings in the checkpoint are out of bounds.
    #[error("the settings in the checkpoint are invalid: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// A record of the checkpoint is out of bounds or contradicts another record.
    #[error("the checkpoint is invalid: {0}")]
    Invalid(#[source] InvalidRecord),
}

/// The way in which a checkpoint is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The checkpoint does not begin with the magic number.
    #[error("it does not begin with the magic number of checkpoints")]
    MagicNumber,
    /// The checksum in the head is not that of the records.
    #[error("the checksum in its head is not that of its records")]
    Checksum,
    /// The records cannot be decoded.
    #[error("its records cannot be decoded")]
    UndecodableRecords,
    /// The digest of settings in the head is not that of the settings in the records.
    #[error("the digest of settings in its head is not that of its settings")]
    SettingsDigest,
}

impl Director {
    /// Writes the whole state of the director, from which [`Director::restore`] restores it.
    pub fn checkpoint(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        rmp_serde::encode::write_named(&mut bytes, self)
            .expect("encoding plain records to memory does not fail");
        let head = CheckpointHead::of_records(&bytes[HEAD_BYTES..], self.settings.digest());
        bytes[..HEAD_BYTES].copy_from_slice(&head.write());
        bytes
    }

    /// Restores a director from a checkpoint; rejects checkpoints that were written under other settings.
    pub fn restore_for(bytes: &[u8], settings: &Settings) -> Result<Director, CheckpointError> {
        let (head, _) = CheckpointHead::split(bytes)?;
        if head.settings_digest != settings.digest() {
            return Err(CheckpointError::OtherSettings);
        }
        let director = Director::restore(bytes)?;
        if director.settings == *settings {
            Ok(director)
        } else {
            Err(CheckpointError::OtherSettings)
        }
    }

    /// Restores a director from a checkpoint, with the settings that the checkpoint contains. The bytes need
    /// not be trusted: records that could make the director fail later are rejected.
    pub fn restore(bytes: &[u8]) -> Result<Director, CheckpointError> {
        let (head, records) = CheckpointHead::split(bytes)?;
        if crc32fast::hash(records) != head.checksum {
            return Err(CheckpointError::Damaged(Damage::Checksum));
        }
        let mut director: Director = rmp_serde::from_slice(records)
            .map_err(|_| CheckpointError::Damaged(Damage::UndecodableRecords))?;
        director.settings.validate().map_err(CheckpointError::InvalidSettings)?;
        if director.settings.digest() != head.settings_digest {
            return Err(CheckpointError::Damaged(Damage::SettingsDigest));
        }
        director.validate().map_err(CheckpointError::Invalid)?;
        director.rebuild_digests();
        Ok(director)
    }
}
