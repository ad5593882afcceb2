//! Formats times in UTC.

const DAY_SECONDS: u64 = 86_400;
/// The number of days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;
/// The number of days in 400 years, after which the calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Formats milliseconds since the Unix epoch as `2026-12-03T21:00:00Z`.
pub(crate) fn format_ms(epoch_ms: u64) -> String {
    let seconds = epoch_ms / 1000;
    let (year, month, day) = date(seconds / DAY_SECONDS);
    let (hour, minute) = (seconds / 3600 % 24, seconds / 60 % 60);
    let second = seconds % 60;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day; computes with years that begin in March, so that leap days come last.
fn date(epoch_day: u64) -> (u64, u64, u64) {
    let days = epoch_day + EPOCH_DAYS;
    let (era, day_of_era) = (days / ERA_DAYS, days % ERA_DAYS);
    let leap_days = day_of_era / 1460 + day_of_era / 146_096 - day_of_era / 36_524;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
