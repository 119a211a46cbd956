//! Parser for JSON with comments that records the position of every value.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value as AstValue},
    common::Ranged,
    parse_to_ast,
};
use serde_json::{Map, Value};

use crate::{
    finding::Finding,
    position::{LineIndex, PositionMap},
    report::FindingReport,
};

/// Maximum nesting depth of objects and arrays.
const MAX_DEPTH: usize = 64;

/// Parses JSON with comments and trailing commas into a value and the positions of its parts.
///
/// `file` is the name that findings show. A property whose name begins with `/` is the path of its
/// value relative to the enclosing object, so that a file may define a tree as a list of paths.
///
/// # Errors
///
/// Fails with findings if the text cannot be parsed, is nested too deeply, or contains a field
/// twice in one object.
pub fn parse_jsonc(text: &str, file: &str) -> Result<(Value, PositionMap), FindingReport> {
    let mut reader = SourceReader::new(text, file);
    if let Some(offset) = find_excess_depth(text) {
        reader.report(
            offset,
            "",
            format!("values are nested more than {MAX_DEPTH} levels deep"),
            None,
        );
        return Err(FindingReport::new(reader.findings));
    }
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_extended_string_escapes: false,
        allow_non_finite_numbers: false,
    };
    let value = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => match parsed.value {
            Some(value) => reader.value(&value, ""),
            None => {
                reader.report(
                    0,
                    "",
                    "the file contains no value".into(),
                    Some("begin with \"{}\""),
                );
                Value::Null
            }
        },
        Err(error) => {
            reader.report(error.range().start, "", error.kind().to_string(), None);
            Value::Null
        }
    };
    if reader.findings.is_empty() {
        Ok((value, reader.positions))
    } else {
        Err(FindingReport::new(reader.findings))
    }
}

/// Appends the name of a field to the path of its object; a name that begins with `/` is a path.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    if name.starts_with('/') { format!("{path}{name}") } else { format!("{path}/{name}") }
}

/// Converts the parser's syntax tree into a value and collects positions and findings.
struct SourceReader<'a> {
    file: &'a str,
    lines: LineIndex<'a>,
    positions: PositionMap,
    findings: Vec<Finding>,
}

impl<'a> SourceReader<'a> {
    fn new(text: &'a str, file: &'a str) -> SourceReader<'a> {
        SourceReader {
            file,
            lines: LineIndex::new(text),
            positions: PositionMap::new(file),
            findings: Vec::new(),
        }
    }

    fn report(&mut self, offset: usize, path: &str, problem: String, hint: Option<&str>) {
        let position = self.lines.position(offset);
        self.findings.push(Finding {
            file: self.file.into(),
            line: Some(position.line),
            column: Some(position.column),
            path: path.into(),
            problem: problem.into(),
            hint: hint.map(Into::into),
        });
    }

    fn value(&mut self, value: &AstValue<'_>, path: &str) -> Value {
        match value {
            AstValue::NullKeyword(_) => Value::Null,
            AstValue::BooleanLit(literal) => Value::Bool(literal.value),
            AstValue::StringLit(literal) => Value::String(literal.value.to_string()),
            AstValue::NumberLit(literal) => match serde_json::from_str(literal.value) {
                Ok(number) => number,
                Err(_) => {
                    let problem = format!("invalid number \"{}\"", literal.value);
                    self.report(literal.range.start, path, problem, None);
                    Value::Null
                }
            },
            AstValue::Array(array) => {
                let mut values = Vec::with_capacity(array.elements.len());
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}/{index}");
                    self.positions.insert(&path, self.lines.position(element.range().start));
                    values.push(self.value(element, &path));
                }
                Value::Array(values)
            }
            AstValue::Object(object) => self.object(object, path),
        }
    }

    fn object(&mut self, object: &Object<'_>, path: &str) -> Value {
        let mut fields = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join_path(path, name);
            let offset = property.name.range().start;
            self.positions.insert(&path, self.lines.position(offset));
            let value = self.value(&property.value, &path);
            if fields.insert(name.to_owned(), value).is_some() {
                let problem = format!("field \"{name}\" appears twice in the same object");
                self.report(offset, &path, problem, Some("keep one of them"));
            }
        }
        Value::Object(fields)
    }
}

/// Returns the byte offset of the first bracket that is nested deeper than [`MAX_DEPTH`].
fn find_excess_depth(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0;
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = end_of_string(bytes, at),
            b'/' if bytes.get(at + 1) == Some(&b'/') => at = find_bytes(bytes, at, b"\n"),
            b'/' if bytes.get(at + 1) == Some(&b'*') => at = find_bytes(bytes, at + 2, b"*/") + 1,
            b'{' | b'[' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(at);
                }
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        at += 1;
    }
    None
}

/// Returns the offset of the closing quote of the string that begins at `start`.
fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at
}

/// Returns the offset of the first `needle` at or after `start`, or the length of the text.
fn find_bytes(bytes: &[u8], start: usize, needle: &[u8]) -> usize {
    let rest = bytes.get(start..).unwrap_or(&[]);
    rest.windows(needle.len())
        .position(|window| window == needle)
        .map_or(bytes.len(), |at| start + at)
}
