//! The fields of one line, read in order.

use super::{MessageKind, OrderError, WireError};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::str::FromStr;
use std::sync::Arc;
use wingfold_director::interface::{ClassId, HostId, HostLoad, ProxyId, ZoneId};
use wingfold_settings::ReportNames;

/// Separates the fields of a line.
const FIELD_SEPARATOR: char = '\t';

/// Separates the values of a load report.
const LOAD_SEPARATOR: char = ',';

/// Represents an absent value.
const ABSENT: &str = "-";

/// The largest number of characters of the input that an error quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// The fields of one line, read in order.
pub struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits the message's name off a line.
    pub fn new(line: &'a str) -> Self {
        match line.split_once(FIELD_SEPARATOR) {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }

    /// The message's name.
    pub(super) fn message(&self) -> &'a str {
        self.message
    }

    /// The kind of the message.
    pub fn kind(&self) -> MessageKind {
        MessageKind::of(self.message)
    }

    /// Whether all fields have been read.
    pub(super) fn is_at_end(&self) -> bool {
        self.rest.is_none()
    }

    /// Checks that all fields have been read.
    pub fn end(&self) -> Result<(), WireError> {
        if self.is_at_end() {
            Ok(())
        } else {
            Err(WireError::ExcessFields { message: self.message.to_string() })
        }
    }

    /// An error about this message as a whole.
    pub fn unexpected(&self, problem: OrderError) -> WireError {
        WireError::UnexpectedMessage { message: quoted(self.message), problem }
    }

    /// An error about a field of this message.
    pub(super) fn invalid(&self, field: &'static str, value: &str) -> WireError {
        WireError::InvalidField { message: self.message.to_string(), field, value: quoted(value) }
    }

    fn missing(&self, field: &'static str) -> WireError {
        WireError::MissingField { message: self.message.to_string(), field }
    }

    /// The next field as text.
    pub(super) fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let rest = self.rest.ok_or_else(|| self.missing(field))?;
        let (value, rest) = match rest.split_once(FIELD_SEPARATOR) {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(value)
    }

    /// The rest of the line as one field, including any separators.
    pub(super) fn rest_of_line(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.rest.take().ok_or_else(|| self.missing(field))
    }

    /// The next field, parsed.
    pub(super) fn value<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid(field, text))
    }

    /// The next field, parsed; `None` if its value is absent.
    pub(super) fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, WireError> {
        let text = self.text(field)?;
        if text == ABSENT {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| self.invalid(field, text))
    }

    /// The next field as a finite number.
    pub(super) fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value: f64 = self.value(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(field, &value.to_string()))
        }
    }

    /// The next field as a boolean, which is written as `1` or `0`.
    pub(super) fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.invalid(field, other)),
        }
    }

    /// The next field as bytes, which are written in Base64.
    pub(super) fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, WireError> {
        match self.text(field)? {
            ABSENT => Ok(Vec::new()),
            text => STANDARD.decode(text).map_err(|_| self.invalid(field, text)),
        }
    }

    /// The next field as a name, which must not be empty.
    fn name(&mut self, field: &'static str) -> Result<Arc<str>, WireError> {
        match self.text(field)? {
            "" => Err(self.invalid(field, "")),
            text => Ok(Arc::from(text)),
        }
    }

    /// The next field as a host.
    pub(super) fn host(&mut self) -> Result<HostId, WireError> {
        self.name("host").map(HostId)
    }

    /// The next field as a zone.
    pub(super) fn zone(&mut self) -> Result<ZoneId, WireError> {
        self.name("rack_zone").map(ZoneId)
    }

    /// The next field as a proxy.
    pub(super) fn proxy(&mut self) -> Result<ProxyId, WireError> {
        self.value("edge").map(ProxyId)
    }

    /// The next field as the number of a shard.
    pub(super) fn shard(&mut self) -> Result<u32, WireError> {
        self.value("set_id")
    }

    /// The next field as a class, which is written by its name in the settings.
    pub(super) fn class(&mut self, names: &ReportNames) -> Result<ClassId, WireError> {
        let field = "profile";
        let text = self.text(field)?;
        let position = names.classes.iter().position(|name| name == text);
        position.map(ClassId).ok_or_else(|| self.invalid(field, text))
    }

    /// The next field as a host's load report. The settings give the names of its values by position; further
    /// values must be numbers and are ignored.
    pub(super) fn load(&mut self, names: &ReportNames) -> Result<HostLoad, WireError> {
        let field = "pressure";
        let text = self.text(field)?;
        let mut load = HostLoad::default();
        if text == ABSENT || text.is_empty() {
            return Ok(load);
        }
        for (position, part) in text.split(LOAD_SEPARATOR).enumerate() {
            let value = match part {
                ABSENT => None,
                _ => Some(part.parse::<f64>().map_err(|_| self.invalid(field, text))?),
            };
            if let Some(name) = names.load_fields.get(position) {
                wingfold_settings::set_load_field(&mut load, name, value);
            }
        }
        Ok(load)
    }
}

/// The beginning of a text, for an error that quotes it.
fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
