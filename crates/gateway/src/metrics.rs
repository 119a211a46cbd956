//! Metrics of the entry in the Prometheus text format.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pimentorock_kernel::stream_origin::StreamOrigins;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{logs, state_lock::recovered_locks};

/// Instruments of one entry and the registry that exports them.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    sends: Counter<u64>,
    lost_runs: Counter<u64>,
    endless_responses: Counter<u64>,
    foreign_responses: Counter<u64>,
    discarded_heads: Counter<u64>,
    crash_checks: Counter<u64>,
    run_checks: Counter<u64>,
    disordered_streams: Counter<u64>,
    resumed_streams: Counter<u64>,
    endpoint_exclusions: Counter<u64>,
    endpoint_updates: Counter<u64>,
    outdated_endpoints: Counter<u64>,
    listing_checks: Counter<u64>,
    limited_endpoints: Gauge<u64>,
    limit_decisions: Counter<u64>,
    take_ups: Counter<u64>,
    refused_starts: Counter<u64>,
    marker_conflicts: Counter<u64>,
    stream_origins: Gauge<u64>,
    unknown_services: Gauge<u64>,
    mixed_services: Gauge<u64>,
    refused_suspects: Counter<u64>,
    refused_parts: Counter<u64>,
    suspects: Gauge<u64>,
    part_histories: Gauge<u64>,
    suspected_parts: Gauge<u64>,
    retries: Counter<u64>,
    retry_balance: Gauge<f64>,
    store_calls: Counter<u64>,
    first_byte: Histogram<f64>,
    config_version: Gauge<u64>,
    store_era: Gauge<u64>,
    endpoints: Gauge<u64>,
    evacuated_domains: Gauge<u64>,
    panics: Counter<u64>,
    hub_changes: Counter<u64>,
    late_renewals: Histogram<f64>,
    copy_questions: Counter<u64>,
    transfer_bytes: Counter<u64>,
    config_transfers: Histogram<f64>,
    late_configs: Counter<u64>,
    config_reads: Counter<u64>,
    role_changes: Counter<u64>,
    skipped_backlogs: Counter<u64>,
    unreadable_records: Counter<u64>,
}

