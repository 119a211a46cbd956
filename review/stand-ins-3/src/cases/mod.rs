//! The cases.

mod late_heartbeat;
mod refused_runs;
mod store_drill;

use std::{io, time::Duration};

use crate::{Stage, server::Habits, store::Store};

/// Plays a case and returns whether its rule was broken.
pub fn play(case: &str, stage: &Stage) -> io::Result<bool> {
    match case {
        "refused-runs" => refused_runs::play(stage),
        "late-heartbeat" => late_heartbeat::play(stage),
        "store-drill" => store_drill::play(stage),
        _ => Err(io::Error::other("no such case")),
    }
}

/// The bound `drain-ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Returns how the model servers answer.
fn model() -> Habits {
    Habits {
        service: "asesor-termico",
        version: "v1",
        events: 25,
        gap: Duration::from_millis(60),
        work: Duration::from_millis(60),
        reports: true,
    }
}

/// Returns how the servers of the ordering application answer.
fn application() -> Habits {
    Habits { service: "pedidos-app", reports: false, ..model() }
}

/// Writes the configuration, as the operator does before traffic starts.
fn put_config(store: &Store) {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout-ms\":{timeout},\"target-latency-ms\":600,\"priority\":1,\"service\":\"{service}\",\
             \"public\":false,{rest}}}"
        )
    };
    let chat = "\"max-attempts\":1,\"stream-resume\":false,\"gap-aim-ms\":1000";
    let report = "\"max-attempts\":2,\"stream-resume\":true,\"gap-aim-ms\":1000";
    let routes = [
        route("chat", "/chat/", "streaming", "asesor-termico", 15_000, chat),
        route("report", "/report/", "streaming", "asesor-termico", 15_000, report),
        route("order", "/order/", "unsafe", "pedidos-app", 800, "\"max-attempts\":1"),
        route("stock", "/stock/", "safe", "pedidos-app", 800, "\"max-attempts\":2"),
    ];
    let services = ["asesor-termico", "pedidos-app"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"k1\"]}}]}}",
        routes.join(","),
        services.join(",")
    );
    store.put("keyed.op", "config", config.as_bytes());
}
