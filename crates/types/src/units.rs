//! Units of settings.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// A number of bytes that is written in megabytes.
#[derive(Clone, Copy, Debug)]
pub struct Megabytes;

impl<'de> DeserializeAs<'de, u64> for Megabytes {
    fn deserialize_as<Source>(source: Source) -> Result<u64, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        let megabytes = u64::deserialize(source)?;
        let bytes = megabytes.checked_mul(MEGABYTE).filter(|bytes| *bytes > 0);
        bytes.ok_or_else(|| Source::Error::custom("must be a positive number of megabytes"))
    }
}

impl SerializeAs<u64> for Megabytes {
    fn serialize_as<Target>(bytes: &u64, target: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        (bytes / MEGABYTE).serialize(target)
    }
}
