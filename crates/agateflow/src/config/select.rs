//! Selection of a document's values by pattern.

use jsonc_parser::ast;

use super::read;

/// A value and its path.
#[derive(Clone, Debug)]
pub(crate) struct Place<'v, 'a> {
    pub(crate) value: &'v ast::Value<'a>,
    pub(crate) path: String,
}

impl<'v, 'a> Place<'v, 'a> {
    /// The whole document.
    pub(crate) fn root(value: &'v ast::Value<'a>) -> Self {
        Self { value, path: String::new() }
    }

    /// The places that `pattern` names below this one, such as `groups/*/ranks/*/vm`.
    pub(crate) fn select(&self, pattern: &str) -> Vec<Self> {
        let mut places = vec![self.clone()];
        for segment in pattern.split('/') {
            places = places.iter().flat_map(|place| place.children(segment)).collect();
        }
        places
    }

    fn children(&self, segment: &str) -> Vec<Self> {
        match (segment, self.value) {
            ("*", ast::Value::Array(array)) => {
                let elements = array.elements.iter().enumerate();
                elements
                    .map(|(i, v)| Self { value: v, path: format!("{}[{i}]", self.path) })
                    .collect()
            }
            (name, ast::Value::Object(object)) => {
                let dot = if self.path.is_empty() { "" } else { "." };
                let property = object.get(name);
                let child = |p: &'v ast::ObjectProp<'a>| Self {
                    value: &p.value,
                    path: [&self.path, dot, name].concat(),
                };
                property.map(child).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// The value as text.
    pub(crate) fn text(&self) -> Option<&'v str> {
        self.value.as_string_lit().map(|text| &*text.value)
    }

    /// The value as `T`; `None` if it is none, which reading the document has reported.
    pub(crate) fn read<T: read::Read>(&self) -> Option<T> {
        T::read(self.value, &mut read::Reader::default())
    }
}
