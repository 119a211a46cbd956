//! The command `status`.

use std::collections::BTreeMap;

use pimentorock_platform::operator_wire::{EndpointStatus, StatusAnswer};
use serde_json::{Value, json};

use crate::{
    context::ToolContext, error::ToolError, output::ToolOutput, process_client::ProcessClient,
    table::TextTable,
};

/// Prints all processes with their revision and members, all endpoints with their load, and the
/// holder of the lease.
pub(crate) async fn run(context: &ToolContext, output: &mut ToolOutput) -> Result<(), ToolError> {
    let (answers, errors) = fetch_statuses(context).await?;
    if context.options.json {
        let unreachable: Vec<Value> = errors.iter().map(|error| json!(error.to_string())).collect();
        output.json(&json!({ "processes": answers, "unreachable": unreachable }));
        return Ok(());
    }
    let mut processes = TextTable::new(&["PROCESS", "ROLE", "DOMAIN", "REVISION", "MEMBERS"]);
    for answer in &answers {
        processes.push(vec![
            answer.process.name.to_string(),
            answer.role.to_string(),
            answer.domain.to_string(),
            answer.revision.to_string(),
            members_text(answer),
        ]);
    }
    output.line(&processes.text());
    let mut endpoints = TextTable::new(&["ENDPOINT", "AGENT", "STATE", "RUNNING", "WAITING"]);
    for (endpoint, agent) in endpoint_views(&answers) {
        let waiting: Vec<String> = endpoint.waiting.iter().map(u32::to_string).collect();
        endpoints.push(vec![
            endpoint.name.to_string(),
            agent.unwrap_or("no answer").to_owned(),
            endpoint_state(endpoint.up, endpoint.draining).into(),
            format!("{} of {}", endpoint.running, endpoint.slots),
            waiting.join(" "),
        ]);
    }
    output.line("");
    output.line(&endpoints.text());
    if let Some(lease) =
        answers.iter().filter_map(|answer| answer.lease.as_ref()).max_by_key(|l| l.fencing)
    {
        output.line("");
        output.line(&format!("lease: {}, fencing number {}", lease.holder, lease.fencing));
    }
    for error in errors {
        output.error_line(&error.to_string());
    }
    Ok(())
}

/// Returns the status of each endpoint and the name of its agent.
///
/// The status comes from the endpoint's own agent. If that agent did not answer, the status comes
/// from another process and the name is `None`.
pub(crate) fn endpoint_views(answers: &[StatusAnswer]) -> Vec<(&EndpointStatus, Option<&str>)> {
    let mut views: BTreeMap<&str, (&EndpointStatus, Option<&str>)> = BTreeMap::new();
    for answer in answers {
        for endpoint in &answer.endpoints {
            let agent = endpoint.own.then_some(&*answer.process.name);
            let view = views.entry(&endpoint.name).or_insert((endpoint, agent));
            if agent.is_some() {
                *view = (endpoint, agent);
            }
        }
    }
    views.into_values().collect()
}

/// Returns the status of all processes that answer, and the errors of the others.
///
/// # Errors
///
/// Fails if the processes cannot be determined, or if none of them answers.
pub(crate) async fn fetch_statuses(
    context: &ToolContext,
) -> Result<(Vec<StatusAnswer>, Vec<ToolError>), ToolError> {
    let processes = context.processes().await?;
    let (mut answers, mut errors) = (Vec::new(), Vec::new());
    let fetch = |process: ProcessClient| tokio::spawn(async move { process.status().await });
    for task in processes.into_iter().map(fetch).collect::<Vec<_>>() {
        match task.await {
            Ok(Ok(answer)) => answers.push(answer),
            Ok(Err(error)) => errors.push(error),
            Err(error) => errors.push(ToolError::invalid(error.to_string())),
        }
    }
    answers.sort_by(|a, b| a.process.cmp(&b.process));
    match errors.pop() {
        Some(error) if answers.is_empty() => Err(error),
        last => {
            errors.extend(last);
            Ok((answers, errors))
        }
    }
}

/// Returns the state of an endpoint as a single word.
pub(crate) fn endpoint_state(up: bool, draining: bool) -> &'static str {
    match (up, draining) {
        (false, _) => "down",
        (true, true) => "draining",
        (true, false) => "up",
    }
}

/// Returns the number of members that are alive, and the name and state of all other members.
fn members_text(answer: &StatusAnswer) -> String {
    let alive = answer.members.iter().filter(|member| &*member.state == "alive").count();
    let others: Vec<String> = answer
        .members
        .iter()
        .filter(|member| &*member.state != "alive")
        .map(|member| format!("{} {}", member.name, member.state))
        .collect();
    match others.is_empty() {
        true => format!("{alive} alive"),
        false => format!("{alive} alive, {}", others.join(", ")),
    }
}
