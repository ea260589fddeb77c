//! Typed parsing of the values of one section. Parsing continues after an error, so that all errors are reported
//! together.

use std::{net::SocketAddr, str::FromStr};

use jm_types::{ByteSize, DurationMs, ResultCode, TokenCount};

use crate::{
    error::ErrorCollector,
    scan::{RawSection, RawValue},
};

pub(crate) const ADDRESS: &str = "an IP address and port such as 10.0.0.1:7000";
pub(crate) const ID: &str = "an id of 1 to 128 characters out of a-z, A-Z, 0-9, '-', '_', '.' and ':'";

/// A number, usually with a unit, whose range is checked.
pub(crate) trait Bounded: FromStr + Copy + std::fmt::Display {
    const UNITS: &'static str;
    fn from_number(number: u64) -> Self;
    fn number(self) -> u64;
}

macro_rules! bounded {
    ($($name:ident $units:literal),+ $(,)?) => {$(
        impl Bounded for $name {
            const UNITS: &'static str = $units;

            fn from_number(number: u64) -> Self {
                Self::new(number)
            }

            fn number(self) -> u64 {
                self.get()
            }
        }
    )+};
}

bounded!(
    DurationMs " with a unit out of ms, s, m, h, d",
    ByteSize " with a unit out of B, KB, MB, GB",
    TokenCount " (a whole number of tokens)",
);

impl Bounded for u64 {
    const UNITS: &'static str = " (a whole number)";

    fn from_number(number: u64) -> Self {
        number
    }

    fn number(self) -> u64 {
        self
    }
}

