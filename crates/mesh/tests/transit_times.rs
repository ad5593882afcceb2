//! What is known of the time that messages spend on their way between machines whose clocks have no common zero.

use std::time::Duration;

use medlarspool_mesh::{BootTime, SendStamp, TransitTimes};

const CLOCK: u64 = 0xa1;
const ZERO: Duration = Duration::ZERO;

/// By how much the sender's clock is ahead of the receiver's.
const AHEAD: Duration = Duration::from_secs(70_000);

/// The time on the way without queues.
const FASTEST_MS: u64 = 2;

/// The longest time that a message counts as the fastest recent one.
const WINDOW_MS: u64 = 8_000;

fn at_ms(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(millis))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records a message that was sent at `sent_ms` on the receiver's clock and waited in queues; returns its known delay.
fn record(times: &mut TransitTimes, sent_ms: u64, queued_ms: u64) -> Duration {
    let stamp = SendStamp {
        clock: CLOCK,
        sent_at: BootTime(AHEAD + ms(sent_ms)),
    };
    times.record(at_ms(sent_ms + FASTEST_MS + queued_ms), stamp)
}

/// Guards against requests that get the time again that they spent in the queue of a link.
#[test]
fn the_time_in_a_queue_is_known() {
    let mut times = TransitTimes::default();
    assert_eq!(record(&mut times, 1_000, 0), ZERO);
    assert_eq!(record(&mut times, 1_500, 600), ms(600));
    assert_eq!(record(&mut times, 2_600, 40), ms(40));
    assert_eq!(record(&mut times, 3_000, 0), ZERO);
}

/// Guards against requests that are refused since the zeros of two clocks were compared.
#[test]
fn nothing_is_known_of_the_first_message_of_a_sender() {
    let mut times = TransitTimes::default();
    assert_eq!(record(&mut times, 1_000, 900), ZERO);
    assert_eq!(record(&mut times, 2_000, 0), ZERO);
    assert_eq!(record(&mut times, 2_500, 900), ms(900));
    let restarted = SendStamp {
        clock: CLOCK + 1,
        sent_at: at_ms(10),
    };
    assert_eq!(times.record(at_ms(4_000), restarted), ZERO);
}

/// Guards against requests that are refused for good since the sender's clock stood still for a while.
#[test]
fn a_jump_of_the_senders_clock_is_forgotten() {
    let mut times = TransitTimes::default();
    assert_eq!(record(&mut times, 1_000, 0), ZERO);
    // The clock stood still for 3 s: all later stamps are too early by this.
    assert_eq!(record(&mut times, 1_500, 3_000), ms(3_000));
    let first_after_window_ms = 1_000 + FASTEST_MS + WINDOW_MS - 3_000;
    for sent_ms in (2_000..first_after_window_ms).step_by(500) {
        record(&mut times, sent_ms, 3_000);
    }
    assert_eq!(record(&mut times, first_after_window_ms, 3_000), ZERO);
    assert_eq!(record(&mut times, 7_000, 3_200), ms(200));
}

/// Guards against a delay of all requests by the time for which the receiver's clock stood still.
#[test]
fn a_jump_of_the_receivers_clock_shortens_nothing() {
    let mut times = TransitTimes::default();
    record(&mut times, 10_000, 0);
    let after_jump = |times: &mut TransitTimes, sent_ms: u64, queued_ms: u64| {
        let stamp = SendStamp {
            clock: CLOCK,
            sent_at: BootTime(AHEAD + ms(sent_ms)),
        };
        times.record(at_ms(sent_ms + FASTEST_MS + queued_ms - 3_000), stamp)
    };
    assert_eq!(after_jump(&mut times, 13_500, 0), ZERO);
    assert_eq!(after_jump(&mut times, 14_000, 100), ms(100));
}

/// Guards against requests that lose more time than they spent on the way, in any order of queues.
#[test]
fn no_more_is_taken_off_than_a_message_took() {
    let mut times = TransitTimes::default();
    let mut seed: u64 = 7;
    let mut known = ZERO;
    for step in 0..5_000_u64 {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        // Bulk fills the queue over 6 s and pauses then.
        let fill_ms = (step * 30 % 6_000) / 8;
        let queued_ms = (seed >> 33) % (fill_ms + 1);
        let delay = record(&mut times, 1_000 + step * 30, queued_ms);
        assert!(
            delay <= ms(FASTEST_MS + queued_ms),
            "{delay:?} of {queued_ms} ms"
        );
        known += delay;
    }
    assert!(known > ZERO);
}

/// Guards against memory that grows with every restart of a daemon.
#[test]
fn senders_that_are_gone_are_forgotten() {
    let mut times = TransitTimes::default();
    record(&mut times, 1_000, 0);
    times.sweep(at_ms(1_000 + WINDOW_MS / 2));
    assert_eq!(times.sender_count(), 1);
    for half_seconds in 0..=16 {
        times.sweep(at_ms(1_000 + WINDOW_MS / 2 + half_seconds * 500));
    }
    assert_eq!(times.sender_count(), 0);
}

/// Guards against stamps that another daemon reads as other ones.
#[test]
fn a_stamp_is_read_as_it_was_written() {
    let stamp = SendStamp {
        clock: u64::MAX,
        sent_at: BootTime(Duration::from_micros(1_234_567)),
    };
    assert_eq!(SendStamp::parse(&stamp.to_string()), Some(stamp));
    for text in ["", "a1", "a1,", ",1", "g,1", "0,1", "a1,-1", "a1,1,1"] {
        assert_eq!(SendStamp::parse(text), None, "{text}");
    }
}
