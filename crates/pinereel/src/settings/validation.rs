//! Validation errors of a settings file.

use compact_str::CompactString;
use std::{fmt, path::PathBuf};

/// One invalid or missing setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Line number, from 1. For a missing key, the line of its section header, or 1.
    pub line: usize,
    /// Name of the section; empty for keys before the first one.
    pub section: CompactString,
    /// The key; `None` if the section itself is invalid.
    pub key: Option<CompactString>,
    /// The given text; `None` if the key is missing.
    pub given: Option<CompactString>,
    /// Description of a valid value.
    pub expected: CompactString,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(f, "{file}:{}: [{}]", self.line, self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        match &self.given {
            Some(given) => write!(f, ": given {given:?}, expected {}", self.expected),
            None => write!(f, ": missing, expected {}", self.expected),
        }
    }
}

/// All validation errors of a settings file, ordered by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// Whether the file is valid.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
