//! Prediction of output lengths from observed answers, by class, account and model.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::ids::{AccountKey, ClassKey, ModelKey};

/// Maximum output length that a histogram distinguishes, in tokens; longer outputs count as this
/// length.
const LONGEST_OUTPUT: u64 = 1 << 17;

/// Number of significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 1;

/// Minimum number of answers in a histogram that is used for a forecast; with fewer answers a
/// more general group is used.
const MIN_SAMPLES: u64 = 16;

/// Number of answers at which a histogram halves its counts, so that old answers lose weight.
const HALVING_SAMPLES: u64 = 512;

/// Maximum number of histograms; at the limit, an answer is only recorded in the histograms that
/// already exist.
const MAX_HISTOGRAMS: usize = 2048;

/// Quantile reported as [`LengthForecast::high`].
const HIGH_QUANTILE: f64 = 0.95;

/// Mean output length in tokens if no answers have been observed.
const PRIOR_MEAN: u32 = 256;

/// High quantile of the output length in tokens if no answers have been observed.
const PRIOR_HIGH: u32 = 1024;

/// Forecast of the remaining output tokens of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthForecast {
    /// Expected number of remaining tokens, for throughput decisions.
    pub mean: u32,
    /// 95th percentile of the remaining tokens, for deadline decisions.
    pub high: u32,
    /// Whether the forecast is based on observed answers and not only on the prior.
    pub learned: bool,
}

/// The group of requests that a histogram describes; `None` matches every account or model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    class: ClassKey,
    account: Option<AccountKey>,
    model: Option<ModelKey>,
}

/// Predicts output lengths from histograms of observed answers.
///
/// A forecast uses the most specific group that has enough answers: first class, account and
/// model, then class and model, then class. If no group has enough answers, the forecast uses a
/// wide prior. The forecast for a request that has produced `n` tokens is based only on answers
/// longer than `n` tokens.
#[derive(Clone, Debug, Default)]
pub struct LengthPredictor {
    groups: HashMap<GroupKey, Histogram<u16>>,
}

impl LengthPredictor {
    /// Returns a predictor without observed answers.
    pub fn new() -> LengthPredictor {
        LengthPredictor::default()
    }

    /// Records the length of a complete answer in tokens.
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

    /// Returns a forecast of the remaining tokens of a request that has produced `generated`
    /// tokens.
    ///
    /// `max_tokens` is the caller's limit on the whole output; 0 means no limit.
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

/// Returns the groups of a request, from the most specific to the most general.
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

/// Returns a forecast based on the recorded answers that are longer than `generated`.
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

/// Returns a forecast for a request that is longer than every recorded answer.
///
/// The high quantile assumes that the request produces as many tokens again.
fn beyond_observed(generated: u32) -> LengthForecast {
    let mean = (generated / 4).max(1);
    LengthForecast { mean, high: generated.max(mean), learned: true }
}

/// Returns a forecast that uses no observed answers.
///
/// The forecast is wide, and it grows with the tokens that the request has already produced.
fn prior(generated: u32) -> LengthForecast {
    LengthForecast {
        mean: PRIOR_MEAN.saturating_sub(generated).max(generated / 2).max(1),
        high: PRIOR_HIGH.saturating_sub(generated).max(generated),
        learned: false,
    }
}
