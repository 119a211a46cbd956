//! Addresses of an agent's endpoints.

use serde_json::Value;

use crate::{reader::ObjectReader, sink::FindingSink};

/// Name and URLs of an endpoint that an agent sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAddress {
    /// Name of the endpoint, as under `/fleet/endpoints` in the settings tree.
    pub name: Box<str>,
    /// URL of the engine or service.
    pub url: Box<str>,
    /// URL of the endpoint's load reports, or `None` if it has none.
    pub load_url: Option<Box<str>>,
}

/// Reads one endpoint, or returns `None` if a required field is missing or invalid.
pub(crate) fn read_endpoint(
    sink: &mut FindingSink<'_>,
    value: &Value,
    path: &str,
) -> Option<EndpointAddress> {
    let mut reader = ObjectReader::new(sink, value, path);
    let name = reader.required(sink, "name", ObjectReader::text);
    let url = reader.required(sink, "url", read_url);
    let load_url = read_url(&mut reader, sink, "load_url");
    reader.finish(sink);
    Some(EndpointAddress { name: name?.into(), url: url?, load_url })
}

/// Reads an http or https URL without credentials, query or fragment and strips trailing slashes.
pub(crate) fn read_url(
    reader: &mut ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    name: &'static str,
) -> Option<Box<str>> {
    let text = reader.text(sink, name)?;
    let rest = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
    let valid = rest.is_some_and(|rest| !rest.is_empty() && !rest.contains([' ', '@', '#', '?']));
    if !valid {
        sink.report_with_hint(
            &reader.field_path(name),
            "must be an http or https URL without credentials, query or fragment",
            "write it like \"http://127.0.0.1:9000\"",
        );
    }
    valid.then(|| text.trim_end_matches('/').into())
}
