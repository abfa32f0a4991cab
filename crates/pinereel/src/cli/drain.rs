//! `pinereel drain`: stop an entry gracefully.

use super::{
    Error, Target,
    client::{self, Call},
    output::Output,
};

const PATH: &str = "/v1/drain";

pub(super) fn drain(target: &Target, output: &mut Output<'_>) -> Result<(), Error> {
    let call = Call::<()> {
        path: PATH,
        body: None,
        changes: true,
    };
    let answer: serde_json::Value = client::send(target, &call)?;
    output.value(&answer, |_| format!("{} drains", target.operators))
}
