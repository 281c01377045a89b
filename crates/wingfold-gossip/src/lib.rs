//! Gossip between the directors of a tier: which members are alive, and how each director treats its hosts.
//!
//! Datagrams have at most 256 bytes and may be lost, duplicated, delayed and reordered. The crate uses no
//! clock and no socket, and all randomness comes from a seed. It decides nothing about a host: its output is
//! advice for the decision module, which also works without advice (docs/tier-design.md).
#![forbid(unsafe_code)]

pub mod authentication;
pub mod datagram;
pub mod entries;
pub mod gossip;
pub mod membership;

pub use entries::EntryStore;
pub use gossip::{Gossip, GossipConfig, GossipOutput};
pub use membership::{MemberState, Membership};
