//! Reads the settings of one client account at `/teams/TEAM/accounts/ACCOUNT`.

use pimentorock_kernel::catalog::{AccountLimits, AccountSpec};

use crate::{reader::ObjectReader, sink::FindingSink};

/// Default weight of a client account.
const DEFAULT_WEIGHT: u64 = 1;

/// Maximum weight of a client account.
const MAX_WEIGHT: u64 = 10_000;

/// Minimum rate limit, in requests or tokens per second.
const MIN_RATE: f64 = 0.001;

/// Reads one client account; an invalid field is reported and replaced by its default.
pub(crate) fn read_account(
    mut reader: ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    team: &str,
    name: &str,
) -> AccountSpec {
    let weight = reader.integer(sink, "weight", 1, MAX_WEIGHT).unwrap_or(DEFAULT_WEIGHT);
    let models = reader.texts(sink, "models").unwrap_or_default();
    let mut limits = AccountLimits::default();
    if let Some(mut fields) = reader.object(sink, "limits") {
        limits.requests_per_second = fields.number(sink, "requests_per_second", MIN_RATE);
        limits.tokens_per_second = fields.number(sink, "tokens_per_second", MIN_RATE);
        let concurrency = fields.integer(sink, "concurrency", 1, u64::from(u32::MAX));
        limits.concurrency = concurrency.map(|count| count as u32);
        fields.finish(sink);
    }
    reader.finish(sink);
    AccountSpec { name: format!("{team}/{name}").into(), weight: weight as u32, limits, models }
}
