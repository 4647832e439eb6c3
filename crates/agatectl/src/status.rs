//! `agatectl status`: shows the state of processes.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::StatusCode;
use serde_json::Value;
use volo_http::body::BodyConversion;
use volo_http::client::Client;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::{load, output};

/// Longest wait for one process.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Fields of a status in the order of the table's columns.
const COLUMNS: [&str; 7] = ["vm", "role", "revision", "leaving", "running", "links", "version"];

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows the state of processes")
        .after_help(
            "Example:\n  agatectl status 10.0.0.4:7401 10.0.0.5:7401\n\n\
             Exits with 1 if a process does not answer.",
        )
        .arg(
            Arg::new("address")
                .required(true)
                .action(ArgAction::Append)
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of a process's pages for operators"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if the HTTP library refuses its configuration.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("address").into_iter().flatten().copied().collect();
    let runtime = load::runtime()?;
    let results = runtime.block_on(ask_all(&addresses))?;
    let mut statuses = Vec::new();
    let mut code = ExitCode::Success;
    for result in results {
        match result {
            Ok(status) => statuses.push(status),
            Err(error) => {
                output::print_error(&error);
                code = ExitCode::Failure;
            }
        }
    }
    if matches.get_flag("json") {
        output::print_json(&statuses)?;
    } else {
        output::print(&table(&statuses))?;
    }
    Ok(code)
}

async fn ask_all(addresses: &[SocketAddr]) -> Result<Vec<Result<Value, Error>>, Error> {
    let client = Client::builder().build().map_err(|e| Error::step("build client", e))?;
    let asked = addresses.iter().map(|&address| ask(&client, address));
    Ok(futures::future::join_all(asked).await)
}

async fn ask(client: &Client, address: SocketAddr) -> Result<Value, Error> {
    let failed = |reason: String| Error::step("ask for status", format!("{address}: {reason}"));
    let call = client.get(format!("http://{address}/status")).send();
    let response = tokio::time::timeout(TIMEOUT, call).await;
    let response = response.map_err(|_| failed("timed out".into()))?;
    let response = response.map_err(|e| failed(e.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(failed(format!("status {}", response.status())));
    }
    let body = response.into_vec().await.map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
}

fn cell(status: &Value, column: &str) -> String {
    match &status[column] {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn table(statuses: &[Value]) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned)];
    rows.extend(statuses.iter().map(|status| COLUMNS.map(|column| cell(status, column))));
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..COLUMNS.len()).map(width).collect();
    let line = |row: &[String; 7]| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}
