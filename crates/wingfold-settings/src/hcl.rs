//! Reads HCL files of settings block by block: every fault is told at once, with its line, column and key, and a key
//! that nobody knows with the nearest one that somebody does. The syntax itself is a library's affair.

use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::Body;
use hcl_edit::Span;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use std::time::Duration;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file, as it was named.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// Its column, from 1, in characters.
    pub column: usize,
    /// The key's path, such as `capture.keep`.
    pub key: String,
    /// What was found or expected.
    pub problem: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, key, problem } = self;
        match key.is_empty() {
            true => write!(f, "{file}:{line}:{column}: {problem}"),
            false => write!(f, "{file}:{line}:{column}: key `{key}`: {problem}"),
        }
    }
}

/// All that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Diagnostics {}

struct SourceFile {
    file: String,
    text: String,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl SourceFile {
    fn report(&self, span: Option<Range<usize>>, key: &str, problem: String) {
        let at = span.map_or(0, |span| span.start).min(self.text.len());
        let before = &self.text[..(0..=at).rev().find(|at| self.text.is_char_boundary(*at)).unwrap_or(0)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let (file, key) = (self.file.clone(), key.to_string());
        self.diagnostics.borrow_mut().push(Diagnostic { file, line, column, key, problem });
    }
}

struct Attribute {
    value: Expression,
    span: Option<Range<usize>>,
}

/// One block of a file (the file itself is one), whose keys are asked for by name.
pub struct Block {
    source: Rc<SourceFile>,
    path: String,
    /// What stands between its name and its brace.
    pub label: Option<String>,
    span: Option<Range<usize>>,
    attributes: RefCell<BTreeMap<String, Attribute>>,
    blocks: RefCell<Vec<(String, Block)>>,
    known_keys: RefCell<Vec<&'static str>>,
}

/// Reads a file's text, and hands its outermost block to `read`. What `read` gives counts only where nothing at all is
/// wrong.
pub fn read<T>(file: &str, text: &str, read: impl FnOnce(&Block) -> T) -> Result<T, Diagnostics> {
    let sheet = SourceFile { file: file.into(), text: text.into(), diagnostics: RefCell::default() };
    let body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(error) => {
            let (line, column) = (error.location().line(), error.location().column());
            let problem = error.message().replace('\n', "; ");
            return Err(Diagnostics(vec![Diagnostic {
                file: file.into(),
                line,
                column,
                key: String::new(),
                problem,
            }]));
        }
    };
    let sheet = Rc::new(sheet);
    let block = Block::new(sheet.clone(), String::new(), None, None, body);
    let value = read(&block);
    block.report_unknown_keys();
    drop(block);
    let mut faults = sheet.diagnostics.take();
    faults.sort_by_key(|fault| (fault.line, fault.column));
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(Diagnostics(faults))
    }
}

impl Block {
    fn new(
        sheet: Rc<SourceFile>,
        path: String,
        label: Option<String>,
        span: Option<Range<usize>>,
        body: Body,
    ) -> Block {
        let (mut attributes, mut blocks) = (BTreeMap::new(), Vec::new());
        let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        for structure in body {
            let span = structure.span();
            match structure.into_attribute() {
                Ok(attribute) => {
                    let name = attribute.key.as_str().to_string();
                    let span = attribute.key.span().or(span);
                    if attributes.contains_key(&name) {
                        sheet.report(span, &join(&name), "stands twice in this block".into());
                        continue;
                    }
                    let value = Attribute { value: attribute.value, span: span.clone() };
                    attributes.insert(name, value);
                }
                Err(structure) => {
                    let Ok(block) = structure.into_block() else { continue };
                    let name = block.ident.as_str().to_string();
                    let span = block.ident.span().or(span);
                    let label = block.labels.first().map(|label| label.as_str().to_string());
                    let path = match &label {
                        Some(label) => format!("{}[{label}]", join(&name)),
                        None => join(&name),
                    };
                    blocks.push((name, Block::new(sheet.clone(), path, label, span, block.body)));
                }
            }
        }
        Block {
            source: sheet,
            path,
            label,
            span,
            attributes: RefCell::new(attributes),
            blocks: RefCell::new(blocks),
            known_keys: RefCell::default(),
        }
    }

    fn key_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Tells a fault of this block as a whole.
    pub fn report(&self, problem: impl Into<String>) {
        self.source.report(self.span.clone(), &self.path, problem.into());
    }

    /// Tells a fault of this block as a whole, and passes over what is in it.
    pub fn reject(&self, problem: impl Into<String>) {
        self.report(problem);
        self.discard();
    }

    /// Tells a fault of one of its keys.
    pub fn report_key(&self, name: &str, span: Option<Range<usize>>, problem: impl Into<String>) {
        self.source.report(span.or(self.span.clone()), &self.key_path(name), problem.into());
    }

    fn attribute(&self, name: &'static str) -> Option<Attribute> {
        self.known_keys.borrow_mut().push(name);
        self.attributes.borrow_mut().remove(name)
    }

    fn take_attribute<T>(
        &self,
        name: &'static str,
        expected: &str,
        read: impl FnOnce(&Expression) -> Option<T>,
    ) -> Option<T> {
        let attribute = self.attribute(name)?;
        let value = read(&attribute.value);
        if value.is_none() {
            let found = attribute.value.to_string();
            let found: String = found.trim().chars().take(40).collect();
            self.report_key(name, attribute.span, format!("{expected} is expected, `{found}` was found"));
        }
        value
    }

