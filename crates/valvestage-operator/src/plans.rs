//! Computes, stores and confirms plans.

use serde_json::Value;
use sha2::{Digest, Sha256};
use valvestage_core::ids::ObjectVersion;
use valvestage_platform::PlatformClient;
use valvestage_policy::operations::{Intent, Plan, create_plan};
use valvestage_wire::operators::ConfirmResult;

use crate::balancers::{BalancerClients, sum_demand, sum_flows};
use crate::changes::{StoredConfiguration, read_configuration, write_configuration};
use crate::errors::ApiError;

/// Number of digest bytes that form the id of a plan.
const PLAN_ID_BYTES: usize = 6;

fn no_configuration() -> ApiError {
    ApiError::Missing {
        what: "a configuration".to_owned(),
        remedy: "Make the first one: `valvectl bootstrap --deployment FILE`.",
    }
}

/// Computes the plan for an intent and stores it. The configuration does not change.
pub async fn make_plan(
    platform: &PlatformClient,
    balancers: &BalancerClients,
    intent: Intent,
) -> Result<Plan, ApiError> {
    let base = read_configuration(platform).await?.ok_or_else(no_configuration)?;
    let plan = plan_for_intent(balancers, &base, intent).await?;

    // The id is a digest of the base version and the intent, so that storing the plan twice is
    // harmless.
    let value = serde_json::to_value(&plan).unwrap_or(Value::Null);
    platform.write_json(&plan_key(&plan.id), None, &value).await?;
    Ok(plan)
}

async fn plan_for_intent(
    balancers: &BalancerClients,
    base: &StoredConfiguration,
    intent: Intent,
) -> Result<Plan, ApiError> {
    let reports = balancers.reports().await;
    let id = plan_id(base.checked.version, &intent);
    let demand = sum_demand(&base.checked, &reports);

    Ok(create_plan(id, &base.checked, &base.raw, intent, &demand, &sum_flows(&reports))?)
}

/// Carries out a plan, unless the configuration has changed since it was made or the plan would
/// violate a guarantee under the current load.
pub async fn confirm_plan(
    platform: &PlatformClient,
    balancers: &BalancerClients,
    id: &str,
) -> Result<ConfirmResult, ApiError> {
    let plan = read_plan(platform, id).await?;
    let base = read_configuration(platform).await?.ok_or_else(no_configuration)?;

    // If the plan has been confirmed before, return the same answer.
    if base.raw.change_id == plan.id {
        return Ok(ConfirmResult { change_id: plan.id, version: base.checked.version });
    }
    if base.checked.version != plan.base_version {
        return Err(ApiError::VersionConflict {
            base: plan.base_version,
            version: base.checked.version,
            winner: base.raw.change_id,
        });
    }

    // The load may have changed since the plan was made.
    let recomputed = plan_for_intent(balancers, &base, plan.intent).await?;
    if let Some(refusal) = recomputed.refusal {
        return Err(ApiError::Refused(refusal));
    }

    let version =
        write_configuration(platform, Some(plan.base_version), &recomputed.result).await?;
    log::info!(change = recomputed.id.as_str(), version; "change accepted");
    Ok(ConfirmResult { change_id: recomputed.id, version })
}

async fn read_plan(platform: &PlatformClient, id: &str) -> Result<Plan, ApiError> {
    let missing = || ApiError::Missing {
        what: format!("plan {id}"),
        remedy: "Make a plan first: `valvectl plan --help`.",
    };

    let stored = platform.read_json(&plan_key(id)).await?.ok_or_else(missing)?;
    serde_json::from_value(stored.value).map_err(|_| missing())
}

fn plan_key(id: &str) -> String {
    format!("plan-{id}")
}

fn plan_id(base: ObjectVersion, intent: &Intent) -> String {
    let intent = serde_json::to_string(intent).unwrap_or_default();
    let digest = Sha256::digest(format!("{base} {intent}"));

    digest.iter().take(PLAN_ID_BYTES).map(|byte| format!("{byte:02x}")).collect()
}
