//! Documents of the planner: problems in JSON with comments, plans in JSON.

use jsonc_parser::{ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::{Deserialize, Serialize};

use crate::plan::{check, cost, map, problem};

/// A plan with its cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The planned map.
    pub map: map::Map,
    /// Slots of the planned map that the current map lacks; 0 without a current map.
    pub moves: usize,
    /// Mean skew over layers.
    pub skew: f64,
    /// Lower bound of the step time in seconds.
    pub bound: f64,
    /// Planned step time in seconds.
    pub seconds: f64,
}

impl Plan {
    /// Combines `map` with its cost.
    pub fn new(problem: &problem::Problem, map: map::Map) -> Self {
        let cost::Cost { moves, skew, bound, seconds } = cost::Cost::new(problem, &map);
        Self { map, moves, skew, bound, seconds }
    }
}

/// Parses and checks a problem.
///
/// # Errors
///
/// [`problem::Error::Syntax`] if the text is not a valid document, else the first fault found.
pub fn parse(text: &str) -> Result<problem::Problem, problem::Error> {
    let options = options();
    let syntax = |e: jsonc_parser::errors::ParseError| {
        let reason = e.to_string().replace('\n', " ");
        problem::Error::Syntax(lower_first(&reason).into())
    };
    // Enforces the nesting limit before values are built.
    parse_to_ast(text, &Default::default(), &options).map_err(syntax)?;
    let problem: problem::Problem = parse_to_serde_value(text, &options).map_err(syntax)?;
    problem.check()?;
    if let Some(current) = &problem.current {
        check::map(&problem, current)?;
    }
    Ok(problem)
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn lower_first(text: &str) -> String {
    let mut chars = text.chars();
    let first = chars.next().map(|c| c.to_ascii_lowercase());
    first.into_iter().chain(chars).collect()
}
