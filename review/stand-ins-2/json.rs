//! JSON values, as far as the calls of the store and of backend servers need them.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        Parser { text, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(all) => all,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::Text(text) => write!(f, "{}", quote(text)),
            Json::List(all) => {
                let all: Vec<String> = all.iter().map(ToString::to_string).collect();
                write!(f, "[{}]", all.join(","))
            }
            Json::Object(fields) => {
                let all: Vec<String> =
                    fields.iter().map(|(n, v)| format!("{}:{v}", quote(n))).collect();
                write!(f, "{{{}}}", all.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 0x20 => out += &format!("\\u{:04x}", c as u32),
            c => out.push(c),
        }
    }
    out + "\""
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, b: u8) -> bool {
        self.skip();
        let found = self.text.get(self.at) == Some(&b);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut all = Vec::new();
                while !self.take(b']') {
                    if !all.is_empty() && !self.take(b',') {
                        return None;
                    }
                    all.push(self.value()?);
                }
                Some(Json::List(all))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    if !fields.is_empty() && !self.take(b',') {
                        return None;
                    }
                    self.skip();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                }
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.at;
                let part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.text.get(self.at).is_some_and(part) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let b = *self.text.get(self.at)?;
            self.at += 1;
            match b {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
