//! Small JSON reader, and escaping for what is written.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(fields) => fields
                .iter()
                .find(|it| it.0 == name)
                .map_or(&Value::Null, |it| &it.1),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

/// Text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            it if (it as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", it as u32)),
            it => quoted.push(it),
        }
    }
    quoted.push('"');
    quoted
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut parser = Parser {
        rest: text.trim_start(),
    };
    parser.value()
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self, count: usize) {
        self.rest = self.rest[count..].trim_start();
    }

    fn eat(&mut self, it: char) -> bool {
        let found = self.rest.starts_with(it);
        if found {
            self.skip(it.len_utf8());
        }
        found
    }

    fn value(&mut self) -> Option<Value> {
        for (word, value) in [
            ("null", Value::Null),
            ("true", Value::Bool(true)),
            ("false", Value::Bool(false)),
        ] {
            if self.rest.starts_with(word) {
                self.skip(word.len());
                return Some(value);
            }
        }
        match self.rest.chars().next()? {
            '{' => {
                self.skip(1);
                let mut fields = Vec::new();
                while !self.eat('}') {
                    let name = self.string()?;
                    if !self.eat(':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    self.eat(',');
                }
                Some(Value::Table(fields))
            }
            '[' => {
                self.skip(1);
                let mut items = Vec::new();
                while !self.eat(']') {
                    items.push(self.value()?);
                    self.eat(',');
                }
                Some(Value::List(items))
            }
            '"' => self.string().map(Value::Text),
            _ => {
                let is_number = |it: char| it.is_ascii_digit() || "+-.eE".contains(it);
                let end = self
                    .rest
                    .find(|it| !is_number(it))
                    .unwrap_or(self.rest.len());
                let number = self.rest[..end].parse().ok()?;
                self.skip(end);
                Some(Value::Number(number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        let mut text = String::new();
        let mut chars = self.rest.char_indices().skip(1);
        while let Some((index, it)) = chars.next() {
            match it {
                '"' => {
                    self.skip(index + 1);
                    return Some(text);
                }
                '\\' => match chars.next()?.1 {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'b' => text.push('\u{8}'),
                    'f' => text.push('\u{c}'),
                    'u' => {
                        let mut code = 0;
                        for _ in 0..4 {
                            code = code * 16 + chars.next()?.1.to_digit(16)?;
                        }
                        text.push(char::from_u32(code)?);
                    }
                    it => text.push(it),
                },
                it => text.push(it),
            }
        }
        None
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Text in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
