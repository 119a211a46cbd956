//! Parser and formatter for durations and percentages with units.

use std::time::Duration;

/// Units of a duration and their lengths in microseconds, in ascending order.
const DURATION_UNITS: [(&str, f64); 5] =
    [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 60e6), ("h", 3600e6)];

/// Maximum duration in settings.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// Parses a duration such as `770ms`, `30s`, `5m` or `1.5h`.
///
/// Returns `None` if the text has no unit or an unknown unit, or if the value is negative or more
/// than 30 days.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use pimentorock_settings::units::parse_duration;
///
/// assert_eq!(parse_duration("770ms"), Some(Duration::from_millis(770)));
/// assert_eq!(parse_duration("770"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    let (_, micros) = DURATION_UNITS.into_iter().find(|(name, _)| *name == unit)?;
    let total = parse_number(number)? * micros;
    let span = Duration::from_micros(total.round() as u64);
    (span <= MAX_DURATION).then_some(span)
}

/// Formats a duration as a whole number of the largest possible unit, such as `90s` or `36h`.
pub fn format_duration(span: Duration) -> Box<str> {
    let micros = span.as_micros();
    for (unit, length) in DURATION_UNITS.into_iter().rev() {
        let length = length as u128;
        if micros >= length && micros.is_multiple_of(length) {
            return format!("{}{unit}", micros / length).into();
        }
    }
    "0s".into()
}

/// Parses a percentage such as `2%` or `0.5%` into a fraction from 0 to 1.
///
/// Returns `None` if the text has no percent sign or the number is not from 0 to 100.
pub fn parse_share(text: &str) -> Option<f64> {
    let (number, unit) = split_unit(text)?;
    let percent = parse_number(number)?;
    (unit == "%" && percent <= 100.0).then_some(percent / 100.0)
}

/// Splits a quantity such as `1.5h` into its number `1.5` and its unit `h`.
fn split_unit(text: &str) -> Option<(&str, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    Some((&text[..end], text[end..].trim_start()))
}

/// Parses a decimal number without sign or exponent, which [`split_unit`] ensures.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
