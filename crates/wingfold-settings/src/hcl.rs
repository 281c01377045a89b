//! Reads settings files in HCL block by block. All invalid keys of a file are reported together, each with
//! its line, column and path. The diagnostic of an unknown key suggests the most similar known key.

mod diagnostic;

pub use self::diagnostic::{Diagnostic, Diagnostics};

use self::diagnostic::SourceFile;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{self, Body, Structure};
use hcl_edit::Span;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use std::time::Duration;

/// The largest number of characters of an invalid value that a diagnostic quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// A key with its value. `span` is the position of the key in the text.
struct Attribute {
    value: Expression,
    span: Option<Range<usize>>,
}

/// A nested block and its name.
struct NamedBlock {
    name: String,
    block: Block,
}

/// A block of a file, or the outermost block, which is the file itself. When a `Block` is dropped, its keys
/// and nested blocks that were never read are reported as unknown.
pub struct Block {
    source: Rc<SourceFile>,
    path: String,
    /// The label between the block's name and its brace.
    pub label: Option<String>,
    span: Option<Range<usize>>,
    attributes: RefCell<BTreeMap<String, Attribute>>,
    blocks: RefCell<Vec<NamedBlock>>,
    /// The names of all keys and nested blocks that were looked up, whether or not the file has them.
    known_keys: RefCell<Vec<&'static str>>,
}

/// Parses a file's text and passes its outermost block to `read`. Returns the result of `read` only if the
/// file is valid.
pub fn read<T>(file: &str, text: &str, read: impl FnOnce(&Block) -> T) -> Result<T, Diagnostics> {
    let body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(error) => return Err(Diagnostics(vec![Diagnostic::syntax_error(file, &error)])),
    };
    let source = Rc::new(SourceFile::new(file, text));
    let block = Block::new(source.clone(), String::new(), None, None, body);
    let value = read(&block);
    // Dropping the block reports unknown keys, so this must precede `take_diagnostics`.
    drop(block);
    let diagnostics = source.take_diagnostics();
    if diagnostics.is_empty() {
        Ok(value)
    } else {
        Err(Diagnostics(diagnostics))
    }
}

impl Block {
    fn new(
        source: Rc<SourceFile>,
        path: String,
        label: Option<String>,
        span: Option<Range<usize>>,
        body: Body,
    ) -> Block {
        let mut block = Block {
            source,
            path,
            label,
            span,
            attributes: RefCell::default(),
            blocks: RefCell::default(),
            known_keys: RefCell::default(),
        };
        for structure in body {
            block.add_structure(structure);
        }
        block
    }

    fn add_structure(&mut self, structure: Structure) {
        let span = structure.span();
        match structure.into_attribute() {
            Ok(attribute) => self.add_attribute(attribute, span),
            Err(structure) => {
                if let Ok(block) = structure.into_block() {
                    self.add_block(block, span);
                }
            }
        }
    }

    fn add_attribute(&mut self, attribute: structure::Attribute, span: Option<Range<usize>>) {
        let name = attribute.key.as_str().to_string();
        let span = attribute.key.span().or(span);
        let attributes = self.attributes.get_mut();
        if attributes.contains_key(&name) {
            self.source.report(span, &self.key_path(&name), "is set twice in this block".into());
            return;
        }
        attributes.insert(name, Attribute { value: attribute.value, span });
    }

    fn add_block(&mut self, block: structure::Block, span: Option<Range<usize>>) {
        let name = block.ident.as_str().to_string();
        let span = block.ident.span().or(span);
        let label = block.labels.first().map(|label| label.as_str().to_string());
        let path = match &label {
            Some(label) => format!("{}[{label}]", self.key_path(&name)),
            None => self.key_path(&name),
        };
        let block = Block::new(self.source.clone(), path, label, span, block.body);
        self.blocks.get_mut().push(NamedBlock { name, block });
    }

    fn key_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Reports a problem with the block as a whole.
    pub fn report(&self, problem: impl Into<String>) {
        self.source.report(self.span.clone(), &self.path, problem.into());
    }

    /// Reports a problem with the block as a whole, and ignores its contents: they are not reported as
    /// unknown.
    pub fn reject(&self, problem: impl Into<String>) {
        self.report(problem);
        self.discard();
    }

    /// Reports a problem with one of the block's keys, at the position `span` or, if that is `None`, at the
    /// block's position.
    pub fn report_key(&self, name: &str, span: Option<Range<usize>>, problem: impl Into<String>) {
        self.source.report(span.or(self.span.clone()), &self.key_path(name), problem.into());
    }

    /// Removes a key from the block, and adds the name to the known keys even if the block has no such key.
    fn take_attribute(&self, name: &'static str) -> Option<Attribute> {
        self.known_keys.borrow_mut().push(name);
        self.attributes.borrow_mut().remove(name)
    }

    /// Takes a key and converts its value with `read`. If `read` returns `None`, the value is invalid and is
    /// reported.
    fn read_value<T>(
        &self,
        name: &'static str,
        expected: &str,
        read: impl FnOnce(&Expression) -> Option<T>,
    ) -> Option<T> {
        let attribute = self.take_attribute(name)?;
        let value = read(&attribute.value);
        if value.is_none() {
            let found = attribute.value.to_string();
            let found: String = found.trim().chars().take(MAX_QUOTED_CHARS).collect();
            self.report_key(name, attribute.span, format!("{expected} is expected, `{found}` was found"));
        }
        value
    }

