//! Secures packets by signature or encryption, and opens those that are.

use super::part::{part_type, split_part, split_u16, write_part, HEADER_BYTES};
use super::users::Users;
use super::Refused;
use aes::cipher::{KeyIvInit, StreamCipher};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha1::Sha1;
use sha2::{Digest, Sha256};

const SIGNATURE_BYTES: usize = 32;
const VECTOR_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 20;
/// Bytes of the length of a user's name.
const USER_LENGTH_BYTES: usize = 2;

type Cipher = ofb::Ofb<aes::Aes256>;

/// How packets are secured.
#[derive(Clone, PartialEq)]
pub enum Secrecy {
    /// Not at all.
    Plain,
    /// Signed: user and key.
    Signed(String, String),
    /// Encrypted: user and key.
    Encrypted(String, String),
}

impl std::fmt::Debug for Secrecy {
    /// Keys are in no log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Secrecy::Plain => f.write_str("Plain"),
            Secrecy::Signed(user, _) => write!(f, "Signed({user:?})"),
            Secrecy::Encrypted(user, _) => write!(f, "Encrypted({user:?})"),
        }
    }
}

/// The bytes that securing adds to a packet.
pub(super) fn overhead(secrecy: &Secrecy) -> usize {
    match secrecy {
        Secrecy::Plain => 0,
        Secrecy::Signed(user, _) => HEADER_BYTES + SIGNATURE_BYTES + user.len(),
        Secrecy::Encrypted(user, _) => {
            HEADER_BYTES + USER_LENGTH_BYTES + user.len() + VECTOR_BYTES + CHECKSUM_BYTES
        }
    }
}

/// Secures a packet.
pub(super) fn secure(packet: Vec<u8>, secrecy: &Secrecy, rng: &mut impl RngCore) -> Vec<u8> {
    match secrecy {
        Secrecy::Plain => packet,
        Secrecy::Signed(user, key) => sign(&packet, user, key),
        Secrecy::Encrypted(user, key) => encrypt(&packet, user, key, rng),
    }
}

fn sign(packet: &[u8], user: &str, key: &str) -> Vec<u8> {
    let mut contents = mac(user, key, packet).finalize().into_bytes().to_vec();
    contents.extend(user.as_bytes());
    let mut out = Vec::new();
    write_part(&mut out, part_type::SIGNED, &contents);
    out.extend(packet);
    out
}

fn encrypt(packet: &[u8], user: &str, key: &str, rng: &mut impl RngCore) -> Vec<u8> {
    let mut vector = [0; VECTOR_BYTES];
    rng.fill_bytes(&mut vector);
    let mut encrypted = Sha1::digest(packet).to_vec();
    encrypted.extend(packet);
    cipher(key, &vector).apply_keystream(&mut encrypted);
    let mut contents = (user.len() as u16).to_be_bytes().to_vec();
    contents.extend(user.as_bytes());
    contents.extend(vector);
    contents.extend(encrypted);
    let mut out = Vec::new();
    write_part(&mut out, part_type::ENCRYPTED, &contents);
    out
}

fn mac(user: &str, key: &str, packet: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).expect("any length of key is valid");
    mac.update(user.as_bytes());
    mac.update(packet);
    mac
}

fn cipher(key: &str, vector: &[u8; VECTOR_BYTES]) -> Cipher {
    Cipher::new(&Sha256::digest(key.as_bytes()), vector.into())
}

/// Identifies a secured packet: no other packet has the same.
pub(super) type Fingerprint = [u8; 32];

/// A packet that was opened.
pub(super) struct OpenedPacket {
    /// The bytes of its lists.
    pub(super) contents: Vec<u8>,
    /// `None`: it was not secured.
    pub(super) fingerprint: Option<Fingerprint>,
}

/// Opens a packet, secured or not.
pub(super) fn open(bytes: &[u8], users: &Users) -> Result<OpenedPacket, Refused> {
    let (part, rest) = split_part(bytes)?;
    match part.part_type {
        part_type::SIGNED => open_signed(part.contents, rest, users),
        part_type::ENCRYPTED if rest.is_empty() => open_encrypted(part.contents, users),
        part_type::ENCRYPTED => Err(Refused::Form),
        _ => Ok(OpenedPacket { contents: bytes.to_vec(), fingerprint: None }),
    }
}

fn open_signed(signature_and_user: &[u8], packet: &[u8], users: &Users) -> Result<OpenedPacket, Refused> {
    let (signature, user) = signature_and_user.split_first_chunk::<SIGNATURE_BYTES>().ok_or(Refused::Form)?;
    let user = std::str::from_utf8(user).map_err(|_| Refused::Form)?;
    let key = users.key(user).ok_or(Refused::User)?;
    // In constant time: how long it takes tells nothing of how much was right.
    mac(user, key, packet).verify_slice(signature).map_err(|_| Refused::Key)?;
    Ok(OpenedPacket { contents: packet.to_vec(), fingerprint: Some(*signature) })
}

fn open_encrypted(contents: &[u8], users: &Users) -> Result<OpenedPacket, Refused> {
    let (user_length, rest) = split_u16(contents)?;
    let (user, rest) = rest.split_at_checked(usize::from(user_length)).ok_or(Refused::Form)?;
    let (vector, encrypted) = rest.split_first_chunk::<VECTOR_BYTES>().ok_or(Refused::Form)?;
    let user = std::str::from_utf8(user).map_err(|_| Refused::Form)?;
    let key = users.key(user).ok_or(Refused::User)?;
    let mut decrypted = encrypted.to_vec();
    cipher(key, vector).apply_keystream(&mut decrypted);
    let (checksum, packet) = decrypted.split_at_checked(CHECKSUM_BYTES).ok_or(Refused::Form)?;
    if Sha1::digest(packet).as_slice() != checksum {
        return Err(Refused::Key);
    }
    let fingerprint = Sha256::digest(encrypted).into();
    Ok(OpenedPacket { contents: packet.to_vec(), fingerprint: Some(fingerprint) })
}
