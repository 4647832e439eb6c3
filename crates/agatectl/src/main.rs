//! Command-line tool of agateflow.

mod check;
mod cli;
mod demo;
mod error;
mod exit_codes;
mod explain;
mod load;
mod measure;
mod output;
mod plan;
mod status;

use std::process;

fn main() -> process::ExitCode {
    let matches = cli::command().get_matches();
    match cli::run(&matches) {
        Ok(code) => code.into(),
        Err(error) => {
            output::print_error(&error);
            error.exit_code().into()
        }
    }
}
