//! Validation of responses against the cached list: discovery may respond with an outdated or an empty list.

use super::call::EndpointListError;
use crate::list::EndpointListResponse;

/// Limit on the complete lists rejected in a row because they are older than the cached one. A list that
/// arrives late would undo later drains. A discovery that repeats an older list was set up anew, and its list
/// is accepted.
const MAX_OLDER_REJECTED: u32 = 3;

/// The state of the cached list that is needed to check a response.
#[derive(Debug)]
pub struct CachedListState {
    /// The version of the cached list; `None` before the first response from the present discovery address.
    pub version: Option<u64>,
    /// Whether the next call must ask for the complete list, because discovery has responded with changes of
    /// an older version than asked for.
    needs_complete_list: bool,
    /// Whether any endpoint was ever listed.
    has_listed_endpoints: bool,
    /// Complete lists rejected in a row because they were older than the cached one.
    older_rejected: u32,
}

impl CachedListState {
    /// Creates the state for the list that was cached at the last run, if there is one.
    pub fn new(known: Option<&EndpointListResponse>) -> CachedListState {
        CachedListState {
            version: known.map(|list| list.version),
            needs_complete_list: false,
            has_listed_endpoints: known.is_some_and(|list| !list.endpoints.is_empty()),
            older_rejected: 0,
        }
    }

    /// The version after which a watch asks for changes; `None` where it must ask for the complete list.
    pub fn version_to_watch(&self) -> Option<u64> {
        if self.needs_complete_list {
            None
        } else {
            self.version
        }
    }

    /// Forgets the version and what was seen of it, because discovery has another address.
    pub fn forget_version(&mut self) {
        self.version = None;
        self.needs_complete_list = false;
        self.older_rejected = 0;
    }

    /// Checks a response to a call for the changes after version `after`, or for the complete list.
    pub fn check(
        &mut self,
        response: &EndpointListResponse,
        after: Option<u64>,
    ) -> Result<(), EndpointListError> {
        if response.complete {
            self.check_complete(response)
        } else {
            self.check_changes(response, after)
        }
    }

    /// Rejects an outdated complete list, which would bring back draining hosts, and an empty one, which
    /// would empty the tables.
    fn check_complete(&mut self, response: &EndpointListResponse) -> Result<(), EndpointListError> {
        let version = response.version;
        if let Some(cached) = self.version {
            if version < cached && self.older_rejected < MAX_OLDER_REJECTED {
                self.older_rejected += 1;
                return Err(EndpointListError::Older { version, cached });
            }
        }
        if response.endpoints.is_empty() && self.has_listed_endpoints {
            return Err(EndpointListError::Empty);
        }
        Ok(())
    }

    /// Rejects changes whose version is older than the version asked about: discovery has gone back to an
    /// older version, and would never send the changes that follow the cached version.
    fn check_changes(
        &mut self,
        response: &EndpointListResponse,
        after: Option<u64>,
    ) -> Result<(), EndpointListError> {
        let version = response.version;
        match after {
            Some(after) if version < after => {
                self.needs_complete_list = true;
                Err(EndpointListError::Behind { version, after })
            }
            _ => Ok(()),
        }
    }

    /// Records a response that passed all checks. The caller records the version of the response.
    pub fn record_accepted(&mut self, response: &EndpointListResponse) {
        self.older_rejected = 0;
        self.has_listed_endpoints |= !response.endpoints.is_empty();
        if response.complete {
            self.needs_complete_list = false;
        }
    }
}

#[cfg(test)]
mod tests;
