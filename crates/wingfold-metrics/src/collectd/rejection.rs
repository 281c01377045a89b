//! Why packets are rejected.

/// Why a packet was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum PacketRejection {
    /// The packet cannot be decoded.
    #[error("the packet is malformed")]
    Malformed,
    /// The packet is neither signed nor encrypted, which is required.
    #[error("the packet is neither signed nor encrypted")]
    Unsecured,
    /// The packet's user is not among the receiver's users.
    #[error("the packet's user is unknown")]
    UnknownUser,
    /// The signature, or the checksum after decryption, is wrong.
    #[error("the packet's signature or checksum is wrong: the keys differ or the packet was altered")]
    InvalidKey,
    /// The packet was received before, or its values are too old, too far in the future, or not newer than
    /// the last values.
    #[error("the packet was received before, or its values are outdated or in the future")]
    Replayed,
    /// None of the packet's machines is mapped to a host.
    #[error("the packet has values of no mapped host")]
    UnknownHost,
}
