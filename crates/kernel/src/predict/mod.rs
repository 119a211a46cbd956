//! Prediction of the number of output tokens of a request.

mod length;

pub use self::length::{LengthForecast, LengthPredictor};
