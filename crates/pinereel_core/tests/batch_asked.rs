//! What trainers asked for lately.

use pinereel_core::{Time, batch::Asked};

#[test]
fn the_mean_is_that_of_the_last_lots() {
    let at = |seconds: u64| Time::from_millis(seconds * 1_000);
    let mut asked = Asked::default();
    assert_eq!(asked.mean(at(0)), 0);
    for (second, tokens) in [(0, 100), (4, 200), (8, 300)] {
        asked.add(at(second), tokens);
    }
    assert_eq!(asked.mean(at(8)), 200);
    assert_eq!(asked.mean(at(16)), 250, "the first is too old");
    assert_eq!(asked.mean(at(60)), 0);
}
