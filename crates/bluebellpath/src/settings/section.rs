//! Object of a settings file and its fields.

use std::cell::RefCell;

use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};

use super::{Fault, rule::Rule};

/// Maximum length of a quoted value, in characters.
const MAX_QUOTED_CHARS: usize = 40;

/// Maximum edit distance at which a known name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Field whose value is not quoted in faults.
const SECRET_FIELD: &str = "key";

/// Text of a settings file and the faults found in it so far.
pub(super) struct Source<'a> {
    text: &'a str,
    faults: RefCell<Vec<(usize, Fault)>>,
}

impl<'a> Source<'a> {
    pub(super) fn new(text: &'a str) -> Source<'a> {
        Source {
            text,
            faults: RefCell::default(),
        }
    }

    /// Reports a fault at the byte `offset`.
    pub(super) fn report(&self, offset: usize, field: &str, found: String, allowed: &str) {
        self.push(offset, field, found, allowed.to_owned(), None);
    }

    /// Returns all faults in the order of their positions.
    pub(super) fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|it| it.0);
        faults.into_iter().map(|it| it.1).collect()
    }

    fn push(
        &self,
        offset: usize,
        field: &str,
        found: String,
        allowed: String,
        nearest: Option<String>,
    ) {
        let before = &self.text[..offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        let fault = Fault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            field: field.to_owned(),
            found,
            allowed,
            nearest,
        };
        self.faults.borrow_mut().push((offset, fault));
    }

    fn describe(&self, value: &Value<'_>) -> String {
        match value {
            Value::Object(_) => "an object".to_owned(),
            Value::Array(it) if it.elements.is_empty() => "an empty list".to_owned(),
            _ => {
                let text = value.text(self.text);
                let mut quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
                if quoted.len() < text.len() {
                    quoted.push('…');
                }
                quoted
            }
        }
    }
}

/// Object of a settings file, which records the fields read so far.
pub(super) struct Section<'a> {
    source: &'a Source<'a>,
    path: String,
    object: &'a Object<'a>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    pub(super) fn new(source: &'a Source<'a>, object: &'a Object<'a>) -> Section<'a> {
        Section {
            source,
            path: String::new(),
            object,
            known: RefCell::default(),
        }
    }

    /// Byte offset of the object in the text.
    pub(super) fn offset(&self) -> usize {
        self.object.range.start
    }

    /// Byte offset of the value of `name`, or of the object if there is none.
    pub(super) fn offset_of(&self, name: &str) -> usize {
        let property = self.object.get(name);
        property.map_or(self.offset(), |it| it.value.range().start)
    }

    /// Path of the field `name`.
    pub(super) fn field(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        }
    }

    /// Reads a required value. Reports a fault if it is missing or invalid.
    pub(super) fn required<T>(&self, name: &'static str, rule: &Rule<T>) -> Option<T> {
        match self.value(name) {
            Some(value) => self.parse(name, value, rule),
            None => {
                let found = "nothing".to_owned();
                let field = self.field(name);
                self.source
                    .report(self.offset(), &field, found, rule.allowed);
                None
            }
        }
    }

    /// Reads an optional value. Reports a fault if it is invalid.
    pub(super) fn optional<T>(&self, name: &'static str, rule: &Rule<T>) -> Option<T> {
        self.value(name)
            .and_then(|value| self.parse(name, value, rule))
    }

    /// Returns an optional nested object. Reports a fault for any other value.
    pub(super) fn section(&self, name: &'static str) -> Option<Section<'a>> {
        let value = self.value(name)?;
        let Some(object) = value.as_object() else {
            let found = self.source.describe(value);
            let offset = value.range().start;
            self.source
                .report(offset, &self.field(name), found, "an object");
            return None;
        };
        Some(Section {
            path: self.field(name),
            ..Section::new(self.source, object)
        })
    }

    /// Reports unknown fields and duplicate fields. Call it after reading all fields.
    pub(super) fn check_fields(self) {
        let known = self.known.borrow();
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let offset = property.range.start;
            let earlier = &self.object.properties[..index];
            if earlier.iter().any(|it| it.name.as_str() == name) {
                let found = "the field a second time".to_owned();
                self.source
                    .report(offset, &self.field(name), found, "each field once");
            } else if !known.contains(&name) {
                let allowed = format!("one of {}", known.join(", "));
                let found = "an unknown field".to_owned();
                let nearest = nearest(name, &known);
                self.source
                    .push(offset, &self.field(name), found, allowed, nearest);
            }
        }
    }

    fn value(&self, name: &'static str) -> Option<&'a Value<'a>> {
        self.known.borrow_mut().push(name);
        self.object.get(name).map(|it| &it.value)
    }

    fn parse<T>(&self, name: &str, value: &Value<'_>, rule: &Rule<T>) -> Option<T> {
        let parsed = (rule.parse)(value);
        if parsed.is_none() {
            let found = match name {
                SECRET_FIELD => "a hidden value".to_owned(),
                _ => self.source.describe(value),
            };
            let offset = value.range().start;
            self.source
                .report(offset, &self.field(name), found, rule.allowed);
        }
        parsed
    }
}

fn nearest(name: &str, known: &[&str]) -> Option<String> {
    let distance = |it: &&str| strsim::damerau_levenshtein(name, it);
    let nearest = known.iter().copied().min_by_key(distance)?;
    let is_similar = distance(&nearest) <= MAX_EDIT_DISTANCE.min(nearest.len() / 2);
    is_similar.then(|| nearest.to_owned())
}
