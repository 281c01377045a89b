//! Reads endpoint lists from the bodies of discovery's responses, entry by entry, so that an unreadable entry
//! does not hide draining endpoints in the other entries, and a long list delays no other task.

use super::{read_name, EndpointListResponse, UnreadableEntries, UnreadableEntry};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use std::sync::Arc;
use tokio::task::yield_now;

/// Limit on the entries of one response. Entries may be as short as two bytes, so the length of a response
/// does not bound the memory that its entries take.
const MAX_ENTRIES: usize = 1 << 16;
/// Entries that are read before the other tasks get their turn.
const ENTRIES_BETWEEN_YIELDS: usize = 256;

/// A response whose entries have not been read yet.
#[derive(Deserialize)]
struct RawResponse<'a> {
    version: u64,
    #[serde(rename = "full")]
    complete: bool,
    #[serde(borrow, rename = "servers", deserialize_with = "read_raw_entries")]
    entries: Vec<&'a RawValue>,
}

fn read_raw_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<&'de RawValue>, D::Error> {
    deserializer.deserialize_seq(RawEntriesVisitor)
}

struct RawEntriesVisitor;

impl<'de> Visitor<'de> for RawEntriesVisitor {
    type Value = Vec<&'de RawValue>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = elements.next_element()? {
            if entries.len() == MAX_ENTRIES {
                return Err(Error::custom(format!("more than {MAX_ENTRIES} entries")));
            }
            entries.push(entry);
        }
        Ok(entries)
    }
}

/// Reads only the host's name from an entry, since the other fields may be unreadable.
#[derive(Deserialize)]
struct HostOnly {
    #[serde(rename = "id", deserialize_with = "read_name")]
    host: Arc<str>,
}

impl EndpointListResponse {
    /// Reads the body of a response.
    pub async fn read(body: &[u8]) -> Result<EndpointListResponse, serde_json::Error> {
        let response: RawResponse = serde_json::from_slice(body)?;
        let mut endpoints = Vec::new();
        let mut unreadable = UnreadableEntries::default();
        for (index, entry) in response.entries.into_iter().enumerate() {
            if index > 0 && index % ENTRIES_BETWEEN_YIELDS == 0 {
                yield_now().await;
            }
            match serde_json::from_str(entry.get()) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => unreadable.add(|| UnreadableEntry::new(index, entry, &error)),
            }
        }
        Ok(EndpointListResponse {
            version: response.version,
            complete: response.complete,
            endpoints,
            unreadable,
        })
    }
}

impl UnreadableEntry {
    fn new(index: usize, entry: &RawValue, error: &serde_json::Error) -> UnreadableEntry {
        let host_only: Result<HostOnly, _> = serde_json::from_str(entry.get());
        let host = host_only.ok().map(|entry| entry.host.to_string());
        UnreadableEntry { index, host, reason: error.to_string() }
    }
}
