//! Versions of weights that another writer names.

use pinereel_fakes::hosting::{
    site::{MODEL, Site, Size},
    trainer::{Shape, Trainer},
};
use serde_json::json;
use std::rc::Rc;

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 2,
    services: 1,
};
const FOREIGN_VERSION: u64 = 1_000_000;

/// A version under the name of another object became the newest of the model for good, and no engine was ordered
/// to load those of its trainer.
#[actix_rt::test]
async fn a_version_under_another_name_is_not_ordered() {
    let site = Site::start(SITE_SIZE, 693).await.expect("the site starts");
    let foreign = json!({"model": MODEL, "version": FOREIGN_VERSION});
    site.store.put("versions", "other", foreign);
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let shape = Shape {
        groups: 2,
        group_size: 4,
        wanted_groups: 2,
    };
    let mut trainer = Trainer::new("own", &load_balancer, &site.store, &recorder, shape, 1);
    for step in 0..3 {
        trainer.step(step).await;
    }
    assert_eq!(trainer.done, 3);
    let versions = site.engines.iter().map(|engine| engine.endpoint.version());
    let versions: Vec<_> = versions.collect();
    assert!(
        versions.iter().all(|version| *version < FOREIGN_VERSION),
        "{versions:?}"
    );
    recorder.check_orders();
    assert_eq!(recorder.violations(), Vec::<String>::new());
}
