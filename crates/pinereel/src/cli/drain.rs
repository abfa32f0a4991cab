//! `pinereel drain`: graceful shutdown of an entry.

use super::{
    Error, Target,
    client::{self, Request},
    output::Output,
};

const DRAIN_PATH: &str = "/v1/drain";

pub(super) fn drain(target: &Target, output: &mut Output<'_>) -> Result<(), Error> {
    let request = Request::<()> {
        path: DRAIN_PATH,
        body: None,
        mutating: true,
    };
    let response: serde_json::Value = client::send(target, &request)?;
    output.print(&response, |_| format!("{} drains", target.operators))
}
