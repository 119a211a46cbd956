//! How fast service levels burn.

use std::collections::BTreeMap;

use pimentorock_platform::operator_wire::{BurnAnswer, BurnRow};
use serde::Serialize;

/// Smallest share of misses that a target allows, so that a target of 1 has a burn.
const MIN_ERROR_BUDGET: f64 = 0.0001;

/// Shares of requests that met each target, refused ones counted as misses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct TargetAttainment {
    pub(crate) first_token: f64,
    pub(crate) between_tokens: f64,
    pub(crate) deadline: f64,
}

/// Burn of one class for one account over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct BurnEntry {
    pub(crate) window_s: u64,
    pub(crate) class: Box<str>,
    pub(crate) account: Box<str>,
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    pub(crate) target: f64,
    pub(crate) attainment: TargetAttainment,
    /// Share of misses over the share that the target allows, of the worst of the three
    /// targets: at 1 the allowance is used up exactly, above 1 the service level is missed.
    pub(crate) burn: f64,
}

/// Burn by window, class and account, over all processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct BurnReport {
    pub(crate) entries: Vec<BurnEntry>,
}

impl BurnReport {
    /// Adds up what the processes counted.
    pub(crate) fn new(answers: &[BurnAnswer]) -> BurnReport {
        let mut sums: BTreeMap<(u64, Box<str>, Box<str>), BurnRow> = BTreeMap::new();
        for window in answers.iter().flat_map(|answer| &answer.windows) {
            for row in &window.rows {
                let key = (window.window_s, row.class.clone(), row.account.clone());
                match sums.get_mut(&key) {
                    Some(sum) => add_counts(sum, row),
                    None => _ = sums.insert(key, row.clone()),
                }
            }
        }
        let entry = |((window_s, ..), row): ((u64, _, _), BurnRow)| entry(window_s, row);
        BurnReport { entries: sums.into_iter().map(entry).collect() }
    }
}

fn add_counts(sum: &mut BurnRow, row: &BurnRow) {
    sum.requests += row.requests;
    sum.first_token_met += row.first_token_met;
    sum.between_tokens_met += row.between_tokens_met;
    sum.deadline_met += row.deadline_met;
    sum.refused += row.refused;
    // Processes may still be at different revisions; the stricter target counts.
    sum.target = sum.target.max(row.target);
}

fn entry(window_s: u64, row: BurnRow) -> BurnEntry {
    let share = |met: u64| if row.requests == 0 { 1.0 } else { met as f64 / row.requests as f64 };
    let attainment = TargetAttainment {
        first_token: share(row.first_token_met),
        between_tokens: share(row.between_tokens_met),
        deadline: share(row.deadline_met),
    };
    let worst = attainment.first_token.min(attainment.between_tokens).min(attainment.deadline);
    BurnEntry {
        window_s,
        class: row.class,
        account: row.account,
        requests: row.requests,
        refused: row.refused,
        target: row.target,
        attainment,
        burn: rounded((1.0 - worst) / (1.0 - row.target).max(MIN_ERROR_BUDGET)),
    }
}

/// Returns a burn without the digits that binary fractions leave behind.
fn rounded(burn: f64) -> f64 {
    (burn * 1e4).round() / 1e4
}
