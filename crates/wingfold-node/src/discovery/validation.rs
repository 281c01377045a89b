//! Validation of responses against the list that is cached: a discovery may answer and be wrong.

use super::call::EndpointListError;
use crate::list::EndpointListResponse;

/// Complete lists older than the cached one that are rejected in a row. One that comes late would undo later drains; a
/// discovery that keeps to it was set up anew, and its list counts.
const MAX_OLDER_REJECTED: u32 = 3;

/// What must be known of the cached list to check a response.
#[derive(Debug)]
pub struct CachedList {
    /// The version cached; `None` before the first response of the present discovery.
    pub version: Option<u64>,
    /// Discovery has gone back behind the cached version: the complete list is asked for next.
    needs_complete_list: bool,
    /// Whether any endpoint was ever listed.
    has_listed_endpoints: bool,
    /// Complete lists rejected in a row because they were older.
    older_rejected: u32,
}

impl CachedList {
    /// For the list as it was cached at the last run, if there is one.
    pub fn new(known: Option<&EndpointListResponse>) -> CachedList {
        CachedList {
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

    /// A complete list that is outdated, or empty, would empty tables or bring back hosts that drain.
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

    /// Changes up to a version before the one asked about come from a discovery that has gone back: the changes that
    /// follow the cached version would never come.
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

    /// Records a response that passed all checks; its version is recorded by whoever delivers it.
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
