//! Line scan of an INI text. `rust-ini` reads the values; the scan adds what it does not tell: line numbers, repeated
//! sections and keys, and lines that it would join to the key on the next line.

use indexmap::{IndexMap, map::Entry};
use ini::{Ini, ParseOption};
use jm_types::ResultCode;

use crate::error::Faults;

const LINE_FORMS: &str =
    "`[section]`, `key = value`, a comment that starts with # or ; in the first column, or an empty line";

/// A value and the line that it stands on.
#[derive(Debug, Clone)]
pub(crate) struct RawValue {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// A section as it stands in the text.
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
                Line::Header(joined_words(name))
            }
            _ => Line::Malformed,
        };
    }
    match trimmed.split_once(['=', ':']) {
        Some((key, value)) if !key.trim().is_empty() => Line::Pair(key.trim(), value.trim()),
        _ => Line::Malformed,
    }
}

/// Section names are compared with single spaces between their words.
fn joined_words(name: &str) -> String {
    name.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Reads the sections of `text` and records every fault in its form.
pub(crate) fn scan(text: &str, faults: &mut Faults) -> Vec<RawSection> {
    let mut scanner = Scanner {
        faults,
        sections: Vec::new(),
        readable: String::with_capacity(text.len()),
    };
    for (index, line) in text.lines().enumerate() {
        scanner.line(index + 1, line);
    }
    let Scanner {
        faults,
        sections,
        readable,
    } = scanner;
    compare_with_library(&sections, &readable, faults);
    without_repeats(sections, faults)
}

struct ScannedSection {
    name: String,
    line: usize,
    pairs: Vec<(String, RawValue)>,
}

struct Scanner<'a> {
    faults: &'a mut Faults,
    sections: Vec<ScannedSection>,
    /// The text with malformed lines left out, so that the library sees the rest as it is.
    readable: String,
}

impl Scanner<'_> {
    fn line(&mut self, number: usize, line: &str) {
        match classify(line) {
            Line::Blank => {}
            Line::Malformed => {
                self.faults.add(
                    number,
                    ResultCode::MalformedIni,
                    "the line cannot be read",
                    LINE_FORMS,
                );
            }
            Line::Header(name) => {
                self.readable.push_str(line);
                self.sections.push(ScannedSection {
                    name,
                    line: number,
                    pairs: Vec::new(),
                });
            }
            Line::Pair(key, value) => self.pair(number, line, key, value),
        }
        self.readable.push('\n');
    }

    fn pair(&mut self, number: usize, line: &str, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            let message = format!("{key:?} stands before the first section");
            self.faults
                .add(number, ResultCode::MalformedIni, message, LINE_FORMS);
            return;
        };
        self.readable.push_str(line);
        let value = RawValue {
            text: value.to_owned(),
            line: number,
        };
        section.pairs.push((key.to_owned(), value));
    }
}

/// Replaces the scanned values by those of the library, and refuses a text on which the two disagree.
fn compare_with_library(sections: &[ScannedSection], readable: &str, faults: &mut Faults) {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(readable, options) {
        Ok(ini) => ini,
        Err(error) => {
            faults.add(
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
            let message = format!("section {:?} can be read in two ways", section.name);
            faults.add(section.line, ResultCode::MalformedIni, message, LINE_FORMS);
        }
    }
}

fn without_repeats(sections: Vec<ScannedSection>, faults: &mut Faults) -> Vec<RawSection> {
    let mut unique: IndexMap<String, RawSection> = IndexMap::new();
    for section in sections {
        let values = unique_values(section.pairs, faults);
        match unique.entry(section.name.clone()) {
            Entry::Occupied(first) => {
                let message = format!(
                    "section {:?} stands on line {} already",
                    section.name,
                    first.get().line
                );
                faults.add(section.line, ResultCode::Duplicate, message, "each section once");
            }
            Entry::Vacant(place) => {
                place.insert(RawSection {
                    name: section.name,
                    line: section.line,
                    values,
                });
            }
        }
    }
    unique.into_values().collect()
}

fn unique_values(pairs: Vec<(String, RawValue)>, faults: &mut Faults) -> IndexMap<String, RawValue> {
    let mut values: IndexMap<String, RawValue> = IndexMap::new();
    for (key, value) in pairs {
        match values.entry(key) {
            Entry::Occupied(first) => {
                let message = format!("{:?} stands on line {} already", first.key(), first.get().line);
                faults.add(
                    value.line,
                    ResultCode::Duplicate,
                    message,
                    "each key once in a section",
                );
            }
            Entry::Vacant(place) => {
                place.insert(value);
            }
        }
    }
    values
}
