//! Minimal JSON reader and base64 encoder, so that the stand-ins need no library.

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of an object, or `Null`.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    /// Returns the text of a string, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }

    /// Returns a whole number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    /// Returns the elements of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
}

/// Parses a JSON text; returns `Null` if it is not valid.
pub fn parse(text: &str) -> Json {
    let bytes = text.as_bytes();
    let mut at = 0;
    value(bytes, &mut at).unwrap_or(Json::Null)
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(b, at)?;
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Json::Text),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(b: &[u8], at: &mut usize, word: &str, json: Json) -> Option<Json> {
    let found = b[*at..].starts_with(word.as_bytes());
    *at += word.len();
    found.then_some(json)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *b.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| (n << 8) | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(SET[((n >> (18 - 6 * i)) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
