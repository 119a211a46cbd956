//! Output lengths learned by class, account and model.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::ids::{AccountKey, ClassKey, ModelKey};

/// Longest output that is told apart from longer ones, in tokens.
const LONGEST_OUTPUT: u64 = 1 << 17;

/// Significant decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 1;

/// Answers that a histogram needs before it is preferred to a more general one.
const MIN_SAMPLES: u64 = 16;

/// Answers after which a histogram halves its counts, so that old answers halve_counts.
const HALVING_SAMPLES: u64 = 512;

/// Most histograms that are kept; answers beyond feed the more general ones only.
const MAX_HISTOGRAMS: usize = 2048;

/// Quantile reported as [`LengthForecast::high`].
const HIGH_QUANTILE: f64 = 0.95;

/// Mean output before anything was seen, in tokens.
const PRIOR_MEAN: u32 = 256;

/// High quantile before anything was seen, in tokens.
const PRIOR_HIGH: u32 = 1024;

/// Output tokens still to come for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthForecast {
    /// Expected tokens still to come; what throughput decisions use.
    pub mean: u32,
    /// Nineteen in twenty requests need no more; what deadline decisions use.
    pub high: u32,
    /// Whether the forecast rests on answers seen, and not on the prior alone.
    pub learned: bool,
}

/// The group of requests that a histogram describes; `None` means any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    class: ClassKey,
    account: Option<AccountKey>,
    model: Option<ModelKey>,
}

/// Learns quantiles of output lengths.
///
/// A forecast comes from the most specific group with enough answers: class, account and
/// model; then class and model; then class. Before any group has enough, a wide prior holds.
/// A request that has produced `n` tokens is compared with the answers longer than `n` alone.
#[derive(Clone, Debug, Default)]
pub struct LengthPredictor {
    groups: HashMap<GroupKey, Histogram<u16>>,
}

impl LengthPredictor {
    /// Returns a predictor that has seen nothing.
    pub fn new() -> LengthPredictor {
        LengthPredictor::default()
    }

    /// Learns the length of a whole answer.
    pub fn observe(&mut self, class: ClassKey, account: AccountKey, model: ModelKey, tokens: u32) {
        for group in groups_of(class, account, model) {
            if self.groups.len() >= MAX_HISTOGRAMS && !self.groups.contains_key(&group) {
                continue;
            }
            let histogram = self.groups.entry(group).or_insert_with(new_histogram);
            histogram.saturating_record(u64::from(tokens.max(1)));
            if histogram.len() >= HALVING_SAMPLES {
                halve_counts(histogram);
            }
        }
    }

    /// Forecasts what a request that has produced `generated` tokens will still produce.
    ///
    /// `max_tokens` is the caller's own limit on the whole output; 0 means none.
    pub fn forecast(
        &self,
        class: ClassKey,
        account: AccountKey,
        model: ModelKey,
        generated: u32,
        max_tokens: u32,
    ) -> LengthForecast {
        let learned = groups_of(class, account, model)
            .iter()
            .filter_map(|group| self.groups.get(group))
            .find(|histogram| histogram.len() >= MIN_SAMPLES);
        let forecast = match learned {
            Some(histogram) => conditional(histogram, generated),
            None => prior(generated),
        };
        let remaining =
            if max_tokens == 0 { u32::MAX } else { max_tokens.saturating_sub(generated) };
        LengthForecast {
            mean: forecast.mean.min(remaining),
            high: forecast.high.min(remaining),
            learned: forecast.learned,
        }
    }
}

/// Returns the groups of a request, the most specific first.
fn groups_of(class: ClassKey, account: AccountKey, model: ModelKey) -> [GroupKey; 3] {
    [
        GroupKey { class, account: Some(account), model: Some(model) },
        GroupKey { class, account: None, model: Some(model) },
        GroupKey { class, account: None, model: None },
    ]
}

fn new_histogram() -> Histogram<u16> {
    Histogram::new_with_bounds(1, LONGEST_OUTPUT, HISTOGRAM_DIGITS)
        .expect("the bounds are constants that the histogram accepts")
}

/// Halves all counts, rounding up.
fn halve_counts(histogram: &mut Histogram<u16>) {
    let mut halved = new_histogram();
    for step in histogram.iter_recorded() {
        halved.saturating_record_n(step.value_iterated_to(), step.count_at_value().div_ceil(2));
    }
    *histogram = halved;
}

/// Forecasts from the answers that are longer than `generated`.
fn conditional(histogram: &Histogram<u16>, generated: u32) -> LengthForecast {
    let floor = u64::from(generated);
    let (mut count, mut sum) = (0_u64, 0_u64);
    for step in histogram.iter_recorded() {
        if step.value_iterated_to() > floor {
            let middle = histogram.median_equivalent(step.value_iterated_to());
            count += u64::from(step.count_at_value());
            sum += u64::from(step.count_at_value()) * middle.max(floor + 1);
        }
    }
    if count == 0 {
        return beyond_observed(generated);
    }
    let wanted = (count as f64 * HIGH_QUANTILE).ceil() as u64;
    let mut seen = 0_u64;
    let mut high = floor + 1;
    for step in histogram.iter_recorded() {
        if step.value_iterated_to() > floor {
            seen += u64::from(step.count_at_value());
            high = step.value_iterated_to();
            if seen >= wanted {
                break;
            }
        }
    }
    let mean = (sum / count - floor).max(1) as u32;
    LengthForecast { mean, high: ((high - floor) as u32).max(mean), learned: true }
}

/// Forecasts for a request that is longer than every answer seen: as long again at worst.
fn beyond_observed(generated: u32) -> LengthForecast {
    let mean = (generated / 4).max(1);
    LengthForecast { mean, high: generated.max(mean), learned: true }
}

/// Forecasts before anything was seen: wide, and longer the longer the request runs.
fn prior(generated: u32) -> LengthForecast {
    LengthForecast {
        mean: PRIOR_MEAN.saturating_sub(generated).max(generated / 2).max(1),
        high: PRIOR_HIGH.saturating_sub(generated).max(generated),
        learned: false,
    }
}
