//! Line scanner for INI text. `rust-ini` parses the values. The scanner adds what `rust-ini` does not report: line
//! numbers, duplicate sections and keys, and malformed lines that `rust-ini` would join to the key on the next line.

use indexmap::{IndexMap, map::Entry};
use ini::{Ini, ParseOption};
use jm_types::ResultCode;

use crate::error::ErrorCollector;

const LINE_FORMS: &str =
    "`[section]`, `key = value`, a comment that starts with # or ; in the first column, or an empty line";

/// A value and its line number.
#[derive(Debug, Clone)]
pub(crate) struct RawValue {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// A section of the text, before its values are parsed.
#[derive(Debug, Clone)]
pub(crate) struct RawSection {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) values: IndexMap<String, RawValue>,
}

enum Line<'a> {
    Blank,
    Header(String),
    Pair(&'a str, &'a str),
    Malformed,
}

fn classify(line: &str) -> Line<'_> {
    let trimmed = line.trim();
    if trimmed.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    if trimmed.chars().any(|c| c.is_control() && c != '\t') || trimmed.starts_with(['#', ';']) {
        return Line::Malformed;
    }
    if let Some(rest) = trimmed.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(name) if !name.trim().is_empty() && !name.contains(['[', ']']) => {
                Line::Header(collapse_spaces(name))
            }
            _ => Line::Malformed,
        };
    }
    match trimmed.split_once(['=', ':']) {
        Some((key, value)) if !key.trim().is_empty() => Line::Pair(key.trim(), value.trim()),
        _ => Line::Malformed,
    }
}

/// Collapses runs of white space in a section name, so that names compare equal regardless of spacing.
fn collapse_spaces(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Splits `text` into sections and records every syntax error.
pub(crate) fn scan(text: &str, errors: &mut ErrorCollector) -> Vec<RawSection> {
    let mut scanner = Scanner {
        errors,
        sections: Vec::new(),
        well_formed: String::with_capacity(text.len()),
    };
    for (index, line) in text.lines().enumerate() {
        scanner.line(index + 1, line);
    }
    let Scanner {
        errors,
        sections,
        well_formed,
    } = scanner;
    compare_with_parser(&sections, &well_formed, errors);
    reject_duplicates(sections, errors)
}

struct ScannedSection {
    name: String,
    line: usize,
    pairs: Vec<(String, RawValue)>,
}

struct Scanner<'a> {
    errors: &'a mut ErrorCollector,
    sections: Vec<ScannedSection>,
    /// The text with malformed lines blanked, so that `rust-ini` parses the remaining lines unchanged.
    well_formed: String,
}

impl Scanner<'_> {
    fn line(&mut self, number: usize, line: &str) {
        match classify(line) {
            Line::Blank => {}
            Line::Malformed => {
                self.errors
                    .add(number, ResultCode::MalformedIni, "malformed line", LINE_FORMS);
            }
            Line::Header(name) => {
                self.well_formed.push_str(line);
                self.sections.push(ScannedSection {
                    name,
                    line: number,
                    pairs: Vec::new(),
                });
            }
            Line::Pair(key, value) => self.pair(number, line, key, value),
        }
        self.well_formed.push('\n');
    }

    fn pair(&mut self, number: usize, line: &str, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            let message = format!("key {key:?} appears before the first section");
            self.errors
                .add(number, ResultCode::MalformedIni, message, LINE_FORMS);
            return;
        };
        self.well_formed.push_str(line);
        let value = RawValue {
            text: value.to_owned(),
            line: number,
        };
        section.pairs.push((key.to_owned(), value));
    }
}

/// Parses the text with `rust-ini` and records an error for each section on which it and the scanner disagree.
fn compare_with_parser(sections: &[ScannedSection], well_formed: &str, errors: &mut ErrorCollector) {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(well_formed, options) {
        Ok(ini) => ini,
        Err(error) => {
            errors.add(
                error.line,
                ResultCode::MalformedIni,
                error.msg.to_string(),
                LINE_FORMS,
            );
            return;
        }
    };
    let mut read = ini.iter().filter(|(name, _)| name.is_some());
    for section in sections {
        let properties = read.next().map(|(_, properties)| properties);
        let same = properties.is_some_and(|properties| {
            let pairs = section
                .pairs
                .iter()
                .map(|(key, value)| (key.as_str(), value.text.as_str()));
            pairs.eq(properties.iter())
        });
        if !same {
            let message = format!(
                "section {:?} is ambiguous: the INI parser and the line scanner read different keys or values",
                section.name
            );
            errors.add(section.line, ResultCode::MalformedIni, message, LINE_FORMS);
        }
    }
}

fn reject_duplicates(sections: Vec<ScannedSection>, errors: &mut ErrorCollector) -> Vec<RawSection> {
    let mut unique: IndexMap<String, RawSection> = IndexMap::new();
    for section in sections {
        let values = unique_values(section.pairs, errors);
        match unique.entry(section.name.clone()) {
            Entry::Occupied(first) => {
                let message = format!(
                    "section {:?} is already defined on line {}",
                    section.name,
                    first.get().line
                );
                errors.add(section.line, ResultCode::Duplicate, message, "each section once");
            }
            Entry::Vacant(vacant) => {
                vacant.insert(RawSection {
                    name: section.name,
                    line: section.line,
                    values,
                });
            }
        }
    }
    unique.into_values().collect()
}

fn unique_values(pairs: Vec<(String, RawValue)>, errors: &mut ErrorCollector) -> IndexMap<String, RawValue> {
    let mut values: IndexMap<String, RawValue> = IndexMap::new();
    for (key, value) in pairs {
        match values.entry(key) {
            Entry::Occupied(first) => {
                let message = format!(
                    "key {:?} is already defined on line {}",
                    first.key(),
                    first.get().line
                );
                errors.add(
                    value.line,
                    ResultCode::Duplicate,
                    message,
                    "each key once in a section",
                );
            }
            Entry::Vacant(vacant) => {
                vacant.insert(value);
            }
        }
    }
    values
}
