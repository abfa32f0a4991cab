//! What is wrong with a settings file.

use compact_str::CompactString;
use std::{fmt, path::PathBuf};

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1. For a missing key, the line of its section, or 1.
    pub line: usize,
    /// The section; empty for keys before the first one.
    pub section: CompactString,
    /// The key; absent where the section itself is at fault.
    pub key: Option<CompactString>,
    /// What was given; absent if nothing was.
    pub given: Option<CompactString>,
    /// What was expected.
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

/// All faults of a settings file, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// Whether there is none.
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
