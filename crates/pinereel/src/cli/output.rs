//! Results, for a person or as JSON.

use super::Error;
use serde::Serialize;
use std::io::Write;

pub(super) struct Output<'a> {
    pub(super) out: &'a mut dyn Write,
    pub(super) json: bool,
}

impl Output<'_> {
    pub(super) fn text(&mut self, text: &str) -> Result<(), Error> {
        writeln!(self.out, "{text}")?;
        Ok(())
    }

    /// Writes `value` as JSON if that was asked for, else `text` of it.
    pub(super) fn value<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), Error> {
        let shown = if self.json {
            pretty(value)
        } else {
            text(value)
        };
        self.text(&shown)
    }
}

pub(super) fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("answers have text keys only")
}
