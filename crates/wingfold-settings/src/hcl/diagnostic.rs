//! Diagnostics: the problems in a file, with their positions.

use std::cell::RefCell;
use std::fmt;
use std::ops::Range;

/// A problem in a file, and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The name of the file, as the caller gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The path of the key, such as `capture.keep`; empty for a syntax error.
    pub key: String,
    /// Why the key is invalid.
    pub problem: String,
}

impl Diagnostic {
    pub(super) fn syntax_error(file: &str, error: &hcl_edit::parser::Error) -> Diagnostic {
        Diagnostic {
            file: file.into(),
            line: error.location().line(),
            column: error.location().column(),
            key: String::new(),
            problem: error.message().replace('\n', "; "),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, key, problem } = self;
        if key.is_empty() {
            write!(f, "{file}:{line}:{column}: {problem}")
        } else {
            write!(f, "{file}:{line}:{column}: key `{key}`: {problem}")
        }
    }
}

/// All problems in a file, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Diagnostics {}

/// The text of a file that is being read, with the problems found so far.
pub(super) struct SourceFile {
    name: String,
    text: String,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl SourceFile {
    pub(super) fn new(name: &str, text: &str) -> SourceFile {
        SourceFile { name: name.into(), text: text.into(), diagnostics: RefCell::default() }
    }

    /// Adds a problem at the beginning of `span`, or at the beginning of the file if `span` is `None`.
    pub(super) fn report(&self, span: Option<Range<usize>>, key: &str, problem: String) {
        let offset = span.map_or(0, |span| span.start);
        let before = self.text_before(offset);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let diagnostic = Diagnostic { file: self.name.clone(), line, column, key: key.to_string(), problem };
        self.diagnostics.borrow_mut().push(diagnostic);
    }

    /// The text before a byte offset. If the offset lies inside a character, the text before that character.
    fn text_before(&self, offset: usize) -> &str {
        let offset = offset.min(self.text.len());
        let boundary = (0..=offset).rev().find(|index| self.text.is_char_boundary(*index)).unwrap_or(0);
        &self.text[..boundary]
    }

    /// Whether a problem with this key was reported.
    pub(super) fn has_diagnostic(&self, key: &str) -> bool {
        self.diagnostics.borrow().iter().any(|diagnostic| diagnostic.key == key)
    }

    /// Removes and returns all problems found so far, sorted by position.
    pub(super) fn take_diagnostics(&self) -> Vec<Diagnostic> {
        let mut diagnostics = self.diagnostics.take();
        diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        diagnostics
    }
}
