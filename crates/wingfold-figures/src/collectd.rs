//! collectd's binary network protocol, both ways, from its public description ("Binary protocol" of collectd's wiki): parts
//! of a type, a length and contents; values with the kind of each; times in 2^-30 seconds; packets signed with
//! HMAC-SHA-256 or encrypted with AES-256 in OFB mode.

use crate::meter::{Interval, Sample, Value};
use crate::names::encode;
use aes::cipher::{KeyIvInit, StreamCipher};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha1::Sha1;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingfold_director::interface::{Load, Micros};

type Cipher = ofb::Ofb<aes::Aes256>;

const HOST: u16 = 0x0000;
const TIME: u16 = 0x0001;
const PLUGIN: u16 = 0x0002;
const PLUGIN_INSTANCE: u16 = 0x0003;
const TYPE: u16 = 0x0004;
const TYPE_INSTANCE: u16 = 0x0005;
const VALUES: u16 = 0x0006;
const INTERVAL: u16 = 0x0007;
const TIME_HR: u16 = 0x0008;
const INTERVAL_HR: u16 = 0x0009;
const SIGNED: u16 = 0x0200;
const ENCRYPTED: u16 = 0x0210;

/// The types that wingfold's values have; `deploy/wingfold.types.db` is this text.
pub const TYPES_DB: &str = "\
wingfold_count\tvalue:ABSOLUTE:0:U
wingfold_gauge\tvalue:GAUGE:U:U
wingfold_spread\tcount:ABSOLUTE:0:U, p50:GAUGE:0:U, p90:GAUGE:0:U, p99:GAUGE:0:U, max:GAUGE:0:U
";

/// Bytes of a packet, if nothing else is set: what fits into one Ethernet frame.
pub const PACKET: usize = 1452;

/// One value with its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum One {
    /// Ever growing, of a width that wraps.
    Counter(u64),
    /// As it is.
    Gauge(f64),
    /// Growing or falling; its rate is what counts.
    Derive(i64),
    /// Counted since the last reading.
    Absolute(u64),
}

/// Values under one name and time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// The machine, or here the director.
    pub host: String,
    /// What reads the values.
    pub plugin: String,
    /// Which of several.
    pub plugin_instance: String,
    /// How the values are to be understood: a line of a types file.
    pub kind: String,
    /// Which of several.
    pub kind_instance: String,
    /// In 2^-30 seconds of the world's clock.
    pub time: u64,
    /// In the same.
    pub interval: u64,
    /// The values.
    pub values: Vec<One>,
}

/// A time in collectd's unit.
pub fn high_resolution(time: Micros) -> u64 {
    ((u128::from(time.0) << 30) / 1_000_000) as u64
}

/// A time of collectd's unit.
pub fn micros(time: u64) -> Micros {
    Micros(((u128::from(time) * 1_000_000) >> 30) as u64)
}

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

/// A sample as collectd has it.
pub fn list(director: &str, interval: &Interval, sample: &Sample) -> Option<List> {
    let (kind, values) = match sample.value {
        Value::Count(count) => ("wingfold_count", vec![One::Absolute(count)]),
        Value::Gauge(value) => ("wingfold_gauge", vec![One::Gauge(value)]),
        Value::Spread(count, figures) => {
            let figures = figures.into_iter().map(One::Gauge);
            ("wingfold_spread", std::iter::once(One::Absolute(count)).chain(figures).collect())
        }
    };
    let sound = values.iter().all(|one| !matches!(one, One::Gauge(value) if !value.is_finite()));
    let labels: Vec<String> = sample.labels.iter().map(|label| encode(label)).collect();
    sound.then(|| List {
        host: encode(director),
        plugin: "wingfold".into(),
        plugin_instance: labels.join("."),
        kind: kind.into(),
        kind_instance: sample.figure.entry().name.into(),
        time: high_resolution(interval.at),
        interval: high_resolution(interval.length),
        values,
    })
}

fn part(out: &mut Vec<u8>, of: u16, contents: &[u8]) {
    out.extend(of.to_be_bytes());
    out.extend((contents.len() as u16 + 4).to_be_bytes());
    out.extend(contents);
}

fn text(out: &mut Vec<u8>, of: u16, text: &str) {
    let mut bytes = text.as_bytes().to_vec();
    bytes.push(0);
    part(out, of, &bytes);
}

