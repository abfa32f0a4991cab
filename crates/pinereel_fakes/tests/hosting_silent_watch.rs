//! Connections of the root of the broadcast tree to the store that fall silent while others work, with real
//! processes. A change must be in force within 2 s of its confirmation at all other instances.

use pinereel_fakes::hosting::{
    proxy::Connection,
    site::{PLAIN_SERVICE, Site, Size},
};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Longest time between the confirmation of a change and its effect.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for the instances to form the tree, and to read the store over new connections.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const SIZE: Size = Size {
    instances: 6,
    engines: 1,
    services: 2,
};

/// The root read changes over one connection, and took its answers to other calls for a sign that it missed none:
/// all instances kept an old configuration until the watch timed out, after up to 21.5 s.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_while_a_watch_of_the_root_gets_no_answers() {
    let mut site = Site::start(SIZE, 271).await.expect("the site starts");
    sleep(SETTLE_TIME).await;
    for round in 0..3 {
        let root = site.root();
        let store_proxy = &site.instances[root].store_proxy;
        store_proxy.silence_connections(Connection::awaits_answer);
        site.configure(PLAIN_SERVICE, Duration::from_secs(2));
        sleep_until(Instant::now() + MAX_APPLY_TIME).await;
        let mut outdated = Vec::new();
        for index in (0..SIZE.instances).filter(|index| *index != root) {
            if !site.serves_newest_routes(index).await {
                outdated.push(site.instances[index].name.clone());
            }
        }
        assert_eq!(outdated, Vec::<String>::new(), "round {round}, root {root}");
        sleep(SETTLE_TIME).await;
    }
}
