//! Explanations: the decisions of all balancers about one subject.

use std::net::SocketAddr;

use serde::Deserialize;
use valvestage_core::ids::RequestId;
use valvestage_platform::PlatformClient;
use valvestage_platform::objects::from_json;
use valvestage_policy::control::{ObjectKey, ObjectValue};
use valvestage_policy::flows::FlowHasher;
use valvestage_policy::operations::{DecisionRecord, Subject};
use valvestage_wire::operators::{ExplainedDecision, Explanation};

use crate::balancers::BalancerClients;
use crate::changes::read_configuration;
use crate::errors::ApiError;

/// Query parameters of `/v1/why`: either `request`, `change`, `service`, or `caller` together with
/// `service`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplanationQuery {
    /// Id of a request, in hexadecimal.
    pub request: Option<String>,
    /// Version of a configuration.
    pub change: Option<u64>,
    /// Address of the caller of a flow. The flow's service has to be given, too.
    pub caller: Option<SocketAddr>,
    /// Name of a service.
    pub service: Option<String>,
}

/// Returns the explanation of the subject that a query names, with the decisions in order of time.
pub async fn explain(
    platform: &PlatformClient,
    balancers: &BalancerClients,
    query: ExplanationQuery,
) -> Result<Explanation, ApiError> {
    let subject = find_subject(platform, query).await?;
    let answers = balancers.decisions(subject).await;

    let silent = answers.iter().filter(|(_, records)| records.is_none());
    let silent = silent.map(|(address, _)| *address).collect();
    let mut records: Vec<DecisionRecord> =
        answers.into_iter().filter_map(|(_, records)| records).flatten().collect();
    records.sort_by_key(|record| record.at_ms);

    Ok(Explanation { sentences: records.into_iter().map(to_sentence).collect(), silent })
}

fn to_sentence(record: DecisionRecord) -> ExplainedDecision {
    let sentence = format!("Balancer {} {}.", record.balancer, record.decision);

    ExplainedDecision { record, sentence }
}

async fn find_subject(
    platform: &PlatformClient,
    query: ExplanationQuery,
) -> Result<Subject, ApiError> {
    match query {
        ExplanationQuery { request: Some(id), change: None, caller: None, service: None } => {
            let parsed = RequestId::from_str_radix(&id, 16);
            parsed
                .map(Subject::Request)
                .map_err(|_| ApiError::BadQuery(format!("{id} is not a hexadecimal request id")))
        }
        ExplanationQuery { change: Some(version), request: None, caller: None, service: None } => {
            Ok(Subject::Change(version))
        }
        ExplanationQuery { service: Some(name), caller, request: None, change: None } => {
            let service = find_service(platform, &name).await?;
            match caller {
                None => Ok(Subject::Service(service)),
                Some(caller) => {
                    let hasher = read_hasher(platform).await?;
                    Ok(Subject::Flow(hasher.key(caller, service)))
                }
            }
        }
        _ => Err(ApiError::BadQuery(
            "give exactly one of: a request, a change, a service, or a caller with a service"
                .into(),
        )),
    }
}

async fn find_service(platform: &PlatformClient, name: &str) -> Result<u16, ApiError> {
    let configuration = read_configuration(platform).await?;
    let found = configuration
        .as_ref()
        .and_then(|stored| stored.checked.services().find(|service| service.name == name));

    found.map(|service| service.id).ok_or_else(|| ApiError::Missing {
        what: format!("service {name}"),
        remedy: "See `valvectl status` for the services.",
    })
}

async fn read_hasher(platform: &PlatformClient) -> Result<FlowHasher, ApiError> {
    let key = ObjectKey::TokenKeys;
    let missing =
        || ApiError::Missing { what: "the token keys".into(), remedy: "Run `valvectl bootstrap`." };

    let stored = platform.read_json(&key.path()).await?.ok_or_else(missing)?;
    match from_json(key, stored.value)? {
        ObjectValue::TokenKeys(raw) => Ok(FlowHasher::new(raw.flow_hash)),
        _ => Err(missing()),
    }
}
