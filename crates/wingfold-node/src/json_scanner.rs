//! Checks the syntax of a JSON text that arrives in pieces, byte by byte and in constant memory.
//!
//! `serde_json` reads a text only once all of it is in memory. A message that is long is scanned while it
//! arrives instead, so that neither its length nor its shape determines the memory that it takes.

/// Limit on the depth of nested containers.
const MAX_DEPTH: usize = 512;
/// Bits in one word of [`ContainerStack`].
const WORD_BITS: usize = u64::BITS as usize;

/// The text is not valid JSON.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SyntaxError {
    /// A byte is not allowed where it stands.
    #[error("unexpected byte {0:#04x}")]
    UnexpectedByte(u8),
    /// Containers are nested more deeply than [`MAX_DEPTH`].
    #[error("containers are nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// The text ended inside a value.
    #[error("the text ends inside a value")]
    Incomplete,
}

/// What a byte is part of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    /// Whitespace between tokens.
    Whitespace,
    /// An opening bracket.
    Open(Container),
    /// A closing bracket.
    Close,
    /// A comma between members or elements.
    Comma,
    /// The colon between a key and its value.
    Colon,
    /// A key, quotes included.
    Key,
    /// A string, number or literal, quotes included.
    Scalar,
}

/// The kind of a container.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Container {
    /// An object.
    Object,
    /// An array.
    Array,
}

/// A syntax checker, with its state between two bytes.
#[derive(Debug)]
pub struct JsonScanner {
    state: State,
    containers: ContainerStack,
}

/// What may follow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Value,
    FirstElement,
    FirstKey,
    Key,
    Colon,
    CommaOrClose,
    String {
        is_key: bool,
        state: StringState,
    },
    Number(NumberState),
    /// The rest of `true`, `false` or `null`.
    Literal(&'static [u8]),
    End,
}

/// The state inside a string.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StringState {
    Plain,
    /// After a backslash.
    Escape,
    /// Inside `\uXXXX`, with this number of hexadecimal digits missing.
    Unicode(u8),
    /// Inside a character of several bytes: the next byte lies between `min` and `max`, and `more` bytes
    /// follow it.
    Character {
        min: u8,
        max: u8,
        more: u8,
    },
}

/// The state inside a number.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NumberState {
    Minus,
    Zero,
    Integer,
    Point,
    Fraction,
    Exponent,
    ExponentSign,
    ExponentDigits,
}

impl JsonScanner {
    /// Creates a scanner at the beginning of a text.
    pub fn new() -> JsonScanner {
        JsonScanner { state: State::Value, containers: ContainerStack::default() }
    }

    /// The number of containers that are open.
    pub fn depth(&self) -> usize {
        self.containers.depth
    }

    /// Whether the text scanned so far is a complete value; a number at the top level never is.
    pub fn is_complete(&self) -> bool {
        self.state == State::End
    }

    /// The number of leading bytes that continue a string and leave the scanner as it is.
    pub fn plain_string_bytes(&self, bytes: &[u8]) -> usize {
        if !matches!(self.state, State::String { state: StringState::Plain, .. }) {
            return 0;
        }
        let is_plain = |byte: &&u8| matches!(**byte, 0x20 | 0x21 | 0x23..=0x5b | 0x5d..=0x7f);
        bytes.iter().take_while(is_plain).count()
    }

    /// Scans the next byte and returns what it is part of.
    pub fn advance(&mut self, byte: u8) -> Result<Part, SyntaxError> {
        match self.state {
            State::String { is_key, state } => self.advance_string(byte, is_key, state),
            State::Literal(rest) => self.advance_literal(byte, rest),
            State::Number(number) => match number.next(byte) {
                Some(next) => {
                    self.state = State::Number(next);
                    Ok(Part::Scalar)
                }
                None if number.may_end() => {
                    self.state = self.after_value();
                    self.advance_between_tokens(byte)
                }
                None => Err(SyntaxError::UnexpectedByte(byte)),
            },
            _ => self.advance_between_tokens(byte),
        }
    }

    fn advance_between_tokens(&mut self, byte: u8) -> Result<Part, SyntaxError> {
        match (self.state, byte) {
            (_, b' ' | b'\t' | b'\n' | b'\r') => Ok(Part::Whitespace),
            (State::FirstElement, b']') | (State::FirstKey, b'}') => self.close(),
            (State::Value | State::FirstElement, _) => self.begin_value(byte),
            (State::FirstKey | State::Key, b'"') => {
                self.state = State::String { is_key: true, state: StringState::Plain };
                Ok(Part::Key)
            }
            (State::Colon, b':') => {
                self.state = State::Value;
                Ok(Part::Colon)
            }
            (State::CommaOrClose, b',') => {
                self.state = match self.containers.innermost() {
                    Container::Object => State::Key,
                    Container::Array => State::Value,
                };
                Ok(Part::Comma)
            }
            (State::CommaOrClose, b']') if self.containers.innermost() == Container::Array => self.close(),
            (State::CommaOrClose, b'}') if self.containers.innermost() == Container::Object => self.close(),
            _ => Err(SyntaxError::UnexpectedByte(byte)),
        }
    }

    fn begin_value(&mut self, byte: u8) -> Result<Part, SyntaxError> {
        self.state = match byte {
            b'{' => return self.open(Container::Object),
            b'[' => return self.open(Container::Array),
            b'"' => State::String { is_key: false, state: StringState::Plain },
            b't' => State::Literal(b"rue"),
            b'f' => State::Literal(b"alse"),
            b'n' => State::Literal(b"ull"),
            b'-' => State::Number(NumberState::Minus),
            b'0' => State::Number(NumberState::Zero),
            b'1'..=b'9' => State::Number(NumberState::Integer),
            _ => return Err(SyntaxError::UnexpectedByte(byte)),
        };
        Ok(Part::Scalar)
    }

