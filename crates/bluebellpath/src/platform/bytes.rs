//! Serialization of row values: base64 in human-readable formats, bytes in others.
//!
//! A JSON list of numbers would take up to four times the size of the value.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

pub(super) fn serialize<S: Serializer>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(value))
    } else {
        value.serialize(serializer)
    }
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    if deserializer.is_human_readable() {
        let text = String::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)
    } else {
        Vec::deserialize(deserializer)
    }
}

/// The same for values that may be missing.
pub(super) mod option {
    use super::*;

    #[derive(Serialize, Deserialize)]
    struct Value(#[serde(with = "super")] Vec<u8>);

    pub(in crate::platform) fn serialize<S: Serializer>(
        value: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        value.clone().map(Value).serialize(serializer)
    }

    pub(in crate::platform) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let value: Option<Value> = Option::deserialize(deserializer)?;
        Ok(value.map(|it| it.0))
    }
}
