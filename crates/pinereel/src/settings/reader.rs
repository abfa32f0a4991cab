//! Typed access to the sections and keys of an INI file, which collects all validation errors.

use super::{Secret, ValidationError, ValidationErrors, line_index::LineIndex, value};
use compact_str::{CompactString, format_compact};
use ini::Ini;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::Duration,
};

/// Text of one `key = value` with its line number.
struct Property {
    line: usize,
    text: CompactString,
}

/// Content of a settings file and the validation errors found so far.
pub(super) struct Reader {
    file: PathBuf,
    /// Line number of each section's first header.
    section_lines: BTreeMap<CompactString, usize>,
    values: BTreeMap<CompactString, BTreeMap<CompactString, Property>>,
    /// Keys requested so far, by section; all others are reported as unknown.
    requested: BTreeMap<CompactString, BTreeSet<CompactString>>,
    errors: Vec<ValidationError>,
    /// Whether the platform writes the file, so that a number out of range is no typing error.
    is_of_platform: bool,
    warnings: Vec<ValidationError>,
}

impl Reader {
    /// Parses `text`. A syntax error in the INI text is the only error that stops validation.
    pub(super) fn new(file: &Path, text: &str) -> Result<Self, ValidationErrors> {
        let mut reader = Self {
            file: file.to_owned(),
            section_lines: BTreeMap::new(),
            values: BTreeMap::new(),
            requested: BTreeMap::new(),
            errors: Vec::new(),
            is_of_platform: false,
            warnings: Vec::new(),
        };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.load_properties(&ini, &LineIndex::scan(text)),
            Err(error) => {
                let given = text.lines().nth(error.line.saturating_sub(1));
                reader.errors.push(ValidationError {
                    file: file.to_owned(),
                    line: error.line,
                    section: CompactString::default(),
                    key: None,
                    given: Some(given.unwrap_or_default().trim().into()),
                    expected: format_compact!("INI: {}", error.msg),
                });
                return Err(ValidationErrors(reader.errors));
            }
        }
        Ok(reader)
    }

    /// Makes numbers out of range warnings in place of errors.
    pub(super) fn of_platform(mut self) -> Self {
        self.is_of_platform = true;
        self
    }

    /// Returns the warnings so far.
    pub(super) fn take_warnings(&mut self) -> ValidationErrors {
        ValidationErrors(std::mem::take(&mut self.warnings))
    }

    /// Opens the section `name` to read its keys.
    pub(super) fn section(&mut self, name: &'static str) -> Section<'_> {
        self.requested.entry(name.into()).or_default();
        Section { reader: self, name }
    }

    /// Reports a file that announces a section `[end]` (`[instance] end_marker`) and does not have it, as its
    /// writing has not finished.
    pub(super) fn check_end_marker(&mut self) {
        let announced = self.section("instance").boolean("end_marker", false);
        self.section("end");
        if announced && !self.section_lines.contains_key("end") {
            let expected = "the section [end], which end_marker announces";
            self.section("instance")
                .report_error("end_marker", expected);
        }
    }

    /// Returns all errors, including those for sections and keys that were never requested.
    pub(super) fn finish(mut self) -> ValidationErrors {
        self.report_unknown();
        self.errors.sort_by_key(|error| error.line);
        ValidationErrors(self.errors)
    }

    fn load_properties(&mut self, ini: &Ini, lines: &LineIndex) {
        for (name, line) in &lines.headers {
            if self.section_lines.contains_key(name) {
                let given = format_compact!("[{name}]");
                self.push_error(*line, name, None, Some(given), "each section once");
            } else {
                self.section_lines.insert(name.clone(), *line);
            }
        }
        let mut seen = BTreeMap::new();
        for (section, properties) in ini {
            let section = CompactString::from(section.unwrap_or_default());
            for (key, text) in properties {
                let location = (section.clone(), CompactString::from(key));
                let nth = seen.entry(location.clone()).or_insert(0);
                let line = lines.find(&location, *nth);
                *nth += 1;
                self.add_property(location, line, text.into());
            }
        }
    }

    fn add_property(
        &mut self,
        (section, key): (CompactString, CompactString),
        line: usize,
        text: CompactString,
    ) {
        let keys = self.values.entry(section.clone()).or_default();
        if let Some(first) = keys.get(&key) {
            let expected = format_compact!("each key once (first on line {})", first.line);
            self.push_error(line, &section, Some(&key), Some(text), expected);
        } else {
            keys.insert(key, Property { line, text });
        }
    }

    fn report_unknown(&mut self) {
        let sections = join(self.requested.keys());
        for (section, line) in self.section_lines.clone() {
            if !self.requested.contains_key(&section) {
                let given = format_compact!("[{section}]");
                let expected = format_compact!("one of {sections}");
                self.push_error(line, &section, None, Some(given), expected);
            }
        }
        for (section, keys) in std::mem::take(&mut self.values) {
            let known = self.requested.get(&section).cloned();
            for (key, value) in keys {
                let expected = match &known {
                    Some(known) if known.contains(&key) => continue,
                    Some(known) => format_compact!("one of {}", join(known)),
                    None if section.is_empty() => "a section before the first key".into(),
                    None => continue,
                };
                self.push_error(value.line, &section, Some(&key), Some(value.text), expected);
            }
        }
    }

    fn push_error(
        &mut self,
        line: usize,
        section: &str,
        key: Option<&str>,
        given: Option<CompactString>,
        expected: impl Into<CompactString>,
    ) {
        self.errors.push(ValidationError {
            file: self.file.clone(),
            line,
            section: section.into(),
            key: key.map(Into::into),
            given,
            expected: expected.into(),
        });
    }
}

