//! Values of messages as the wire holds them, read without keeping what no message needs.
//!
//! Any field may hold any JSON value, and only the type of the message says which fields matter. So a value
//! is read leniently here, and checked once the type is known.

use super::{non_negative, InvalidReason};
use serde::de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::sync::Arc;
use wingfold_director::interface::HostLoad;

/// Limit on the bytes of a name. Names of hosts, zones and classes are far shorter; a longer one names
/// nothing that exists, and is not kept.
const MAX_NAME_BYTES: usize = 255;

/// The value of a field.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum WireValue {
    /// The field is missing, or is `null`.
    #[default]
    Missing,
    /// A number.
    Number(f64),
    /// A string of up to [`MAX_NAME_BYTES`].
    Text(Arc<str>),
    /// A longer string.
    LongText,
    /// An object, read as the load of a host, the only object that messages hold.
    Object(HostLoadReport),
    /// A boolean or an array.
    Other,
}

impl WireValue {
    /// The name that the value must be.
    pub fn name(&self) -> Result<Arc<str>, InvalidReason> {
        match self {
            WireValue::Text(text) => Ok(text.clone()),
            WireValue::LongText => Err(InvalidReason::Name),
            _ => Err(InvalidReason::Form),
        }
    }

    /// The number that the value must be.
    pub fn number(&self) -> Result<f64, InvalidReason> {
        match self {
            WireValue::Number(number) => Ok(*number),
            _ => Err(InvalidReason::Form),
        }
    }

    /// The number that the value must be if it is not missing.
    pub fn optional_number(&self) -> Result<Option<f64>, InvalidReason> {
        match self {
            WireValue::Missing => Ok(None),
            value => value.number().map(Some),
        }
    }

    /// The load of a host that the value must be if it is not missing.
    pub fn host_load(&self) -> Result<HostLoad, InvalidReason> {
        match self {
            WireValue::Missing => Ok(HostLoad::default()),
            WireValue::Object(report) => report.host_load(),
            _ => Err(InvalidReason::Form),
        }
    }
}

impl<'de> Deserialize<'de> for WireValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WireValueVisitor)
    }
}

struct WireValueVisitor;

impl<'de> Visitor<'de> for WireValueVisitor {
    type Value = WireValue;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E: Error>(self) -> Result<WireValue, E> {
        Ok(WireValue::Missing)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<WireValue, E> {
        Ok(WireValue::Other)
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<WireValue, E> {
        Ok(WireValue::Number(number as f64))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<WireValue, E> {
        Ok(WireValue::Number(number as f64))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<WireValue, E> {
        Ok(WireValue::Number(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<WireValue, E> {
        if text.len() > MAX_NAME_BYTES {
            return Ok(WireValue::LongText);
        }
        Ok(WireValue::Text(text.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<WireValue, A::Error> {
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(WireValue::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, members: A) -> Result<WireValue, A::Error> {
        HostLoadVisitor.visit_map(members).map(WireValue::Object)
    }
}

/// A host's report of its own load, with the field names of the wire. Fields that the decision module does
/// not use may hold any value, and are not kept.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLoadReport(Result<HostLoad, InvalidReason>);

impl HostLoadReport {
    /// The report as the type of the decision module. Fails if a field that this type uses is invalid.
    pub fn host_load(&self) -> Result<HostLoad, InvalidReason> {
        self.0
    }
}

impl<'de> Deserialize<'de> for HostLoadReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(HostLoadVisitor)
    }
}

struct HostLoadVisitor;

impl<'de> Visitor<'de> for HostLoadVisitor {
    type Value = HostLoadReport;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("the load of a host")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<HostLoadReport, A::Error> {
        let mut load = HostLoad::default();
        let mut problem = None;
        while let Some(name) = members.next_key::<String>()? {
            if !super::is_load_field(&name) {
                members.next_value::<IgnoredAny>()?;
                continue;
            }
            let number = members.next_value::<WireValue>()?.number();
            match number.and_then(non_negative) {
                Ok(number) => {
                    wingfold_settings::set_load_field(&mut load, &name, Some(number));
                }
                Err(reason) => problem = Some(reason),
            }
        }
        Ok(HostLoadReport(problem.map_or(Ok(load), Err)))
    }
}
