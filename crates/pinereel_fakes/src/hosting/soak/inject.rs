//! Injects faults of each kind, and schedules their ends.

use super::{
    AFTER_EFFECT_TIME, Soak,
    fault_kind::{FaultKind, engine_faults, service_faults},
    start_instance,
};
use crate::{
    child_process::Signal,
    hosting::{
        engine, proxy, service,
        site::{API_KEY, Site, WORKSPACE},
        store,
    },
};
use rand::Rng as _;
use serde_json::json;
use std::{io, rc::Rc, time::Duration};
use tokio::time::sleep;

impl Soak {
    /// Injects a fault of this kind at an instance or endpoint that is drawn at random. A fault
    /// that lasts ends after `length`.
    pub(super) async fn inject(&mut self, kind: FaultKind, length: Duration) {
        let site = Rc::clone(&self.site);
        let counts = {
            let site = site.borrow();
            [
                site.instances.len(),
                site.engines.len(),
                site.services.len(),
            ]
        };
        let [instance, engine, service] = counts.map(|count| self.rng.random_range(0..count));
        let index = match kind {
            FaultKind::EngineSlow
            | FaultKind::EngineCuts
            | FaultKind::EngineLateOrders
            | FaultKind::EngineDark
            | FaultKind::EngineLapses
            | FaultKind::EngineLeaves => engine,
            FaultKind::ServiceLoses
            | FaultKind::ServiceCuts
            | FaultKind::ServiceSlow
            | FaultKind::ServiceLeaves => service,
            _ => instance,
        };
        self.record_fault(kind, index, length);
        match kind {
            FaultKind::Kill | FaultKind::Terminate | FaultKind::Pause => {
                self.send_signal(kind, index, length);
            }
            FaultKind::CutFromStore
            | FaultKind::ResetStoreConnections
            | FaultKind::DelayCallers
            | FaultKind::ResetCallers
            | FaultKind::BadSettings => self.inject_instance_fault(kind, index, length),
            FaultKind::StoreDown
            | FaultKind::StoreSlow
            | FaultKind::StoreLoses
            | FaultKind::StoreForgets => self.inject_store_fault(kind, length),
            FaultKind::EngineLeaves | FaultKind::ServiceLeaves => self.replace(kind, index).await,
            // The series of changes records each version, and is the only writer then.
            FaultKind::Configure if self.options.config_changes => {}
            FaultKind::Configure => self.change_configuration(),
            _ => self.inject_endpoint_fault(kind, index, length),
        }
    }

    fn send_signal(&mut self, kind: FaultKind, index: usize, length: Duration) {
        let graceful = matches!(kind, FaultKind::Terminate);
        let mut site = self.site.borrow_mut();
        let instance = &mut site.instances[index];
        if !instance.is_running() || instance.paused {
            return;
        }
        match kind {
            FaultKind::Kill => instance.signal(Signal::KILL),
            FaultKind::Pause => {
                instance.signal(Signal::STOP);
                instance.paused = true;
            }
            _ => instance.signal(Signal::TERM),
        }
        drop(site);
        if graceful {
            // The process exits by itself, and is started again then.
            self.record_period(Some(index), true, Duration::from_secs(9));
            self.restart_after_exit(index);
        } else {
            self.record_period(Some(index), false, length + AFTER_EFFECT_TIME);
            self.end_after(length, move |site| {
                let instance = &mut site.instances[index];
                if instance.paused {
                    instance.signal(Signal::CONT);
                    instance.paused = false;
                } else if !instance.is_running() {
                    start_instance(site, index);
                }
            });
        }
    }

