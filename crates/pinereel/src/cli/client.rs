//! Calls to the operators' listener of one entry.

use super::{Error, Target};
use crate::settings::Secret;
use awc::error::{ConnectError, SendRequestError};
use compact_str::{CompactString, ToCompactString as _};
use pinereel_api::{
    header,
    problem::{Code, Problem},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Longest wait for one answer: a patch answers once all entries have confirmed it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Waits between attempts of a call that may be repeated.
const BACK_OFF: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];
/// Largest answer, in bytes.
const ANSWER: usize = 16 << 20;

/// One call.
pub(super) struct Call<'a, B> {
    pub(super) path: &'a str,
    /// The JSON body; a call without one is a GET, unless it changes something.
    pub(super) body: Option<&'a B>,
    /// Whether it may change something. Such calls are idempotent, so they are repeated until
    /// their answer arrives.
    pub(super) changes: bool,
}

/// Does `call` and waits for its answer.
pub(super) fn send<B: Serialize, T: DeserializeOwned>(
    target: &Target,
    call: &Call<'_, B>,
) -> Result<T, Error> {
    let token = Secret::read(&target.token_file).map_err(|expected| Error::File {
        path: target.token_file.clone(),
        expected,
    })?;
    let body = call.body.map(serde_json::to_vec).transpose();
    let client = Client {
        address: target.operators,
        token,
        path: call.path,
        body: body.expect("messages have text keys only"),
        changes: call.changes,
    };
    let bytes = actix_rt::System::new().block_on(client.send())?;
    let bytes = if bytes.is_empty() {
        b"null"
    } else {
        &bytes[..]
    };
    serde_json::from_slice(bytes).map_err(|error| client.unexpected(200, &error))
}

struct Client<'a> {
    address: SocketAddr,
    token: Secret,
    path: &'a str,
    body: Option<Vec<u8>>,
    changes: bool,
}

impl Client<'_> {
    /// Repeats the call while that is of use.
    async fn send(&self) -> Result<Vec<u8>, Error> {
        let mut result = self.attempt().await;
        let mut lost = None;
        for wait in BACK_OFF {
            let Err(error) = result else { break };
            if !self.may_repeat(&error) {
                return Err(error);
            }
            if !matches!(error, Error::Unreached { .. }) {
                lost = Some(error);
            }
            actix_rt::time::sleep(wait).await;
            result = self.attempt().await;
        }
        match (result, lost) {
            // An earlier attempt may have done it, so this is not a plain failure.
            (Err(Error::Unreached { .. }), Some(lost)) => Err(lost),
            (result, _) => result,
        }
    }

    fn may_repeat(&self, error: &Error) -> bool {
        let unanswered = match error {
            Error::Unreached { .. } | Error::Lost { .. } => true,
            Error::Problem { problem, .. } => problem.code == Code::InProgress,
            _ => false,
        };
        self.changes && unanswered
    }

    async fn attempt(&self) -> Result<Vec<u8>, Error> {
        let client = awc::Client::builder()
            .disable_redirects()
            .timeout(TIMEOUT)
            .connector(awc::Connector::new().timeout(CONNECT_TIMEOUT))
            .finish();
        let url = format!("http://{}{}", self.address, self.path);
        let request = if self.body.is_some() || self.changes {
            client.post(url)
        } else {
            client.get(url)
        };
        let bearer = format!("Bearer {}", self.token.reveal());
        let request = request
            .insert_header((header::AUTHORIZATION, bearer))
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(self.body.clone().unwrap_or_default());
        let mut answer = sent.await.map_err(|error| self.failed(&error))?;
        let status = answer.status();
        let body = answer.body().limit(ANSWER).await;
        let body = body.map_err(|error| self.lost(&error))?;
        if status.is_success() {
            return Ok(body.to_vec());
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(Error::Problem {
                problem,
                changes: self.changes,
            }),
            Err(error) => Err(self.unexpected(status.as_u16(), &error)),
        }
    }

    fn failed(&self, error: &SendRequestError) -> Error {
        match error {
            // awc also says this of a connection that closed after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => self.lost(error),
            SendRequestError::Url(_) | SendRequestError::Connect(_) => Error::Unreached {
                address: self.address,
                reason: error.to_compact_string(),
            },
            _ => self.lost(error),
        }
    }

    fn lost(&self, error: &impl ToString) -> Error {
        Error::Lost {
            address: self.address,
            reason: error.to_string().into(),
            changes: self.changes,
        }
    }

    fn unexpected(&self, status: u16, error: &serde_json::Error) -> Error {
        Error::Answer {
            status,
            reason: CompactString::from(error.to_string()),
            changes: self.changes,
        }
    }
}
