//! The short host hash: directors of different builds must compute the same one.
use super::*;

#[test]
fn short_host_hash_is_fixed() {
    let config =
        GossipConfig { own_id: 0, member_count: 2, incarnation: 1, seed: 1, tier_hash: 5, keys: Vec::new() };
    let gossip = Gossip::new(config, Timestamp(0));
    assert_eq!(gossip.host_hash(&HostId("10.0.0.1:8443".into())), 1_493_447_427);
}
