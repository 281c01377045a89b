//! Encoding, decoding and security of packets, and the loads that the receiver extracts.

use super::load_receiver::MAX_REMEMBERED;
use super::security::open;
use super::*;
use crate::catalogue::Metric;
use crate::interval::{Distribution, Interval, Sample, Value};
use proptest::prelude::*;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use wingfold_director::interface::{HostLoad, Micros, Timestamp};

const NOW: Timestamp = Timestamp(1_796_083_200_000_000);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn load(host: &str, at: Timestamp, value: f64) -> ValueList {
    ValueList {
        host: host.into(),
        plugin: "load".into(),
        type_name: "load".into(),
        time: high_resolution(at.0),
        interval: high_resolution(10_000_000),
        values: vec![TypedValue::Gauge(value), TypedValue::Gauge(1.0), TypedValue::Gauge(1.0)],
        ..ValueList::default()
    }
}

fn credentials(user: &str, key: &str) -> Credentials {
    Credentials { user: user.into(), key: key.into() }
}

fn securities() -> [PacketSecurity; 3] {
    let credentials = || credentials("alice", "a key that is long");
    [PacketSecurity::None, PacketSecurity::Signed(credentials()), PacketSecurity::Encrypted(credentials())]
}

fn users() -> Users {
    Users::parse("# users that may send\nalice: a key that is long\n\nother: another key\n").unwrap()
}

fn load_receiver(requires_security: bool) -> LoadReceiver {
    let mapped = MappedHost { host: "s-1".into(), cores: 4.0 };
    LoadReceiver::new(users(), requires_security, BTreeMap::from([("db1".to_string(), mapped)]))
}

#[test]
fn encoded_packet_has_the_bytes_of_the_protocol_description() {
    let list = ValueList {
        plugin_instance: "x".into(),
        type_instance: "y".into(),
        ..load("h", Timestamp(1_000_000), 2.5)
    };
    let mut expected = vec![0, 0, 0, 6, b'h', 0];
    expected.extend([0, 8, 0, 12, 0, 0, 0, 0, 0x40, 0, 0, 0]);
    expected.extend([0, 9, 0, 12, 0, 0, 0, 2, 0x80, 0, 0, 0]);
    expected.extend(b"\0\x02\0\x09load\0");
    expected.extend(b"\0\x03\0\x06x\0");
    expected.extend(b"\0\x04\0\x09load\0");
    expected.extend(b"\0\x05\0\x06y\0");
    expected.extend([0, 6, 0, 33, 0, 3, 1, 1, 1]);
    expected.extend(2.5f64.to_le_bytes());
    expected.extend(1f64.to_le_bytes());
    expected.extend(1f64.to_le_bytes());
    let packets =
        encode_packets(std::slice::from_ref(&list), DEFAULT_PACKET_BYTES, &PacketSecurity::None, &mut rng());
    assert_eq!(packets, [expected]);
    assert_eq!(decode_packet(&packets[0]).unwrap(), [list]);
}

#[test]
fn signature_is_the_hmac_of_user_and_packet() {
    // Computes HMAC-SHA-256 of the user's name and the packet from two plain SHA-256 hashes.
    let [_, signed, _] = securities();
    let packet = &encode_packets(&[load("db1", NOW, 1.0)], DEFAULT_PACKET_BYTES, &signed, &mut rng())[0];
    assert_eq!(packet[..4], [2, 0, 0, 36 + 5]);
    assert_eq!(&packet[36..41], b"alice");
    let key = {
        let mut block = [0u8; 64];
        block[..18].copy_from_slice(b"a key that is long");
        block
    };
    let padded_key = |pad: u8| key.iter().map(|byte| byte ^ pad).collect::<Vec<u8>>();
    let inner = Sha256::digest([&padded_key(0x36)[..], b"alice", &packet[41..]].concat());
    let outer = Sha256::digest([&padded_key(0x5c)[..], &inner[..]].concat());
    assert_eq!(packet[4..36], outer[..]);
}

