//! Reads the fields of one object and reports invalid fields.

use std::{collections::HashSet, time::Duration};

use serde_json::{Map, Value};

use crate::{
    names::{is_path_name, nearest_hint},
    sink::FindingSink,
    source::join_path,
    units::{parse_duration, parse_share},
};

/// Reads the fields of one object.
///
/// An absent field is read as `None` without a finding, and an invalid field as `None` with a
/// finding. [`finish`](ObjectReader::finish) reports the fields that were not requested.
pub(crate) struct ObjectReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    requested: Vec<&'static str>,
}

impl<'a> ObjectReader<'a> {
    /// Returns a reader of the object `value` at `path`; any other value is reported.
    pub(crate) fn new(sink: &mut FindingSink<'_>, value: &'a Value, path: &str) -> Self {
        let fields = value.as_object();
        if fields.is_none() {
            sink.report(path, format!("must be an object, not {}", type_name(value)));
        }
        ObjectReader { path: path.to_owned(), fields, requested: Vec::new() }
    }

    /// Returns the path of the field `name`.
    pub(crate) fn field_path(&self, name: &str) -> String {
        join_path(&self.path, name)
    }

    /// Reads a field with the method `read` and reports the field if it is missing.
    pub(crate) fn required<T>(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
        read: fn(&mut Self, &mut FindingSink<'_>, &'static str) -> Option<T>,
    ) -> Option<T> {
        let absent = self.fields.is_some_and(|fields| !fields.contains_key(name));
        if absent {
            sink.report(&self.path, format!("field \"{name}\" is missing"));
        }
        read(self, sink, name)
    }

    /// Reads a string that is not empty.
    pub(crate) fn text(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<&'a str> {
        let value = self.value(name)?;
        match value.as_str() {
            Some("") => self.report_invalid(sink, name, "must not be empty"),
            Some(text) => Some(text),
            None => self.report_invalid(
                sink,
                name,
                &format!("must be a string, not {}", type_name(value)),
            ),
        }
    }

    /// Reads an integer from `min` to `max`.
    pub(crate) fn integer(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let value = self.value(name)?;
        match value.as_u64().filter(|number| (min..=max).contains(number)) {
            Some(number) => Some(number),
            None => {
                let problem = format!(
                    "must be an integer from {min} to {max}, not {}",
                    describe_value(value)
                );
                self.report_invalid(sink, name, &problem)
            }
        }
    }

