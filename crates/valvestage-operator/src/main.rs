//! `valvestage-operator`: serves the HTTP API for operators.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use actix_web::{App, HttpServer};
use bpaf::Bpaf;
use valvestage_core::settings::OperatorSettings;
use valvestage_operator::api::{ApiOptions, configure};
use valvestage_platform::StoreOptions;
use valvestage_process::command_line::{parse, report_usage_error, report_valid_settings};
use valvestage_process::secrets::read_token;
use valvestage_process::{ProcessError, exit_codes, logging};

/// Time limit of one platform call.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Program name in error messages.
const PROGRAM: &str = "valvestage-operator";

/// Offers operators plans, confirmation, status and explanations over HTTP.
///
/// Exit codes: 0 stopped, 1 failed while running, 2 wrong command line or settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file (TOML)
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and report any error, without starting anything
    #[bpaf(long)]
    check_settings: bool,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match OperatorSettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(PROGRAM, &error),
    };
    if arguments.check_settings {
        return report_valid_settings(&arguments.settings);
    }

    let options = match api_options(&settings) {
        Ok(options) => options,
        Err(error) => return report_usage_error(PROGRAM, &error),
    };
    match serve(&settings, options).await {
        Ok(()) => ExitCode::from(exit_codes::SUCCESS),
        Err(error) => {
            eprintln!("{PROGRAM}: {}: {error}", settings.listen_address);
            ExitCode::from(exit_codes::FAILURE)
        }
    }
}

fn api_options(settings: &OperatorSettings) -> Result<ApiOptions, ProcessError> {
    let platform = StoreOptions {
        address: settings.platform_address,
        token: settings.platform_token_file.as_deref().map(read_token).transpose()?,
        timeout: PLATFORM_TIMEOUT,
    };

    Ok(ApiOptions {
        platform,
        balancers: settings.balancer_admin_addresses.clone(),
        admin_token: read_token(&settings.admin_token_file)?,
        operator_token: read_token(&settings.operator_token_file)?,
    })
}

async fn serve(settings: &OperatorSettings, options: ApiOptions) -> std::io::Result<()> {
    let _logger = logging::start(settings.log_json).map_err(std::io::Error::other)?;
    log::info!(address:% = settings.listen_address; "serving the operator API");

    HttpServer::new(move || App::new().configure(|service| configure(service, &options)))
        .workers(2)
        .bind(settings.listen_address)?
        .run()
        .await
}
