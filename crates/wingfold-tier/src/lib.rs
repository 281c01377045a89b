//! What directors of a tier tell each other: who is there, and what each has learned. Datagrams of at most 256 bytes that
//! may be lost, doubled, late and out of order; no clock, no socket, chance from a seed. Nothing here decides about a host:
//! what comes out of it are events for the decision module, which may be helped by them and needs none (docs/tier-design.md).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod member;
pub mod notes;
pub mod seal;
pub mod tier;
pub mod wire;

pub use member::{Membership, Standing};
pub use notes::Notes;
pub use tier::{Out, Plan, Tier};
