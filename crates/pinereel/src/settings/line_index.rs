//! Line numbers of sections and keys in an INI file.

use compact_str::CompactString;
use std::collections::BTreeMap;

/// Line numbers of sections and keys, which the INI library does not provide.
pub(super) struct LineIndex {
    /// The section headers with their line numbers.
    pub(super) headers: Vec<(CompactString, usize)>,
    keys: BTreeMap<(CompactString, CompactString), Vec<usize>>,
}

impl LineIndex {
    pub(super) fn scan(text: &str) -> Self {
        let mut lines = Self {
            headers: Vec::new(),
            keys: BTreeMap::new(),
        };
        let mut section = CompactString::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with(['#', ';']) {
                continue;
            }
            if let Some(header) = line.strip_prefix('[') {
                section = header.split(']').next().unwrap_or_default().trim().into();
                lines.headers.push((section.clone(), index + 1));
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                let location = (section.clone(), key.trim().into());
                lines.keys.entry(location).or_default().push(index + 1);
            }
        }
        lines
    }

    /// Line number of the `nth` occurrence of a key in a section; 1 if the scan missed it.
    pub(super) fn find(&self, location: &(CompactString, CompactString), nth: usize) -> usize {
        let lines = self.keys.get(location);
        lines.and_then(|lines| lines.get(nth)).copied().unwrap_or(1)
    }
}
