//! The settings file of one daemon process.

mod endpoint;
mod logs;
mod role;

use std::net::SocketAddr;

use pimentorock_kernel::control::SnapshotLimits;
use serde_json::Value;

pub use self::{
    endpoint::EndpointAddress,
    logs::{LogFormat, LogLevel, LogSettings},
    role::ProcessRole,
};
use self::{
    endpoint::{read_endpoint, read_url},
    logs::read_logs,
    role::read_role,
};
use crate::{
    reader::ObjectReader,
    report::FindingReport,
    sink::FindingSink,
    source::{join_path, parse_jsonc},
};

/// The settings file of one daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet.
    pub name: Box<str>,
    /// Role of the process.
    pub role: ProcessRole,
    /// Host that the process runs on.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Region of the host, or `None` if the deployment has only one region.
    pub region: Option<Box<str>>,
    /// Address for requests, from callers to an entry or from entries to an agent.
    pub listen: SocketAddr,
    /// Address for health checks, metrics and operators' calls.
    pub operators: SocketAddr,
    /// Address for calls from other processes of the system.
    pub peer: SocketAddr,
    /// Base URL of the platform, without a trailing slash.
    pub platform: Box<str>,
    /// Peer addresses that the process knows at its start.
    pub peers: Vec<SocketAddr>,
    /// Endpoints of an agent; empty for an entry.
    pub endpoints: Vec<EndpointAddress>,
    /// Log settings.
    pub logs: LogSettings,
    /// Limits that decide when snapshots of the log are appended.
    pub snapshots: SnapshotLimits,
}

impl ProcessSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails with all findings if the text is not JSON with comments, a field is missing or
    /// unknown, or a value is invalid.
    pub fn parse(text: &str, file_name: &str) -> Result<ProcessSettings, FindingReport> {
        let (value, positions) = parse_jsonc(text, file_name)?;
        let mut sink = FindingSink::new(Some(&positions));
        let settings = read_process(&mut sink, &value);
        match sink.finish(settings)? {
            Some(settings) => Ok(settings),
            // Each missing field has a finding, so `finish` has already returned an error.
            None => Err(FindingReport::default()),
        }
    }
}

fn read_process(sink: &mut FindingSink<'_>, value: &Value) -> Option<ProcessSettings> {
    let mut reader = ObjectReader::new(sink, value, "");
    let name = reader.required(sink, "name", ObjectReader::text);
    let role = reader.required(sink, "role", read_role);
    let host = reader.required(sink, "host", ObjectReader::text);
    let domain = reader.required(sink, "domain", ObjectReader::text);
    let region = reader.text(sink, "region").map(Into::into);
    let listen = reader.required(sink, "listen", read_address);
    let operators = reader.required(sink, "operators", read_address);
    let peer = reader.required(sink, "peer", read_address);
    let platform = reader.required(sink, "platform", read_url);
    let peers = read_peers(&mut reader, sink);
    let endpoints = read_endpoints(&mut reader, sink, role);
    let snapshots = reader.object(sink, "snapshots").map(|reader| read_snapshots(reader, sink));
    let logs = reader.object(sink, "logs").map(|reader| read_logs(reader, sink));
    check_addresses(&reader, sink, [listen, operators, peer]);
    reader.finish(sink);
    Some(ProcessSettings {
        name: name?.into(),
        role: role?,
        host: host?.into(),
        domain: domain?.into(),
        region,
        listen: listen?,
        operators: operators?,
        peer: peer?,
        platform: platform?,
        peers,
        endpoints,
        logs: logs.unwrap_or_default(),
        snapshots: snapshots.unwrap_or_default(),
    })
}

fn read_address(
    reader: &mut ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    name: &'static str,
) -> Option<SocketAddr> {
    let text = reader.text(sink, name)?;
    parse_address(sink, &reader.field_path(name), text)
}

fn parse_address(sink: &mut FindingSink<'_>, path: &str, text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        sink.report_with_hint(
            path,
            format!("\"{text}\" is not a socket address"),
            "write an IP address and a port, like \"127.0.0.1:8080\"",
        );
    }
    address
}

fn read_peers(reader: &mut ObjectReader<'_>, sink: &mut FindingSink<'_>) -> Vec<SocketAddr> {
    let texts = reader.texts(sink, "peers").unwrap_or_default();
    let path = reader.field_path("peers");
    let mut peers = Vec::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        peers.extend(parse_address(sink, &join_path(&path, &index.to_string()), text));
    }
    peers
}

fn read_endpoints(
    reader: &mut ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    role: Option<ProcessRole>,
) -> Vec<EndpointAddress> {
    let values = reader.list(sink, "endpoints");
    let path = reader.field_path("endpoints");
    match (role, values) {
        (Some(ProcessRole::Agent), None | Some([])) => {
            sink.report(&path, "an agent needs at least one endpoint");
        }
        (Some(ProcessRole::Entry), Some([_, ..])) => {
            sink.report_with_hint(
                &path,
                "an entry must not list endpoints",
                "remove the field or set \"role\" to \"agent\"",
            );
        }
        _ => {}
    }
    let mut endpoints: Vec<EndpointAddress> = Vec::new();
    for (index, value) in values.unwrap_or_default().iter().enumerate() {
        let path = join_path(&path, &index.to_string());
        let Some(endpoint) = read_endpoint(sink, value, &path) else { continue };
        if endpoints.iter().any(|known| known.name == endpoint.name) {
            sink.report(&path, format!("endpoint \"{}\" is listed twice", endpoint.name));
        }
        endpoints.push(endpoint);
    }
    endpoints
}

/// Reports addresses that are used twice, except those with port 0, for which the host chooses a
/// free port.
fn check_addresses(
    reader: &ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    addresses: [Option<SocketAddr>; 3],
) {
    let names = ["listen", "operators", "peer"];
    for (index, address) in addresses.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else { continue };
        if let Some(other) = addresses[..index].iter().position(|known| *known == Some(address)) {
            let problem = format!("address {address} is already used by \"{}\"", names[other]);
            sink.report(&reader.field_path(names[index]), problem);
        }
    }
}

/// Reads the snapshot limits; absent and invalid fields keep their defaults.
fn read_snapshots(mut reader: ObjectReader<'_>, sink: &mut FindingSink<'_>) -> SnapshotLimits {
    let mut limits = SnapshotLimits::default();
    if let Some(records) = reader.integer(sink, "records", 1, u64::MAX) {
        limits.records = records;
    }
    if let Some(age) = reader.duration(sink, "age") {
        limits.age = age;
    }
    reader.finish(sink);
    limits
}