/// A list's parts that differ from the one before it in the packet.
fn parts(before: Option<&List>, list: &List) -> Vec<u8> {
    let mut out = Vec::new();
    let differs = |of: fn(&List) -> &String| before.is_none_or(|before| of(before) != of(list));
    if differs(|list| &list.host) {
        text(&mut out, HOST, &list.host);
    }
    if before.is_none_or(|before| before.time != list.time) {
        part(&mut out, TIME_HR, &list.time.to_be_bytes());
    }
    if before.is_none_or(|before| before.interval != list.interval) {
        part(&mut out, INTERVAL_HR, &list.interval.to_be_bytes());
    }
    if differs(|list| &list.plugin) {
        text(&mut out, PLUGIN, &list.plugin);
    }
    if differs(|list| &list.plugin_instance) {
        text(&mut out, PLUGIN_INSTANCE, &list.plugin_instance);
    }
    if differs(|list| &list.kind) {
        text(&mut out, TYPE, &list.kind);
    }
    if differs(|list| &list.kind_instance) {
        text(&mut out, TYPE_INSTANCE, &list.kind_instance);
    }
    let mut values = (list.values.len() as u16).to_be_bytes().to_vec();
    values.extend(list.values.iter().map(|one| match one {
        One::Counter(_) => 0u8,
        One::Gauge(_) => 1,
        One::Derive(_) => 2,
        One::Absolute(_) => 3,
    }));
    for one in &list.values {
        values.extend(match one {
            One::Counter(value) | One::Absolute(value) => value.to_be_bytes(),
            One::Derive(value) => value.to_be_bytes(),
            // Of all numbers these alone are written from the least byte on.
            One::Gauge(value) => value.to_le_bytes(),
        });
    }
    part(&mut out, VALUES, &values);
    out
}

/// Packs lists into packets of at most `size` bytes, secured.
pub fn packets(lists: &[List], size: usize, secrecy: &Secrecy, chance: &mut impl RngCore) -> Vec<Vec<u8>> {
    let around = match secrecy {
        Secrecy::Plain => 0,
        Secrecy::Signed(user, _) => 36 + user.len(),
        Secrecy::Encrypted(user, _) => 42 + user.len(),
    };
    let room = size.saturating_sub(around).max(256);
    let mut packets = Vec::new();
    let (mut open, mut before): (Vec<u8>, Option<&List>) = (Vec::new(), None);
    for list in lists {
        let mut more = parts(before, list);
        if !open.is_empty() && open.len() + more.len() > room {
            packets.push(secure(std::mem::take(&mut open), secrecy, chance));
            more = parts(None, list);
        }
        open.extend(more);
        before = Some(list);
    }
    if !open.is_empty() {
        packets.push(secure(open, secrecy, chance));
    }
    packets
}

fn secure(packet: Vec<u8>, secrecy: &Secrecy, chance: &mut impl RngCore) -> Vec<u8> {
    match secrecy {
        Secrecy::Plain => packet,
        Secrecy::Signed(user, key) => {
            let mut contents = signature(user, key, &packet).to_vec();
            contents.extend(user.as_bytes());
            let mut out = Vec::new();
            part(&mut out, SIGNED, &contents);
            out.extend(packet);
            out
        }
        Secrecy::Encrypted(user, key) => {
            let mut vector = [0; 16];
            chance.fill_bytes(&mut vector);
            let mut hidden = Sha1::digest(&packet).to_vec();
            hidden.extend(packet);
            cipher(key, &vector).apply_keystream(&mut hidden);
            let mut contents = (user.len() as u16).to_be_bytes().to_vec();
            contents.extend(user.as_bytes());
            contents.extend(vector);
            contents.extend(hidden);
            let mut out = Vec::new();
            part(&mut out, ENCRYPTED, &contents);
            out
        }
    }
}

fn mac(user: &str, key: &str, packet: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).expect("any length of key is good");
    mac.update(user.as_bytes());
    mac.update(packet);
    mac
}

fn signature(user: &str, key: &str, packet: &[u8]) -> [u8; 32] {
    mac(user, key, packet).finalize().into_bytes().into()
}

