//! Creation and rotation of the keys of flow tokens.

use valvestage_core::ids::TokenKeyId;
use valvestage_platform::PlatformClient;
use valvestage_platform::objects::{from_json, to_json};
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformReply};
use valvestage_policy::flows::RawTokenKeys;
use valvestage_wire::operators::ConfirmResult;

use crate::errors::ApiError;

/// Number of keys that are accepted at the same time; a rotation drops older ones.
const MAX_KEYS: usize = 3;

/// Creates the first keys, unless keys exist already.
pub(super) async fn ensure_keys(platform: &PlatformClient) -> Result<(), ApiError> {
    let raw = RawTokenKeys {
        flow_hash: (random_u64()?, random_u64()?),
        current: 1,
        keys: vec![(1, random_u64()?, random_u64()?)],
    };
    let value = to_json(&ObjectValue::TokenKeys(raw))?;

    // A conflict means that keys exist; they stay unchanged.
    platform.write_json(&ObjectKey::TokenKeys.path(), None, &value).await?;
    Ok(())
}

/// Adds a key that signs all new tokens from now on, and drops the oldest keys.
pub(super) async fn rotate(platform: &PlatformClient) -> Result<ConfirmResult, ApiError> {
    let key = ObjectKey::TokenKeys;
    let missing =
        || ApiError::Missing { what: "the token keys".into(), remedy: "Run `valvectl bootstrap`." };

    let stored = platform.read_json(&key.path()).await?.ok_or_else(missing)?;
    let ObjectValue::TokenKeys(mut raw) = from_json(key, stored.value)? else {
        return Err(missing());
    };

    let next: TokenKeyId = raw.current.wrapping_add(1);
    raw.keys.retain(|(id, ..)| *id != next);
    raw.keys.push((next, random_u64()?, random_u64()?));
    let surplus = raw.keys.len().saturating_sub(MAX_KEYS);
    raw.keys.drain(..surplus);
    raw.current = next;

    let value = to_json(&ObjectValue::TokenKeys(raw))?;
    let change_id = format!("token-key-{next}");
    match platform.write_json(&key.path(), Some(stored.version), &value).await? {
        PlatformReply::Written { version } => Ok(ConfirmResult { change_id, version }),
        _ => Err(ApiError::VersionConflict {
            base: stored.version,
            version: 0,
            winner: "another rotation".into(),
        }),
    }
}

fn random_u64() -> Result<u64, ApiError> {
    getrandom::u64().map_err(|error| ApiError::BadQuery(format!("no random numbers: {error}")))
}
