//! Queries to the admin addresses of the balancers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use futures::future::join_all;
use serde::de::DeserializeOwned;
use valvestage_core::Configuration;
use valvestage_core::ids::ServiceId;
use valvestage_policy::operations::{DecisionRecord, ServiceDemand, Subject};
use valvestage_wire::operators::BalancerReport;
use valvestage_wire::status::BalancerStatus;

/// Time limit of a query to one balancer, so that an unreachable balancer does not delay the
/// answers of the others.
const BALANCER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Size limit of a balancer's answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Client that queries all balancers in parallel.
#[derive(Clone)]
pub struct BalancerClients {
    client: Client,
    addresses: Vec<SocketAddr>,
    token: String,
}

impl BalancerClients {
    /// Creates a client for the admin addresses, with the bearer token that they require.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, token: String) -> Self {
        let client = Client::builder().timeout(BALANCER_TIMEOUT).finish();

        Self { client, addresses, token }
    }

    /// Returns the status of each balancer; a report without a status if it does not answer.
    pub async fn reports(&self) -> Vec<BalancerReport> {
        let requests = self.addresses.iter().map(|address| async move {
            let status: Option<BalancerStatus> = self.query(*address, "status").await;
            BalancerReport { address: *address, status }
        });

        join_all(requests).await
    }

    /// Returns the decisions of each balancer about a subject; `None` for a balancer that does not
    /// answer.
    pub async fn decisions(
        &self,
        subject: Subject,
    ) -> Vec<(SocketAddr, Option<Vec<DecisionRecord>>)> {
        let json = serde_json::to_string(&subject).unwrap_or_default();
        let path = format!("decisions?subject={}", percent_encode(&json));

        let requests = self.addresses.iter().map(|address| {
            let path = path.clone();
            async move { (*address, self.query(*address, &path).await) }
        });
        join_all(requests).await
    }

    async fn query<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let url = format!("http://{address}/{path}");
        let result = self.client.get(url).bearer_auth(&self.token).send().await;

        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                log::warn!(step = "ask balancer", peer:% = address; "{error}");
                return None;
            }
        };
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}

/// Returns the demand of each service, summed over all balancers. The owner of a service counts
/// nearly all of it; other balancers count only the requests that they run themselves, such as
/// those that a former owner finishes.
#[must_use]
pub fn sum_demand(
    configuration: &Configuration,
    reports: &[BalancerReport],
) -> BTreeMap<ServiceId, ServiceDemand> {
    let mut demand: BTreeMap<ServiceId, ServiceDemand> = BTreeMap::new();
    let statuses = reports.iter().filter_map(|report| report.status.as_ref());

    for status in statuses.flat_map(|status| &status.services) {
        let service = configuration.services().find(|service| service.name == status.name);
        if let Some(service) = service {
            let sum = demand.entry(service.id).or_default();
            sum.busy_slots += status.busy_slots;
            sum.waiting += status.waiting;
        }
    }
    demand
}

/// Returns the number of flows of each backend server, by its name, summed over all balancers.
#[must_use]
pub fn sum_flows(reports: &[BalancerReport]) -> BTreeMap<String, u64> {
    let mut flows = BTreeMap::new();
    let statuses = reports.iter().filter_map(|report| report.status.as_ref());

    for (name, count) in statuses.flat_map(|status| &status.flows_by_backend) {
        *flows.entry(name.clone()).or_insert(0) += count;
    }
    flows
}

/// Encodes all bytes except unreserved characters as `%XX` (RFC 3986, section 2.1).
fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);

    text.bytes()
        .map(|byte| {
            if is_unreserved(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") }
        })
        .collect()
}