impl GatewayMetrics {
    /// Returns instruments without any values.
    pub(crate) fn new() -> GatewayMetrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("pimentorock");
        let observe = |observer: &dyn AsyncInstrument<u64>| observer.observe(logs::dropped(), &[]);
        meter.u64_observable_counter("dropped_log_lines").with_callback(observe).build();
        let observe =
            |observer: &dyn AsyncInstrument<u64>| observer.observe(recovered_locks(), &[]);
        meter.u64_observable_counter("recovered_locks").with_callback(observe).build();
        GatewayMetrics {
            registry,
            requests: meter.u64_counter("requests").build(),
            sends: meter.u64_counter("sends").build(),
            lost_runs: meter.u64_counter("lost_runs").build(),
            endless_responses: meter.u64_counter("endless_responses").build(),
            foreign_responses: meter.u64_counter("foreign_responses").build(),
            discarded_heads: meter.u64_counter("discarded_heads").build(),
            crash_checks: meter.u64_counter("crash_checks").build(),
            run_checks: meter.u64_counter("run_checks").build(),
            disordered_streams: meter.u64_counter("disordered_streams").build(),
            resumed_streams: meter.u64_counter("resumed_streams").build(),
            endpoint_exclusions: meter.u64_counter("endpoint_exclusions").build(),
            endpoint_updates: meter.u64_counter("endpoint_updates").build(),
            outdated_endpoints: meter.u64_counter("outdated_endpoints").build(),
            listing_checks: meter.u64_counter("listing_checks").build(),
            limited_endpoints: meter.u64_gauge("limited_endpoints").build(),
            limit_decisions: meter.u64_counter("limit_decisions").build(),
            take_ups: meter.u64_counter("take_ups").build(),
            refused_starts: meter.u64_counter("refused_starts").build(),
            marker_conflicts: meter.u64_counter("marker_conflicts").build(),
            stream_origins: meter.u64_gauge("stream_origins").build(),
            unknown_services: meter.u64_gauge("unknown_services").build(),
            mixed_services: meter.u64_gauge("mixed_services").build(),
            refused_suspects: meter.u64_counter("refused_suspects").build(),
            refused_parts: meter.u64_counter("refused_prompt_parts").build(),
            suspects: meter.u64_gauge("suspects").build(),
            part_histories: meter.u64_gauge("prompt_part_histories").build(),
            suspected_parts: meter.u64_gauge("suspected_prompt_parts").build(),
            retries: meter.u64_counter("retries").build(),
            retry_balance: meter.f64_gauge("retry_balance").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            first_byte: meter.f64_histogram("first_byte_seconds").with_unit("s").build(),
            config_version: meter.u64_gauge("config_version").build(),
            store_era: meter.u64_gauge("store_era").build(),
            endpoints: meter.u64_gauge("endpoints").build(),
            evacuated_domains: meter.u64_gauge("evacuated_domains").build(),
            hub_changes: meter.u64_counter("hub_changes").build(),
            copy_questions: meter.u64_counter("store_copy_questions").build(),
            late_renewals: meter.f64_histogram("store_late_renewal_seconds").with_unit("s").build(),
            transfer_bytes: meter.u64_counter("config_transfer_bytes").build(),
            config_transfers: meter.f64_histogram("config_transfer_seconds").with_unit("s").build(),
            late_configs: meter.u64_counter("late_config_transfers").build(),
            config_reads: meter.u64_counter("config_read_bytes").build(),
            skipped_backlogs: meter.u64_counter("skipped_config_backlogs").build(),
            role_changes: meter.u64_counter("store_role_changes").build(),
            panics: meter.u64_counter("panics").build(),
            unreadable_records: meter.u64_counter("unreadable_records").build(),
            _provider: provider,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub(crate) fn note_request(&self, route: &str, outcome: &'static str) {
        let route = KeyValue::new("route", route.to_owned());
        self.requests.add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// Counts one send of a request to an endpoint; `repeat` is true for a retry.
    pub(crate) fn note_send(&self, outcome: &'static str, repeat: bool) {
        let repeat = KeyValue::new("repeat", repeat);
        self.sends.add(1, &[KeyValue::new("outcome", outcome), repeat]);
    }

    /// Counts a run whose connection to the endpoint was lost in the `phase` of its response.
    pub(crate) fn note_lost_run(&self, phase: &'static str) {
        self.lost_runs.add(1, &[KeyValue::new("phase", phase)]);
    }

    /// Counts a response that was cut off because its `part` has no end.
    pub(crate) fn note_endless(&self, part: &'static str) {
        self.endless_responses.add(1, &[KeyValue::new("part", part)]);
    }

    /// Counts a response that may belong to another request, by its `owner`.
    pub(crate) fn note_foreign(&self, owner: &'static str) {
        self.foreign_responses.add(1, &[KeyValue::new("owner", owner)]);
    }

    /// Counts a response head that begins no answer.
    pub(crate) fn note_head_fault(&self, fault: &'static str) {
        self.discarded_heads.add(1, &[KeyValue::new("fault", fault)]);
    }

    /// Counts a check of an endpoint that lost runs, with its verdict.
    pub(crate) fn note_crash_check(&self, verdict: &'static str) {
        self.crash_checks.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts an answer in which an event did not follow the one before.
    pub(crate) fn note_disorder(&self) {
        self.disordered_streams.add(1, &[]);
    }

    /// Counts an answer that was to continue a stream: `outcome` is `continued` or `refused`, and `evidence`
    /// is what told this.
    pub(crate) fn note_resumed(&self, outcome: &'static str, evidence: &'static str) {
        let outcome = KeyValue::new("outcome", outcome);
        self.resumed_streams.add(1, &[outcome, KeyValue::new("evidence", evidence)]);
    }

    /// Counts a check of the run behind a connection, with its verdict.
    pub(crate) fn note_run_check(&self, verdict: &'static str) {
        self.run_checks.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a notice by which an endpoint was excluded.
    pub(crate) fn note_exclusion(&self, cause: &'static str) {
        self.endpoint_exclusions.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts an endpoint that is listed again, by what it answered.
    pub(crate) fn note_listing_check(&self, verdict: &'static str) {
        self.listing_checks.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a record of an endpoint that is older than the endpoint's leaving.
    pub(crate) fn note_outdated_endpoint(&self) {
        self.outdated_endpoints.add(1, &[]);
    }

    /// Counts an update of the endpoints that did not continue the copy of this entry: `form` is `list`
    /// for one that replaced the copy, or `gap` for one that was not applied.
    pub(crate) fn note_endpoint_update(&self, source: &'static str, form: &'static str) {
        let source = KeyValue::new("source", source);
        self.endpoint_updates.add(1, &[source, KeyValue::new("form", form)]);
    }

    /// Sets the number of endpoints that name a limit.
    pub(crate) fn note_limits(&self, endpoints: usize) {
        self.limited_endpoints.record(endpoints as u64, &[]);
    }

    /// Counts what limits meant for a request: `decision` is `sent`, `elsewhere` or `refused`.
    pub(crate) fn note_limit_decision(&self, decision: &'static str) {
        self.limit_decisions.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts a stream that a caller takes up again, by the evidence of the version that began it.
    pub(crate) fn note_take_up(&self, evidence: &'static str) {
        self.take_ups.add(1, &[KeyValue::new("evidence", evidence)]);
    }

    /// Counts a stream that does not begin, as this entry does not know by which shares streams begin.
    pub(crate) fn note_start_refused(&self) {
        self.refused_starts.add(1, &[]);
    }

    /// Counts a marker of stream origins that was not written, as another entry had written since the last
    /// read.
    pub(crate) fn note_marker_conflict(&self) {
        self.marker_conflicts.add(1, &[]);
    }

    /// Sets the number of streams whose versions are known, of services with several versions, and of
    /// services whose streams without a record may have begun at any version.
    pub(crate) fn note_origins(&self, origins: &StreamOrigins) {
        self.stream_origins.record(origins.len() as u64, &[]);
        self.unknown_services.record(origins.unknown_services() as u64, &[]);
        let mixed_services = origins.mixed_services().len();
        self.mixed_services.record(mixed_services as u64, &[]);
    }

    /// Counts a request that was not sent because it crashes endpoints.
    pub(crate) fn note_refused_suspect(&self) {
        self.refused_suspects.add(1, &[]);
    }

    /// Counts a request that was not sent because a part of its prompt crashes endpoints.
    pub(crate) fn note_refused_part(&self) {
        self.refused_parts.add(1, &[]);
    }

    /// Sets the number of requests with crash records.
    pub(crate) fn note_suspects(&self, count: usize) {
        self.suspects.record(count as u64, &[]);
    }

    /// Sets the number of prompt parts with crash records, and of those that are suspected.
    pub(crate) fn note_part_suspects(&self, histories: usize, suspected: usize) {
        self.part_histories.record(histories as u64, &[]);
        self.suspected_parts.record(suspected as u64, &[]);
    }

    /// Counts a decision on a retry, and sets the balance of the service's retry budget.
    pub(crate) fn note_retry(&self, service: &str, decision: &'static str, balance: f64) {
        let service = KeyValue::new("service", service.to_owned());
        self.retries.add(1, &[service.clone(), KeyValue::new("decision", decision)]);
        self.retry_balance.record(balance, &[service]);
    }

    /// Counts a call to the store and whether it succeeded.
    pub(crate) fn note_store_call(&self, call: &'static str, ok: bool) {
        self.store_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("ok", ok)]);
    }

    /// Records the time from the arrival of a request to the head of its response.
    pub(crate) fn note_first_byte(&self, route: &str, span: Duration) {
        self.first_byte.record(span.as_secs_f64(), &[KeyValue::new("route", route.to_owned())]);
    }

    /// Sets the version of the current configuration.
    pub(crate) fn note_config(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Sets the era of the store.
    pub(crate) fn note_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Sets the number of failure domains that operators ordered to be evacuated.
    pub(crate) fn note_evacuated(&self, count: usize) {
        self.evacuated_domains.record(count as u64, &[]);
    }

    /// Sets the number of known endpoints.
    pub(crate) fn note_endpoints(&self, count: usize) {
        self.endpoints.record(count as u64, &[]);
    }

    /// Counts a record of `topic` that was left out because it cannot be read.
    pub(crate) fn note_unreadable(&self, topic: &'static str) {
        self.unreadable_records.add(1, &[KeyValue::new("topic", topic)]);
    }

    /// Counts a change of the entry that this one follows.
    pub(crate) fn note_hub_change(&self) {
        self.hub_changes.add(1, &[]);
    }

    /// Records that this entry's copy of the store was renewed at this age, at which it was too old, by
    /// `source`.
    pub(crate) fn note_late_renewal(&self, age: Duration, source: &'static str) {
        self.late_renewals.record(age.as_secs_f64(), &[KeyValue::new("source", source)]);
    }

    /// Counts bytes of configurations that were read from the store: those of one that came into force, and
    /// those of all others.
    pub(crate) fn note_config_read(&self, used: u64, unused: u64) {
        self.config_reads.add(used, &[KeyValue::new("outcome", "used")]);
        self.config_reads.add(unused, &[KeyValue::new("outcome", "unused")]);
    }

    /// Counts a read of the newest configuration in place of those before it.
    pub(crate) fn note_skipped_backlog(&self) {
        self.skipped_backlogs.add(1, &[]);
    }

    /// Counts a change of the role by which this entry reads the store to `role`.
    pub(crate) fn note_role(&self, role: &'static str) {
        self.role_changes.add(1, &[KeyValue::new("role", role)]);
    }

    /// Counts a question to another entry for a newer copy of the store.
    pub(crate) fn note_copy_question(&self, is_answered: bool) {
        self.copy_questions.add(1, &[KeyValue::new("answered", is_answered)]);
    }

    /// Counts the bytes of a configuration that were sent to another entry.
    pub(crate) fn note_transfer_sent(&self, bytes: usize) {
        self.transfer_bytes.add(bytes as u64, &[KeyValue::new("outcome", "sent")]);
    }

    /// Counts the bytes of a configuration that arrived from another entry, `spare` of them in vain.
    pub(crate) fn note_transfer_received(&self, taken: u64, spare: u64) {
        self.transfer_bytes.add(taken, &[KeyValue::new("outcome", "taken")]);
        self.transfer_bytes.add(spare, &[KeyValue::new("outcome", "spare")]);
    }

    /// Records the time from the first news of a configuration until it arrived from other entries.
    pub(crate) fn note_config_fetched(&self, time: Duration) {
        self.config_transfers.record(time.as_secs_f64(), &[]);
    }

    /// Counts a configuration that takes longer to arrive than a change may take.
    pub(crate) fn note_late_config(&self) {
        self.late_configs.add(1, &[]);
    }

    /// Counts a panic of `part`: the name of a task, or of the topic of a record.
    pub(crate) fn note_panic(&self, part: &'static str) {
        self.panics.add(1, &[KeyValue::new("part", part)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
