//! Conditional writes, and finding out the outcome of writes whose answer was lost.

use std::future::Future;

use serde_json::Value;
use valvestage_core::ids::ObjectVersion;
use valvestage_core::{Configuration, RawConfiguration};
use valvestage_platform::objects::{from_json, to_json};
use valvestage_platform::{PlatformClient, PlatformError};
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformReply};

use crate::errors::ApiError;

/// Largest number of attempts, each a write and a read, before the outcome counts as unknown.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// The configuration that the platform stores.
#[derive(Debug, Clone)]
pub struct StoredConfiguration {
    /// The configuration as stored.
    pub raw: RawConfiguration,
    /// The same configuration, validated and with its version.
    pub checked: Configuration,
}

/// Reads the current configuration; `None` if none has been written yet.
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

/// Writes a configuration, on condition that the stored version is still `base`.
///
/// If the answer to a write is lost, the change id in the stored value shows whether the write took
/// effect. It is repeated only under the same condition.
pub async fn write_configuration(
    platform: &PlatformClient,
    base: Option<ObjectVersion>,
    raw: &RawConfiguration,
) -> Result<ObjectVersion, ApiError> {
    let value = to_json(&ObjectValue::Configuration(raw.clone()))?;
    let key = ObjectKey::Configuration.path();
    let resolve = || find_change(platform, base, &raw.change_id);

    write_and_resolve(platform, &key, base, &value, &raw.change_id, resolve).await
}

/// Outcome of a write, as far as the stored value shows it.
pub enum WriteOutcome {
    /// The write took effect, and the value has this version.
    Accepted(ObjectVersion),
    /// The write has not taken effect so far.
    NotApplied,
}

/// Writes a value and returns its version, even if answers are lost: after each write that the
/// platform has not confirmed, `resolve` reads the outcome from the platform.
pub async fn write_and_resolve<F>(
    platform: &PlatformClient,
    key: &str,
    base: Option<ObjectVersion>,
    value: &Value,
    change_id: &str,
    resolve: impl Fn() -> F,
) -> Result<ObjectVersion, ApiError>
where
    F: Future<Output = Result<WriteOutcome, ApiError>>,
{
    let mut last_error: Option<PlatformError> = None;

    for _ in 0..MAX_WRITE_ATTEMPTS {
        match platform.write_json(key, base, value).await {
            Ok(PlatformReply::Written { version }) => return Ok(version),
            // The conflicting write may be an earlier attempt whose answer was lost.
            Ok(_) => {}
            Err(error) => last_error = Some(error),
        }

        match resolve().await {
            Ok(WriteOutcome::Accepted(version)) => return Ok(version),
            Ok(WriteOutcome::NotApplied) => {}
            Err(ApiError::Platform(error)) => last_error = Some(error),
            Err(error) => return Err(error),
        }
    }

    if let Some(error) = last_error {
        log::warn!(change = change_id; "{error}");
    }
    Err(ApiError::OutcomeUnknown { change_id: change_id.to_owned() })
}

async fn find_change(
    platform: &PlatformClient,
    base: Option<ObjectVersion>,
    change_id: &str,
) -> Result<WriteOutcome, ApiError> {
    match read_configuration(platform).await? {
        Some(found) if found.raw.change_id == change_id => {
            Ok(WriteOutcome::Accepted(found.checked.version))
        }
        Some(found) if Some(found.checked.version) != base => Err(ApiError::VersionConflict {
            base: base.unwrap_or(0),
            version: found.checked.version,
            winner: found.raw.change_id,
        }),
        _ => Ok(WriteOutcome::NotApplied),
    }
}
