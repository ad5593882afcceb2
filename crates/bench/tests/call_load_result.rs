//! The histogram of a call load returns times as they were recorded, also after results were added up.

use std::time::Duration;

use medlarspool_bench::CallLoadResult;

#[test]
fn a_time_is_read_back_as_it_was_recorded() {
    let mut total = CallLoadResult::default();
    for time_ms in [5, 50, 5_000] {
        let mut part = CallLoadResult::default();
        part.record_answer(Duration::from_millis(time_ms));
        total.add(part);
    }
    assert_eq!(total.answered(), 3);
    assert!((total.quantile_ms(0.5) - 50.0).abs() < 1.0);
    assert!((total.quantile_ms(1.0) - 5_000.0).abs() < 10.0);
}
