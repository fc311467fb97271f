use super::TokenBucket;
use crankpaddle_time::Time;

#[test]
fn no_more_tokens_are_taken_than_the_rate_and_the_full_bucket_allow() {
    let mut bucket = TokenBucket::new(10.0, Time(0));
    let taken = (0..300)
        .filter(|attempt| bucket.try_take(Time(attempt * 10_000_000), 1.0, 0.0))
        .count();
    assert!(
        (38..=40).contains(&taken),
        "a full bucket of 10 and 10 per second for 3 s: {taken}"
    );
    assert!(
        !bucket.try_take(Time(3_000_000_000), 1.0, 0.5),
        "half of the capacity is reserved"
    );
}