    /// Starts the process of an instance again once it has exited.
    fn restart_after_exit(&self, index: usize) {
        let site = Rc::clone(&self.site);
        actix_rt::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                let site = &mut *site.borrow_mut();
                if !site.instances[index].is_running() {
                    start_instance(site, index);
                    return;
                }
            }
        });
    }

    fn inject_instance_fault(&mut self, kind: FaultKind, index: usize, length: Duration) {
        let drop_answers_only = self.rng.random_bool(0.4);
        self.record_period(Some(index), false, length + AFTER_EFFECT_TIME);
        let site = self.site.borrow();
        let instance = &site.instances[index];
        match kind {
            FaultKind::CutFromStore => {
                let faults = proxy::Faults {
                    drop_requests: !drop_answers_only,
                    ..proxy::Faults::DROP_ALL
                };
                instance.store_proxy.set_faults(faults);
                self.end_after(length, move |site| {
                    site.instances[index]
                        .store_proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            FaultKind::ResetStoreConnections => instance.store_proxy.reset_connections(),
            FaultKind::DelayCallers => {
                let delay = Duration::from_millis(60);
                instance.caller_proxy.set_faults(proxy::Faults {
                    delay,
                    ..proxy::Faults::default()
                });
                self.end_after(length, move |site| {
                    site.instances[index]
                        .caller_proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            FaultKind::BadSettings => {
                instance.corrupt_settings();
                self.end_after(length, move |site| site.instances[index].restore_settings());
            }
            _ => instance.caller_proxy.reset_connections(),
        }
    }

    fn inject_store_fault(&mut self, kind: FaultKind, length: Duration) {
        self.record_period(None, false, length + AFTER_EFFECT_TIME);
        let delay_lost_writes = self.rng.random_bool(0.5);
        let site = self.site.borrow();
        let faults = match kind {
            FaultKind::StoreDown => store::Faults::DOWN,
            FaultKind::StoreSlow => store::Faults {
                delay: Duration::from_millis(200),
                ..store::Faults::default()
            },
            FaultKind::StoreLoses => store::Faults {
                loss_probability: 0.35,
                delay_lost_writes,
                ..store::Faults::default()
            },
            _ => {
                site.store.compact();
                return;
            }
        };
        site.store.set_faults(faults);
        self.end_after(length, |site| site.store.set_faults(Default::default()));
    }

    fn inject_endpoint_fault(&self, kind: FaultKind, index: usize, length: Duration) {
        self.record_endpoint_period(length + AFTER_EFFECT_TIME);
        let site = self.site.borrow();
        if let Some(faults) = service_faults(kind) {
            site.services[index].endpoint.set_faults(faults);
            self.end_after(length, move |site| {
                site.services[index]
                    .endpoint
                    .set_faults(service::Faults::default());
            });
            return;
        }
        let proxied = &site.engines[index];
        match kind {
            FaultKind::EngineDark => {
                proxied.proxy.set_faults(proxy::Faults::DROP_ALL);
                self.end_after(length, move |site| {
                    site.engines[index]
                        .proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            FaultKind::EngineLapses => {
                proxied.endpoint.deregister();
                self.end_after(length.min(Duration::from_millis(1_500)), move |site| {
                    let proxied = &site.engines[index];
                    proxied.endpoint.register(proxied.proxy.address);
                });
            }
            _ => {
                proxied.endpoint.set_faults(engine_faults(kind));
                self.end_after(length, move |site| {
                    site.engines[index]
                        .endpoint
                        .set_faults(engine::Faults::default());
                });
            }
        }
    }

    /// Adds a new endpoint, and then lets an old one announce that it leaves.
    async fn replace(&mut self, kind: FaultKind, index: usize) {
        let mut site = self.site.borrow_mut();
        if matches!(kind, FaultKind::EngineLeaves) {
            let version = site.engines[index].endpoint.version();
            // If the new endpoint cannot be started, the old one stays.
            if add_at_once(site.add_engine(version)) {
                site.engines[index].endpoint.leave();
                let last = site.engines.len() - 1;
                site.engines.swap(index, last);
                let old = site.engines.pop().expect("one was just added");
                deregister_later(move || old.endpoint.deregister());
            }
        } else if index + 1 < site.services.len() && add_at_once(site.add_service("plain")) {
            let proxied = &site.services[index];
            proxied.endpoint.leave(proxied.proxy.address);
            let last = site.services.len() - 1;
            site.services.swap(index, last);
            let old = site.services.pop().expect("one was just added");
            deregister_later(move || old.endpoint.deregister());
        }
    }

    fn change_configuration(&mut self) {
        let to_other = self.rng.random_bool(0.5);
        let timeout = Duration::from_millis(self.rng.random_range(1_500..2_500));
        let service = if to_other { "other" } else { "plain" };
        let mut site = self.site.borrow_mut();
        change_api_keys(&mut site);
        site.configure(service, timeout);
    }
}

/// Sets the API keys of the next configuration: the key that callers use, and another that is new
/// in each version.
pub(super) fn change_api_keys(site: &mut Site) {
    let extra_key = format!("key-of-w-{}", site.config_version);
    site.workspaces = Some(json!([
        {"name": WORKSPACE, "apiKeys": [API_KEY, extra_key]},
        {"name": "nobody", "apiKeys": []},
    ]));
}

/// Polls `future`, which adds an endpoint, once, and returns whether the endpoint was added.
/// Binding a loopback port never waits, so one poll completes the future.
pub(super) fn add_at_once(future: impl Future<Output = io::Result<()>>) -> bool {
    let result = futures_util::FutureExt::now_or_never(future);
    matches!(result, Some(Ok(())))
}

/// Deregisters an endpoint that has announced that it leaves, after its last requests have ended.
fn deregister_later(deregister: impl FnOnce() + 'static) {
    actix_rt::spawn(async move {
        sleep(Duration::from_secs(4)).await;
        deregister();
    });
}
