//! The two kinds of files that operators write, distinguished by their content.

use std::fmt;
use std::str;

use super::problem;
use super::read;
use crate::config;
use crate::settings;

/// Fields of a settings file that no configuration has.
const SETTINGS_FIELDS: &[&str] =
    &["vm", "data_centre", "role", "listen", "operators", "seeds", "secret", "limits"];
/// Fields of a configuration that no settings file has.
const CONFIGURATION_FIELDS: &[&str] = &["revision", "weights", "data_centres", "vms", "teams"];

/// A kind of file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of one process.
    Settings,
    /// Configuration of the fleet.
    Configuration,
}

impl Kind {
    /// The kind whose fields a text has most of; a configuration if in doubt.
    pub fn guess(text: &str) -> Self {
        let names = read::field_names(text);
        let count = |fields: &[&str]| names.iter().filter(|n| fields.contains(&&***n)).count();
        if count(SETTINGS_FIELDS) > count(CONFIGURATION_FIELDS) {
            Kind::Settings
        } else {
            Kind::Configuration
        }
    }

    /// Checks a text of this kind.
    ///
    /// # Errors
    ///
    /// All problems of the text, up to [`config::MAX_PROBLEMS`].
    pub fn check(self, text: &str) -> Result<(), config::Problems> {
        match self {
            Kind::Settings => settings::parse(text).map(drop),
            Kind::Configuration => config::parse(text).map(drop),
        }
    }

    /// The JSON Schema of this kind.
    pub fn schema(self) -> schemars::Schema {
        match self {
            Kind::Settings => settings::schema(),
            Kind::Configuration => config::schema(),
        }
    }

    /// The kind's name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Configuration => "configuration",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Kind {
    type Err = config::Unrecognized;

    fn from_str(text: &str) -> Result<Self, config::Unrecognized> {
        match text {
            "settings" => Ok(Kind::Settings),
            "configuration" => Ok(Kind::Configuration),
            _ => Err(config::Unrecognized::new(text, "settings, configuration")),
        }
    }
}

/// Takes the bytes of a file as text.
///
/// # Errors
///
/// One problem: the file is too large, or its first byte that is not UTF-8.
pub fn decode(bytes: &[u8]) -> Result<&str, config::Problems> {
    if bytes.len() > read::MAX_BYTES {
        return Err(whole_file("", read::TOO_LARGE));
    }
    str::from_utf8(bytes).map_err(|error| {
        let (valid, _) = bytes.split_at(error.valid_up_to());
        let before = str::from_utf8(valid).unwrap_or_default();
        whole_file(before, "the file is not UTF-8 text")
    })
}

/// A problem of the whole file that shows after the text `before`.
fn whole_file(before: &str, message: &str) -> config::Problems {
    let offset = before.len();
    let finding = problem::Finding { offset, path: ".".into(), message: message.into() };
    problem::locate(before, vec![finding])
}
