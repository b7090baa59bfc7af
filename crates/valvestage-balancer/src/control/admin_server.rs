//! The admin server: metrics, health, status and decisions over HTTP.

use std::sync::Arc;
use std::time::SystemTime;

use actix_web::http::header::AUTHORIZATION;
use actix_web::web::{Data, Json, Query, get};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;
use valvestage_core::Service;
use valvestage_core::time::to_unix_millis;
use valvestage_policy::membership::{PeerRecord, PeerState};
use valvestage_policy::operations::Subject;
use valvestage_process::secrets::tokens_match;
use valvestage_wire::status::{BalancerStatus, PeerStatus, ServiceStatus};

use super::control_state::ControlState;
use crate::commands::{Command, DataSnapshot};
use crate::errors::BalancerError;

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

struct Admin {
    state: Arc<ControlState>,
    token: String,
}

/// Listens on the admin address and answers requests in the background.
pub(super) fn start(state: Arc<ControlState>, token: String) -> Result<(), BalancerError> {
    let address = state.settings.admin_address;
    let admin = Data::new(Admin { state, token });

    let server = HttpServer::new(move || {
        App::new()
            .app_data(admin.clone())
            .route("/metrics", get().to(metrics))
            .route("/livez", get().to(live))
            .route("/readyz", get().to(ready))
            .route("/status", get().to(status))
            .route("/decisions", get().to(decisions))
    })
    .workers(1)
    .disable_signals()
    .bind(address)
    .map_err(BalancerError::socket("listen for admin requests on", address))?;

    actix_rt::spawn(server.run());
    Ok(())
}

async fn metrics(admin: Data<Admin>) -> HttpResponse {
    let snapshot = admin.state.snapshot().await;
    let metrics = &admin.state.metrics;
    metrics.flows.set(snapshot.flows);
    metrics.flow_table_bytes.set(snapshot.flow_table_bytes);
    metrics.busy_slots.set(snapshot.loads.values().map(|load| u64::from(load.busy_slots)).sum());
    metrics.waiting.set(snapshot.loads.values().map(|load| load.waiting as u64).sum());

    HttpResponse::Ok().content_type(OPEN_METRICS).body(metrics.to_openmetrics())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn ready(admin: Data<Admin>) -> HttpResponse {
    if admin.state.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn status(request: HttpRequest, admin: Data<Admin>) -> HttpResponse {
    if !is_authorised(&request, &admin.token) {
        return unauthorised();
    }

    let snapshot = admin.state.snapshot().await;
    HttpResponse::Ok().json(balancer_status(&admin.state, &snapshot))
}

#[derive(Deserialize)]
struct DecisionsQuery {
    /// The [`Subject`] to list decisions about, as JSON.
    subject: String,
}

async fn decisions(
    request: HttpRequest,
    admin: Data<Admin>,
    query: Query<DecisionsQuery>,
) -> HttpResponse {
    if !is_authorised(&request, &admin.token) {
        return unauthorised();
    }
    let subject: Subject = match serde_json::from_str(&query.subject) {
        Ok(subject) => subject,
        Err(error) => return HttpResponse::BadRequest().body(format!("subject: {error}\n")),
    };

    let to_command = |reply| Command::ListDecisions { subject, reply };
    let records = admin.state.query_data_path(to_command).await.unwrap_or_default();
    HttpResponse::Ok().json(Json(records))
}

fn is_authorised(request: &HttpRequest, token: &str) -> bool {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());

    header
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|given| tokens_match(given, token))
}

fn unauthorised() -> HttpResponse {
    HttpResponse::Unauthorized().body("a bearer token is needed; see admin_token_file\n")
}

fn balancer_status(state: &ControlState, snapshot: &DataSnapshot) -> BalancerStatus {
    let now = SystemTime::now();
    let configuration = state.read(|policy| policy.configuration().cloned());
    let heard = state.read(|policy| policy.last_platform_contact()).map_or(0, to_unix_millis);
    let name_of = |id: &u32| {
        let known = configuration.as_ref().and_then(|known| known.backend(*id));
        known.map_or_else(|| format!("removed {id}"), |backend| backend.name.clone())
    };

    BalancerStatus {
        id: state.settings.id,
        zone: state.settings.zone.clone(),
        ready: state.is_ready(),
        has_lease: state.read(|policy| policy.grant().is_some()),
        configuration: snapshot.configuration,
        configuration_age_ms: to_unix_millis(now).saturating_sub(heard),
        flows: snapshot.flows,
        flows_by_backend: snapshot
            .flows_by_backend
            .iter()
            .map(|(id, n)| (name_of(id), *n))
            .collect(),
        services: service_statuses(state, snapshot),
        peers: peer_statuses(state),
    }
}

fn service_statuses(state: &ControlState, snapshot: &DataSnapshot) -> Vec<ServiceStatus> {
    let Some(configuration) = state.read(|policy| policy.configuration().cloned()) else {
        return Vec::new();
    };
    let owners = state.read(|policy| policy.owner_map().clone());

    let status = |service: &Service| {
        let load = snapshot.loads.get(&service.id).copied().unwrap_or_default();
        ServiceStatus {
            name: service.name.clone(),
            owner: owners.owner(service.id).map(|entry| entry.owner),
            busy_slots: load.busy_slots,
            usable_slots: load.usable_slots,
            waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
            claims: u32::try_from(load.claims).unwrap_or(u32::MAX),
        }
    };
    configuration.services().map(status).collect()
}

fn peer_statuses(state: &ControlState) -> Vec<PeerStatus> {
    let status = |(record, alive): (PeerRecord, bool)| PeerStatus {
        id: record.id,
        zone: record.zone,
        alive,
        leaving: record.state == PeerState::Leaving,
        configuration: record.configuration,
    };

    state.known_peers().into_iter().map(status).collect()
}
