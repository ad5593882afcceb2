//! A small reader and writer of JSON, so that the review needs no dependency.

use std::fmt::Write;

/// A JSON value; numbers are kept as their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Bool(bool),
    List(Vec<Json>),
    Null,
    Number(String),
    Object(Vec<(String, Json)>),
    Text(String),
}

impl Json {
    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value)
    }

    /// Returns a text field; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns a number field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Json::Number(text)) => text.parse().unwrap_or_default(),
            _ => 0,
        }
    }

    /// Returns the elements of a list field; none if there is no such list.
    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.field(name) {
            Some(Json::List(elements)) => elements.clone(),
            _ => Vec::new(),
        }
    }

    /// Parses a whole JSON text.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            rest: text.trim_end(),
        };
        let value = parser.value()?;
        parser.rest.is_empty().then_some(value)
    }
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> bool {
        self.skip_spaces();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.text().map(Json::Text),
            't' => self.take("true").then_some(Json::Bool(true)),
            'f' => self.take("false").then_some(Json::Bool(false)),
            'n' => self.take("null").then_some(Json::Null),
            _ => {
                let is_end = |letter: char| !"+-.0123456789eE".contains(letter);
                let end = self.rest.find(is_end).unwrap_or(self.rest.len());
                let (number, rest) = self.rest.split_at(end);
                self.rest = rest;
                (!number.is_empty()).then(|| Json::Number(number.to_owned()))
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.take("{");
        if self.take("}") {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_spaces();
            let name = self.text()?;
            if !self.take(":") {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take("}") {
                return Some(Json::Object(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut elements = Vec::new();
        self.take("[");
        if self.take("]") {
            return Some(Json::List(elements));
        }
        loop {
            elements.push(self.value()?);
            if self.take("]") {
                return Some(Json::List(elements));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        let mut letters = self.rest.strip_prefix('"')?.char_indices();
        let start = self.rest;
        let mut text = String::new();
        while let Some((index, letter)) = letters.next() {
            match letter {
                '"' => {
                    self.rest = &start[index + 2..];
                    return Some(text);
                }
                '\\' => match letters.next()?.1 {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let digits: String = letters.by_ref().take(4).map(|it| it.1).collect();
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        text.push(char::from_u32(code)?);
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
        None
    }
}

/// Writes a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if letter < ' ' => {
                let _ = write!(out, "\\u{:04x}", u32::from(letter));
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

/// Encodes bytes as base64, as the store's rows carry them.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= group.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    out
}
