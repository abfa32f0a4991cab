//! Which requests a kept connection may carry, and which responses on it answer them.
//!
//! A faulty endpoint may send a further copy of a response later, where the response to another request is
//! expected. The id in a response tells one request from another, but not two sends of the same request.
//! Therefore a connection carries each id once, and carries no further request after a response
//! without an id.

use crate::hash;
use std::collections::BTreeSet;

/// Number of requests after which a connection is not used again. Bounds the memory of its history.
pub const MAX_REQUESTS: usize = 1_000;

/// The requests that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Hashes of their ids. Equal hashes of different ids only cost a new connection.
    ids: BTreeSet<u64>,
    /// Whether a request or a response had no id, so that a copy of that response could not be
    /// told from the response to a later request.
    is_ambiguous: bool,
}

/// What a response on a connection answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// The request that was sent last.
    Current,
    /// Another request. The current one is unanswered.
    Foreign,
}

impl History {
    /// Whether the connection may carry a request with this id. A new connection carries any.
    pub fn admits(&self, id: Option<&str>) -> bool {
        if self.ids.is_empty() && !self.is_ambiguous {
            return true;
        }
        let is_new = id.is_some_and(|id| !self.ids.contains(&hash::stable(id.as_bytes())));
        is_new && self.is_reusable()
    }

    /// Records a request that is about to be sent.
    pub fn record_request(&mut self, id: Option<&str>) {
        match id {
            Some(id) => {
                self.ids.insert(hash::stable(id.as_bytes()));
            }
            None => self.is_ambiguous = true,
        }
    }

    /// Matches a response's id with that of the request sent last. All earlier responses on a reused
    /// connection had an id, so one without an id is no copy of them.
    pub fn match_response(&mut self, request: Option<&str>, response: Option<&str>) -> Match {
        match (request, response) {
            (Some(request), Some(response)) if request != response => Match::Foreign,
            (Some(_), Some(_)) => Match::Current,
            (None, _) | (_, None) => {
                self.is_ambiguous = true;
                Match::Current
            }
        }
    }

    /// Whether the connection may carry a further request.
    pub fn is_reusable(&self) -> bool {
        !self.is_ambiguous && self.ids.len() < MAX_REQUESTS
    }

    /// Number of requests with an id.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no request with an id was sent.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
