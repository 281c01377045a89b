//! Seals: datagrams authenticated by a key that the tier shares, with a number that only grows against replay. Two keys may be
//! good at a time, so that they are exchanged without a gap: first everybody accepts the new one, then everybody uses it.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of a seal: a counter and a shortened HMAC-SHA-256.
pub const LENGTH: usize = 8 + 12;
/// Datagrams that overtook others by no more than so many are still taken.
const WINDOW: u64 = 64;

/// Keys and counters.
#[derive(Debug, Default)]
pub struct Seals {
    /// The first one seals; all are accepted.
    keys: Vec<Vec<u8>>,
    sent: u64,
    seen: BTreeMap<(u16, u32), (u64, u64)>,
    /// Datagrams refused: no seal or a wrong one, and repeated ones.
    pub refused: [u64; 2],
}

fn mac(key: &[u8], datagram: &[u8], counter: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any length of key is good");
    mac.update(datagram);
    mac.update(counter);
    mac
}

impl Seals {
    /// With these keys; without any, datagrams are neither sealed nor checked.
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        Seals { keys, ..Seals::default() }
    }

    /// Other keys from now on; counters go on.
    pub fn replace(&mut self, keys: Vec<Vec<u8>>) {
        self.keys = keys;
    }

    /// Bytes to keep for a seal in each datagram.
    pub fn spare(&self) -> usize {
        if self.keys.is_empty() {
            0
        } else {
            LENGTH
        }
    }

    /// Seals a datagram.
    pub fn seal(&mut self, mut datagram: Vec<u8>) -> Vec<u8> {
        if let Some(key) = self.keys.first() {
            self.sent += 1;
            let counter = self.sent.to_be_bytes();
            let tag = mac(key, &datagram, &counter).finalize().into_bytes();
            datagram.extend(counter);
            datagram.extend(&tag[..LENGTH - 8]);
        }
        datagram
    }

    /// Checks a datagram's seal and gives what it seals. `who` tells the sender and its life, by the datagram's head: a new
    /// life counts anew, and an old one is refused by the membership.
    pub fn open<'a>(
        &mut self,
        bytes: &'a [u8],
        who: impl Fn(&[u8]) -> Option<(u16, u32)>,
    ) -> Option<&'a [u8]> {
        if self.keys.is_empty() {
            return Some(bytes);
        }
        let opened = bytes.len().checked_sub(LENGTH).and_then(|length| {
            let (datagram, seal) = bytes.split_at(length);
            let (counter, tag) = seal.split_at(8);
            let good =
                self.keys.iter().any(|key| mac(key, datagram, counter).verify_truncated_left(tag).is_ok());
            let counter = u64::from_be_bytes(counter.try_into().ok()?);
            good.then_some((datagram, counter, who(datagram)?))
        });
        let Some((datagram, counter, who)) = opened else {
            self.refused[0] += 1;
            return None;
        };
        if !self.fresh(who, counter) {
            self.refused[1] += 1;
            return None;
        }
        // Of a member only its newest life is kept, and one before it for what is still under way.
        let old: Vec<u32> =
            self.seen.range((who.0, 0)..=(who.0, u32::MAX)).map(|((_, life), _)| *life).collect();
        for life in old.iter().take(old.len().saturating_sub(2)) {
            self.seen.remove(&(who.0, *life));
        }
        Some(datagram)
    }

    /// The highest counter of a sender, and which of those before it were seen.
    fn fresh(&mut self, who: (u16, u32), counter: u64) -> bool {
        let (highest, bits) = self.seen.entry(who).or_insert((0, 0));
        if counter > *highest {
            let by = counter - *highest;
            *bits = if by < WINDOW { *bits << by | 1 << (by - 1) } else { 0 };
            // The bit of the old highest itself, where it still lies inside.
            if by >= WINDOW {
                *bits = 0;
            }
            *highest = counter;
            return true;
        }
        let behind = *highest - counter;
        if behind == 0 || behind > WINDOW {
            return false;
        }
        let bit = 1 << (behind - 1);
        let seen = *bits & bit != 0;
        *bits |= bit;
        !seen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn who(_: &[u8]) -> Option<(u16, u32)> {
        Some((1, 1))
    }

    #[test]
    fn a_datagram_is_taken_once_under_a_known_key_and_keys_change_without_a_gap() {
        let (old, new) = (b"old".to_vec(), b"new".to_vec());
        let mut sender = Seals::new(vec![old.clone()]);
        let mut taker = Seals::new(vec![old.clone()]);
        let first = sender.seal(b"news".to_vec());
        assert_eq!(first.len(), 4 + LENGTH);
        assert_eq!(taker.open(&first, who), Some(&b"news"[..]));
        assert_eq!(taker.open(&first, who), None, "once");
        // Everybody accepts the new key, then everybody uses it, then the old one goes.
        taker.replace(vec![old.clone(), new.clone()]);
        let second = sender.seal(b"x".to_vec());
        assert!(taker.open(&second, who).is_some());
        sender.replace(vec![new.clone(), old]);
        let third = sender.seal(b"x".to_vec());
        assert!(taker.open(&third, who).is_some());
        taker.replace(vec![new]);
        assert!(taker.open(&sender.seal(b"x".to_vec()), who).is_some());
        let stranger = Seals::new(vec![b"other".to_vec()]).seal(b"x".to_vec());
        assert_eq!(taker.open(&stranger, who), None);
        assert_eq!(taker.open(b"x", who), None, "without a seal");
        assert_eq!(taker.refused, [2, 1]);
    }

    proptest! {
        #[test]
        fn each_is_taken_once_in_whatever_order_they_come(order in prop::collection::vec(0..40usize, 1..200)) {
            let mut sender = Seals::new(vec![b"k".to_vec()]);
            let mut taker = Seals::new(vec![b"k".to_vec()]);
            let sealed: Vec<Vec<u8>> = (0..40u8).map(|at| sender.seal(vec![at])).collect();
            let mut taken = std::collections::BTreeSet::new();
            for at in order {
                let fresh = taker.open(&sealed[at], who).is_some();
                prop_assert_eq!(fresh, taken.insert(at), "datagram {}", at);
            }
        }
    }
}