fn cipher(key: &str, vector: &[u8; 16]) -> Cipher {
    Cipher::new(&Sha256::digest(key.as_bytes()), vector.into())
}

/// Why a packet is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refused {
    /// It is no packet.
    #[error("it cannot be read")]
    Form,
    /// It is not secured as it must be.
    #[error("it is neither signed nor encrypted")]
    Open,
    /// Nobody of that name is known.
    #[error("its user is not known")]
    User,
    /// Its signature, or its checksum after decrypting, is wrong.
    #[error("its key is wrong, or it was changed")]
    Key,
    /// It was seen before, or its time has passed or lies ahead.
    #[error("it is old, from the future, or was sent before")]
    Replayed,
    /// It speaks of machines that nobody maps to a host.
    #[error("it names no host that is known")]
    Host,
}

/// Reads a packet's lists; what belongs to no list (messages, unknown parts) is passed over.
pub fn read(mut bytes: &[u8]) -> Result<Vec<List>, Refused> {
    let (mut list, mut lists) = (List::default(), Vec::new());
    while !bytes.is_empty() {
        let (of, contents, rest) = split(bytes)?;
        bytes = rest;
        let string = || {
            let (last, text) = contents.split_last().ok_or(Refused::Form)?;
            let text = std::str::from_utf8(text).map_err(|_| Refused::Form)?;
            if *last == 0 && !text.contains('\0') {
                Ok(text.to_string())
            } else {
                Err(Refused::Form)
            }
        };
        let number = || contents.try_into().map(u64::from_be_bytes).map_err(|_| Refused::Form);
        match of {
            HOST => list.host = string()?,
            PLUGIN => list.plugin = string()?,
            PLUGIN_INSTANCE => list.plugin_instance = string()?,
            TYPE => list.kind = string()?,
            TYPE_INSTANCE => list.kind_instance = string()?,
            TIME_HR => list.time = number()?,
            TIME => list.time = number()?.checked_mul(1 << 30).ok_or(Refused::Form)?,
            INTERVAL_HR => list.interval = number()?,
            INTERVAL => list.interval = number()?.checked_mul(1 << 30).ok_or(Refused::Form)?,
            VALUES => lists.push(List { values: values(contents)?, ..list.clone() }),
            SIGNED | ENCRYPTED => return Err(Refused::Form),
            _ => {}
        }
    }
    Ok(lists)
}

fn split(bytes: &[u8]) -> Result<(u16, &[u8], &[u8]), Refused> {
    let two = |at: usize| {
        bytes.get(at..at + 2).map(|two| u16::from_be_bytes([two[0], two[1]])).ok_or(Refused::Form)
    };
    let (of, length) = (two(0)?, usize::from(two(2)?));
    if length < 4 || length > bytes.len() {
        return Err(Refused::Form);
    }
    Ok((of, &bytes[4..length], &bytes[length..]))
}

fn values(contents: &[u8]) -> Result<Vec<One>, Refused> {
    let (count, rest) = contents.split_at_checked(2).ok_or(Refused::Form)?;
    let count = usize::from(u16::from_be_bytes([count[0], count[1]]));
    if rest.len() != count * 9 || count == 0 {
        return Err(Refused::Form);
    }
    let (kinds, numbers) = rest.split_at(count);
    let one = |(kind, bytes): (&u8, &[u8])| {
        let bytes: [u8; 8] = bytes.try_into().map_err(|_| Refused::Form)?;
        Ok(match kind {
            0 => One::Counter(u64::from_be_bytes(bytes)),
            1 => One::Gauge(f64::from_le_bytes(bytes)),
            2 => One::Derive(i64::from_be_bytes(bytes)),
            3 => One::Absolute(u64::from_be_bytes(bytes)),
            _ => return Err(Refused::Form),
        })
    };
    kinds.iter().zip(numbers.chunks_exact(8)).map(one).collect()
}

/// Users and their keys, as a file has them: a line each, `user: key`.
#[derive(Clone, Default, PartialEq)]
pub struct Users(BTreeMap<String, String>);

impl std::fmt::Debug for Users {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Users {
    /// Reads the file's text; gives the number of the line that is wrong.
    pub fn read(text: &str) -> Result<Users, usize> {
        let mut users = BTreeMap::new();
        for (at, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let (user, key) = line.split_once(':').ok_or(at + 1)?;
            let (user, key) = (user.trim(), key.trim());
            if user.is_empty() || key.is_empty() || users.insert(user.to_string(), key.to_string()).is_some()
            {
                return Err(at + 1);
            }
        }
        Ok(Users(users))
    }

