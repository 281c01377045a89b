//! Authentication of datagrams with keys that the directors of a tier share, and a counter against replayed
//! datagrams.
//!
//! Several keys can be accepted at a time, so that a key can be replaced while all directors keep accepting
//! each other's datagrams: first every director accepts the new key, then every director signs with it, then
//! the old key is removed.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Size of the counter after a datagram, in bytes.
const COUNTER_BYTES: usize = 8;
/// Size of the truncated HMAC-SHA-256 after the counter, in bytes.
const TAG_BYTES: usize = 12;
/// Size of the trailer that a signature adds to a datagram, in bytes.
pub const TRAILER_BYTES: usize = COUNTER_BYTES + TAG_BYTES;
/// A datagram is rejected if its counter is lower than the highest accepted one by more than this.
const REPLAY_WINDOW: u64 = 64;
/// Incarnations of one member whose counters are kept: the newest, and the one before for datagrams still in
/// transit.
const KEPT_INCARNATIONS: usize = 2;

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// The member's number.
    pub member: u16,
    /// The member's incarnation.
    pub incarnation: u32,
}

/// Counters of rejected datagrams, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    /// The tag was missing or wrong, or the header was malformed.
    pub unauthenticated: u64,
    /// The counter was accepted before, or is too old for the replay window.
    pub replayed: u64,
}

/// Signs and checks datagrams.
#[derive(Debug, Default)]
pub struct Authenticator {
    /// All keys are accepted; the first one signs.
    keys: Vec<Vec<u8>>,
    /// Counter of the last datagram signed.
    last_counter: u64,
    replay_windows: BTreeMap<Sender, ReplayWindow>,
    /// Datagrams rejected since the start.
    pub rejections: Rejections,
}

impl Authenticator {
    /// An authenticator that accepts all these keys and signs with the first one. Without keys, datagrams are
    /// neither signed nor checked.
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        Authenticator { keys, ..Authenticator::default() }
    }

    /// Replaces the keys. The counter of signed datagrams continues, and the replay windows are kept.
    pub fn replace_keys(&mut self, keys: Vec<Vec<u8>>) {
        self.keys = keys;
    }

    /// Size of the trailer of each datagram, in bytes; 0 without keys.
    pub fn trailer_bytes(&self) -> usize {
        if self.keys.is_empty() {
            0
        } else {
            TRAILER_BYTES
        }
    }

    /// Appends a counter and a tag to a datagram.
    pub fn sign(&mut self, mut datagram: Vec<u8>) -> Vec<u8> {
        let Some(key) = self.keys.first() else { return datagram };
        self.last_counter += 1;
        let counter = self.last_counter.to_be_bytes();
        let tag = mac(key, &datagram, &counter).finalize().into_bytes();
        datagram.extend(counter);
        datagram.extend(&tag[..TAG_BYTES]);
        datagram
    }

    /// Checks a datagram and returns it without its trailer; `None` if it is rejected. `parse_sender` reads
    /// the sender from the datagram's header. Each incarnation has its own replay window; the membership
    /// ignores old incarnations.
    pub fn verify<'a>(
        &mut self,
        bytes: &'a [u8],
        parse_sender: impl Fn(&[u8]) -> Option<Sender>,
    ) -> Option<&'a [u8]> {
        if self.keys.is_empty() {
            return Some(bytes);
        }
        let Some((datagram, counter)) = self.authenticate(bytes) else {
            self.rejections.unauthenticated += 1;
            return None;
        };
        let Some(sender) = parse_sender(datagram) else {
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

    /// The datagram and its counter; `None` if no key yields the tag.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Option<(&'a [u8], u64)> {
        let (datagram, trailer) = bytes.split_at(bytes.len().checked_sub(TRAILER_BYTES)?);
        let (counter, tag) = trailer.split_at(COUNTER_BYTES);
        let is_signed = |key: &Vec<u8>| mac(key, datagram, counter).verify_truncated_left(tag).is_ok();
        let is_authentic = self.keys.iter().any(is_signed);
        let counter = u64::from_be_bytes(counter.try_into().ok()?);
        is_authentic.then_some((datagram, counter))
    }

    /// Drops the replay windows of a member's incarnations except the newest [`KEPT_INCARNATIONS`].
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
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(datagram);
    mac.update(counter);
    mac
}

/// The counters of a sender that have been accepted.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    /// The highest accepted counter.
    highest: u64,
    /// Bit `n` is set if the counter `highest - 1 - n` has been accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Accepts a counter; `false` if it was accepted before or lies below the window.
    fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance_to(counter);
            return true;
        }
        let distance = self.highest - counter;
        if distance == 0 || distance > REPLAY_WINDOW {
            return false;
        }
        let bit = 1 << (distance - 1);
        let is_first = self.accepted & bit == 0;
        self.accepted |= bit;
        is_first
    }

    /// Moves the window up to a new highest counter.
    fn advance_to(&mut self, counter: u64) {
        let step = counter - self.highest;
        self.accepted = if step < REPLAY_WINDOW { self.accepted << step | 1 << (step - 1) } else { 0 };
        self.highest = counter;
    }
}

#[cfg(test)]
mod tests;
