//! Daemon of agateflow.

use std::fs;
use std::process;

use agateflow::settings;
use agateflowd::cli;
use agateflowd::error::Error;
use agateflowd::exit_codes::ExitCode;
use agateflowd::log;
use agateflowd::process::Process;

fn main() -> process::ExitCode {
    let config = cli::Config::new(&cli::command().get_matches());
    match run(&config) {
        Ok(()) => ExitCode::Success.into(),
        Err(error) => {
            eprintln!("agateflowd: {error}");
            error.exit_code().into()
        }
    }
}

fn run(config: &cli::Config) -> Result<(), Error> {
    let settings = read(config)?;
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(async {
        let process = Process::start(settings, log::logger(config.log)).await?;
        process.run().await
    })
}

fn read(config: &cli::Config) -> Result<settings::Settings, Error> {
    let path = config.settings.display();
    let text = fs::read_to_string(&config.settings)
        .map_err(|e| Error::Settings(format!("{path}: {e}").into()))?;
    settings::parse(&text).map_err(|problems| {
        let lines: Vec<String> =
            problems.as_slice().iter().map(|p| format!("{path}:{p}")).collect();
        Error::Settings(lines.join("\n").into())
    })
}
