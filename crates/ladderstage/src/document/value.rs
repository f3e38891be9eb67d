//! Conversion of TOML values, with descriptions of the allowed values.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::path::PathBuf;

use toml::de::{DeInteger, DeValue};

/// Maximum number of characters of a value that a finding shows.
const MAX_SHOWN_CHARACTERS: usize = 60;

/// A type that can be read from a single TOML value.
pub trait FromToml: Sized {
    /// Description of the allowed values, for findings.
    const ALLOWED: &'static str;

    /// Converts the value; `None` if it is not allowed.
    fn from_toml(value: &DeValue<'_>) -> Option<Self>;
}

impl FromToml for String {
    const ALLOWED: &'static str = "a string that is not empty";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        value
            .as_str()
            .filter(|text| !text.is_empty())
            .map(str::to_owned)
    }
}

impl FromToml for bool {
    const ALLOWED: &'static str = "true or false";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl FromToml for u64 {
    const ALLOWED: &'static str = "a whole number from 0 to 18446744073709551615";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        let integer: &DeInteger<'_> = value.as_integer()?;
        Self::from_str_radix(integer.as_str(), integer.radix()).ok()
    }
}

impl FromToml for u32 {
    const ALLOWED: &'static str = "a whole number from 0 to 4294967295";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        u64::from_toml(value)?.try_into().ok()
    }
}

impl FromToml for NonZeroU64 {
    const ALLOWED: &'static str = "a whole number from 1 to 18446744073709551615";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        Self::new(u64::from_toml(value)?)
    }
}

impl FromToml for SocketAddr {
    const ALLOWED: &'static str = "an IP number with a port, such as \"10.0.0.5:7400\"";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        value.as_str()?.parse().ok()
    }
}

impl FromToml for PathBuf {
    const ALLOWED: &'static str = "a path that is not empty";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        String::from_toml(value).map(Self::from)
    }
}

/// Returns a description of a value that was found.
pub(super) fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("string {:?}", shorten(text)),
        DeValue::Integer(integer) => format!("integer {}", shorten(integer.as_str())),
        DeValue::Float(float) => format!("float {}", shorten(float.as_str())),
        DeValue::Boolean(value) => format!("boolean {value}"),
        other => other.type_str().to_owned(),
    }
}

/// Returns the start of a text, with an ellipsis if it was cut.
pub(super) fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARACTERS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}
