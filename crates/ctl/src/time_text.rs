//! Formats wall-clock times and durations as text.

/// Seconds in a day.
const DAY_SECONDS: u64 = 86_400;

/// Days from 1 March of year 0 to 1 January 1970.
const EPOCH_DAYS: u64 = 719_468;

/// Days in 400 years, the period after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Formats milliseconds since 1970 as a UTC time such as `2026-12-03 22:17:05.123Z`.
///
/// The calendar date is computed with Howard Hinnant's `civil_from_days` algorithm.
pub(crate) fn utc_text(at_ms: u64) -> String {
    let (seconds, millis) = (at_ms / 1000, at_ms % 1000);
    let (days, second) = (seconds / DAY_SECONDS + EPOCH_DAYS, seconds % DAY_SECONDS);
    let (era, day_of_era) = (days / ERA_DAYS, days % ERA_DAYS);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Formats seconds in the largest unit that divides them evenly, such as `5m` or `3d`.
pub(crate) fn duration_text(seconds: u64) -> String {
    for (unit, length) in [("d", DAY_SECONDS), ("h", 3600), ("m", 60)] {
        if seconds >= length && seconds.is_multiple_of(length) {
            return format!("{}{unit}", seconds / length);
        }
    }
    format!("{seconds}s")
}
