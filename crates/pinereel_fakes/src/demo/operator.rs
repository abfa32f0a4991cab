//! Client of the HTTP API that each entry serves on its operators' listener.

use crate::site::OPERATOR_TOKEN;
use awc::http::StatusCode;
use pinereel_api::operator::{Config, Patch, Patched};
use std::{io, net::SocketAddr, time::Duration};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Fetches the configuration in force at the entry at `address`. `None` if the entry is built
/// without this call.
///
/// # Errors
/// If the entry does not respond, or with neither a configuration nor status 404.
pub async fn fetch_config(address: SocketAddr) -> io::Result<Option<Config>> {
    let url = format!("http://{address}/v1/config");
    let request = new_client().get(url).bearer_auth(OPERATOR_TOKEN).send();
    let mut response = request.await.map_err(to_io_error)?;
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::OK => response.json().await.map(Some).map_err(to_io_error),
        status => Err(io::Error::other(format!("configuration: {status}"))),
    }
}

/// Submits a configuration patch to the entry at `address`.
///
/// # Errors
/// If the patch was refused, or if it is unknown whether it was applied.
pub async fn submit_patch(address: SocketAddr, patch: &Patch) -> io::Result<Patched> {
    let url = format!("http://{address}/v1/config");
    let request = new_client()
        .post(url)
        .bearer_auth(OPERATOR_TOKEN)
        .send_json(patch);
    let mut response = request.await.map_err(to_io_error)?;
    if response.status() == StatusCode::OK {
        return response.json().await.map_err(to_io_error);
    }
    let body = response.body().await.map_err(to_io_error)?;
    let body = String::from_utf8_lossy(&body);
    Err(io::Error::other(format!("patch refused: {body}")))
}

/// Starts the drain of the entry at `address`.
///
/// # Errors
/// If the entry does not accept the call.
pub async fn start_drain(address: SocketAddr) -> io::Result<()> {
    let url = format!("http://{address}/v1/drain");
    let request = new_client().post(url).bearer_auth(OPERATOR_TOKEN).send();
    let status = request.await.map_err(to_io_error)?.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("drain: {status}")))
    }
}

fn new_client() -> awc::Client {
    awc::Client::builder().timeout(CALL_TIMEOUT).finish()
}

fn to_io_error(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}
