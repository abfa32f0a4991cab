//! The demand of a service's models, and the number of engines that this demand needs. Used where
//! lots are dispatched and where engines are assigned to models.

use super::{config::Config, duty::Duties, endpoints::Endpoints, lots};
use compact_str::CompactString;
use pinereel_core::rollout::{self, Demand};
use pinereel_port::config::Engine;

/// Demand of each model of `service`, as the holders of the models' duties store it in their
/// leases.
pub fn model_demands(config: &Config, duties: &Duties, service: &str) -> Vec<Demand> {
    let models = engine_config(config, service).map(|engine| engine.models);
    let demand = |model: CompactString| {
        let lot_demand = duties.lot_demand(&lots::duty_name(&model));
        Demand {
            tokens: lot_demand.tokens,
            items: lot_demand.items,
            short: lot_demand.unplaced_items,
            model,
        }
    };
    models.unwrap_or_default().into_iter().map(demand).collect()
}

/// Number of engines of `service` that the `demands` of its models need: the first ones in the order of
/// [`Endpoints::ranked`].
pub fn working_set_size(
    config: &Config,
    endpoints: &Endpoints,
    service: &str,
    demands: &[Demand],
) -> usize {
    let slots = slots_per_engine(config, service);
    rollout::working_set_size(endpoints.available_count(service), slots, demands)
}

/// Number of requests that each engine of `service` runs concurrently.
pub fn slots_per_engine(config: &Config, service: &str) -> u32 {
    engine_config(config, service).map_or(1, |engine| engine.slots)
}

/// The engines of `service` in the configuration; `None` if it has none.
fn engine_config(config: &Config, service: &str) -> Option<Engine> {
    config.table()?.service(service)?.engine.clone()
}
