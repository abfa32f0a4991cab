//! Which instances receive which topics of the tree, with real processes.

use pinereel_fakes::hosting::site::{Instance, Site, Size};
use std::time::Duration;
use tokio::time::sleep;

fn has(instance: &Instance, with: &str) -> bool {
    instance.lines().iter().any(|line| line.contains(with))
}

/// Load pattern: the versions of all engines change with each step. Instances that have nothing to do with engines are
/// told nothing of them, so that what an instance keeps and hears does not grow with their number.
#[actix_rt::test]
async fn engines_are_told_to_those_alone_that_work_with_them() {
    for engines in [4, 8] {
        let size = Size {
            instances: 12,
            engines,
            services: 2,
        };
        let site = Site::start(size, 160 + engines as u64).await.unwrap();
        sleep(Duration::from_secs(2)).await;
        let told = |instance: &&Instance| has(instance, r#""scope":"Engines""#);
        let told = site.instances.iter().filter(told).count();
        // The runner of the one model, and the holder of the orders.
        assert!((1..=2).contains(&told), "{told} were told of {engines}");
        let others = |instance: &Instance| has(instance, r#""scope":"Others""#);
        assert!(site.instances.iter().all(others));
    }
}
