//! `pinereel status`: prints an entry's view of the system.

use super::{
    Error, Target,
    client::{self, Request},
    output::Output,
};
use pinereel_api::operator::{Endpoint, Entry, Status};

const STATUS_PATH: &str = "/v1/status";

pub(super) fn status(target: &Target, output: &mut Output<'_>) -> Result<(), Error> {
    let request = Request::<()> {
        path: STATUS_PATH,
        body: None,
        mutating: false,
    };
    let status: Status = client::send(target, &request)?;
    output.print(&status, status_text)
}

fn status_text(status: &Status) -> String {
    let mut lines = vec![format!(
        "entry {}, configuration {}",
        status.entry, status.number
    )];
    lines.push("entries:".into());
    lines.extend(status.entries.iter().map(|(name, e)| entry_line(name, e)));
    lines.push("endpoints:".into());
    lines.extend(
        status
            .endpoints
            .iter()
            .map(|(name, e)| endpoint_line(name, e)),
    );
    lines.push("versions:".into());
    lines.extend(
        status
            .versions
            .iter()
            .map(|(model, v)| format!("  {model} {v}")),
    );
    lines.push("leases (fencing token):".into());
    lines.extend(
        status
            .leases
            .iter()
            .map(|(name, t)| format!("  {name} {t}")),
    );
    lines.push("object API calls:".into());
    let calls = status.object_calls.iter();
    lines.extend(calls.map(|(purpose, n)| format!("  {purpose} {n}")));
    lines.join("\n")
}

fn entry_line(name: &str, entry: &Entry) -> String {
    let heard = match entry.heard_ms {
        Some(millis) => format!("heard {millis} ms ago"),
        None => "this entry".into(),
    };
    let lags = if entry.lags { ", lags" } else { "" };
    format!(
        "  {name} in {}, configuration {}, {heard}{lags}",
        entry.zone, entry.number
    )
}

fn endpoint_line(name: &str, endpoint: &Endpoint) -> String {
    let Endpoint {
        pool,
        zone,
        state,
        outstanding,
        version,
    } = endpoint;
    let version = version.map(|v| format!(", {v}")).unwrap_or_default();
    format!("  {name} of {pool} in {zone}, {state}, {outstanding} outstanding{version}")
}