    /// A user's key.
    pub fn key(&self, user: &str) -> Option<&str> {
        self.0.get(user).map(String::as_str)
    }
}

/// Opens a secured packet: its lists' bytes, and what no other packet of the same contents shares, if it is secured.
fn open(bytes: &[u8], users: &Users) -> Result<(Vec<u8>, Option<[u8; 32]>), Refused> {
    let (of, contents, rest) = split(bytes)?;
    match of {
        SIGNED => {
            let (given, user) = contents.split_at_checked(32).ok_or(Refused::Form)?;
            let user = std::str::from_utf8(user).map_err(|_| Refused::Form)?;
            let key = users.key(user).ok_or(Refused::User)?;
            // In a time that does not tell how much of it was right.
            mac(user, key, rest).verify_slice(given).map_err(|_| Refused::Key)?;
            let given: [u8; 32] = given.try_into().map_err(|_| Refused::Form)?;
            Ok((rest.to_vec(), Some(given)))
        }
        ENCRYPTED => {
            if !rest.is_empty() {
                return Err(Refused::Form);
            }
            let (length, rest) = contents.split_at_checked(2).ok_or(Refused::Form)?;
            let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
            let (user, rest) = rest.split_at_checked(length).ok_or(Refused::Form)?;
            let (vector, hidden) = rest.split_at_checked(16).ok_or(Refused::Form)?;
            let user = std::str::from_utf8(user).map_err(|_| Refused::Form)?;
            let key = users.key(user).ok_or(Refused::User)?;
            let vector: [u8; 16] = vector.try_into().map_err(|_| Refused::Form)?;
            let mut shown = hidden.to_vec();
            cipher(key, &vector).apply_keystream(&mut shown);
            let (sum, packet) = shown.split_at_checked(20).ok_or(Refused::Form)?;
            if Sha1::digest(packet).as_slice() != sum {
                return Err(Refused::Key);
            }
            let seen = Sha256::digest(hidden).into();
            Ok((packet.to_vec(), Some(seen)))
        }
        _ => Ok((bytes.to_vec(), None)),
    }
}

/// A machine that collectd speaks of, and the host of the list that it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Mapped {
    /// The host.
    pub host: String,
    /// Its cores: a load of so many is a full machine.
    pub cores: f64,
}

/// A value older than this, or further ahead, is not of now.
const OLD_S: f64 = 60.0;
const AHEAD_S: f64 = 10.0;
/// Packets that are remembered, and names whose last time is.
const REMEMBERED: usize = 8192;

/// Takes packets in: checks, decrypts, and makes loads of hosts of them.
#[derive(Debug)]
pub struct Intake {
    users: Users,
    secured: bool,
    map: BTreeMap<String, Mapped>,
    seen: BTreeSet<[u8; 32]>,
    order: VecDeque<([u8; 32], Micros)>,
    last: BTreeMap<(String, String, String), u64>,
    /// Packets taken, and refused by reason.
    pub taken: u64,
    /// By reason.
    pub refused: BTreeMap<Refused, u64>,
}

impl Intake {
    /// `secured`: packets must be signed or encrypted by one of the users.
    pub fn new(users: Users, secured: bool, map: BTreeMap<String, Mapped>) -> Self {
        let (seen, order, last) = Default::default();
        Intake { users, secured, map, seen, order, last, taken: 0, refused: BTreeMap::new() }
    }

