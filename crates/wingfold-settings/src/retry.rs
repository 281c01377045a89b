//! Retry policies on the wire.

use wingfold_director::interface::Retry;

/// The number of a retry policy in both protocols.
pub fn retry_code(retry: Retry) -> u8 {
    match retry {
        Retry::Never => 0,
        Retry::OnProof => 1,
        Retry::Once => 2,
        Retry::Twice => 3,
    }
}