#[test]
fn all_values_of_an_interval_are_decoded_from_packets() {
    let labels =
        |zone: usize, class: usize| vec![format!("zone {zone}").into(), format!("class-{class}").into()];
    let mut samples: Vec<Sample> = Vec::new();
    for zone in 0..6 {
        for class in 0..3 {
            let value = Value::Count((zone * 10 + class) as u64);
            samples.push(Sample { metric: Metric::RequestsOffered, labels: labels(zone, class), value });
        }
    }
    samples.push(Sample { metric: Metric::Utilization, labels: vec![], value: Value::Gauge(f64::INFINITY) });
    samples.push(Sample {
        metric: Metric::TableWriteDelay,
        labels: vec![],
        value: Value::Distribution(Distribution { count: 9, p50: 1.0, p90: 2.0, p99: 3.0, max: 4.0 }),
    });
    let interval =
        Interval { number: 1, ended_at: NOW, length: Micros(10_000_000), samples, corrections: vec![] };
    let lists: Vec<ValueList> = interval
        .samples
        .iter()
        .filter_map(|sample| ValueList::from_sample("n.3", &interval, sample))
        .collect();
    assert_eq!(lists.len(), 19, "the infinite value is left out");
    assert_eq!(lists[0].plugin_instance, "zone_200.class-0");
    assert_eq!((&*lists[0].type_instance, &*lists[18].type_name), ("service.asked", "wingfold_spread"));
    for security in &securities() {
        let packets = encode_packets(&lists, 400, security, &mut rng());
        assert!(packets.len() > 2 && packets.iter().all(|packet| packet.len() <= 400), "{security:?}");
        let decoded: Vec<ValueList> = packets
            .iter()
            .flat_map(|packet| decode_packet(&open(packet, &users()).unwrap().contents).unwrap())
            .collect();
        assert_eq!(decoded, lists);
    }
}

#[test]
fn load_is_extracted_once_and_replays_are_rejected() {
    for (requires_security, security) in [false, true, true].into_iter().zip(&securities()) {
        let mut receiver = load_receiver(requires_security);
        let packet = |at: u64, value: f64| {
            let list = load("db1", Timestamp(NOW.0 + at), value);
            encode_packets(&[list], DEFAULT_PACKET_BYTES, security, &mut ChaCha8Rng::seed_from_u64(at))
                .remove(0)
        };
        let first = packet(0, 3.0);
        let loads = receiver.receive(NOW, &first).unwrap();
        assert_eq!(
            loads,
            [ReportedLoad {
                host: "s-1".into(),
                load: HostLoad { utilization: Some(0.75), ..HostLoad::default() }
            }]
        );
        assert_eq!(receiver.receive(NOW, &first).unwrap_err(), PacketRejection::Replayed, "{security:?}");
        let later = Timestamp(NOW.0 + 10_000_000);
        assert_eq!(receiver.receive(later, &packet(10_000_000, 9.0)).unwrap()[0].load.utilization, Some(1.0));
        assert_eq!(
            receiver.receive(later, &packet(9_000_000, 1.0)).unwrap_err(),
            PacketRejection::Replayed,
            "older than the last value"
        );
        let hour_later = Timestamp(NOW.0 + 3_600_000_000);
        assert_eq!(
            receiver.receive(hour_later, &packet(20_000_000, 1.0)).unwrap_err(),
            PacketRejection::Replayed,
            "older than the largest age"
        );
        assert_eq!(
            receiver.receive(NOW, &packet(60_000_000, 1.0)).unwrap_err(),
            PacketRejection::Replayed,
            "too far in the future"
        );
        let other =
            encode_packets(&[load("db2", NOW, 1.0)], DEFAULT_PACKET_BYTES, security, &mut rng()).remove(0);
        assert_eq!(receiver.receive(NOW, &other).unwrap_err(), PacketRejection::UnknownHost);
        assert_eq!((receiver.accepted, receiver.rejected[&PacketRejection::Replayed]), (2, 4));
    }
}