    /// A truth value.
    pub fn boolean(&self, name: &'static str) -> Option<bool> {
        self.take_attribute(name, "true or false", Expression::as_bool)
    }

    /// A text.
    pub fn string(&self, name: &'static str) -> Option<String> {
        self.take_attribute(name, "a text in quotes", |value| value.as_str().map(str::to_string))
    }

    /// One of a few words.
    pub fn keyword(&self, name: &'static str, words: &[&'static str]) -> Option<&'static str> {
        let expected =
            format!("one of {}", words.iter().map(|w| format!("\"{w}\"")).collect::<Vec<_>>().join(", "));
        self.take_attribute(name, &expected, |value| {
            words.iter().find(|word| value.as_str() == Some(**word)).copied()
        })
    }

    /// A whole number within bounds.
    pub fn integer(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.take_attribute(name, &expected, |value| {
            value.as_number().and_then(|number| number.as_u64()).filter(|number| range.contains(number))
        })
    }

    /// A number within bounds.
    pub fn number(&self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.take_attribute(name, &expected, |value| {
            value.as_number().and_then(|number| number.as_f64()).filter(|number| range.contains(number))
        })
    }

    /// Two numbers, the first no larger than the second; one alone stands for both.
    pub fn span(&self, name: &'static str, range: RangeInclusive<f64>) -> Option<(f64, f64)> {
        let expected = format!("a number or [least, most] within {} to {}", range.start(), range.end());
        let number = |value: &Expression| {
            value.as_number().and_then(|number| number.as_f64()).filter(|number| range.contains(number))
        };
        self.take_attribute(name, &expected, |value| match value.as_array() {
            None => number(value).map(|one| (one, one)),
            Some(two) if two.len() == 2 => {
                let (least, most) = (number(two.get(0)?)?, number(two.get(1)?)?);
                (least <= most).then_some((least, most))
            }
            Some(_) => None,
        })
    }

    /// A length of time such as "250ms" or "10m".
    pub fn duration(&self, name: &'static str, range: RangeInclusive<Duration>) -> Option<Duration> {
        let expected = format!(
            "a time from \"{}\" to \"{}\", such as \"250ms\", \"10s\" or \"5m\"",
            humantime::format_duration(*range.start()),
            humantime::format_duration(*range.end())
        );
        self.take_attribute(name, &expected, |value| {
            humantime::parse_duration(value.as_str()?).ok().filter(|time| range.contains(time))
        })
    }

    /// A list of texts.
    pub fn strings(&self, name: &'static str) -> Option<Vec<String>> {
        self.take_attribute(name, "a list of texts in quotes", |value| {
            value.as_array()?.iter().map(|one| one.as_str().map(str::to_string)).collect()
        })
    }

    /// An object of texts to numbers, such as `{ a = 1, b = 2 }`.
    pub fn number_map(&self, name: &'static str) -> Option<BTreeMap<String, f64>> {
        self.take_attribute(name, "an object of numbers", |value| {
            let entries = value.as_object()?.iter().map(|(key, value)| {
                let key = match key {
                    ObjectKey::Ident(ident) => ident.as_str().to_string(),
                    ObjectKey::Expression(key) => key.as_str()?.to_string(),
                };
                Some((key, value.expr().as_number()?.as_f64()?))
            });
            entries.collect()
        })
    }

    /// Makes sure that a value is there; gives a stand-in and tells the fault where it is not.
    pub fn require<T>(&self, name: &'static str, value: Option<T>, or: T) -> T {
        let told = || self.source.diagnostics.borrow().iter().any(|fault| fault.key == self.key_path(name));
        if value.is_none() && !told() {
            self.report_key(name, None, "is missing");
        }
        value.unwrap_or(or)
    }

    /// The block of this name, if there is one; a second one is a fault.
    pub fn block(&self, name: &'static str) -> Option<Block> {
        let mut found = self.blocks(name);
        for second in found.drain(1.min(found.len())..) {
            second.reject("stands twice");
        }
        found.pop()
    }

    /// All blocks of this name, in their order.
    pub fn blocks(&self, name: &'static str) -> Vec<Block> {
        self.known_keys.borrow_mut().push(name);
        let all = self.blocks.take();
        let (mut found, mut others) = (Vec::new(), Vec::new());
        for (is, block) in all {
            if is == name {
                found.push(block)
            } else {
                others.push((is, block))
            }
        }
        self.blocks.replace(others);
        found
    }

    /// Passes over all that was not asked for.
    fn discard(&self) {
        self.attributes.take();
        self.blocks.take().into_iter().for_each(|(_, block)| block.discard());
    }

    /// Tells what nobody asked for: each as a fault, with the nearest key that is known.
    fn report_unknown_keys(&self) {
        let known = self.known_keys.take();
        let near = |name: &str| {
            let near = known.iter().map(|known| (strsim::damerau_levenshtein(name, known), *known)).min();
            match near {
                Some((far, near)) if far <= 1 + near.len() / 3 => {
                    format!("is not known; did you mean `{near}`?")
                }
                _ => format!("is not known; here are {}", known.join(", ")),
            }
        };
        for (name, attribute) in self.attributes.take() {
            self.report_key(&name, attribute.span, near(&name));
        }
        for (name, block) in self.blocks.take() {
            block.reject(near(&name));
        }
    }
}

impl Drop for Block {
    fn drop(&mut self) {
        self.report_unknown_keys();
    }
}
