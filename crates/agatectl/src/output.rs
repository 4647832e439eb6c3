//! Output to the terminal: errors, and results as text or JSON.

use std::io;
use std::io::Write;

use serde::Serialize;

use crate::error::Error;

/// Prints one line to standard error.
pub fn print_error(error: &Error) {
    eprintln!("agatectl: {error}");
}

/// Prints `text` to standard output. A closed pipe ends the output without an error.
///
/// # Errors
///
/// [`Error::File`] if standard output cannot be written for another reason.
pub fn print(text: &str) -> Result<(), Error> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        Err(e) => Err(Error::file("write", "standard output".as_ref(), e)),
        Ok(()) => Ok(()),
    }
}

/// Prints `value` as indented JSON and a final newline.
///
/// # Errors
///
/// As [`print`]; [`Error::Step`] if the value cannot be serialized.
#[allow(dead_code)]
pub fn print_json(value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Error::step("serialize", e))?;
    print(&format!("{text}\n"))
}