    /// Reads a finite number of at least `min`.
    pub(crate) fn number(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
        min: f64,
    ) -> Option<f64> {
        let value = self.value(name)?;
        match value.as_f64().filter(|number| number.is_finite() && *number >= min) {
            Some(number) => Some(number),
            None => {
                let problem =
                    format!("must be a number of at least {min}, not {}", describe_value(value));
                self.report_invalid(sink, name, &problem)
            }
        }
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<bool> {
        let value = self.value(name)?;
        match value.as_bool() {
            Some(flag) => Some(flag),
            None => {
                let problem = format!("must be true or false, not {}", describe_value(value));
                self.report_invalid(sink, name, &problem)
            }
        }
    }

    /// Reads a positive duration with a unit.
    pub(crate) fn duration(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<Duration> {
        let value = self.value(name)?;
        let span = value.as_str().and_then(parse_duration).filter(|span| !span.is_zero());
        if span.is_none() {
            sink.report_with_hint(
                &self.field_path(name),
                format!("must be a positive duration with a unit, not {}", describe_value(value)),
                "write it like \"770ms\", \"30s\", \"5m\" or \"1h\"",
            );
        }
        span
    }

    /// Reads a percentage above 0% and up to 100% as a fraction.
    pub(crate) fn share(&mut self, sink: &mut FindingSink<'_>, name: &'static str) -> Option<f64> {
        let value = self.value(name)?;
        let share = value.as_str().and_then(parse_share).filter(|share| *share > 0.0);
        if share.is_none() {
            sink.report_with_hint(
                &self.field_path(name),
                format!(
                    "must be a percentage above 0% and up to 100%, not {}",
                    describe_value(value)
                ),
                "write it like \"2%\"",
            );
        }
        share
    }

    /// Reads one of the strings in `choices` and returns its value.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
        choices: &[(&'static str, T)],
    ) -> Option<T> {
        let text = self.text(sink, name)?;
        let found = choices.iter().find(|(word, _)| *word == text).map(|(_, choice)| *choice);
        if found.is_none() {
            let words = choices.iter().map(|(word, _)| *word);
            self.report_unknown(sink, name, text, words);
        }
        found
    }

    /// Reads a list of distinct, non-empty strings; invalid elements are reported and left out.
    pub(crate) fn texts(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<Vec<Box<str>>> {
        let values = self.list(sink, name)?;
        let mut texts: Vec<Box<str>> = Vec::with_capacity(values.len());
        let mut seen = HashSet::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let problem = match value.as_str() {
                Some("") => "must not be empty".to_owned(),
                Some(text) if !seen.insert(text) => format!("\"{text}\" appears twice in the list"),
                Some(text) => {
                    texts.push(text.into());
                    continue;
                }
                None => format!("must be a string, not {}", type_name(value)),
            };
            sink.report(&join_path(&self.field_path(name), &index.to_string()), problem);
        }
        Some(texts)
    }

    /// Reads a list.
    pub(crate) fn list(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<&'a [Value]> {
        let value = self.value(name)?;
        match value.as_array() {
            Some(values) => Some(values),
            None => self.report_invalid(
                sink,
                name,
                &format!("must be a list, not {}", type_name(value)),
            ),
        }
    }

    /// Returns a reader of a field that is an object.
    pub(crate) fn object(
        &mut self,
        sink: &mut FindingSink<'_>,
        name: &'static str,
    ) -> Option<ObjectReader<'a>> {
        let value = self.value(name)?;
        Some(ObjectReader::new(sink, value, &self.field_path(name)))
    }

    /// Returns the fields of an object whose field names the operator chooses. Fields with an invalid
    /// name are reported and left out.
    pub(crate) fn named_fields(&self, sink: &mut FindingSink<'_>) -> Vec<(&'a str, &'a Value)> {
        let mut fields = Vec::new();
        for (name, value) in self.fields.into_iter().flatten() {
            if is_path_name(name) {
                fields.push((name.as_str(), value));
            } else {
                sink.report_with_hint(
                    &self.field_path(name),
                    format!("invalid name \"{name}\""),
                    "use up to 64 letters, digits, \"-\", \"_\" or \".\"",
                );
            }
        }
        fields
    }

    /// Reports the unknown value `text` of the field `name`. The hint is the most similar of the `known`
    /// values, or a reference to the documentation if none is similar.
    pub(crate) fn report_unknown<'n>(
        &self,
        sink: &mut FindingSink<'_>,
        name: &str,
        text: &str,
        known: impl Iterator<Item = &'n str> + Clone,
    ) {
        let hint = nearest_hint(text, known).unwrap_or_else(|| "see docs/OPERATIONS.md".into());
        sink.report_with_hint(&self.field_path(name), format!("unknown value \"{text}\""), hint);
    }

    /// Reports the fields that were not requested.
    pub(crate) fn finish(self, sink: &mut FindingSink<'_>) {
        for name in self.fields.into_iter().flat_map(Map::keys) {
            if self.requested.contains(&name.as_str()) {
                continue;
            }
            let path = self.field_path(name);
            let problem = format!("unknown field \"{name}\"");
            match nearest_hint(name, self.requested.iter().copied()) {
                Some(hint) => sink.report_with_hint(&path, problem, hint),
                None => sink.report(&path, problem),
            }
        }
    }

    /// Returns the value of a field and marks the field as requested.
    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.requested.push(name);
        self.fields?.get(name)
    }

    /// Reports a problem with the field `name` and returns `None`.
    fn report_invalid<T>(
        &self,
        sink: &mut FindingSink<'_>,
        name: &str,
        problem: &str,
    ) -> Option<T> {
        sink.report(&self.field_path(name), problem);
        None
    }
}

/// Returns the JSON type of a value, with its article, for a finding.
pub(crate) fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Returns the value for a finding, or the type of the value if the value is a list, an object or a
/// string of more than 32 characters.
fn describe_value(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => type_name(value).to_owned(),
        Value::String(text) if text.chars().count() > 32 => "a longer string".to_owned(),
        _ => value.to_string(),
    }
}
