//! The bytes of datagrams: directors of different builds exchange them, so the layout must not change.

use std::collections::BTreeMap;
use wingfold_director::interface::Timestamp;
use wingfold_gossip::authentication::Authenticator;
use wingfold_gossip::datagram::{self, part, DatagramKind, DatagramWriter, Header, Part};
use wingfold_gossip::entries::{EntryKey, EntryStore, HealthState, HostReport};
use wingfold_gossip::membership::{MemberState, Membership, MembershipChange};

const HEADER: Header = Header {
    kind: DatagramKind::PingRequest,
    from: 0x0102,
    incarnation: 0x0304_0506,
    sequence: 0x0708,
    target: 0x090A,
};

#[test]
fn datagram_layout_is_fixed() {
    let mut writer = DatagramWriter::new(HEADER, 0);
    writer.add_part(part::MEMBERS, &[0xAA, 0xBB]);
    writer.add_part(part::URGENT_ENTRIES, &[0xCC]);
    let expected = [
        0xD7, 1, 2, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, // header
        1, 2, 0xAA, 0xBB, // part: members
        4, 1, 0xCC, // part: urgent entries
    ];
    assert_eq!(writer.finish(), expected);
    let parts = vec![Part { kind: 1, contents: &[0xAA, 0xBB] }, Part { kind: 4, contents: &[0xCC] }];
    assert_eq!(datagram::parse(&expected), Some((HEADER, parts)));
    assert_eq!([part::MEMBERS, part::DIGEST, part::ENTRIES, part::URGENT_ENTRIES], [1, 2, 3, 4]);
}

#[test]
fn datagram_kind_bytes_are_fixed() {
    use DatagramKind::{Ack, Gossip, Ping, PingRequest};
    for (kind, byte) in [(Ping, 0), (Ack, 1), (PingRequest, 2), (Gossip, 3)] {
        let bytes = DatagramWriter::new(Header { kind, ..HEADER }, 0).finish();
        assert_eq!(bytes[2], byte, "{kind:?}");
    }
}

#[test]
fn entry_parts_and_digest_layouts_are_fixed() {
    let key = EntryKey { zone: 3, host: 0x1122_3344 };
    let report = HostReport {
        health: HealthState::Ejected,
        weight_halvings: 2,
        is_warming_up: true,
        attempts: 7,
        loss: 250,
        latency_ms: 0x1234,
    };
    let mut store = EntryStore::new(0x0102, 0x0304_0506);
    assert!(store.publish(Timestamp(1_000_000), &BTreeMap::from([(key, report)])));
    let now = Timestamp(3_500_000);
    let owner = [1, 2, 3, 4, 5, 6];
    // Health 1, two halvings (2 << 2) and warming up (1 << 4) in one byte; the age of 2.5 s in tenths of a
    // second.
    let entry = [3, 0x11, 0x22, 0x33, 0x44, 0x19, 0, 25, 7, 250, 0x12, 0x34];
    let in_order = [&owner[..], &[0, 0, 0, 0], &[0, 0, 0, 1], &entry].concat();
    assert_eq!(store.missing_parts(now, &[], 100, 4), vec![in_order.clone()]);
    let urgent = [&owner[..], &[0, 0, 0, 1], &entry].concat();
    assert_eq!(store.urgent_part(now, 100), urgent);
    assert_eq!(store.digest(100), [&owner[..], &[0, 0, 0, 1]].concat());

    for (index, part) in [in_order, urgent].into_iter().enumerate() {
        let mut receiver = EntryStore::new(0, 1);
        let mut received = Vec::new();
        if index == 0 {
            receiver.receive(now, &part, &mut received);
        } else {
            receiver.receive_urgent(now, &part, &mut received);
        }
        assert_eq!(received.len(), 1);
        assert_eq!((received[0].owner, received[0].key), (0x0102, key));
        assert_eq!(
            (received[0].entry.report, received[0].entry.published_at),
            (report, Timestamp(1_000_000))
        );
    }
}

#[test]
fn health_state_bits_are_fixed() {
    use HealthState::{Ejected, Healthy, Probation};
    for (health, bits) in [(Healthy, 0), (Ejected, 1), (Probation, 2)] {
        let report = HostReport { health, weight_halvings: 1, ..HostReport::NORMAL };
        let mut store = EntryStore::new(1, 1);
        store.publish(Timestamp(0), &BTreeMap::from([(EntryKey { zone: 0, host: 0 }, report)]));
        let part = store.missing_parts(Timestamp(0), &[], 100, 1).remove(0);
        assert_eq!(part[14 + 5], bits | 1 << 2, "{health:?}");
    }
}

#[test]
fn membership_statement_layout_is_fixed() {
    let mut membership = Membership::new(0x0102, 0x0104, 0x0304_0506, 1, Timestamp(0));
    let from_another =
        Header { kind: DatagramKind::Gossip, from: 0x0103, incarnation: 0x0708_090A, ..HEADER };
    let mut changes = Vec::new();
    membership.handle_datagram(Timestamp(1), from_another, &mut Vec::new(), &mut changes);
    assert_eq!(changes, [MembershipChange::StateChanged { member: 0x0103, state: MemberState::Alive }]);
    let own = [1, 2, 1, 3, 4, 5, 6, 0, 0, 0];
    let alive = [1, 3, 1, 7, 8, 9, 10, 0, 0, 0];
    assert_eq!(membership.statements(64), [own, alive].concat());
    membership.leave(&mut Vec::new());
    assert_eq!(membership.statements(10), [1, 2, 4, 3, 4, 5, 6, 0, 0, 0]);
}

#[test]
fn member_state_bytes_are_fixed() {
    use MemberState::{Alive, Dead, Left, Suspect};
    for (state, byte) in [(Alive, 1), (Suspect, 2), (Dead, 3), (Left, 4)] {
        let mut membership = Membership::new(0, 2, 1, 1, Timestamp(0));
        let statement = [0, 1, byte, 0, 0, 0, 9, 0x0A, 0x0B, 0];
        membership.handle_statements(Timestamp(1), &statement, &mut Vec::new());
        let (_, member) = membership.members().next().expect("member 1 is known");
        assert_eq!((member.state, member.incarnation, member.revision), (state, 9, 0x0A0B));
        assert_eq!(membership.statements(20)[10..], statement, "{state:?}");
    }
}

#[test]
fn signed_datagram_trailer_is_fixed() {
    let mut signer = Authenticator::new(vec![b"key".to_vec()]);
    let expected = [
        &b"datagram"[..],
        &[0, 0, 0, 0, 0, 0, 0, 1],                              // counter
        &[97, 117, 89, 52, 27, 87, 126, 111, 151, 174, 189, 1], // first 12 bytes of the HMAC-SHA-256
    ]
    .concat();
    assert_eq!(signer.sign(b"datagram".to_vec()), expected);
}
