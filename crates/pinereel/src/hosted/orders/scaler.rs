//! Requests endpoints of a service from the platform, as the [`Autoscaler`] decides for each
//! availability zone.

use super::Orders;
use crate::hosted::{duty::HeldLease, lots, platform};
use compact_str::CompactString;
use pinereel_core::scale::{Autoscaler, Request, Settings, Zone};
use pinereel_port::{
    config::{Scale, Service},
    leader::{LeaseHolder, Outcome, ScaleTarget},
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval between checks of the shortage. The leases with the models' demand are received every
/// 0.7 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Sends the requests for endpoints of one service.
pub(super) struct ServiceScaler {
    pub(super) orders: Rc<Orders>,
    pub(super) service: CompactString,
    pub(super) duty: CompactString,
    pub(super) address: SocketAddr,
}

impl ServiceScaler {
    /// Checks at each interval which requests are due, and sends them while the lease is held.
    pub(super) async fn run(self) {
        let mut autoscaler = Autoscaler::default();
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(lease) = self.lease() else { continue };
            let table = self.orders.deps.config.table();
            let service = table.and_then(|table| table.service(&self.service).cloned());
            let Some((service, scale)) = service.and_then(with_scale) else {
                continue;
            };
            let (shortage, zones) = (self.shortage(&service), self.listed_zones(&scale));
            let settings = Settings {
                max_per_zone: scale.max_endpoints,
                startup_time: scale.startup_time,
                use_spot: scale.spot_price.is_some(),
            };
            let now = self.orders.deps.duties.now();
            for request in autoscaler.due_requests(now, settings, shortage, &zones) {
                let succeeded = self
                    .send_request(&lease, &request, (shortage, &zones))
                    .await;
                let now = self.orders.deps.duties.now();
                autoscaler.note_result(now, &request.zone, succeeded);
            }
        }
    }

    /// The lease, if a request may be sent under it now.
    fn lease(&self) -> Option<HeldLease> {
        let duties = &self.orders.deps.duties;
        let lease = duties.held_lease(&self.duty)?;
        let may_order_from = self.orders.may_order_from(&self.service, &lease);
        (duties.now() >= may_order_from).then_some(lease)
    }

    /// Number of endpoints, beyond the baseline, that give a slot to the items that got none in time.
    fn shortage(&self, service: &Service) -> u32 {
        let Some(engine) = &service.engine else {
            return 0;
        };
        let duties = &self.orders.deps.duties;
        let unplaced = |model| duties.lot_demand(&lots::duty_name(model)).unplaced_items;
        let items = engine.models.iter().map(|model| unplaced(model));
        let endpoint_count = items.sum::<u64>().div_ceil(u64::from(engine.slots.max(1)));
        u32::try_from(endpoint_count).unwrap_or(u32::MAX)
    }

    fn listed_zones(&self, scale: &Scale) -> BTreeMap<CompactString, Zone> {
        let mut zones: BTreeMap<CompactString, Zone> = BTreeMap::new();
        for (name, price) in &scale.zone_prices {
            zones.entry(name.clone()).or_default().price = *price;
        }
        for entry in self.orders.deps.endpoints.of_service(&self.service) {
            let zone = zones.entry(entry.zone).or_default();
            match (entry.draining, entry.spot) {
                (true, _) => {}
                (false, true) => zone.spot += 1,
                (false, false) => zone.regular += 1,
            }
        }
        zones
    }

    async fn send_request(
        &self,
        lease: &HeldLease,
        request: &Request,
        (shortage, zones): (u32, &BTreeMap<CompactString, Zone>),
    ) -> bool {
        let deps = &self.orders.deps;
        let holder = LeaseHolder {
            instance: deps.duties.instance(),
            fencing_token: lease.fence,
        };
        let target = ScaleTarget {
            service: &self.service,
            zone: &request.zone,
            count: request.count,
            spot: request.spot,
        };
        // The lease may have expired during the previous call.
        if self
            .lease()
            .is_none_or(|current| current.fence != lease.fence)
        {
            return false;
        }
        self.orders.note_order(&self.service);
        let call = (deps.adapter.leader.set_endpoint_count)(holder, target);
        let status = platform::call(&deps.pool, self.address, call).await;
        let outcome = status.map(deps.adapter.leader.outcome);
        let listed = zones.get(&request.zone).copied().unwrap_or_default();
        log::info!(
            service = self.service.as_str(),
            zone = request.zone.as_str(),
            count = request.count,
            spot = request.spot,
            lacking = shortage,
            listed = listed.regular,
            listed_spot = listed.spot,
            fence = lease.fence,
            outcome = outcome.map_or("no answer", Outcome::as_str);
            "endpoint count requested"
        );
        let label = status.map_or("none".into(), |status| status.as_str().to_owned());
        deps.metrics
            .count(&deps.metrics.platform_calls, &["size", &label]);
        outcome == Some(Outcome::Done)
    }
}

fn with_scale(service: Service) -> Option<(Service, Scale)> {
    let scale = service.scale.clone()?;
    Some((service, scale))
}
