//! The simulator's line protocol: reads events and writes actions, and makes no decisions.
//!
//! Only these modules use the protocol's names of messages, fields and values.

mod actions;
mod error;
mod events;
mod fields;
mod lines;
mod messages;

pub use actions::{write_acknowledgement, write_actions};
pub use error::{OrderError, WireError};
pub use events::read_event;
pub use fields::Fields;
pub use lines::LineReader;
pub use messages::{
    read_batch_start, read_endpoint, read_endpoint_list, read_instance, read_launch, BatchStart,
    EndpointListStart, Launch, MessageKind,
};
