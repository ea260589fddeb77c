//! Typed reading of one section's values. Faults are recorded and reading goes on, so that all are reported at once.

use std::{net::SocketAddr, str::FromStr};

use jm_types::{ByteSize, DurationMs, ResultCode, TokenCount};

use crate::{
    error::Faults,
    scan::{RawSection, RawValue},
};

pub(crate) const ADDRESS: &str = "an IP address and port such as 10.0.0.1:7000";
pub(crate) const ID: &str = "an id of 1 to 128 characters out of a-z, A-Z, 0-9, '-', '_', '.' and ':'";

/// A number with a unit that has a range.
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

/// Reads the values of one section.
pub(crate) struct SectionReader<'a> {
    section: &'a RawSection,
    faults: &'a mut Faults,
    known: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a RawSection, faults: &'a mut Faults) -> Self {
        Self {
            section,
            faults,
            known: Vec::new(),
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a RawValue> {
        self.known.push(key);
        self.section.values.get(key)
    }

    /// The line of the key, or of the section header when the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.section
            .values
            .get(key)
            .map_or(self.section.line, |value| value.line)
    }

    /// Records a fault at the line of `key`.
    pub(crate) fn refuse(&mut self, key: &str, code: ResultCode, message: String, allowed: &str) {
        let line = self.line_of(key);
        self.faults.add(line, code, message, allowed);
    }

    fn missing(&mut self, key: &'static str, allowed: &str) {
        let message = format!("section {:?} needs {key:?}", self.section.name);
        self.refuse(key, ResultCode::MissingSetting, message, allowed);
    }

    /// Reads with `parse`; the message repeats the value only when `shown`, because some values are secrets.
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
                format!("{key:?} cannot be {:?}", value.text)
            } else {
                format!("the value of {key:?} cannot be read")
            };
            self.faults
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

    /// One of a few words.
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

    /// A number between `min` and `max`.
    pub(crate) fn bounded<T: Bounded>(&mut self, key: &'static str, min: u64, max: u64) -> Option<T> {
        let allowed = range_text::<T>(min, max);
        let value: T = self.optional(key, &allowed)?;
        if (min..=max).contains(&value.number()) {
            return Some(value);
        }
        let message = format!("{key:?} is {value}");
        self.refuse(key, ResultCode::OutOfRange, message, &allowed);
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

    /// An address that others connect to, so it must name a host and a port.
    pub(crate) fn reachable_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let address: SocketAddr = self.optional(key, ADDRESS)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            let message = format!("{key:?} is {address}, which nobody can connect to");
            self.refuse(key, ResultCode::OutOfRange, message, ADDRESS);
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

    /// A comma-separated list without empty items or repeats.
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

    /// Refuses `key` when it stands without `other`.
    pub(crate) fn require_with(&mut self, key: &'static str, other: &'static str) {
        if !self.is_absent(key) && self.is_absent(other) {
            let message = format!("section {:?} has {key:?} without {other:?}", self.section.name);
            self.refuse(key, ResultCode::MissingSetting, message, "both keys or neither");
        }
    }

    /// Refuses keys that were not asked for.
    pub(crate) fn finish(self) {
        let allowed = self.known.join(", ");
        for (key, value) in &self.section.values {
            if !self.known.contains(&key.as_str()) {
                let message = format!("section {:?} has no key {key:?}", self.section.name);
                self.faults
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
