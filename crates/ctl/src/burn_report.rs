//! Computes the burn rates of service-level targets.

use std::collections::BTreeMap;

use pimentorock_platform::operator_wire::{BurnAnswer, BurnRow};
use serde::Serialize;

/// Minimum error budget, as a share of requests, so that the burn rate of an objective of 1 is
/// finite.
const MIN_ERROR_BUDGET: f64 = 0.0001;

/// Shares of requests that met each target, between 0 and 1; refused requests count as misses, and
/// each share is 1 if there were no requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct TargetAttainment {
    pub(crate) first_token: f64,
    pub(crate) between_tokens: f64,
    pub(crate) deadline: f64,
}

/// The burn rate of one class and account over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct BurnEntry {
    /// Length of the window, in seconds.
    pub(crate) window_s: u64,
    pub(crate) class: Box<str>,
    pub(crate) account: Box<str>,
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    /// Objective of the class: the share of requests, between 0 and 1, that should meet each
    /// latency target and the deadline.
    pub(crate) target: f64,
    pub(crate) attainment: TargetAttainment,
    /// Burn rate of the worst of the three targets in `attainment`: the share of misses divided by
    /// the share of misses that the objective allows (the error budget). At 1 the error budget is
    /// exactly used up, above 1 the service level is missed.
    pub(crate) burn: f64,
}

/// Burn rates by window, class and account, summed over all processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct BurnReport {
    pub(crate) entries: Vec<BurnEntry>,
}

impl BurnReport {
    /// Sums the counts of all processes and computes the burn rates.
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
        let to_entry = |((window_s, ..), row): ((u64, _, _), BurnRow)| burn_entry(window_s, row);
        BurnReport { entries: sums.into_iter().map(to_entry).collect() }
    }
}

fn add_counts(sum: &mut BurnRow, row: &BurnRow) {
    sum.requests += row.requests;
    sum.first_token_met += row.first_token_met;
    sum.between_tokens_met += row.between_tokens_met;
    sum.deadline_met += row.deadline_met;
    sum.refused += row.refused;
    // Processes may be at different revisions; the strictest objective applies.
    sum.target = sum.target.max(row.target);
}

fn burn_entry(window_s: u64, row: BurnRow) -> BurnEntry {
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

/// Rounds a burn rate to four decimal places, which removes binary rounding errors.
fn rounded(burn: f64) -> f64 {
    (burn * 1e4).round() / 1e4
}
