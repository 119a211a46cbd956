//! Metrics of the process, in the Prometheus text format.

use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::peer::ByteCount;

/// Instruments of one process and the registry that collects them.
#[derive(Clone, Debug)]
pub(crate) struct ServiceMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
}

impl ServiceMetrics {
    /// Returns instruments without counts; `peer_bytes` is read at each collection.
    pub(crate) fn new(peer_bytes: ByteCount) -> ServiceMetrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("pimentorock");
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(peer_bytes.total(), &[]);
        };
        meter.u64_observable_counter("peer_bytes").with_callback(observe).build();
        ServiceMetrics {
            registry,
            requests: meter.u64_counter("requests").build(),
            tokens: meter.u64_counter("output_tokens").build(),
            first_token: meter.f64_histogram("first_token_seconds").with_unit("s").build(),
            _provider: provider,
        }
    }

    /// Counts one request that ended as `outcome` and its output tokens.
    pub(crate) fn note_request(&self, class: &str, outcome: &'static str, tokens: u64) {
        let class = KeyValue::new("class", class.to_owned());
        let outcome = KeyValue::new("outcome", outcome);
        self.requests.add(1, &[class.clone(), outcome]);
        self.tokens.add(tokens, &[class]);
    }

    /// Records the time to the first token of one request, in seconds.
    pub(crate) fn note_first_token(&self, class: &str, seconds: f64) {
        self.first_token.record(seconds, &[KeyValue::new("class", class.to_owned())]);
    }

    /// Returns all metrics as text, or a comment with the error if they cannot be encoded.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
