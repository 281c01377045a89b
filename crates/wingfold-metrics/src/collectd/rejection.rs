//! Why packets are rejected.

/// Why a packet was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum PacketRejection {
    /// It cannot be decoded.
    #[error("it cannot be read")]
    Malformed,
    /// It is neither signed nor encrypted, and must be.
    #[error("it is neither signed nor encrypted")]
    Unsecured,
    /// Its user has no key.
    #[error("its user is not known")]
    UnknownUser,
    /// Its signature, or its checksum after decryption, is wrong.
    #[error("its key is wrong, or it was changed")]
    InvalidKey,
    /// It was received before, or its time is too old or in the future.
    #[error("it is old, from the future, or was sent before")]
    Replayed,
    /// None of its machines is mapped to a host.
    #[error("it names no host that is known")]
    UnknownHost,
}
