//! The command `endpoint list`.

use pimentorock_kernel::catalog::EndpointKind;
use serde_json::{Value, json};

use super::{
    account_list::names_text,
    status::{endpoint_state, endpoint_views, fetch_statuses},
};
use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    table::TextTable,
};

/// Lists the endpoints in the settings, with the state that the processes report.
pub(crate) async fn run(context: &ToolContext, output: &mut ToolOutput) -> Result<(), ToolError> {
    let session = ConfigSession::load(context).await?;
    let answers = match fetch_statuses(context).await {
        Ok((answers, _)) => answers,
        Err(error) => {
            output.error_line(&format!("endpoint states are unknown: {error}"));
            Vec::new()
        }
    };
    let views = endpoint_views(&answers);
    let find = |name: &str| {
        views.iter().find(|(status, _)| &*status.name == name).map(|(status, _)| *status)
    };
    let endpoints = &session.replay.catalog().endpoints;
    if context.options.json {
        let rows: Vec<Value> = endpoints
            .iter()
            .map(|spec| json!({ "spec": spec, "status": find(&spec.name) }))
            .collect();
        output.json(&json!({ "endpoints": rows }));
        return Ok(());
    }
    let header = ["ENDPOINT", "DOMAIN", "KIND", "MODELS", "SLOTS", "COST/H", "STATE", "RUNNING"];
    let mut table = TextTable::new(&header);
    for spec in endpoints {
        let status = find(&spec.name);
        let kind = match spec.kind {
            EndpointKind::Engine => "engine",
            EndpointKind::Service => "service",
        };
        table.push(vec![
            spec.name.to_string(),
            spec.domain.to_string(),
            kind.into(),
            names_text(&spec.models),
            spec.slots.to_string(),
            spec.cost_per_hour.to_string(),
            status.map_or("unknown", |status| endpoint_state(status.up, status.draining)).into(),
            status.map_or("-".into(), |status| status.running.to_string()),
        ]);
    }
    output.line(&table.text());
    Ok(())
}
