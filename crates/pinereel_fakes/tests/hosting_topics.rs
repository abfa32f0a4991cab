//! Which instances receive which topics of the broadcast tree, tested with real processes.

use pinereel_fakes::hosting::site::{Instance, Site, Size};
use std::time::Duration;
use tokio::time::sleep;

fn has_log_line(instance: &Instance, text: &str) -> bool {
    instance.lines().iter().any(|line| line.contains(text))
}

/// The versions of all engines change with each step. Instances that do not use engines must not
/// receive their entries, so that the memory and the traffic of an instance do not grow with the
/// number of engines.
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
        let is_subscribed = |instance: &&Instance| has_log_line(instance, r#""scope":"Engines""#);
        let subscribed = site.instances.iter().filter(is_subscribed).count();
        // The runner of the lots of the only model, and the lease holder that sends orders to its
        // engines.
        assert!(
            (1..=2).contains(&subscribed),
            "{subscribed} instances received {engines} engines"
        );
        let knows_others = |instance: &Instance| has_log_line(instance, r#""scope":"Others""#);
        assert!(site.instances.iter().all(knows_others));
    }
}
