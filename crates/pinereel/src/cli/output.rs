//! Prints command results as text or JSON.

use super::Error;
use serde::Serialize;
use std::io::Write;

pub(super) struct Output<'a> {
    pub(super) writer: &'a mut dyn Write,
    pub(super) json: bool,
}

impl Output<'_> {
    pub(super) fn print_line(&mut self, text: &str) -> Result<(), Error> {
        writeln!(self.writer, "{text}")?;
        Ok(())
    }

    /// Prints `value` as JSON if `json` is set, else as the text that `to_text` returns.
    pub(super) fn print<T: Serialize>(
        &mut self,
        value: &T,
        to_text: impl FnOnce(&T) -> String,
    ) -> Result<(), Error> {
        let rendered = if self.json {
            to_pretty_json(value)
        } else {
            to_text(value)
        };
        self.print_line(&rendered)
    }
}

pub(super) fn to_pretty_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("answers have text keys only")
}