#[test]
fn altered_packets_and_wrong_keys_or_users_are_rejected() {
    let [plain, signed, encrypted] = securities();
    let packet_with = |security: &PacketSecurity| {
        encode_packets(&[load("db1", NOW, 1.0)], DEFAULT_PACKET_BYTES, security, &mut rng()).remove(0)
    };
    assert_eq!(
        load_receiver(true).receive(NOW, &packet_with(&plain)).unwrap_err(),
        PacketRejection::Unsecured
    );
    for security in [&signed, &encrypted] {
        let packet = packet_with(security);
        for index in 0..packet.len() {
            let mut changed = packet.clone();
            changed[index] ^= 0x20;
            assert!(load_receiver(true).receive(NOW, &changed).is_err(), "{security:?}, byte {index}");
            assert!(
                load_receiver(true).receive(NOW, &packet[..index]).is_err(),
                "{security:?}, truncated at byte {index}"
            );
        }
    }
    let unknown_user = PacketSecurity::Signed(credentials("nobody", "a key that is long"));
    assert_eq!(
        load_receiver(true).receive(NOW, &packet_with(&unknown_user)).unwrap_err(),
        PacketRejection::UnknownUser
    );
    let wrong_key = PacketSecurity::Encrypted(credentials("other", "a key that is long"));
    assert_eq!(
        load_receiver(true).receive(NOW, &packet_with(&wrong_key)).unwrap_err(),
        PacketRejection::InvalidKey
    );
    for (text, line) in [("a", 1), ("a: b\na: c", 2), (": x", 1), ("a:", 1)] {
        assert_eq!(Users::parse(text).unwrap_err().line, line, "{text}");
    }
    assert!(!format!("{:?} {signed:?}", users()).contains("key that"), "debug output has no keys");
}

#[test]
fn remembered_packets_are_bounded() {
    let mut receiver = load_receiver(true);
    let [_, signed, _] = securities();
    for index in 0..20_000u64 {
        let now = Timestamp(NOW.0 + index * 1000);
        let packet =
            encode_packets(&[load("db1", now, 1.0)], DEFAULT_PACKET_BYTES, &signed, &mut rng()).remove(0);
        receiver.receive(now, &packet).unwrap();
    }
    assert!(
        receiver.accepted_fingerprints.len() <= MAX_REMEMBERED
            && receiver.accepted_packets.len() <= MAX_REMEMBERED
            && receiver.last_times.len() == 1
    );
}

#[test]
fn a_million_random_packets_are_accepted_or_rejected() {
    let mut rng = rng();
    let mut receiver = load_receiver(false);
    let valid =
        encode_packets(&[load("db1", NOW, 1.0)], DEFAULT_PACKET_BYTES, &PacketSecurity::None, &mut rng)
            .remove(0);
    let mut bytes = [0; 96];
    for number in 0..1_000_000u32 {
        let length = rng.next_u32() as usize % 96;
        rng.fill_bytes(&mut bytes[..length]);
        if number % 2 == 0 {
            // Begins with bytes of a valid packet, so that decoding fails later than at the first part.
            let (max_copied, start) = (length.min(60), (rng.next_u32() as usize) % valid.len());
            let copied = &valid[start..];
            let count = copied.len().min(max_copied);
            bytes[..count].copy_from_slice(&copied[..count]);
        }
        let _ = receiver.receive(NOW, &bytes[..length]);
    }
    assert_eq!(receiver.accepted + receiver.rejected.values().sum::<u64>(), 1_000_000);
}

proptest! {
    #[test]
    fn encoded_lists_are_decoded_unchanged(
        names in prop::collection::vec("[a-z]{0,9}", 5),
        time in any::<u64>(),
        kinds in prop::collection::vec((0..4u8, any::<u64>()), 1..9),
    ) {
        let value = |(kind, bits): &(u8, u64)| match kind {
            0 => TypedValue::Counter(*bits),
            1 => TypedValue::Gauge(f64::from(*bits as u32)),
            2 => TypedValue::Derive(*bits as i64),
            _ => TypedValue::Absolute(*bits),
        };
        let values = kinds.iter().map(value).collect();
        let list = ValueList {
            host: names[0].clone(), plugin: names[1].clone(), plugin_instance: names[2].clone(),
            type_name: names[3].clone(), type_instance: names[4].clone(), time, interval: 7, values,
        };
        let lists = vec![list.clone(), ValueList { type_instance: "z".into(), ..list }];
        let packets = encode_packets(&lists, DEFAULT_PACKET_BYTES, &PacketSecurity::None, &mut rng());
        let decoded: Vec<ValueList> =
            packets.iter().flat_map(|packet| decode_packet(packet).unwrap()).collect();
        prop_assert_eq!(decoded, lists);
    }
}