/// Parses the values of one section and records errors and unknown keys.
pub(crate) struct SectionReader<'a> {
    section: &'a RawSection,
    errors: &'a mut ErrorCollector,
    known_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a RawSection, errors: &'a mut ErrorCollector) -> Self {
        Self {
            section,
            errors,
            known_keys: Vec::new(),
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a RawValue> {
        self.known_keys.push(key);
        self.section.values.get(key)
    }

    /// The line number of the key, or of the section header when the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.section
            .values
            .get(key)
            .map_or(self.section.line, |value| value.line)
    }

    /// Records an error at the line of `key`.
    pub(crate) fn add_error(&mut self, key: &str, code: ResultCode, message: String, allowed: &str) {
        let line = self.line_of(key);
        self.errors.add(line, code, message, allowed);
    }

    fn missing(&mut self, key: &'static str, allowed: &str) {
        let message = format!("section {:?} lacks the required key {key:?}", self.section.name);
        self.add_error(key, ResultCode::MissingSetting, message, allowed);
    }

    /// Reads a value with `parse`. The error message contains the value only if `shown`, because some values are
    /// secrets.
    fn read<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        shown: bool,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(key)?;
        let parsed = (!value.text.is_empty()).then(|| parse(&value.text)).flatten();
        if parsed.is_none() {
            let message = if shown {
                format!("invalid value {:?} for key {key:?}", value.text)
            } else {
                format!("invalid value for key {key:?}")
            };
            self.errors
                .add(value.line, ResultCode::BadValue, message, allowed);
        }
        parsed
    }

    fn is_absent(&self, key: &str) -> bool {
        !self.section.values.contains_key(key)
    }

    pub(crate) fn optional<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        self.read(key, allowed, true, |text| text.parse().ok())
    }

    pub(crate) fn required<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        if self.is_absent(key) {
            self.missing(key, allowed);
        }
        self.optional(key, allowed)
    }

    /// Like [`Self::optional`] for values that must not appear in messages.
    pub(crate) fn optional_secret<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        self.read(key, allowed, false, |text| text.parse().ok())
    }

    /// Like [`Self::required`] for values that must not appear in messages.
    pub(crate) fn required_secret<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        if self.is_absent(key) {
            self.missing(key, allowed);
        }
        self.optional_secret(key, allowed)
    }

    /// Reads one of a fixed set of words.
    pub(crate) fn word<T: Copy>(&mut self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        let allowed = words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        self.read(key, &allowed, true, |text| {
            words
                .iter()
                .find(|(word, _)| *word == text)
                .map(|(_, value)| *value)
        })
    }

    pub(crate) fn required_word<T: Copy>(&mut self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        if self.is_absent(key) {
            let allowed = words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
            self.missing(key, &allowed);
        }
        self.word(key, words)
    }

    pub(crate) fn yes_no(&mut self, key: &'static str) -> Option<bool> {
        self.word(key, &[("yes", true), ("no", false)])
    }

    pub(crate) fn required_yes_no(&mut self, key: &'static str) -> Option<bool> {
        self.required_word(key, &[("yes", true), ("no", false)])
    }

    /// Reads a number between `min` and `max`, inclusive.
    pub(crate) fn bounded<T: Bounded>(&mut self, key: &'static str, min: u64, max: u64) -> Option<T> {
        let allowed = range_text::<T>(min, max);
        let value: T = self.optional(key, &allowed)?;
        if (min..=max).contains(&value.number()) {
            return Some(value);
        }
        let message = format!("{key:?} is {value}, which is out of range");
        self.add_error(key, ResultCode::OutOfRange, message, &allowed);
        None
    }

    pub(crate) fn required_bounded<T: Bounded>(
        &mut self,
        key: &'static str,
        min: u64,
        max: u64,
    ) -> Option<T> {
        if self.is_absent(key) {
            self.missing(key, &range_text::<T>(min, max));
        }
        self.bounded(key, min, max)
    }

    /// Reads an address that other processes connect to. An unspecified IP address and port 0 are refused.
    pub(crate) fn reachable_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let address: SocketAddr = self.optional(key, ADDRESS)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            let message = format!("{key:?} is {address}, which has an unspecified IP address or port 0");
            self.add_error(key, ResultCode::OutOfRange, message, ADDRESS);
            return None;
        }
        Some(address)
    }

    pub(crate) fn required_reachable_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        if self.is_absent(key) {
            self.missing(key, ADDRESS);
        }
        self.reachable_address(key)
    }

    /// Reads a comma-separated list without empty or duplicate items.
    pub(crate) fn list<T: FromStr + PartialEq>(
        &mut self,
        key: &'static str,
        allowed: &str,
    ) -> Option<Vec<T>> {
        self.read(key, allowed, true, parse_list)
    }

    pub(crate) fn required_list<T: FromStr + PartialEq>(
        &mut self,
        key: &'static str,
        allowed: &str,
    ) -> Option<Vec<T>> {
        if self.is_absent(key) {
            self.missing(key, allowed);
        }
        self.list(key, allowed)
    }

    /// Records an error if `key` is present without `other`.
    pub(crate) fn require_with(&mut self, key: &'static str, other: &'static str) {
        if !self.is_absent(key) && self.is_absent(other) {
            let message = format!("section {:?} has {key:?} without {other:?}", self.section.name);
            self.add_error(key, ResultCode::MissingSetting, message, "both keys or neither");
        }
    }

    /// Records an error for each key that was not read.
    pub(crate) fn finish(self) {
        let allowed = self.known_keys.join(", ");
        for (key, value) in &self.section.values {
            if !self.known_keys.contains(&key.as_str()) {
                let message = format!("unknown key {key:?} in section {:?}", self.section.name);
                self.errors
                    .add(value.line, ResultCode::UnknownSetting, message, allowed.clone());
            }
        }
    }
}

fn range_text<T: Bounded>(min: u64, max: u64) -> String {
    format!("{} to {}{}", T::from_number(min), T::from_number(max), T::UNITS)
}

pub(crate) fn parse_list<T: FromStr + PartialEq>(text: &str) -> Option<Vec<T>> {
    let mut items: Vec<T> = Vec::new();
    for word in text.split(',') {
        let item = word.trim().parse().ok()?;
        if items.contains(&item) {
            return None;
        }
        items.push(item);
    }
    Some(items)
}
