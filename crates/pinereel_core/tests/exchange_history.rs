//! Matching of responses to requests on kept connections, for any order of sends, responses, late copies and
//! cancels.

use pinereel_core::exchange::{History, MAX_REQUESTS, Match};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// A request with this id is sent; `None`: without an id.
    Send(Option<u8>),
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
        10 => (index.clone(), prop::bool::weighted(0.9)).prop_map(|(n, id)| Step::Answer(n, id)),
        4 => (index.clone(), index.clone()).prop_map(|(n, copied)| Step::Copy(n, copied)),
        1 => index.prop_map(Step::Cancel),
        1 => Just(Step::Replace),
    ]
}

/// A connection with the ids of its past responses and of the request that it carries.
#[derive(Debug, Default)]
struct Connection {
    history: History,
    responses: Vec<Option<String>>,
    request: Option<String>,
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
    fn send(&mut self, id: Option<String>) -> bool {
        let mut idle = self.idle.iter();
        let position = idle.rposition(|c| c.history.admits(id.as_deref()));
        let mut connection = position.map_or_else(Connection::default, |at| self.idle.remove(at));
        connection.history.record_request(id.as_deref());
        connection.request = id;
        self.busy.push(connection);
        position.is_none()
    }

    fn take_busy(&mut self, index: usize) -> Option<Connection> {
        let index = index.checked_rem(self.busy.len())?;
        Some(self.busy.remove(index))
    }
}

proptest! {
    /// A copy of an earlier response is never taken for the answer to the current request, an answer always
    /// is, and a connection is only opened for an id that each idle one has carried.
    #[test]
    fn only_answers_match_their_requests(steps in prop::collection::vec(step(), 1..200)) {
        let mut connections = Connections::default();
        for step in steps {
            match step {
                Step::Send(id) => {
                    let id = id.map(|id| format!("r-{id}"));
                    let carried = |c: &Connection| c.responses.contains(&id);
                    let all_carried = connections.idle.iter().all(carried);
                    let opened = connections.send(id.clone());
                    prop_assert_eq!(opened, id.is_none() || all_carried);
                }
                Step::Answer(index, has_id) => {
                    let Some(mut connection) = connections.take_busy(index) else { continue };
                    let request = connection.request.take();
                    let response = request.clone().filter(|_| has_id);
                    let found = connection
                        .history
                        .match_response(request.as_deref(), response.as_deref());
                    prop_assert_eq!(found, Match::Current);
                    prop_assert_eq!(connection.history.is_reusable(), response.is_some());
                    connection.responses.push(response);
                    if connection.history.is_reusable() {
                        connections.idle.push(connection);
                    }
                }
                Step::Copy(index, copied) => {
                    let Some(mut connection) = connections.take_busy(index) else { continue };
                    let Some(copied) = copied.checked_rem(connection.responses.len()) else {
                        connections.busy.push(connection);
                        continue;
                    };
                    let request = connection.request.take();
                    let copy = connection.responses[copied].clone();
                    let found = connection
                        .history
                        .match_response(request.as_deref(), copy.as_deref());
                    prop_assert_eq!(found, Match::Foreign);
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
        assert!(history.admits(Some(&id)));
        history.record_request(Some(&id));
    }
    assert!(!history.is_reusable());
    assert!(!history.admits(Some("another")));
}