    fn open(&mut self, container: Container) -> Result<Part, SyntaxError> {
        self.containers.push(container)?;
        self.state = match container {
            Container::Object => State::FirstKey,
            Container::Array => State::FirstElement,
        };
        Ok(Part::Open(container))
    }

    fn close(&mut self) -> Result<Part, SyntaxError> {
        self.containers.pop();
        self.state = self.after_value();
        Ok(Part::Close)
    }

    /// The state after a complete value.
    fn after_value(&self) -> State {
        if self.containers.depth == 0 {
            State::End
        } else {
            State::CommaOrClose
        }
    }

    fn advance_literal(&mut self, byte: u8, rest: &'static [u8]) -> Result<Part, SyntaxError> {
        match rest.split_first() {
            Some((expected, rest)) if *expected == byte => {
                self.state = if rest.is_empty() { self.after_value() } else { State::Literal(rest) };
                Ok(Part::Scalar)
            }
            _ => Err(SyntaxError::UnexpectedByte(byte)),
        }
    }

    fn advance_string(&mut self, byte: u8, is_key: bool, state: StringState) -> Result<Part, SyntaxError> {
        self.state = match (state, byte) {
            (StringState::Plain, b'"') if is_key => State::Colon,
            (StringState::Plain, b'"') => self.after_value(),
            _ => {
                let next = state.next(byte).ok_or(SyntaxError::UnexpectedByte(byte))?;
                State::String { is_key, state: next }
            }
        };
        Ok(if is_key { Part::Key } else { Part::Scalar })
    }
}

impl StringState {
    /// The state after a byte that does not end the string; `None` if the byte is not allowed.
    fn next(self, byte: u8) -> Option<StringState> {
        match self {
            StringState::Plain => StringState::after_plain(byte),
            StringState::Escape => match byte {
                b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(StringState::Plain),
                b'u' => Some(StringState::Unicode(4)),
                _ => None,
            },
            StringState::Unicode(_) if !byte.is_ascii_hexdigit() => None,
            StringState::Unicode(1) => Some(StringState::Plain),
            StringState::Unicode(missing) => Some(StringState::Unicode(missing - 1)),
            StringState::Character { min, max, .. } if !(min..=max).contains(&byte) => None,
            StringState::Character { more: 0, .. } => Some(StringState::Plain),
            StringState::Character { more, .. } => {
                Some(StringState::Character { min: 0x80, max: 0xbf, more: more - 1 })
            }
        }
    }

    /// The state after a byte outside escapes and characters of several bytes. The ranges are those of
    /// well-formed UTF-8 (Unicode Standard, table 3-7).
    fn after_plain(byte: u8) -> Option<StringState> {
        let (min, max, more) = match byte {
            b'\\' => return Some(StringState::Escape),
            0x20..=0x7f => return Some(StringState::Plain),
            0xc2..=0xdf => (0x80, 0xbf, 0),
            0xe0 => (0xa0, 0xbf, 1),
            0xe1..=0xec | 0xee..=0xef => (0x80, 0xbf, 1),
            0xed => (0x80, 0x9f, 1),
            0xf0 => (0x90, 0xbf, 2),
            0xf1..=0xf3 => (0x80, 0xbf, 2),
            0xf4 => (0x80, 0x8f, 2),
            _ => return None,
        };
        Some(StringState::Character { min, max, more })
    }
}

impl NumberState {
    /// The state after a byte that continues the number; `None` if the byte does not.
    fn next(self, byte: u8) -> Option<NumberState> {
        use NumberState::*;
        Some(match (self, byte) {
            (Minus, b'0') => Zero,
            (Minus, b'1'..=b'9') | (Integer, b'0'..=b'9') => Integer,
            (Zero | Integer, b'.') => Point,
            (Point | Fraction, b'0'..=b'9') => Fraction,
            (Zero | Integer | Fraction, b'e' | b'E') => Exponent,
            (Exponent, b'+' | b'-') => ExponentSign,
            (Exponent | ExponentSign | ExponentDigits, b'0'..=b'9') => ExponentDigits,
            _ => return None,
        })
    }

    /// Whether the number is complete.
    fn may_end(self) -> bool {
        use NumberState::*;
        matches!(self, Zero | Integer | Fraction | ExponentDigits)
    }
}

/// The kinds of the open containers, one bit each.
#[derive(Debug, Default)]
struct ContainerStack {
    depth: usize,
    /// A bit is set if the container at that depth is an object.
    objects: [u64; MAX_DEPTH / WORD_BITS],
}

impl ContainerStack {
    fn push(&mut self, container: Container) -> Result<(), SyntaxError> {
        let word = self.objects.get_mut(self.depth / WORD_BITS).ok_or(SyntaxError::TooDeep)?;
        let bit = 1 << (self.depth % WORD_BITS);
        match container {
            Container::Object => *word |= bit,
            Container::Array => *word &= !bit,
        }
        self.depth += 1;
        Ok(())
    }

    fn pop(&mut self) {
        self.depth = self.depth.saturating_sub(1);
    }

    /// The kind of the innermost container; an array where none is open.
    fn innermost(&self) -> Container {
        let Some(index) = self.depth.checked_sub(1) else { return Container::Array };
        if self.objects[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1 {
            Container::Object
        } else {
            Container::Array
        }
    }
}

#[cfg(test)]
mod tests;