    /// The boolean value of a key; `None` if the key is absent or its value was reported as invalid, as for
    /// all types below.
    pub fn boolean(&self, name: &'static str) -> Option<bool> {
        self.read_value(name, "true or false", Expression::as_bool)
    }

    /// The string value of a key.
    pub fn string(&self, name: &'static str) -> Option<String> {
        self.read_value(name, "a string in quotes", |value| value.as_str().map(str::to_string))
    }

    /// The value of a key that must be one of these keywords.
    pub fn keyword(&self, name: &'static str, keywords: &[&'static str]) -> Option<&'static str> {
        let quoted: Vec<String> = keywords.iter().map(|keyword| format!("\"{keyword}\"")).collect();
        let expected = format!("one of {}", quoted.join(", "));
        self.read_value(name, &expected, |value| {
            keywords.iter().find(|keyword| value.as_str() == Some(**keyword)).copied()
        })
    }

    /// The value of a key that must be an integer within `range`.
    pub fn integer(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.read_value(name, &expected, |value| {
            value.as_number().and_then(|number| number.as_u64()).filter(|number| range.contains(number))
        })
    }

    /// The value of a key that must be a number within `range`.
    pub fn number(&self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.read_value(name, &expected, |value| {
            value.as_number().and_then(|number| number.as_f64()).filter(|number| range.contains(number))
        })
    }

    /// The minimum and the maximum of a range that a key gives as `[min, max]`, both within `range`. A single
    /// number is both the minimum and the maximum.
    pub fn number_range(&self, name: &'static str, range: RangeInclusive<f64>) -> Option<(f64, f64)> {
        let expected = format!("a number or [min, max] within {} to {}", range.start(), range.end());
        let number = |value: &Expression| {
            value.as_number().and_then(|number| number.as_f64()).filter(|number| range.contains(number))
        };
        self.read_value(name, &expected, |value| match value.as_array() {
            None => number(value).map(|single| (single, single)),
            Some(bounds) if bounds.len() == 2 => {
                let min = number(bounds.get(0)?)?;
                let max = number(bounds.get(1)?)?;
                (min <= max).then_some((min, max))
            }
            Some(_) => None,
        })
    }

    /// The value of a key that must be a duration within `range`, such as "250ms" or "10m".
    pub fn duration(&self, name: &'static str, range: RangeInclusive<Duration>) -> Option<Duration> {
        let expected = format!(
            "a duration from \"{}\" to \"{}\", such as \"250ms\", \"10s\" or \"5m\"",
            humantime::format_duration(*range.start()),
            humantime::format_duration(*range.end())
        );
        self.read_value(name, &expected, |value| {
            humantime::parse_duration(value.as_str()?).ok().filter(|duration| range.contains(duration))
        })
    }

    /// The value of a key that must be a list of strings.
    pub fn strings(&self, name: &'static str) -> Option<Vec<String>> {
        self.read_value(name, "a list of strings in quotes", |value| {
            value.as_array()?.iter().map(|element| element.as_str().map(str::to_string)).collect()
        })
    }

    /// Returns `value`, which was read from the required key `name`. If `value` is `None`, returns `fallback`
    /// and reports the key as missing, unless its value was already reported as invalid.
    pub fn require<T>(&self, name: &'static str, value: Option<T>, fallback: T) -> T {
        if value.is_none() && !self.source.has_diagnostic(&self.key_path(name)) {
            self.report_key(name, None, "is missing");
        }
        value.unwrap_or(fallback)
    }

    /// The first nested block of this name; further blocks of the name are reported.
    pub fn block(&self, name: &'static str) -> Option<Block> {
        let mut blocks = self.blocks(name).into_iter();
        let first = blocks.next();
        for duplicate in blocks {
            duplicate.reject("is defined twice");
        }
        first
    }

    /// All nested blocks of this name, in the order of the file.
    pub fn blocks(&self, name: &'static str) -> Vec<Block> {
        self.known_keys.borrow_mut().push(name);
        let mut matching = Vec::new();
        let mut others = Vec::new();
        for named in self.blocks.take() {
            if named.name == name {
                matching.push(named.block);
            } else {
                others.push(named);
            }
        }
        self.blocks.replace(others);
        matching
    }

    /// Discards all keys and nested blocks that were not read, so that they are not reported as unknown.
    fn discard(&self) {
        self.attributes.take();
        for named in self.blocks.take() {
            named.block.discard();
        }
    }

    /// Reports all keys and nested blocks that were not read.
    fn report_unknown_keys(&self) {
        let known_keys = self.known_keys.take();
        for (name, attribute) in self.attributes.take() {
            self.report_key(&name, attribute.span, unknown_key(&name, &known_keys));
        }
        for named in self.blocks.take() {
            named.block.reject(unknown_key(&named.name, &known_keys));
        }
    }
}

impl Drop for Block {
    fn drop(&mut self) {
        self.report_unknown_keys();
    }
}

/// Describes an unknown key, and suggests the most similar known key. If no known key is similar, lists all
/// of them.
fn unknown_key(name: &str, known_keys: &[&'static str]) -> String {
    let distances = known_keys.iter().map(|known| (strsim::damerau_levenshtein(name, known), *known));
    match distances.min() {
        Some((distance, nearest)) if distance <= 1 + nearest.len() / 3 => {
            format!("is not known; did you mean `{nearest}`?")
        }
        _ => format!("is not known; the known keys are {}", known_keys.join(", ")),
    }
}
