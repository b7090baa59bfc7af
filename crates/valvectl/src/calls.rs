//! Calls of the operators' API.

use std::path::Path;
use std::time::Duration;

use awc::{Client, ClientRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use valvestage_core::settings::DeploymentSettings;
use valvestage_policy::operations::{Intent, Plan};
use valvestage_process::secrets::read_token;
use valvestage_wire::operators::{ApiProblem, ConfirmResult, Explanation, StatusReport};

use crate::arguments::Question;
use crate::errors::CtlError;

/// Maximum wait for an answer, which leaves time for the API itself to wait for unreachable
/// balancers.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Client of the operators' API of one operator process.
pub struct OperatorClient {
    client: Client,
    operator: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client that authenticates with the bearer token in `token_file`.
    pub fn new(operator: &str, token_file: &Path) -> Result<Self, CtlError> {
        let token = read_token(token_file)?;
        let client = Client::builder().timeout(TIMEOUT).finish();

        Ok(Self { client, operator: operator.to_owned(), token })
    }

    pub async fn bootstrap(
        &self,
        settings: &DeploymentSettings,
    ) -> Result<ConfirmResult, CtlError> {
        self.post("bootstrap", settings).await
    }

    pub async fn plan(&self, intent: &Intent) -> Result<Plan, CtlError> {
        self.post("plans", intent).await
    }

    pub async fn confirm(&self, id: &str) -> Result<ConfirmResult, CtlError> {
        self.post(&format!("plans/{id}/confirm"), &()).await
    }

    pub async fn rotate_keys(&self) -> Result<ConfirmResult, CtlError> {
        self.post("keys/rotate", &()).await
    }

    pub async fn status(&self) -> Result<StatusReport, CtlError> {
        self.call(self.client.get(self.url("status")), None::<&()>).await
    }

    pub async fn why(&self, question: &Question) -> Result<Explanation, CtlError> {
        let url = self.url(&format!("why?{}", question.query()));

        self.call(self.client.get(url), None::<&()>).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.operator)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        self.call(self.client.post(self.url(path)), Some(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Option<&impl Serialize>,
    ) -> Result<T, CtlError> {
        let request = request.bearer_auth(&self.token);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };

        let mut response = sent.map_err(|error| self.unreachable("call", &error))?;
        let answer = response.body().limit(MAX_ANSWER_BYTES).await;
        let answer = answer.map_err(|error| self.unreachable("read answer", &error))?;
        if response.status().is_success() {
            return serde_json::from_slice(&answer)
                .map_err(|error| self.unreachable("parse answer", &error));
        }

        let status = response.status().as_u16();
        let problem = serde_json::from_slice(&answer).unwrap_or_else(|_| ApiProblem {
            problem: format!("status {status}: {}", String::from_utf8_lossy(&answer)),
            remedy: "See the log of the operator process.".to_owned(),
        });
        Err(CtlError::Api { status, problem })
    }

    fn unreachable(&self, step: &'static str, cause: &dyn ToString) -> CtlError {
        CtlError::Unreachable { operator: self.operator.clone(), step, cause: cause.to_string() }
    }
}
