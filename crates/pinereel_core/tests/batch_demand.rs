//! The sliding window over the demand of recent lots.

use pinereel_core::{Time, batch::DemandWindow};

#[test]
fn the_demand_covers_only_lots_within_the_window() {
    let at = |seconds: u64| Time::from_millis(seconds * 1_000);
    let mut window = DemandWindow::default();
    assert_eq!(window.demand(at(0)).tokens, 0);
    for (second, tokens) in [(0, 100), (4, 200), (8, 300)] {
        window.record_lot(at(second), tokens / 5, tokens);
        window.record_unplaced(at(second + 1), tokens / 10);
    }
    assert_eq!(window.demand(at(8)).tokens, 200);
    assert_eq!(window.demand(at(9)).unplaced_items, 20);
    assert_eq!(window.demand(at(8)).items, 60, "the largest lot counts");
    assert_eq!(
        window.demand(at(16)).tokens,
        250,
        "the first lot is outside the window"
    );
    assert_eq!(window.demand(at(60)).tokens, 0);
}
