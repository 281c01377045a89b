//! Errors of the line protocol.

use super::messages::BATCH_START;
use std::io;
use thiserror::Error;

/// An error in the input, or a failure to read or write.
#[derive(Debug, Error)]
pub enum WireError {
    /// A required field is missing.
    #[error("message `{message}`: field `{field}` is missing")]
    MissingField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
    },
    /// A field has an invalid value.
    #[error("message `{message}`: field `{field}` has an invalid value: `{value}`")]
    InvalidField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// The beginning of the value, or the reason why the value is invalid.
        value: String,
    },
    /// The line has more fields than its message.
    #[error("message `{message}`: more fields than expected")]
    ExcessFields {
        /// The message's name.
        message: String,
    },
    /// The message is not allowed here, or is not a message of the protocol.
    #[error("message `{message}`: {problem}")]
    UnexpectedMessage {
        /// The beginning of the message's name.
        message: String,
        /// Why the message is not allowed.
        problem: OrderError,
    },
    /// Reading or writing failed.
    #[error("cannot read the input or write the output: {0}")]
    Io(#[from] io::Error),
}

impl WireError {
    /// The error of an input that ends between the first and the last line of a batch.
    pub fn input_ended_in_batch() -> Self {
        WireError::UnexpectedMessage { message: BATCH_START.to_string(), problem: OrderError::InputEnded }
    }
}

/// Why a message is not allowed at its position in the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The input ends between the first and the last line of a batch.
    #[error("the input ends inside the batch")]
    InputEnded,
    /// Outside a batch, only the first line of a batch is allowed.
    #[error("not allowed outside a batch; a `batch` line is expected")]
    OutsideBatch,
    /// A batch begins before the previous batch has ended.
    #[error("the previous batch has not ended")]
    BatchNotEnded,
    /// An entry outside an endpoint list, or another line before the list is complete.
    #[error("a `fleet` line must be followed by exactly its number of `item` lines")]
    ListInterrupted,
    /// No line of this batch has selected an instance yet.
    #[error("no `for` line has selected an instance in this batch")]
    NoInstance,
    /// The selected instance does not run.
    #[error("the instance has not been launched")]
    NotLaunched,
    /// The protocol has no message of this name.
    #[error("not a message of this protocol")]
    UnknownMessage,
}
