//! Routes and authorisation of the API.

mod key_rotation;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{Data, Json, Path, Query, ServiceConfig, get, post, scope};
use actix_web::{Error, HttpResponse, error::ErrorUnauthorized};
use valvestage_core::Configuration;
use valvestage_core::settings::DeploymentSettings;
use valvestage_platform::{PlatformClient, StoreOptions};
use valvestage_policy::operations::Intent;
use valvestage_process::secrets::tokens_match;
use valvestage_wire::operators::{ConfirmResult, StatusReport};

use crate::balancers::BalancerClients;
use crate::changes::{read_configuration, write_configuration};
use crate::errors::ApiError;
use crate::explanations::{ExplanationQuery, explain};
use crate::plans::{confirm_plan, make_plan};

/// Id of the change that creates the first configuration.
const BOOTSTRAP: &str = "bootstrap";

/// Options from which each worker of the server creates its clients.
#[derive(Clone)]
pub struct ApiOptions {
    /// Address, token and time limit for calls to the platform.
    pub platform: StoreOptions,
    /// Admin addresses of the balancers.
    pub balancers: Vec<std::net::SocketAddr>,
    /// Bearer token that the balancers require.
    pub admin_token: String,
    /// Bearer token that operators have to present.
    pub operator_token: String,
}

struct Api {
    platform: PlatformClient,
    balancers: BalancerClients,
    operator_token: String,
}

/// Adds the routes to the server of one worker, with clients of its own.
pub fn configure(service: &mut ServiceConfig, options: &ApiOptions) {
    let api = Api {
        platform: PlatformClient::new(options.platform.clone()),
        balancers: BalancerClients::new(options.balancers.clone(), options.admin_token.clone()),
        operator_token: options.operator_token.clone(),
    };
    let calls = scope("/v1")
        .wrap(from_fn(authorise))
        .route("/bootstrap", post().to(bootstrap))
        .route("/plans", post().to(plan))
        .route("/plans/{id}/confirm", post().to(confirm))
        .route("/status", get().to(status))
        .route("/why", get().to(why))
        .route("/keys/rotate", post().to(rotate_keys));

    service.app_data(Data::new(api)).service(calls).route("/livez", get().to(live));
}

async fn authorise(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let given = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let given = given.and_then(|value| value.strip_prefix("Bearer "));
    let api = request.app_data::<Data<Api>>();

    match (given, api) {
        (Some(given), Some(api)) if tokens_match(given, &api.operator_token) => {
            next.call(request).await
        }
        _ => Err(ErrorUnauthorized(
            r#"{"problem":"The bearer token is missing or wrong.","remedy":"Give the file of operator_token_file with --token-file."}"#,
        )),
    }
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn bootstrap(
    api: Data<Api>,
    deployment: Json<DeploymentSettings>,
) -> Result<Json<ConfirmResult>, ApiError> {
    let raw = deployment.to_configuration(BOOTSTRAP);
    Configuration::try_from((1, raw.clone()))?;

    // Create the keys first: balancers cannot use a configuration without them.
    key_rotation::ensure_keys(&api.platform).await?;
    let version = write_configuration(&api.platform, None, &raw).await?;
    Ok(Json(ConfirmResult { change_id: raw.change_id, version }))
}

async fn plan(
    api: Data<Api>,
    intent: Json<Intent>,
) -> Result<Json<valvestage_policy::operations::Plan>, ApiError> {
    make_plan(&api.platform, &api.balancers, intent.into_inner()).await.map(Json)
}

async fn confirm(api: Data<Api>, id: Path<String>) -> Result<Json<ConfirmResult>, ApiError> {
    confirm_plan(&api.platform, &api.balancers, &id).await.map(Json)
}

async fn status(api: Data<Api>) -> Result<Json<StatusReport>, ApiError> {
    let balancers = api.balancers.reports().await;

    // The balancers' statuses are returned during an outage of the platform, too.
    let accepted_version = match read_configuration(&api.platform).await {
        Ok(stored) => Some(stored.map_or(0, |stored| stored.checked.version)),
        Err(error) => {
            log::warn!("{error}");
            None
        }
    };
    let newest = balancers.iter().filter_map(|report| report.status.as_ref());
    let newest = newest.map(|status| status.configuration).max().max(accepted_version).unwrap_or(0);
    let statuses = balancers.iter().filter_map(|report| report.status.as_ref());
    let behind = statuses.filter(|status| status.configuration < newest).map(|s| s.id).collect();

    Ok(Json(StatusReport { accepted_version, balancers, behind }))
}

async fn why(
    api: Data<Api>,
    query: Query<ExplanationQuery>,
) -> Result<Json<valvestage_wire::operators::Explanation>, ApiError> {
    explain(&api.platform, &api.balancers, query.into_inner()).await.map(Json)
}

async fn rotate_keys(api: Data<Api>) -> Result<Json<ConfirmResult>, ApiError> {
    key_rotation::rotate(&api.platform).await.map(Json)
}
