//! Signs or encrypts packets, and verifies or decrypts received packets.

use super::part::{part_type, split_part, split_u16, write_part, HEADER_BYTES};
use super::users::Users;
use super::PacketRejection;
use aes::cipher::{KeyIvInit, StreamCipher};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha1::Sha1;
use sha2::{Digest, Sha256};

/// Bytes of an HMAC-SHA-256.
const SIGNATURE_BYTES: usize = 32;
/// Bytes of an initialization vector.
const VECTOR_BYTES: usize = 16;
/// Bytes of a SHA-1.
const CHECKSUM_BYTES: usize = 20;
/// Bytes of the length of a user's name.
const USER_LENGTH_BYTES: usize = 2;

type Cipher = ofb::Ofb<aes::Aes256>;

/// The name of a user and the key that the user shares with the receiver.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The name of the user.
    pub user: String,
    /// The shared key.
    pub key: String,
}

impl std::fmt::Debug for Credentials {
    /// Omits the key, so that it does not get into logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Credentials").field(&self.user).finish()
    }
}

/// How packets are secured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PacketSecurity {
    /// Neither signed nor encrypted.
    None,
    /// Signed with HMAC-SHA-256.
    Signed(Credentials),
    /// Encrypted with AES-256 in OFB mode.
    Encrypted(Credentials),
}

/// The bytes that securing adds to a packet.
pub(super) fn overhead(security: &PacketSecurity) -> usize {
    match security {
        PacketSecurity::None => 0,
        PacketSecurity::Signed(credentials) => HEADER_BYTES + SIGNATURE_BYTES + credentials.user.len(),
        PacketSecurity::Encrypted(credentials) => {
            HEADER_BYTES + USER_LENGTH_BYTES + credentials.user.len() + VECTOR_BYTES + CHECKSUM_BYTES
        }
    }
}

/// Signs or encrypts a packet, or returns it unchanged with [`PacketSecurity::None`].
pub(super) fn secure(packet: Vec<u8>, security: &PacketSecurity, rng: &mut impl RngCore) -> Vec<u8> {
    match security {
        PacketSecurity::None => packet,
        PacketSecurity::Signed(credentials) => sign(&packet, credentials),
        PacketSecurity::Encrypted(credentials) => encrypt(&packet, credentials, rng),
    }
}

fn sign(packet: &[u8], credentials: &Credentials) -> Vec<u8> {
    let Credentials { user, key } = credentials;
    let mut contents = mac(user, key, packet).finalize().into_bytes().to_vec();
    contents.extend(user.as_bytes());
    let mut out = Vec::new();
    write_part(&mut out, part_type::SIGNED, &contents);
    out.extend(packet);
    out
}

fn encrypt(packet: &[u8], credentials: &Credentials, rng: &mut impl RngCore) -> Vec<u8> {
    let Credentials { user, key } = credentials;
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

/// Identifies a signed or encrypted packet, to detect replays.
pub(super) type Fingerprint = [u8; 32];

/// A packet after verification and decryption.
pub(super) struct OpenedPacket {
    /// The parts of the packet without its signature, decrypted.
    pub(super) contents: Vec<u8>,
    /// `None` if the packet was neither signed nor encrypted.
    pub(super) fingerprint: Option<Fingerprint>,
}

/// Verifies or decrypts a packet. A packet that is neither signed nor encrypted is returned unchanged.
pub(super) fn open(bytes: &[u8], users: &Users) -> Result<OpenedPacket, PacketRejection> {
    let (part, rest) = split_part(bytes)?;
    match part.part_type {
        part_type::SIGNED => open_signed(part.contents, rest, users),
        part_type::ENCRYPTED if rest.is_empty() => open_encrypted(part.contents, users),
        part_type::ENCRYPTED => Err(PacketRejection::Malformed),
        _ => Ok(OpenedPacket { contents: bytes.to_vec(), fingerprint: None }),
    }
}

fn open_signed(
    signature_and_user: &[u8],
    packet: &[u8],
    users: &Users,
) -> Result<OpenedPacket, PacketRejection> {
    let (signature, user) =
        signature_and_user.split_first_chunk::<SIGNATURE_BYTES>().ok_or(PacketRejection::Malformed)?;
    let user = std::str::from_utf8(user).map_err(|_| PacketRejection::Malformed)?;
    let key = users.key(user).ok_or(PacketRejection::UnknownUser)?;
    // The comparison takes constant time.
    mac(user, key, packet).verify_slice(signature).map_err(|_| PacketRejection::InvalidKey)?;
    Ok(OpenedPacket { contents: packet.to_vec(), fingerprint: Some(*signature) })
}

fn open_encrypted(contents: &[u8], users: &Users) -> Result<OpenedPacket, PacketRejection> {
    let (user_length, rest) = split_u16(contents)?;
    let (user, rest) = rest.split_at_checked(usize::from(user_length)).ok_or(PacketRejection::Malformed)?;
    let (vector, encrypted) = rest.split_first_chunk::<VECTOR_BYTES>().ok_or(PacketRejection::Malformed)?;
    let user = std::str::from_utf8(user).map_err(|_| PacketRejection::Malformed)?;
    let key = users.key(user).ok_or(PacketRejection::UnknownUser)?;
    let mut decrypted = encrypted.to_vec();
    cipher(key, vector).apply_keystream(&mut decrypted);
    let (checksum, packet) = decrypted.split_at_checked(CHECKSUM_BYTES).ok_or(PacketRejection::Malformed)?;
    if Sha1::digest(packet).as_slice() != checksum {
        return Err(PacketRejection::InvalidKey);
    }
    let fingerprint = Sha256::digest(encrypted).into();
    Ok(OpenedPacket { contents: packet.to_vec(), fingerprint: Some(fingerprint) })
}
