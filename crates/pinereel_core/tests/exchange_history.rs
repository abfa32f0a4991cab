//! Matching of responses to requests on kept connections, for any order of sends, responses, late copies and
//! cancels.

use pinereel_core::exchange::{History, MAX_REQUESTS, Match, Request};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// A request with this id is sent; `None`: without an id.
    Send(Option<u8>),
    /// A state is read, by a request with an id of its own.
    Read(u8),
    /// The request on the nth busy connection is answered, with or without its id.
    Answer(usize, bool),
    /// A copy of an earlier response on the nth busy connection comes in place of the answer.
    Copy(usize, usize),
    /// The caller gives the request on the nth busy connection up.
    Cancel(usize),
    /// The endpoint is replaced: all connections are closed.
    Replace,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..8_usize;
    prop_oneof![
        12 => (0..6_u8).prop_map(|id| Step::Send(Some(id))),
        1 => Just(Step::Send(None)),
        6 => (0..2_u8).prop_map(Step::Read),
        10 => (index.clone(), prop::bool::weighted(0.9)).prop_map(|(n, id)| Step::Answer(n, id)),
        4 => (index.clone(), index.clone()).prop_map(|(n, copied)| Step::Copy(n, copied)),
        1 => index.prop_map(Step::Cancel),
        1 => Just(Step::Replace),
    ]
}

/// A request, as the caller sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Sent {
    id: Option<String>,
    state: Option<String>,
}

impl Sent {
    fn request(&self) -> Request<'_> {
        Request {
            id: self.id.as_deref(),
            state: self.state.as_deref(),
        }
    }
}

/// A connection with its past requests, each with whether its response had its id, and the request that it
/// carries.
#[derive(Debug, Default)]
struct Connection {
    history: History,
    past: Vec<(Sent, bool)>,
    current: Sent,
}

impl Connection {
    /// Whether it may not carry a request: a copy of a past response could be mistaken for its response.
    fn must_not_carry(&self, sent: &Sent) -> bool {
        !self.past.is_empty()
            && (sent.id.is_none()
                || self.past.iter().any(|(past, has_id)| {
                    let is_older_state = sent.state.is_some() && past.state == sent.state;
                    past.id == sent.id || (!has_id && !is_older_state)
                }))
    }
}

/// The connections of a pool, the idle one used last at the end.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    busy: Vec<Connection>,
}

impl Connections {
    /// Sends a request over the idle connection used last that may carry it, or a new one. Returns whether
    /// a new one was opened.
    fn send(&mut self, sent: Sent) -> bool {
        let mut idle = self.idle.iter();
        let position = idle.rposition(|c| c.history.admits(sent.request()));
        let mut connection = position.map_or_else(Connection::default, |at| self.idle.remove(at));
        connection.history.record_request(sent.request());
        connection.current = sent;
        self.busy.push(connection);
        position.is_none()
    }

    fn take_busy(&mut self, index: usize) -> Option<Connection> {
        let index = index.checked_rem(self.busy.len())?;
        Some(self.busy.remove(index))
    }
}

proptest! {
    /// A copy of an earlier response is never taken for the answer to the current request, but for an older state
    /// where that request reads the same one. An answer always is, and a connection is only opened for a request
    /// that no idle one may carry.
    #[test]
    fn only_answers_match_their_requests(steps in prop::collection::vec(step(), 1..200)) {
        let mut connections = Connections::default();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Send(_) | Step::Read(_) => {
                    let sent = match step {
                        Step::Read(state) => Sent {
                            id: Some(format!("read-{number}")),
                            state: Some(format!("/state/{state}")),
                        },
                        Step::Send(id) => Sent { id: id.map(|id| format!("r-{id}")), state: None },
                        _ => continue,
                    };
                    let none_may = connections.idle.iter().all(|c| c.must_not_carry(&sent));
                    prop_assert_eq!(connections.send(sent), none_may);
                }
                Step::Answer(index, has_id) => {
                    let Some(mut connection) = connections.take_busy(index) else { continue };
                    let sent = std::mem::take(&mut connection.current);
                    let response_id = sent.id.as_deref().filter(|_| has_id);
                    let found = connection.history.match_response(sent.request(), response_id);
                    prop_assert_eq!(found, Match::Current);
                    let has_id = response_id.is_some();
                    connection.past.push((sent, has_id));
                    if connection.history.is_reusable() {
                        connections.idle.push(connection);
                    }
                }
                Step::Copy(index, copied) => {
                    let Some(mut connection) = connections.take_busy(index) else { continue };
                    let Some(copied) = copied.checked_rem(connection.past.len()) else {
                        connections.busy.push(connection);
                        continue;
                    };
                    let sent = std::mem::take(&mut connection.current);
                    let (past, has_id) = connection.past[copied].clone();
                    let response_id = past.id.as_deref().filter(|_| has_id);
                    let found = connection.history.match_response(sent.request(), response_id);
                    let is_older_state = !has_id && sent.state.is_some() && past.state == sent.state;
                    prop_assert_eq!(found == Match::Foreign, !is_older_state);
                }
                Step::Cancel(index) => drop(connections.take_busy(index)),
                Step::Replace => connections = Connections::default(),
            }
        }
    }
}

#[test]
fn a_connection_is_closed_after_its_last_request() {
    let mut history = History::default();
    for number in 0..MAX_REQUESTS {
        let id = format!("r-{number}");
        let request = Request {
            id: Some(&id),
            state: None,
        };
        assert!(history.admits(request));
        history.record_request(request);
    }
    assert!(!history.is_reusable());
    assert!(!history.admits(Request {
        id: Some("another"),
        state: None,
    }));
}