    /// Takes a packet: the loads it tells, by host of the list.
    pub fn take(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<(String, Load)>, Refused> {
        let loads = self.loads(now, bytes);
        match &loads {
            Ok(_) => self.taken += 1,
            Err(why) => *self.refused.entry(*why).or_default() += 1,
        }
        loads
    }

    fn loads(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<(String, Load)>, Refused> {
        let (packet, mark) = open(bytes, &self.users)?;
        if self.secured && mark.is_none() {
            return Err(Refused::Open);
        }
        let lists = read(&packet)?;
        let fresh = |list: &List| {
            let at = micros(list.time);
            now.since(at) <= OLD_S && at.since(now) <= AHEAD_S
        };
        if mark.is_some_and(|mark| self.seen.contains(&mark)) || !lists.iter().any(fresh) {
            return Err(Refused::Replayed);
        }
        let mut loads: BTreeMap<String, Load> = BTreeMap::new();
        let (mut known, mut old) = (false, false);
        for list in lists.iter().filter(|list| fresh(list)) {
            let Some(mapped) = self.map.get(&list.host) else { continue };
            known = true;
            let Some(busy) = busy(list, mapped) else { continue };
            let name = (list.host.clone(), list.plugin.clone(), list.kind.clone());
            // A name's times only grow: what was sent before is not told again.
            let last = self.last.get(&name).copied().unwrap_or(0);
            if list.time <= last {
                old = true;
                continue;
            }
            if self.last.len() < REMEMBERED || last > 0 {
                self.last.insert(name, list.time);
            }
            loads.entry(mapped.host.clone()).or_default().busy = Some(busy);
        }
        if let Some(mark) = mark {
            self.remember(now, mark);
        }
        match (known, loads.is_empty() && old) {
            (false, _) => Err(Refused::Host),
            (_, true) => Err(Refused::Replayed),
            _ => Ok(loads.into_iter().collect()),
        }
    }

    fn remember(&mut self, now: Micros, mark: [u8; 32]) {
        self.seen.insert(mark);
        self.order.push_back((mark, now));
        // What is older than any value may be is refused for its age.
        let old = |at: Micros| now.since(at) > OLD_S + AHEAD_S;
        while self.order.len() > REMEMBERED || self.order.front().is_some_and(|(_, at)| old(*at)) {
            if let Some((mark, _)) = self.order.pop_front() {
                self.seen.remove(&mark);
            }
        }
    }
}

/// The busy share of the cores that a list tells of, if it does.
fn busy(list: &List, mapped: &Mapped) -> Option<f64> {
    let gauge = |at: usize| match list.values.get(at) {
        Some(One::Gauge(value)) if value.is_finite() && *value >= 0.0 => Some(*value),
        _ => None,
    };
    match (list.plugin.as_str(), list.kind.as_str(), list.kind_instance.as_str()) {
        // The load of the last minute against the cores; more waits than they can do counts as full.
        ("load", "load", _) => Some((gauge(0)? / mapped.cores.max(0.01)).min(1.0)),
        ("cpu", "percent", "idle") => Some(1.0 - (gauge(0)? / 100.0).min(1.0)),
        ("cpu", "percent", "active") => Some((gauge(0)? / 100.0).min(1.0)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::catalogue::Figure;
    use proptest::prelude::*;
    use rand::{RngCore, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const NOW: Micros = Micros(1_796_083_200_000_000);

    fn chance() -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(1)
    }

    fn load(host: &str, at: Micros, value: f64) -> List {
        List {
            host: host.into(),
            plugin: "load".into(),
            kind: "load".into(),
            time: high_resolution(at),
            interval: high_resolution(Micros(10_000_000)),
            values: vec![One::Gauge(value), One::Gauge(1.0), One::Gauge(1.0)],
            ..List::default()
        }
    }

    fn secrets() -> [Secrecy; 3] {
        let user = || ("lines".to_string(), "a key that is long".to_string());
        [Secrecy::Plain, Secrecy::Signed(user().0, user().1), Secrecy::Encrypted(user().0, user().1)]
    }

    fn users() -> Users {
        Users::read("# those who may\nlines: a key that is long\n\nother: another key\n").unwrap()
    }

    fn intake(secured: bool) -> Intake {
        let mapped = Mapped { host: "s-1".into(), cores: 4.0 };
        Intake::new(users(), secured, BTreeMap::from([("db1".to_string(), mapped)]))
    }

    #[test]
    fn the_bytes_are_those_of_the_protocols_description() {
        let list = List {
            plugin_instance: "x".into(),
            kind_instance: "y".into(),
            ..load("h", Micros(1_000_000), 2.5)
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
        let packets = packets(std::slice::from_ref(&list), PACKET, &Secrecy::Plain, &mut chance());
        assert_eq!(packets, [expected]);
        assert_eq!(read(&packets[0]).unwrap(), [list]);
    }

    #[test]
    fn a_signature_is_that_of_the_user_and_the_packet() {
        // HMAC-SHA-256 of "lines" and the packet under the key, worked out by parts here.
        let [_, signed, _] = secrets();
        let packet = &packets(&[load("db1", NOW, 1.0)], PACKET, &signed, &mut chance())[0];
        assert_eq!(packet[..4], [2, 0, 0, 36 + 5]);
        assert_eq!(&packet[36..41], b"lines");
        let key = {
            let mut block = [0u8; 64];
            block[..18].copy_from_slice(b"a key that is long");
            block
        };
        let pad = |with: u8| key.iter().map(|byte| byte ^ with).collect::<Vec<u8>>();
        let inner = Sha256::digest([&pad(0x36)[..], b"lines", &packet[41..]].concat());
        let outer = Sha256::digest([&pad(0x5c)[..], &inner[..]].concat());
        assert_eq!(packet[4..36], outer[..]);
    }

    #[test]
    fn every_figure_of_an_interval_comes_back_from_packets_of_a_set_size() {
        let labels =
            |zone: usize, class: usize| vec![format!("hall {zone}").into(), format!("class-{class}").into()];
        let mut samples: Vec<Sample> = Vec::new();
        for zone in 0..6 {
            for class in 0..3 {
                let value = Value::Count((zone * 10 + class) as u64);
                samples.push(Sample { figure: Figure::ServiceAsked, labels: labels(zone, class), value });
            }
        }
        samples.push(Sample { figure: Figure::Load, labels: vec![], value: Value::Gauge(f64::INFINITY) });
        samples.push(Sample {
            figure: Figure::TableWritten,
            labels: vec![],
            value: Value::Spread(9, [1.0, 2.0, 3.0, 4.0]),
        });
        let interval = Interval { number: 1, at: NOW, length: Micros(10_000_000), samples, mended: vec![] };
        let lists: Vec<List> =
            interval.samples.iter().filter_map(|one| list("n.3", &interval, one)).collect();
        assert_eq!(lists.len(), 19, "what is no number is left out");
        assert_eq!(lists[0].plugin_instance, "hall_200.class-0");
        assert_eq!((&*lists[0].kind_instance, &*lists[18].kind), ("service.asked", "wingfold_spread"));
        for secrecy in &secrets() {
            let packets = packets(&lists, 400, secrecy, &mut chance());
            assert!(packets.len() > 2 && packets.iter().all(|packet| packet.len() <= 400), "{secrecy:?}");
            let read: Vec<List> =
                packets.iter().flat_map(|packet| read(&open(packet, &users()).unwrap().0).unwrap()).collect();
            assert_eq!(read, lists);
        }
    }

    #[test]
    fn a_machines_load_becomes_its_hosts_and_is_told_once() {
        for (secured, secrecy) in [false, true, true].into_iter().zip(&secrets()) {
            let mut intake = intake(secured);
            let packet = |at: u64, value: f64| {
                let list = load("db1", Micros(NOW.0 + at), value);
                packets(&[list], PACKET, secrecy, &mut ChaCha8Rng::seed_from_u64(at)).remove(0)
            };
            let first = packet(0, 3.0);
            let busy = intake.take(NOW, &first).unwrap();
            assert_eq!(busy, [("s-1".to_string(), Load { busy: Some(0.75), ..Load::default() })]);
            assert_eq!(intake.take(NOW, &first).unwrap_err(), Refused::Replayed, "{secrecy:?}");
            let later = Micros(NOW.0 + 10_000_000);
            assert_eq!(intake.take(later, &packet(10_000_000, 9.0)).unwrap()[0].1.busy, Some(1.0));
            assert_eq!(
                intake.take(later, &packet(9_000_000, 1.0)).unwrap_err(),
                Refused::Replayed,
                "an older one"
            );
            let hour = Micros(NOW.0 + 3_600_000_000);
            assert_eq!(
                intake.take(hour, &packet(20_000_000, 1.0)).unwrap_err(),
                Refused::Replayed,
                "long ago"
            );
            assert_eq!(intake.take(NOW, &packet(60_000_000, 1.0)).unwrap_err(), Refused::Replayed, "ahead");
            let other = packets(&[load("db2", NOW, 1.0)], PACKET, secrecy, &mut chance()).remove(0);
            assert_eq!(intake.take(NOW, &other).unwrap_err(), Refused::Host);
            assert_eq!((intake.taken, intake.refused[&Refused::Replayed]), (2, 4));
        }
    }

    #[test]
    fn wrong_keys_users_and_changed_or_cut_packets_are_refused() {
        let [plain, signed, encrypted] = secrets();
        let one =
            |secrecy: &Secrecy| packets(&[load("db1", NOW, 1.0)], PACKET, secrecy, &mut chance()).remove(0);
        assert_eq!(intake(true).take(NOW, &one(&plain)).unwrap_err(), Refused::Open);
        for secrecy in [&signed, &encrypted] {
            let packet = one(secrecy);
            for at in 0..packet.len() {
                let mut changed = packet.clone();
                changed[at] ^= 0x20;
                assert!(intake(true).take(NOW, &changed).is_err(), "{secrecy:?}, byte {at}");
                assert!(intake(true).take(NOW, &packet[..at]).is_err(), "{secrecy:?}, cut at {at}");
            }
        }
        let stranger = Secrecy::Signed("nobody".into(), "a key that is long".into());
        assert_eq!(intake(true).take(NOW, &one(&stranger)).unwrap_err(), Refused::User);
        let liar = Secrecy::Encrypted("other".into(), "a key that is long".into());
        assert_eq!(intake(true).take(NOW, &one(&liar)).unwrap_err(), Refused::Key);
        for (text, line) in [("a", 1), ("a: b\na: c", 2), (": x", 1), ("a:", 1)] {
            assert_eq!(Users::read(text).unwrap_err(), line, "{text}");
        }
        assert!(!format!("{:?} {signed:?}", users()).contains("key that"), "keys are in no log");
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut intake = intake(true);
        let [_, signed, _] = secrets();
        for at in 0..20_000u64 {
            let now = Micros(NOW.0 + at * 1000);
            let packet = packets(&[load("db1", now, 1.0)], PACKET, &signed, &mut chance()).remove(0);
            intake.take(now, &packet).unwrap();
        }
        assert!(
            intake.seen.len() <= REMEMBERED && intake.order.len() <= REMEMBERED && intake.last.len() == 1
        );
    }

    #[test]
    fn a_million_random_packets_do_no_harm() {
        let mut chance = chance();
        let mut intake = intake(false);
        let sound = packets(&[load("db1", NOW, 1.0)], PACKET, &Secrecy::Plain, &mut chance).remove(0);
        let mut bytes = [0; 96];
        for number in 0..1_000_000u32 {
            let length = chance.next_u32() as usize % 96;
            chance.fill_bytes(&mut bytes[..length]);
            if number % 2 == 0 {
                // Heads that look right reach further in.
                let (at, from) = (length.min(60), (chance.next_u32() as usize) % sound.len());
                let some = &sound[from..];
                bytes[..some.len().min(at)].copy_from_slice(&some[..some.len().min(at)]);
            }
            let _ = intake.take(NOW, &bytes[..length]);
        }
        assert_eq!(intake.taken + intake.refused.values().sum::<u64>(), 1_000_000);
    }

    proptest! {
        #[test]
        fn what_is_written_is_read(names in prop::collection::vec("[a-z]{0,9}", 5), time in any::<u64>(), kinds in prop::collection::vec((0..4u8, any::<u64>()), 1..9)) {
            let one = |(kind, bits): &(u8, u64)| match kind {
                0 => One::Counter(*bits),
                1 => One::Gauge(f64::from(*bits as u32)),
                2 => One::Derive(*bits as i64),
                _ => One::Absolute(*bits),
            };
            let list = List {
                host: names[0].clone(), plugin: names[1].clone(), plugin_instance: names[2].clone(),
                kind: names[3].clone(), kind_instance: names[4].clone(), time, interval: 7, values: kinds.iter().map(one).collect(),
            };
            let lists = vec![list.clone(), List { kind_instance: "z".into(), ..list }];
            let packets = packets(&lists, PACKET, &Secrecy::Plain, &mut chance());
            let back: Vec<List> = packets.iter().flat_map(|packet| read(packet).unwrap()).collect();
            prop_assert_eq!(back, lists);
        }
    }
}
