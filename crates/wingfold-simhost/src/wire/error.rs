//! What can be wrong with the input.

use super::messages::BATCH_START;
use std::io;
use thiserror::Error;

/// What can be wrong with the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field that should be there is not.
    #[error("message `{message}`: field `{field}` is missing")]
    Missing {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
    },
    /// A field does not hold what it should.
    #[error("message `{message}`: field `{field}` cannot be read: `{value}`")]
    Invalid {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// The beginning of its value, or why it is invalid.
        value: String,
    },
    /// More fields than the message has.
    #[error("message `{message}`: more fields than expected")]
    Excess {
        /// The message's name.
        message: String,
    },
    /// A message that may not stand here, or that the protocol does not have.
    #[error("message `{message}`: {problem}")]
    Unexpected {
        /// The beginning of the message's name.
        message: String,
        /// Why it is not expected.
        problem: OrderError,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

impl WireError {
    /// The input has ended between the first and the last line of a batch.
    pub fn input_ended_in_batch() -> Self {
        WireError::Unexpected { message: BATCH_START.to_string(), problem: OrderError::InputEnded }
    }
}

/// Why a message may not stand where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The input ends after the first line of a batch and before its last.
    #[error("the input ends inside it")]
    InputEnded,
    /// Only the first line of a batch may stand here.
    #[error("stands outside a batch")]
    OutsideBatch,
    /// A batch begins inside another.
    #[error("the batch before it has not ended")]
    BatchNotEnded,
    /// An entry without its list, or a list without all its entries.
    #[error("list entries must follow their `fleet`, all of them")]
    ListInterrupted,
    /// No line of this batch has named an instance yet.
    #[error("no instance was named before it")]
    NoInstance,
    /// The instance does not run.
    #[error("the instance has not been launched")]
    NotLaunched,
    /// The protocol has no message of this name.
    #[error("not a message of this protocol")]
    UnknownMessage,
}
