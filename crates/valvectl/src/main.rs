//! `valvectl`, the command-line tool for operators.
//!
//! | module | contents |
//! |---|---|
//! | `arguments` | definition of the command line |
//! | `calls` | calls of the operators' API |
//! | `errors` | the error type, with exit codes |
//! | `log_events` | explanations from logs |
//! | `sentences` | results in plain English |

mod arguments;
mod calls;
mod errors;
mod log_events;
mod sentences;

use std::process::ExitCode;

use serde::Serialize;
use valvestage_core::settings::DeploymentSettings;
use valvestage_process::command_line::parse;
use valvestage_process::exit_codes;

use crate::arguments::{Arguments, Command, Question, arguments};
use crate::calls::OperatorClient;
use crate::errors::CtlError;

#[actix_rt::main]
async fn main() -> ExitCode {
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };

    match run(&arguments).await {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("valvectl: {error}");
            if let Some(remedy) = error.remedy() {
                eprintln!("{remedy}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: &Arguments) -> Result<u8, CtlError> {
    if let Command::Why { question: Question::Log { subject, files } } = &arguments.command {
        return log_events::print_events(subject.clone(), files);
    }
    let client = client(arguments)?;
    let json = arguments.json;

    match &arguments.command {
        Command::Bootstrap { deployment } => {
            let settings = DeploymentSettings::read(deployment)?;
            let result = client.bootstrap(&settings).await?;
            print(json, &result, sentences::confirmed(&result));
        }
        Command::Plan { change } => {
            let plan = client.plan(&change.intent()).await?;
            print(json, &plan, sentences::plan(&plan));
            if plan.refusal.is_some() {
                return Ok(exit_codes::REFUSED);
            }
        }
        Command::Confirm { id } => {
            let result = client.confirm(id).await?;
            print(json, &result, sentences::confirmed(&result));
        }
        Command::Status => {
            let report = client.status().await?;
            print(json, &report, sentences::status(&report));
        }
        Command::Why { question } => {
            let explanation = client.why(question).await?;
            print(json, &explanation, sentences::explanation(&explanation));
        }
        Command::RotateKeys => {
            let result = client.rotate_keys().await?;
            print(json, &result, sentences::confirmed(&result));
        }
    }
    Ok(exit_codes::SUCCESS)
}

fn client(arguments: &Arguments) -> Result<OperatorClient, CtlError> {
    let operator = arguments.operator.as_ref().ok_or(CtlError::MissingOption("--operator"))?;
    let token_file = arguments.token_file.as_ref();
    let token_file = token_file.ok_or(CtlError::MissingOption("--token-file"))?;

    OperatorClient::new(operator, token_file)
}

fn print(json: bool, value: &impl Serialize, sentences: String) {
    if json {
        println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
    } else {
        print!("{sentences}");
    }
}
