//! Calls to the operators' listeners.

use crate::site::OPERATOR_TOKEN;
use awc::http::StatusCode;
use pinereel_api::operator::{Config, Patch, Patched};
use std::{io, net::SocketAddr, time::Duration};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A call to an operators' listener failed; says why.
pub type Result<T> = io::Result<T>;

/// The configuration that the entry at `address` has in force; none where the build has no such call.
///
/// # Errors
/// The entry gave no such answer.
pub async fn config(address: SocketAddr) -> Result<Option<Config>> {
    let url = format!("http://{address}/v1/config");
    let call = client().get(url).bearer_auth(OPERATOR_TOKEN).send();
    let mut answer = call.await.map_err(lost)?;
    match answer.status() {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::OK => answer.json().await.map(Some).map_err(lost),
        status => Err(io::Error::other(format!("configuration: {status}"))),
    }
}

/// Submits a patch.
///
/// # Errors
/// It was refused, or its fate is not known.
pub async fn patch(address: SocketAddr, patch: &Patch) -> Result<Patched> {
    let url = format!("http://{address}/v1/config");
    let call = client()
        .post(url)
        .bearer_auth(OPERATOR_TOKEN)
        .send_json(patch);
    let mut answer = call.await.map_err(lost)?;
    if answer.status() == StatusCode::OK {
        return answer.json().await.map_err(lost);
    }
    let body = answer.body().await.map_err(lost)?;
    let body = String::from_utf8_lossy(&body);
    Err(io::Error::other(format!("patch refused: {body}")))
}

/// Asks the entry at `address` to drain.
///
/// # Errors
/// The entry did not take the call.
pub async fn drain(address: SocketAddr) -> Result<()> {
    let url = format!("http://{address}/v1/drain");
    let call = client().post(url).bearer_auth(OPERATOR_TOKEN).send();
    let status = call.await.map_err(lost)?.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("drain: {status}")))
    }
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

fn lost(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}
