//! Which tasks of a hosted instance are not restarted after a panic.

use std::{collections::BTreeMap, fs, path::Path};

/// Number of tasks by source file that are spawned without a restart: those of one connection, call, lot or
/// attempt and of the wait for a port, which end by themselves, and those that restart a part of themselves.
const NOT_RESTARTED: [(&str, usize); 12] = [
    ("hosted/endpoints/listing.rs", 1),
    ("hosted/lots/dispatch.rs", 1),
    ("hosted/lots/lifecycle.rs", 4),
    ("hosted/lots/runner.rs", 1),
    ("hosted/orders/mod.rs", 1),
    ("hosted/orders/rollout.rs", 2),
    ("hosted/proxy/mod.rs", 1),
    ("hosted/readiness.rs", 1),
    ("hosted/run.rs", 2),
    ("hosted/store/mod.rs", 1),
    ("hosted/tree/children.rs", 1),
    ("hosted/tree/store_calls.rs", 2),
];

fn count_spawns(folder: &Path, root: &Path, found: &mut BTreeMap<String, usize>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            count_spawns(&path, root, found);
            continue;
        }
        let source = fs::read_to_string(&path).expect("a source file");
        let count = source.matches("actix_rt::spawn(").count();
        if count > 0 {
            let name = path.strip_prefix(root).expect("below the root");
            found.insert(name.display().to_string(), count);
        }
    }
}

/// A panic in a task that was spawned without a restart ended its work for good, while the process ran on: no
/// heartbeats, no renewal of leases, no changes of the endpoint list.
#[test]
fn every_other_task_is_restarted_after_a_panic() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = BTreeMap::new();
    count_spawns(&root.join("hosted"), &root, &mut found);
    let expected = NOT_RESTARTED.map(|(name, count)| (name.to_owned(), count));
    assert_eq!(found, BTreeMap::from(expected));
}
