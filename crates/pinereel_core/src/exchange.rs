//! Which requests a kept connection may carry, and which responses on it answer them.
//!
//! A faulty endpoint may send a further copy of a response later, where the response to another request is
//! expected. The id in a response tells one request from another, but not two sends of the same request.
//! Therefore a connection carries each id once. After a response without an id, it carries at most further
//! reads of the same state, for which a copy is an older state.

use crate::hash;
use std::collections::BTreeSet;

/// Number of requests after which a connection is not used again. Bounds the memory of its history.
pub const MAX_REQUESTS: usize = 1_000;

/// A request, as far as its response may be mistaken for that of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request<'a> {
    /// Id that its response repeats.
    pub id: Option<&'a str>,
    /// The state that it reads; `None` if it does anything else.
    pub state: Option<&'a str>,
}

/// The requests that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Hashes of their ids. Equal hashes of different ids only cost a new connection.
    ids: BTreeSet<u64>,
    unidentified: Unidentified,
}

/// What the responses without an id answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Unidentified {
    /// There were none.
    #[default]
    None,
    /// Reads of the state with this hash.
    Reads(u64),
    /// Something else: a copy could be mistaken for the response to any later request.
    Any,
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
    /// Whether the connection may carry a request. A new connection carries any.
    pub fn admits(&self, request: Request<'_>) -> bool {
        if self.ids.is_empty() && self.unidentified == Unidentified::None {
            return true;
        }
        let is_new = request
            .id
            .is_some_and(|id| !self.ids.contains(&hash_of(id)));
        let is_admitted = self.unidentified == Unidentified::None || self.is_restricted_to(request);
        is_new && is_admitted && self.is_reusable()
    }

    /// Whether the connection carries nothing but further reads of the state that a request reads.
    pub fn is_restricted_to(&self, request: Request<'_>) -> bool {
        let state = request.state.map(hash_of);
        state.is_some_and(|state| self.unidentified == Unidentified::Reads(state))
    }

    /// Records a request that is about to be sent.
    pub fn record_request(&mut self, request: Request<'_>) {
        self.ids.extend(request.id.map(hash_of));
    }

    /// Matches a response's id with the request sent last.
    pub fn match_response(&mut self, request: Request<'_>, response_id: Option<&str>) -> Match {
        match (request.id, response_id) {
            (Some(id), Some(response_id)) if id != response_id => return Match::Foreign,
            (Some(_), Some(_)) => {}
            (None, _) | (_, None) => self.unidentified = self.unidentified.and(request),
        }
        Match::Current
    }

    /// Whether the connection may carry a further request.
    pub fn is_reusable(&self) -> bool {
        self.unidentified != Unidentified::Any && self.ids.len() < MAX_REQUESTS
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

impl Unidentified {
    /// Adds a response without an id.
    fn and(self, request: Request<'_>) -> Self {
        let Some(state) = request.state.map(hash_of) else {
            return Self::Any;
        };
        match self {
            Self::None => Self::Reads(state),
            Self::Reads(known) if known == state => self,
            Self::Reads(_) | Self::Any => Self::Any,
        }
    }
}

fn hash_of(text: &str) -> u64 {
    hash::stable(text.as_bytes())
}
