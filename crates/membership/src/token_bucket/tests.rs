use super::TokenBucket;
use crankpaddle_time::Time;

#[test]
fn no_second_takes_more_than_the_rate_and_the_saved_tokens() {
    let mut bucket = TokenBucket::new(10.0, Time(0));
    let taken = (0..300)
        .filter(|attempt| bucket.try_take(Time(attempt * 10_000_000), 1.0, 0.0))
        .count();
    assert!(
        (38..=40).contains(&taken),
        "10 at first and 10 a second for 3 s: {taken}"
    );
    assert!(
        !bucket.try_take(Time(3_000_000_000), 1.0, 0.5),
        "a part is spared for what matters more"
    );
}
