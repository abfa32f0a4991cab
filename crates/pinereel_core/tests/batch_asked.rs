//! What trainers asked for lately.

use pinereel_core::{Time, batch::Asked};

#[test]
fn the_mean_is_that_of_the_last_lots() {
    let at = |seconds: u64| Time::from_millis(seconds * 1_000);
    let mut asked = Asked::default();
    assert_eq!(asked.size(at(0)).tokens, 0);
    for (second, tokens) in [(0, 100), (4, 200), (8, 300)] {
        asked.add(at(second), tokens / 5, tokens);
        asked.add_short(at(second + 1), tokens / 10);
    }
    assert_eq!(asked.size(at(8)).tokens, 200);
    assert_eq!(asked.size(at(9)).short, 20);
    assert_eq!(asked.size(at(8)).items, 60, "the largest counts");
    assert_eq!(asked.size(at(16)).tokens, 250, "the first is too old");
    assert_eq!(asked.size(at(60)).tokens, 0);
}
