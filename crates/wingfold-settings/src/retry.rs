//! Encoding of retry policies on the wire.

use wingfold_director::interface::Retry;

/// The number that encodes a retry policy, both in the simulator's line protocol and in the director's own
/// messages.
pub fn retry_code(retry: Retry) -> u8 {
    match retry {
        Retry::Never => 0,
        Retry::OnProof => 1,
        Retry::Once => 2,
        Retry::Twice => 3,
    }
}
