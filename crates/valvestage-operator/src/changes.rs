//! Conditional writes, and settling those whose answer was lost.

use std::future::Future;

use serde_json::Value;
use valvestage_core::ids::ObjectVersion;
use valvestage_core::{Configuration, RawConfiguration};
use valvestage_platform::objects::{from_json, to_json};
use valvestage_platform::{PlatformClient, PlatformError};
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformReply};

use crate::errors::ApiError;

/// Writes and reads until a change counts as unsettled.
const SETTLE_TRIES: u32 = 5;

/// `StoredConfiguration` is the configuration as the platform has it.
#[derive(Debug, Clone)]
pub struct StoredConfiguration {
    /// As stored.
    pub raw: RawConfiguration,
    /// Checked, under its version.
    pub checked: Configuration,
}

/// `read_configuration` reads the configuration in force; none before the first.
pub async fn read_configuration(
    platform: &PlatformClient,
) -> Result<Option<StoredConfiguration>, ApiError> {
    let Some(stored) = platform.read_json(&ObjectKey::Configuration.path()).await? else {
        return Ok(None);
    };
    let ObjectValue::Configuration(raw) = from_json(ObjectKey::Configuration, stored.value)? else {
        return Ok(None);
    };

    let checked = Configuration::try_from((stored.version, raw.clone()))?;
    Ok(Some(StoredConfiguration { raw, checked }))
}

/// `write_configuration` writes a configuration on the version that it starts from.
///
/// The change id in the value settles a write whose answer was lost: it is looked for, and only
/// written again under the same condition.
pub async fn write_configuration(
    platform: &PlatformClient,
    base: Option<ObjectVersion>,
    raw: &RawConfiguration,
) -> Result<ObjectVersion, ApiError> {
    let value = to_json(&ObjectValue::Configuration(raw.clone()))?;
    let key = ObjectKey::Configuration.path();
    let settle = || find_change(platform, base, &raw.change_id);

    write_settled(platform, &key, base, &value, &raw.change_id, settle).await
}

/// What became of a write.
pub enum Settled {
    /// It took effect.
    Accepted(ObjectVersion),
    /// It has not taken effect so far.
    Open,
}

/// `write_settled` writes a value and finds out what became of it, whatever answers are lost.
pub async fn write_settled<F>(
    platform: &PlatformClient,
    key: &str,
    base: Option<ObjectVersion>,
    value: &Value,
    change_id: &str,
    settle: impl Fn() -> F,
) -> Result<ObjectVersion, ApiError>
where
    F: Future<Output = Result<Settled, ApiError>>,
{
    let mut last: Option<PlatformError> = None;

    for _ in 0..SETTLE_TRIES {
        match platform.write_json(key, base, value).await {
            Ok(PlatformReply::Written { version }) => return Ok(version),
            // The write that conflicts may be this one, its answer lost.
            Ok(_) => {}
            Err(error) => last = Some(error),
        }

        match settle().await {
            Ok(Settled::Accepted(version)) => return Ok(version),
            Ok(Settled::Open) => {}
            Err(ApiError::Platform(error)) => last = Some(error),
            Err(error) => return Err(error),
        }
    }

    if let Some(error) = last {
        log::warn!(change = change_id; "{error}");
    }
    Err(ApiError::Unsettled { change_id: change_id.to_owned() })
}

async fn find_change(
    platform: &PlatformClient,
    base: Option<ObjectVersion>,
    change_id: &str,
) -> Result<Settled, ApiError> {
    match read_configuration(platform).await? {
        Some(found) if found.raw.change_id == change_id => {
            Ok(Settled::Accepted(found.checked.version))
        }
        Some(found) if Some(found.checked.version) != base => Err(ApiError::Raced {
            base: base.unwrap_or(0),
            version: found.checked.version,
            winner: found.raw.change_id,
        }),
        _ => Ok(Settled::Open),
    }
}
