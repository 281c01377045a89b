//! Checkpoints: the whole state of a director, written to bytes and restored from them. Nothing is decided
//! here.
//!
//! A checkpoint is a head and the records of `state` in MessagePack with the names of their fields, so that
//! a later build with more fields can read it, given defaults for the new ones. Floating-point numbers are
//! stored bit for bit: a restored director answers all further events with the same actions as the one that
//! wrote the checkpoint.
mod head;
mod validation;

pub use validation::{HostStatsFault, InvalidRecord};

use crate::director::Director;
use crate::interface::{Settings, SettingsError};
use head::{CheckpointHead, HEAD_BYTES};

/// The version of the records; checkpoints of other versions are rejected.
pub const VERSION: u16 = 1;

/// Why a checkpoint is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CheckpointError {
    /// It ends too early, or goes on after its end.
    #[error("the checkpoint is cut: {has} bytes where {needs} are expected")]
    Cut {
        /// The bytes that there are.
        has: usize,
        /// The bytes that there should be.
        needs: usize,
    },
    /// It is something else, or was changed.
    #[error("the checkpoint is damaged: {0}")]
    Damaged(Damage),
    /// Another version wrote it.
    #[error("the checkpoint has version {found}, this build reads version {VERSION}")]
    Version {
        /// The version found.
        found: u16,
    },
    /// It belongs to other settings.
    #[error("the checkpoint was written under other settings")]
    Settings,
    /// The settings in it are out of bounds.
    #[error("the settings in the checkpoint are invalid: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// One of its records is out of bounds or contradicts another one.
    #[error("the checkpoint is invalid: {0}")]
    Invalid(#[source] InvalidRecord),
}

/// What is damaged in a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// It does not begin with the magic number.
    #[error("it does not begin with the magic number of checkpoints")]
    Magic,
    /// The checksum of its records differs.
    #[error("the checksum of its records differs")]
    Checksum,
    /// Its records cannot be decoded.
    #[error("its records cannot be decoded")]
    Records,
    /// The digest in its head is not that of its settings.
    #[error("its settings are not those of its head")]
    SettingsDigest,
}

impl Director {
    /// Writes the whole state.
    pub fn checkpoint(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        rmp_serde::encode::write_named(&mut bytes, self).expect("records are plain, written to memory");
        let head = CheckpointHead::of_records(&bytes[HEAD_BYTES..], self.settings.digest());
        bytes[..HEAD_BYTES].copy_from_slice(&head.write());
        bytes
    }

    /// Restores a director from a checkpoint that was written under these settings.
    pub fn restore_for(bytes: &[u8], settings: &Settings) -> Result<Director, CheckpointError> {
        let (head, _) = CheckpointHead::split(bytes)?;
        if head.settings_digest != settings.digest() {
            return Err(CheckpointError::Settings);
        }
        let director = Director::restore(bytes)?;
        if director.settings == *settings {
            Ok(director)
        } else {
            Err(CheckpointError::Settings)
        }
    }

    /// Restores a director from a checkpoint, with the settings that it holds. The bytes may come from
    /// anybody: whatever could make the director fail later is rejected.
    pub fn restore(bytes: &[u8]) -> Result<Director, CheckpointError> {
        let (head, records) = CheckpointHead::split(bytes)?;
        if crc32fast::hash(records) != head.checksum {
            return Err(CheckpointError::Damaged(Damage::Checksum));
        }
        let mut director: Director =
            rmp_serde::from_slice(records).map_err(|_| CheckpointError::Damaged(Damage::Records))?;
        director.settings.validate().map_err(CheckpointError::InvalidSettings)?;
        if director.settings.digest() != head.settings_digest {
            return Err(CheckpointError::Damaged(Damage::SettingsDigest));
        }
        director.validate().map_err(CheckpointError::Invalid)?;
        director.rebuild_digests();
        Ok(director)
    }
}
