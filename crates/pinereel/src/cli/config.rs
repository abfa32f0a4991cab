//! `pinereel config`: show, check and patch the configuration.

use super::{
    Draft, Error, Target,
    client::{self, Request},
    output::{self, Output},
};
use compact_str::{CompactString, format_compact};
use pinereel_api::operator::{Checked, Config, Patch, Patched};
use pinereel_core::hash::Digest;
use std::{fs, io, path::Path};

const CONFIG_PATH: &str = "/v1/config";
const CONFIG_CHECK_PATH: &str = "/v1/config/check";

pub(super) fn show(target: &Target, output: &mut Output<'_>) -> Result<(), Error> {
    let request = Request::<()> {
        path: CONFIG_PATH,
        body: None,
        mutating: false,
    };
    let config: Config = client::send(target, &request)?;
    output.print(&config, |config| {
        let document = output::to_pretty_json(&config.document);
        format!("configuration {}\n{document}", config.number)
    })
}

pub(super) fn check_patch(
    target: &Target,
    draft: &Draft,
    output: &mut Output<'_>,
) -> Result<(), Error> {
    let patch = read_patch(draft)?;
    let request = Request {
        path: CONFIG_CHECK_PATH,
        body: Some(&patch),
        mutating: false,
    };
    let checked: Checked = client::send(target, &request)?;
    output.print(&checked, |checked| {
        let document = output::to_pretty_json(&checked.document);
        format!("the patch is valid and would give\n{document}")
    })
}

pub(super) fn submit_patch(
    target: &Target,
    draft: &Draft,
    output: &mut Output<'_>,
) -> Result<(), Error> {
    let patch = read_patch(draft)?;
    let request = Request {
        path: CONFIG_PATH,
        body: Some(&patch),
        mutating: true,
    };
    let patched: Patched = client::send(target, &request)?;
    output.print(&patched, |patched| {
        format!("configuration {} is in force", patched.number)
    })
}

/// Reads the patch from the draft's file.
fn read_patch(draft: &Draft) -> Result<Patch, Error> {
    let file_error = |expected| Error::File {
        path: draft.file.clone(),
        expected,
    };
    let text = read_text(&draft.file)
        .map_err(|error| file_error(format_compact!("a readable file ({error})")))?;
    let merge = serde_json::from_str(&text)
        .map_err(|error| file_error(format_compact!("a JSON merge patch ({error})")))?;
    let id = draft
        .id
        .clone()
        .unwrap_or_else(|| content_id(draft.base, &merge));
    Ok(Patch {
        base: draft.base,
        id,
        merge,
    })
}

fn read_text(file: &Path) -> io::Result<String> {
    if file.as_os_str() == "-" {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    }
}

/// Derives an id from the patch's content, so that running the same command twice submits one
/// patch.
fn content_id(base: u64, merge: &serde_json::Value) -> CompactString {
    let digest = Digest::of(format!("{base} {merge}").as_bytes());
    format_compact!("patch-{digest}")
}
