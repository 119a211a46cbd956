//! Reads the settings of one class at `/teams/TEAM/classes/CLASS`.

use std::time::Duration;

use pimentorock_kernel::catalog::{ClassMatch, ClassSpec};

use crate::{reader::ObjectReader, sink::FindingSink};

/// Number of the lowest tier; 0 is the highest.
const LOWEST_TIER: u64 = 9;

/// Default tier of a class.
const DEFAULT_TIER: u64 = 2;

/// Default order of a class; classes are matched in ascending order.
const DEFAULT_ORDER: u64 = 100;

/// Default target for the time to the first token.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(770);

/// Default target for the mean time between tokens.
const DEFAULT_BETWEEN_TOKENS: Duration = Duration::from_millis(27);

/// Default deadline of a request.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Default floor of a class, as a fraction; above zero, so that no class starves.
const DEFAULT_FLOOR: f64 = 0.005;

/// Reads one class; an invalid field is reported and replaced by its default.
pub(crate) fn read_class(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    team: &str,
    name: &str,
) -> ClassSpec {
    let tier = reader.integer(sink, "tier", 0, LOWEST_TIER).unwrap_or(DEFAULT_TIER);
    let order = reader.integer(sink, "order", 0, u64::from(u32::MAX)).unwrap_or(DEFAULT_ORDER);
    let first_token = reader.duration(sink, "first_token").unwrap_or(DEFAULT_FIRST_TOKEN);
    let between_tokens = reader.duration(sink, "between_tokens");
    let deadline = reader.duration(sink, "deadline").unwrap_or(DEFAULT_DEADLINE);
    let mut matches = ClassMatch::default();
    if let Some(mut fields) = reader.object(sink, "match") {
        matches.accounts = fields.texts(sink, "accounts").unwrap_or_default();
        matches.models = fields.texts(sink, "models").unwrap_or_default();
        matches.labels = fields.texts(sink, "labels").unwrap_or_default();
        fields.finish(sink);
    }
    if first_token > deadline {
        sink.report_with_hint(
            &reader.field_path("first_token"),
            "the target for the first token lies after the deadline",
            "lower \"first_token\" or raise \"deadline\"",
        );
    }
    let spec = ClassSpec {
        name: format!("{team}/{name}").into(),
        tier: tier as u8,
        order: order as u32,
        matches,
        first_token,
        between_tokens: between_tokens.unwrap_or(DEFAULT_BETWEEN_TOKENS),
        deadline,
        floor: reader.share(sink, "floor").unwrap_or(DEFAULT_FLOOR),
        idempotent: reader.boolean(sink, "idempotent").unwrap_or(false),
        preemptible: reader.boolean(sink, "preemptible").unwrap_or(false),
    };
    reader.finish(sink);
    spec
}
