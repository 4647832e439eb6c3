//! Plain services and the declared routes to them.

use std::fmt;
use std::str;

use serde::Serialize;

use super::read;
use crate::id;

/// A plain service. The VMs that run it name it in their role.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
}

read::read_object!(Service { name });

/// A declared route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// The service that it leads to.
    pub service: id::Service,
    /// The method of its requests.
    pub method: Method,
    /// The paths of its requests.
    pub path: Path,
    /// Whether the same call may run more than once.
    pub repeatable: bool,
}

read::read_object!(Route { name, service, method, path, repeatable });

/// Method of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, schemars::JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)]
pub enum Method {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
}

impl Method {
    /// The method's name in a request.
    pub const fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Method {
    type Err = read::Unrecognized;

    fn from_str(text: &str) -> Result<Self, read::Unrecognized> {
        match text {
            "GET" => Ok(Method::Get),
            "HEAD" => Ok(Method::Head),
            "POST" => Ok(Method::Post),
            "PUT" => Ok(Method::Put),
            "PATCH" => Ok(Method::Patch),
            "DELETE" => Ok(Method::Delete),
            _ => Err(read::Unrecognized::new(text, "GET, HEAD, POST, PUT, PATCH, DELETE")),
        }
    }
}

/// The paths of a route: one path, or every path under a prefix, written `/stations/*`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(into = "Box<str>")]
pub enum Path {
    /// One path.
    Exact(Box<str>),
    /// Every path that begins with the text, which ends in `/`.
    Prefix(Box<str>),
}

/// The text is not a path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a path such as \"/orders\" or \"/stations/*\", found \"{0}\"")]
pub struct Malformed(Box<str>);

impl Path {
    /// Longest path accepted, in bytes.
    pub const MAX_BYTES: usize = 256;

    /// The length of the match with a request's path, without its query; `None` if it differs.
    pub fn matches(&self, path: &str) -> Option<usize> {
        match self {
            Path::Exact(own) => (**own == *path).then_some(usize::MAX),
            Path::Prefix(own) => path.starts_with(&**own).then_some(own.len()),
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Exact(path) => f.write_str(path),
            Path::Prefix(path) => write!(f, "{path}*"),
        }
    }
}

impl str::FromStr for Path {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed(read::printable(text).into());
        let (path, prefix) = match text.strip_suffix('*') {
            Some(path) if path.ends_with('/') => (path, true),
            Some(_) => return Err(malformed()),
            None => (text, false),
        };
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '*' | '"' | '\\');
        let good = path.starts_with('/') && path.chars().all(plain);
        match (good && text.len() <= Self::MAX_BYTES, prefix) {
            (true, true) => Ok(Path::Prefix(path.into())),
            (true, false) => Ok(Path::Exact(path.into())),
            (false, _) => Err(malformed()),
        }
    }
}

impl From<Path> for Box<str> {
    fn from(path: Path) -> Box<str> {
        path.to_string().into()
    }
}

impl schemars::JsonSchema for Path {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Path".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        let pattern = r#"^/([^?#*"\\\s]*/)?(\*|[^?#*"\\\s]*)$"#;
        schemars::json_schema!({ "type": "string", "pattern": pattern, "maxLength": 256 })
    }
}

read::read_text! {
    Method: "a method such as \"GET\"",
    Path: "a path such as \"/orders\" or \"/stations/*\"",
}
