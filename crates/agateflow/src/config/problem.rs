//! Problems of a file, each with its position.

use std::fmt;

/// Most problems reported of one file.
pub const MAX_PROBLEMS: usize = 1000;

/// One problem of a settings or configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the value, such as `teams[0].limits.concurrency`; `.` is the whole file.
    pub path: Box<str>,
    /// What is wrong, in one line.
    pub message: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.line, self.column, self.path, self.message)
    }
}

/// All problems of one file in the order of their positions, at most [`MAX_PROBLEMS`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.to_lines())]
pub struct Problems(Box<[Problem]>);

impl Problems {
    /// The problems in the order of their positions.
    pub fn as_slice(&self) -> &[Problem] {
        &self.0
    }

    fn to_lines(&self) -> String {
        let lines = self.0.iter().map(Problem::to_string);
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// A problem at a byte offset, before its line and column are known.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) offset: usize,
    pub(super) path: Box<str>,
    pub(super) message: Box<str>,
}

/// Turns findings into problems with lines and columns, in one pass over `text`.
pub(super) fn locate(text: &str, mut findings: Vec<Finding>) -> Problems {
    findings.sort_by_key(|f| f.offset);
    let mut cursor = Cursor { text, offset: 0, line: 1, column: 1 };
    let problems = findings.into_iter().map(|finding| {
        cursor.advance(finding.offset);
        Problem {
            line: cursor.line,
            column: cursor.column,
            path: finding.path,
            message: finding.message,
        }
    });
    Problems(problems.collect())
}

struct Cursor<'a> {
    text: &'a str,
    offset: usize,
    line: usize,
    column: usize,
}

impl Cursor<'_> {
    fn advance(&mut self, offset: usize) {
        let passed = self.text.get(self.offset..offset).unwrap_or_default();
        for c in passed.chars() {
            if c == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.offset += passed.len();
    }
}
