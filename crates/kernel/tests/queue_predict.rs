//! Comparison of forecast output lengths with values computed from a plain list of all answers.

mod endpoint_simulation;

use endpoint_simulation::{SWACHH, account, catalog};
use pimentorock_kernel::predict::LengthPredictor;
use quickcheck::{Arbitrary, Gen};

/// Relative error that histogram buckets with one significant digit allow.
const BUCKET_ERROR: f64 = 0.08;

fn is_near(forecast: u32, naive: f64) -> bool {
    (f64::from(forecast) - naive).abs() <= naive * BUCKET_ERROR + 2.0
}

/// Guards against forecasts that deviate from the observed lengths by more than the bucket error,
/// in particular for requests that have already produced tokens.
#[test]
fn forecasts_match_a_plain_list() {
    let catalog = catalog(SWACHH);
    let class = catalog.class("ghar/chat").expect("the class is in the catalog");
    let model = catalog.model("m1").expect("the model is in the catalog");
    let account = account(&catalog, 0);
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(300, seed);
        let mut lengths: Vec<u32> =
            (0..300).map(|_| 1 + u32::from(u16::arbitrary(&mut random)) % 3000).collect();
        let mut predictor = LengthPredictor::new();
        lengths.iter().for_each(|&tokens| predictor.observe(class, account, model, tokens));
        lengths.sort_unstable();
        for generated in [0, 40, 700, 2000] {
            let longer: Vec<f64> = lengths
                .iter()
                .filter(|&&tokens| tokens > generated)
                .map(|&tokens| f64::from(tokens))
                .collect();
            let mean = longer.iter().sum::<f64>() / longer.len() as f64;
            let high = longer[(longer.len() as f64 * 0.95).ceil() as usize - 1];
            let forecast = predictor.forecast(class, account, model, generated, 0);
            // Errors are relative to the total length, not to the remaining length.
            assert!(is_near(forecast.mean + generated, mean), "seed {seed}: {forecast:?} {mean}");
            assert!(is_near(forecast.high + generated, high), "seed {seed}: {forecast:?} {high}");
        }
    }
}

/// Guards against forecasts from too few answers of one account and against forecasts that mix
/// answers of other classes.
#[test]
fn forecasts_fall_back_to_general_data_until_specific_data_suffices() {
    let catalog = catalog(SWACHH);
    let class = catalog.class("ghar/chat").expect("the class is in the catalog");
    let other = catalog.class("ghar/summaries").expect("the class is in the catalog");
    let model = catalog.model("m1").expect("the model is in the catalog");
    let (busy, quiet) = (account(&catalog, 0), account(&catalog, 1));
    let mut predictor = LengthPredictor::new();
    let unseen = predictor.forecast(class, busy, model, 0, 0);
    assert!(!unseen.learned && unseen.high >= 4 * unseen.mean, "{unseen:?}");
    assert_eq!(
        predictor.forecast(class, busy, model, 0, 30).high,
        30,
        "the forecast is limited by the caller's `max_tokens`"
    );
    let still_running = predictor.forecast(class, busy, model, 2000, 0);
    assert!(still_running.mean >= 500, "a long answer is expected to continue: {still_running:?}");
    (0..50).for_each(|_| predictor.observe(class, busy, model, 500));
    (0..5).for_each(|_| predictor.observe(class, quiet, model, 20));
    let few = predictor.forecast(class, quiet, model, 0, 0);
    assert!(
        few.learned && few.mean > 400,
        "five answers are too few for a forecast of their own: {few:?}"
    );
    (0..20).for_each(|_| predictor.observe(class, quiet, model, 20));
    assert!(predictor.forecast(class, quiet, model, 0, 0).mean < 25);
    assert!(predictor.forecast(class, busy, model, 0, 0).mean > 450);
    assert!(!predictor.forecast(other, busy, model, 0, 0).learned);
}
