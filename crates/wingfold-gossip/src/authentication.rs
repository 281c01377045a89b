//! Authentication of datagrams by keys that the tier shares, with a counter against replay.
//!
//! Several keys can be accepted at a time, so that they are exchanged without a gap: first every director accepts the new
//! one, then every director uses it.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of the counter behind a datagram.
const COUNTER_BYTES: usize = 8;
/// Bytes of the shortened HMAC-SHA-256 behind the counter.
const TAG_BYTES: usize = 12;
/// Bytes that authentication adds to a datagram.
pub const TRAILER_BYTES: usize = COUNTER_BYTES + TAG_BYTES;
/// A datagram is accepted if at most this many with higher counters came before it.
const REPLAY_WINDOW: u64 = 64;
/// Incarnations of one member whose counters are kept: the newest, and one more for datagrams that are still under way.
const KEPT_INCARNATIONS: usize = 2;

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// The member's number.
    pub member: u16,
    /// Its incarnation.
    pub incarnation: u32,
}

/// Datagrams that were rejected, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    /// Without a tag, or with a wrong one.
    pub unauthenticated: u64,
    /// Accepted before, or too old to tell.
    pub replayed: u64,
}

/// Signs and checks datagrams.
#[derive(Debug, Default)]
pub struct Authenticator {
    /// The first one signs; all are accepted.
    keys: Vec<Vec<u8>>,
    /// Counter of the last datagram signed.
    sent: u64,
    replay_windows: BTreeMap<Sender, ReplayWindow>,
    /// Datagrams rejected so far.
    pub rejections: Rejections,
}

impl Authenticator {
    /// Uses these keys; without any, datagrams are neither signed nor checked.
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        Authenticator { keys, ..Authenticator::default() }
    }

    /// Uses other keys from now on; counters go on.
    pub fn replace_keys(&mut self, keys: Vec<Vec<u8>>) {
        self.keys = keys;
    }

    /// Bytes to keep free for the trailer of each datagram.
    pub fn trailer_bytes(&self) -> usize {
        if self.keys.is_empty() {
            0
        } else {
            TRAILER_BYTES
        }
    }

    /// Adds counter and tag to a datagram.
    pub fn sign(&mut self, mut datagram: Vec<u8>) -> Vec<u8> {
        let Some(key) = self.keys.first() else { return datagram };
        self.sent += 1;
        let counter = self.sent.to_be_bytes();
        let tag = mac(key, &datagram, &counter).finalize().into_bytes();
        datagram.extend(counter);
        datagram.extend(&tag[..TAG_BYTES]);
        datagram
    }

    /// Checks a datagram and returns it without its trailer. `sender_of` reads the sender from the datagram's header. A new
    /// incarnation has counters of its own; the membership rejects old ones.
    pub fn verify<'a>(
        &mut self,
        bytes: &'a [u8],
        sender_of: impl Fn(&[u8]) -> Option<Sender>,
    ) -> Option<&'a [u8]> {
        if self.keys.is_empty() {
            return Some(bytes);
        }
        let Some((datagram, counter)) = self.authenticate(bytes) else {
            self.rejections.unauthenticated += 1;
            return None;
        };
        let Some(sender) = sender_of(datagram) else {
            self.rejections.unauthenticated += 1;
            return None;
        };
        if !self.replay_windows.entry(sender).or_default().accept(counter) {
            self.rejections.replayed += 1;
            return None;
        }
        self.drop_old_incarnations(sender.member);
        Some(datagram)
    }

    /// The datagram and its counter, if the tag is that of one of the keys.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Option<(&'a [u8], u64)> {
        let (datagram, trailer) = bytes.split_at(bytes.len().checked_sub(TRAILER_BYTES)?);
        let (counter, tag) = trailer.split_at(COUNTER_BYTES);
        let is_signed = |key: &Vec<u8>| mac(key, datagram, counter).verify_truncated_left(tag).is_ok();
        let is_authentic = self.keys.iter().any(is_signed);
        let counter = u64::from_be_bytes(counter.try_into().ok()?);
        is_authentic.then_some((datagram, counter))
    }

    fn drop_old_incarnations(&mut self, member: u16) {
        let first = Sender { member, incarnation: 0 };
        let last = Sender { member, incarnation: u32::MAX };
        let known: Vec<Sender> = self.replay_windows.range(first..=last).map(|(sender, _)| *sender).collect();
        let old = known.len().saturating_sub(KEPT_INCARNATIONS);
        for sender in &known[..old] {
            self.replay_windows.remove(sender);
        }
    }
}

fn mac(key: &[u8], datagram: &[u8], counter: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("a key of any length is accepted");
    mac.update(datagram);
    mac.update(counter);
    mac
}

/// Which counters of a sender have been accepted.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` stands for the counter `highest - 1 - n`.
    accepted: u64,
}

impl ReplayWindow {
    /// Whether a counter comes for the first time; it is accepted then.
    fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance_to(counter);
            return true;
        }
        let behind = self.highest - counter;
        if behind == 0 || behind > REPLAY_WINDOW {
            return false;
        }
        let bit = 1 << (behind - 1);
        let is_first = self.accepted & bit == 0;
        self.accepted |= bit;
        is_first
    }

    fn advance_to(&mut self, counter: u64) {
        let step = counter - self.highest;
        self.accepted = if step < REPLAY_WINDOW { self.accepted << step | 1 << (step - 1) } else { 0 };
        self.highest = counter;
    }
}

#[cfg(test)]
mod tests;
