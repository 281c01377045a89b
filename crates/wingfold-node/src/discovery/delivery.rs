//! Delivery of discovery's responses to the engine, with the version of the cached list.

use super::call::{CallResult, EndpointListError};
use super::validation::CachedListState;
use crate::inbox::{InboundEvent, InboundSender};
use crate::list::{EndpointEntry, EndpointListResponse};
use crate::metrics::Metrics;
use std::sync::Arc;
use wingfold_director::interface::EndpointListKind;

/// What a response that was accepted has brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// No changes.
    Unchanged,
    /// Changes, or a new version.
    Changed,
}

/// Checks responses against the cached list and delivers them to the engine.
pub struct ListDelivery {
    cached: CachedListState,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

impl ListDelivery {
    /// Creates a delivery for the list that was cached at the last run, if there is one.
    pub fn new(
        known: Option<&EndpointListResponse>,
        inbox: InboundSender,
        metrics: Arc<Metrics>,
    ) -> ListDelivery {
        ListDelivery { cached: CachedListState::new(known), inbox, metrics }
    }

    /// The version of the cached list; `None` before the first response from the present discovery address.
    pub fn cached_version(&self) -> Option<u64> {
        self.cached.version
    }

    /// The version after which a watch asks for changes; `None` where it must ask for the complete list.
    pub fn version_to_watch(&self) -> Option<u64> {
        self.cached.version_to_watch()
    }

    /// Forgets the version of the cached list, because discovery has another address.
    pub fn forget_version(&mut self) {
        self.cached.forget_version();
    }

    /// Delivers the result of a call for the changes after version `after`, or for the complete list if
    /// `after` is `None`. A response without changes is delivered only with `deliver_unchanged`.
    pub fn deliver(
        &mut self,
        result: CallResult,
        after: Option<u64>,
        deliver_unchanged: bool,
    ) -> Result<Delivery, EndpointListError> {
        let response = self.accept(result?, after)?;
        Ok(self.deliver_accepted(response, deliver_unchanged))
    }

    /// Delivers the response to an abandoned call. The version of the response is not recorded: the next call
    /// asks for changes as if this response had not arrived.
    pub fn deliver_abandoned(&self, result: CallResult, cached_version: Option<u64>) {
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                tracing::debug!(%error, "abandoned discovery call failed");
                return;
            }
        };
        // Known limitation: if the response has an unreadable entry, its version is not compared with the
        // cached one.
        if response.unreadable.count > 0 {
            self.deliver_draining(response);
            return;
        }
        let is_outdated = cached_version.is_some_and(|cached| response.version < cached);
        if is_outdated || response.endpoints.is_empty() {
            return;
        }
        tracing::info!(
            version = response.version,
            complete = response.complete,
            entries = response.endpoints.len(),
            "endpoint list received on an abandoned call"
        );
        self.metrics.list_late_total.increment();
        self.inbox.send(InboundEvent::EndpointList { kind: response.kind(), list: response });
    }

    /// Checks a response against the cached list. A response with unreadable entries is rejected, but its
    /// draining and removed endpoints are delivered.
    fn accept(&mut self, response: EndpointListResponse, after: Option<u64>) -> CallResult {
        self.cached.check(&response, after)?;
        let Some(first) = response.unreadable.first.clone() else {
            self.cached.record_accepted(&response);
            return Ok(response);
        };
        let count = response.unreadable.count;
        self.metrics.list_entries_invalid_total.add(count as u64);
        self.deliver_draining(response);
        Err(EndpointListError::UnreadableEntries { count, first })
    }

    /// Delivers the endpoints of a rejected response that drain or have been removed: a drain must not wait
    /// until the unreadable entries are corrected. Later calls ask for the whole response again.
    fn deliver_draining(&self, mut response: EndpointListResponse) {
        response.endpoints.retain(EndpointEntry::is_draining_or_removed);
        if response.endpoints.is_empty() {
            return;
        }
        tracing::info!(
            version = response.version,
            entries = response.endpoints.len(),
            "draining endpoints taken from a rejected endpoint list"
        );
        self.inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Changes, list: response });
    }

    /// Delivers a response that passed all checks, and records its version. Changes older than the cached
    /// list are dropped.
    fn deliver_accepted(&mut self, response: EndpointListResponse, deliver_unchanged: bool) -> Delivery {
        let cached_version = self.cached.version;
        // The response to another call was newer, so the cached list holds these changes already.
        if !response.complete && cached_version.is_some_and(|cached| response.version < cached) {
            return Delivery::Unchanged;
        }
        self.cached.version = Some(response.version);
        self.metrics.list_version.set(response.version);
        let has_entries = response.complete || !response.endpoints.is_empty();
        let is_new_version = cached_version != Some(response.version);
        if has_entries || deliver_unchanged {
            self.deliver_list(response);
        }
        if has_entries || is_new_version {
            Delivery::Changed
        } else {
            Delivery::Unchanged
        }
    }

    fn deliver_list(&self, response: EndpointListResponse) {
        tracing::info!(
            version = response.version,
            complete = response.complete,
            entries = response.endpoints.len(),
            "endpoint list received"
        );
        self.inbox.send(InboundEvent::EndpointList { kind: response.kind(), list: response });
    }
}
