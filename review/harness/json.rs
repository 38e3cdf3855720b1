//! A small JSON value with a parser and a writer, and base64.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Str(value.into())
}

pub fn num(value: impl Into<f64>) -> Json {
    Json::Num(value.into())
}

pub fn map(fields: Vec<(&str, Json)>) -> Json {
    Json::Map(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) if value.fract() == 0.0 && value.abs() < 9e15 => {
                out.push_str(&(*value as i64).to_string());
            }
            Json::Num(value) => out.push_str(&value.to_string()),
            Json::Str(value) => write_text(value, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Map(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }
}

fn write_text(value: &str, out: &mut String) {
    out.push('"');
    for c in value.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(items));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.insert(key, self.value()?);
                    if self.take(b'}').is_some() {
                        return Some(Json::Map(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Num),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            let mut buffer = [0; 4];
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .fold(0u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(value >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