/// One section of a [`Reader`].
pub(super) struct Section<'a> {
    reader: &'a mut Reader,
    name: &'static str,
}

impl Section<'_> {
    /// The parsed value of an optional key.
    pub(super) fn optional<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(key)?;
        let value = parse(&text);
        if value.is_none() {
            self.report_error(key, expected);
        }
        value
    }

    /// The parsed value of a required key; reports an error if it is missing.
    pub(super) fn required<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.text(key).is_none() {
            self.report_error(key, expected);
        }
        self.optional(key, expected, parse)
    }

    /// A whole number in `range`.
    pub(super) fn number(&mut self, key: &str, range: RangeInclusive<u32>, default: u32) -> u32 {
        let (low, high) = (*range.start(), *range.end());
        let expected = format_compact!("a number from {low} to {high}");
        self.bounded(
            key,
            &expected,
            (low.into(), high.into()),
            self.whole_number(),
        )
        .map_or(default, |number| number as u32)
    }

    /// A whole number in `range`, as a count of items.
    pub(super) fn count(&mut self, key: &str, range: RangeInclusive<u64>, default: usize) -> usize {
        let (low, high) = (*range.start(), *range.end());
        let expected = format_compact!("a number from {low} to {high}");
        self.bounded(
            key,
            &expected,
            (low as f64, high as f64),
            self.whole_number(),
        )
        .map_or(default, |number| number as usize)
    }

    /// A size with its unit in `range`, converted to bytes.
    pub(super) fn size(&mut self, key: &str, range: RangeInclusive<u64>, default: usize) -> usize {
        let (low, high) = (*range.start(), *range.end());
        let (min, max) = (value::format_size(low), value::format_size(high));
        let expected = format_compact!("a size (B, MB, KiB, MiB, GiB) from {min} to {max}");
        self.bounded(key, &expected, (low as f64, high as f64), value::bytes)
            .map_or(default, |bytes| bytes as usize)
    }

    /// A duration with its unit in `range`.
    pub(super) fn duration(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        let (low, high) = (range.start(), range.end());
        let expected = format_compact!("a duration (ms, s, m, h) from {low:?} to {high:?}");
        let limits = (low.as_secs_f64() * 1e3, high.as_secs_f64() * 1e3);
        self.bounded(key, &expected, limits, value::millis)
            .map_or(default, |millis| Duration::from_secs_f64(millis / 1e3))
    }

    /// The parser of whole numbers. The platform may give a fraction, which is rounded down.
    fn whole_number(&self) -> impl Fn(&str) -> Option<f64> + use<> {
        let takes_fractions = self.reader.is_of_platform;
        move |text| value::decimal(text).filter(|n| takes_fractions || n.fract() == 0.0)
    }

    /// A number from `low` to `high`. In a file of the platform, a number out of this range is replaced by the
    /// nearest one in it, and a missing number by the default.
    pub(super) fn bounded(
        &mut self,
        key: &str,
        expected: &str,
        (low, high): (f64, f64),
        parse: impl Fn(&str) -> Option<f64>,
    ) -> Option<f64> {
        let text = self.text(key)?;
        match parse(&text) {
            Some(number) if (low..=high).contains(&number) => Some(number),
            Some(number) if self.reader.is_of_platform => {
                self.warn(key, expected);
                Some(number.clamp(low, high))
            }
            None if self.reader.is_of_platform && value::lacks_number(&text) => {
                self.warn(key, expected);
                None
            }
            _ => {
                self.report_error(key, expected);
                None
            }
        }
    }

    /// `true` or `false`.
    pub(super) fn boolean(&mut self, key: &str, default: bool) -> bool {
        self.optional(key, value::EXPECTED_BOOLEAN, value::boolean)
            .unwrap_or(default)
    }

    /// A path; a relative one is resolved against the directory of the settings file.
    pub(super) fn path(&mut self, key: &str) -> Option<PathBuf> {
        let folder = self.base_folder();
        let parse = |text: &str| (!text.is_empty()).then(|| folder.join(text));
        self.optional(key, "a path", parse)
    }

    /// The address to advertise instead of `bound`. It is required if `bound` is an unspecified IP
    /// address.
    pub(super) fn advertised_address(
        &mut self,
        key: &str,
        bound: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let expected = "IP:PORT that others can connect to";
        let reachable = |a: &SocketAddr| a.port() != 0 && !a.ip().is_unspecified();
        if self.text(key).is_none() && bound.is_some_and(|bound| bound.ip().is_unspecified()) {
            self.report_error(key, expected);
        }
        self.optional(key, expected, |text| value::address(text).filter(reachable))
    }

    /// The secret in the file that `key` names.
    pub(super) fn secret(&mut self, key: &str) -> Option<Secret> {
        let folder = self.base_folder();
        let parse = |text: &str| (!text.is_empty()).then(|| folder.join(text));
        let path = self.required(key, "path of a secret's file", parse)?;
        match Secret::read(&path) {
            Ok(secret) => Some(secret),
            Err(expected) => {
                self.report_error(key, &expected);
                None
            }
        }
    }

    /// Reports listeners whose addresses cannot be bound at the same time.
    pub(super) fn check_address_conflicts(&mut self, listeners: &[(&str, Option<SocketAddr>)]) {
        for (index, (key, address)) in listeners.iter().enumerate() {
            let earlier = &listeners[..index];
            let other = earlier
                .iter()
                .find(|(_, other)| addresses_conflict(*address, *other));
            if let Some((other, _)) = other {
                self.report_error(
                    key,
                    &format_compact!("an address that {other} does not use"),
                );
            }
        }
    }

    /// Reports that the value of `key` is invalid or missing.
    pub(super) fn report_error(&mut self, key: &str, expected: &str) {
        let error = self.validation_error(key, expected);
        self.reader.errors.push(error);
    }

    /// Reports that the value of `key` is replaced by a similar one.
    pub(super) fn warn(&mut self, key: &str, expected: &str) {
        let warning = self.validation_error(key, expected);
        self.reader.warnings.push(warning);
    }

    fn validation_error(&self, key: &str, expected: &str) -> ValidationError {
        let value = self.reader.values.get(self.name).and_then(|s| s.get(key));
        let header = self.reader.section_lines.get(self.name).copied();
        ValidationError {
            file: self.reader.file.clone(),
            line: value.map_or(header.unwrap_or(1), |value| value.line),
            section: self.name.into(),
            key: Some(key.into()),
            given: value.map(|value| value.text.clone()),
            expected: expected.into(),
        }
    }

    fn text(&mut self, key: &str) -> Option<CompactString> {
        let known = self.reader.requested.entry(self.name.into()).or_default();
        known.insert(key.into());
        let value = self.reader.values.get(self.name)?.get(key)?;
        Some(value.text.clone())
    }

    fn base_folder(&self) -> PathBuf {
        self.reader
            .file
            .parent()
            .unwrap_or(Path::new(""))
            .to_owned()
    }
}

/// Whether two listeners cannot be bound at the same time.
pub(super) fn addresses_conflict(a: Option<SocketAddr>, b: Option<SocketAddr>) -> bool {
    let (Some(a), Some(b)) = (a, b) else {
        return false;
    };
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any || a.ip() == b.ip())
}

fn join<'a>(names: impl IntoIterator<Item = &'a (impl Display + 'a)>) -> String {
    let names: Vec<_> = names.into_iter().map(ToString::to_string).collect();
    names.join(", ")
}
