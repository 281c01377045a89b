//! Gossip between the directors of a tier: who is there, and what each has learned of hosts.
//!
//! Datagrams have at most 256 bytes and may be lost, duplicated, delayed and reordered. There is no clock, no socket and no
//! randomness but that of a seed in here. Nothing here decides about a host: what comes out is advice for the decision
//! module, which needs none of it (docs/tier-design.md).
#![forbid(unsafe_code)]

pub mod authentication;
pub mod datagram;
pub mod entries;
pub mod gossip;
pub mod membership;

pub use entries::EntryStore;
pub use gossip::{Gossip, GossipConfig, GossipOutput};
pub use membership::{MemberState, Membership};
