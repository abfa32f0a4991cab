//! What the trainers of a service's models ask for, and how many engines do that work.

use super::{config::Config, duty::Duties, endpoints::Endpoints, lots};
use compact_str::CompactString;
use pinereel_core::rollout::{self, Demand};
use pinereel_port::config::Engine;

/// What the models of a service ask for, as their runners say in their leases.
pub fn demands(config: &Config, duties: &Duties, service: &str) -> Vec<Demand> {
    let models = engine(config, service).map(|engine| engine.models);
    let demand = |model: CompactString| {
        let size = duties.demand(&lots::duty(&model));
        Demand {
            tokens: size.tokens,
            items: size.items,
            short: size.unplaced_items,
            model,
        }
    };
    models.unwrap_or_default().into_iter().map(demand).collect()
}

/// Engines of a service that do its work: the first ones in the order of [`Endpoints::first`].
pub fn working_set(
    config: &Config,
    duties: &Duties,
    endpoints: &Endpoints,
    service: &str,
) -> usize {
    let demands = demands(config, duties, service);
    let slots = slots(config, service);
    rollout::working_set_size(endpoints.available_count(service), slots, &demands)
}

/// Requests that each engine of a service runs at once.
pub fn slots(config: &Config, service: &str) -> u32 {
    engine(config, service).map_or(1, |engine| engine.slots)
}

/// The engines of a service, as the configuration describes them; none if it has none.
fn engine(config: &Config, service: &str) -> Option<Engine> {
    config.table()?.service(service)?.engine.clone()
}
