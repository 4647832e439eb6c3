//! Typed parsing of JSON with comments. It continues after an error, so that all errors are reported.

use std::fmt::Display;
use std::net;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

use super::problem;
use crate::id;

/// Largest file read, in bytes.
pub const MAX_BYTES: usize = 1 << 20;
/// Message of a file that is larger.
pub(super) const TOO_LARGE: &str = "the file is larger than 1048576 bytes";

/// Reads a value of a document.
pub(crate) trait Read: Sized {
    /// Reads the value, or reports at least one problem and returns `None`.
    fn read(value: &ast::Value<'_>, reader: &mut Reader) -> Option<Self>;
}

/// The place of a value while a document is read, and the problems found so far.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    path: String,
    findings: Vec<problem::Finding>,
}

impl Reader {
    /// Reports a problem of the current value at a byte offset.
    pub(crate) fn report(&mut self, offset: usize, message: impl Display) {
        let path = if self.path.is_empty() { "." } else { &self.path };
        self.push(offset, path.into(), message);
    }

    /// Reports a problem of the value at `path`.
    pub(crate) fn report_at(&mut self, path: &str, value: &ast::Value<'_>, message: impl Display) {
        self.push(value.start(), path.into(), message);
    }

    fn push(&mut self, offset: usize, path: Box<str>, message: impl Display) {
        if self.findings.len() < problem::MAX_PROBLEMS {
            let message = message.to_string().into();
            self.findings.push(problem::Finding { offset, path, message });
        }
    }

    /// Reports a value of the wrong type. Shows none of it: it may be a key in the wrong place.
    pub(crate) fn wrong_type<T>(&mut self, what: &str, found: &ast::Value<'_>) -> Option<T> {
        let message = format!("expected {what}, found {}", type_of(found));
        self.report(found.start(), message);
        None
    }

    /// Reports a value that is not as expected, and shows it.
    pub(crate) fn expected<T>(&mut self, what: &str, found: &ast::Value<'_>) -> Option<T> {
        let message = format!("expected {what}, found {}", describe(found));
        self.report(found.start(), message);
        None
    }

    /// Runs `step` one level deeper, at the field `name`.
    pub(crate) fn at_field<T>(&mut self, name: &str, step: impl FnOnce(&mut Self) -> T) -> T {
        let length = self.path.len();
        if length > 0 {
            self.path.push('.');
        }
        self.path.push_str(name);
        let result = step(self);
        self.path.truncate(length);
        result
    }

    /// Runs `step` one level deeper, at the element `index`.
    pub(crate) fn at_index<T>(&mut self, index: usize, step: impl FnOnce(&mut Self) -> T) -> T {
        let length = self.path.len();
        self.path.push_str(&format!("[{index}]"));
        let result = step(self);
        self.path.truncate(length);
        result
    }

    /// Takes `value` as an object that has no other fields than `fields`, and each once.
    pub(crate) fn object<'v, 'a>(
        &mut self,
        value: &'v ast::Value<'a>,
        fields: &[&str],
    ) -> Option<&'v ast::Object<'a>> {
        let ast::Value::Object(object) = value else {
            return self.wrong_type("an object", value);
        };
        let mut seen = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let start = property.range.start;
            if !fields.contains(&name) {
                self.at_field(&printable(name), |r| {
                    r.report(start, format!("unknown field, expected {}", fields.join(", ")));
                });
            } else if seen.contains(&name) {
                self.at_field(name, |r| r.report(start, "field is given twice"));
            } else {
                seen.push(name);
            }
        }
        Some(object)
    }

    /// Reads a field that must be there.
    pub(crate) fn field<T: Read>(&mut self, object: &ast::Object<'_>, name: &str) -> Option<T> {
        self.at_field(name, |reader| match object.get(name) {
            Some(property) => T::read(&property.value, reader),
            None => {
                reader.report(object.start(), "field is missing");
                None
            }
        })
    }

    /// Reads a field that may be absent.
    pub(crate) fn field_or<T: Read>(
        &mut self,
        object: &ast::Object<'_>,
        name: &str,
        default: impl FnOnce() -> T,
    ) -> Option<T> {
        match object.get(name) {
            Some(property) => self.at_field(name, |r| T::read(&property.value, r)),
            None => Some(default()),
        }
    }

    /// Reads a text.
    pub(crate) fn text<'v>(&mut self, value: &'v ast::Value<'_>, what: &str) -> Option<&'v str> {
        match value {
            ast::Value::StringLit(text) => Some(&text.value),
            _ => self.expected(what, value),
        }
    }

    /// Reads a text that `parse` turns into a value.
    pub(crate) fn parse<T, E: Display>(
        &mut self,
        value: &ast::Value<'_>,
        what: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        match parse(self.text(value, what)?) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.report(value.start(), error);
                None
            }
        }
    }
}

/// Cuts a text from the file so that it fits in one line of a message.
pub(crate) fn printable(text: &str) -> String {
    let short = text.chars().take(id::MAX_NAME_BYTES);
    short.flat_map(char::escape_debug).collect()
}

fn type_of(value: &ast::Value<'_>) -> &'static str {
    match value {
        ast::Value::StringLit(_) => "a text",
        ast::Value::NumberLit(_) => "a number",
        ast::Value::BooleanLit(_) => "true or false",
        ast::Value::Object(_) => "an object",
        ast::Value::Array(_) => "a list",
        ast::Value::NullKeyword(_) => "null",
    }
}

fn describe(value: &ast::Value<'_>) -> String {
    match value {
        ast::Value::StringLit(text) => format!("\"{}\"", printable(&text.value)),
        ast::Value::NumberLit(number) => printable(number.value),
        ast::Value::BooleanLit(boolean) => boolean.value.to_string(),
        _ => type_of(value).into(),
    }
}

/// Reads a whole document as `T` and runs `check` on it, unless its syntax is wrong.
pub(crate) fn document<T: Read>(
    text: &str,
    check: impl FnOnce(&ast::Value<'_>, &mut Reader),
) -> Result<T, problem::Problems> {
    let mut reader = Reader::default();
    let read = syntax(text, &mut reader).and_then(|value| {
        let read = T::read(&value, &mut reader);
        check(&value, &mut reader);
        read
    });
    match read {
        Some(document) if reader.findings.is_empty() => Ok(document),
        _ => Err(problem::locate(text, reader.findings)),
    }
}

fn syntax<'a>(text: &'a str, reader: &mut Reader) -> Option<ast::Value<'a>> {
    if text.len() > MAX_BYTES {
        reader.report(0, TOO_LARGE);
        return None;
    }
    match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &strict()) {
        Ok(parsed) => parsed.value.or_else(|| {
            reader.report(0, "the file is empty");
            None
        }),
        Err(error) => {
            let message = error.kind().to_string().to_lowercase();
            reader.report(error.range().start, message);
            None
        }
    }
}

/// The names of a document's outermost fields; none if its syntax is wrong.
pub(super) fn field_names(text: &str) -> Vec<Box<str>> {
    let value = syntax(text, &mut Reader::default());
    let object = value.as_ref().and_then(ast::Value::as_object);
    let properties = object.map(|o| o.properties.as_slice()).unwrap_or_default();
    properties.iter().map(|p| p.name.as_str().into()).collect()
}

fn strict() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Implements [`Read`] for a struct, field by field; `= value` gives an absent field's default.
macro_rules! read_object {
    ($type:ty { $($field:ident $(= $default:expr)?),* $(,)? }) => {
        impl $crate::config::read::Read for $type {
            fn read(
                value: &jsonc_parser::ast::Value<'_>,
                reader: &mut $crate::config::read::Reader,
            ) -> Option<Self> {
                let object = reader.object(value, &[$(stringify!($field)),*])?;
                $(let $field = $crate::config::read::read_object!(
                    @field reader, object, $field $(, $default)?
                );)*
                Some(Self { $($field: $field?),* })
            }
        }
    };
    (@field $reader:ident, $object:ident, $field:ident) => {
        $reader.field($object, stringify!($field))
    };
    (@field $reader:ident, $object:ident, $field:ident, $default:expr) => {
        $reader.field_or($object, stringify!($field), || $default)
    };
}
pub(crate) use read_object;

/// Implements [`Read`] for types that parse from a text.
macro_rules! read_text {
    ($($type:ty: $what:literal),* $(,)?) => {$(
        impl $crate::config::read::Read for $type {
            fn read(
                value: &jsonc_parser::ast::Value<'_>,
                reader: &mut $crate::config::read::Reader,
            ) -> Option<Self> {
                reader.parse(value, $what, str::parse)
            }
        }
    )*};
}
pub(crate) use read_text;

read_text! {
    id::Region: "a name",
    id::DataCentre: "a name",
    id::Vm: "a name",
    id::Team: "a name",
    id::Model: "a name",
    id::Adapter: "a name",
    id::Group: "a name",
    id::Rank: "a name",
    id::Class: "a name",
    id::Service: "a name",
    id::Route: "a name",
}

impl Read for net::SocketAddr {
    fn read(value: &ast::Value<'_>, reader: &mut Reader) -> Option<Self> {
        let what = "an address such as \"10.0.0.1:7400\"";
        let text = reader.text(value, what)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => reader.expected(what, value),
        }
    }
}

impl Read for bool {
    fn read(value: &ast::Value<'_>, reader: &mut Reader) -> Option<Self> {
        match value {
            ast::Value::BooleanLit(boolean) => Some(boolean.value),
            _ => reader.expected("true or false", value),
        }
    }
}

impl Read for u32 {
    fn read(value: &ast::Value<'_>, reader: &mut Reader) -> Option<Self> {
        let parsed = value.as_number_lit().and_then(|n| n.value.parse().ok());
        parsed.or_else(|| reader.expected("a whole number from 0 to 4294967295", value))
    }
}

impl<T: Read> Read for Vec<T> {
    fn read(value: &ast::Value<'_>, reader: &mut Reader) -> Option<Self> {
        let ast::Value::Array(array) = value else {
            return reader.wrong_type("a list", value);
        };
        let elements = array.elements.iter().enumerate();
        let read = elements.map(|(i, element)| reader.at_index(i, |r| T::read(element, r)));
        // Reads every element before it fails, so that the problems of all are reported.
        read.collect::<Vec<_>>().into_iter().collect()
    }
}

/// The text is none of the words that are known here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected one of {expected}, found \"{found}\"")]
pub struct Unrecognized {
    expected: &'static str,
    found: Box<str>,
}

impl Unrecognized {
    /// Creates the error; `expected` lists the known words.
    pub fn new(found: &str, expected: &'static str) -> Self {
        Self { expected, found: printable(found).into() }
    }
}
