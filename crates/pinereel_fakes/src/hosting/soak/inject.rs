//! How each fault is brought about, and ended.

use super::{
    AFTERMATH, Soak, start,
    trouble::{Trouble, engine_fault, service_fault},
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
    pub(super) async fn inject(&mut self, trouble: Trouble, length: Duration) {
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
        let index = match trouble {
            Trouble::EngineSlow
            | Trouble::EngineCuts
            | Trouble::EngineLateOrders
            | Trouble::EngineDark
            | Trouble::EngineLapses
            | Trouble::EngineLeaves => engine,
            Trouble::ServiceLoses
            | Trouble::ServiceCuts
            | Trouble::ServiceSlow
            | Trouble::ServiceLeaves => service,
            _ => instance,
        };
        self.note(trouble, index, length);
        match trouble {
            Trouble::Kill | Trouble::Terminate | Trouble::Pause => {
                self.signal(trouble, index, length);
            }
            Trouble::CutFromStore
            | Trouble::ResetStoreConnections
            | Trouble::DelayCallers
            | Trouble::ResetCallers
            | Trouble::BadSettings => self.instance_fault(trouble, index, length),
            Trouble::StoreDown
            | Trouble::StoreSlow
            | Trouble::StoreLoses
            | Trouble::StoreForgets => self.store_fault(trouble, length),
            Trouble::EngineLeaves | Trouble::ServiceLeaves => self.replace(trouble, index).await,
            Trouble::Configure => self.configure(),
            _ => self.endpoint_fault(trouble, index, length),
        }
    }

    fn signal(&mut self, trouble: Trouble, index: usize, length: Duration) {
        let planned = matches!(trouble, Trouble::Terminate);
        let mut site = self.site.borrow_mut();
        let instance = &mut site.instances[index];
        if !instance.is_running() || instance.paused {
            return;
        }
        match trouble {
            Trouble::Kill => instance.signal(Signal::KILL),
            Trouble::Pause => {
                instance.signal(Signal::STOP);
                instance.paused = true;
            }
            _ => instance.signal(Signal::TERM),
        }
        drop(site);
        if planned {
            // It ends by itself; then it is started again.
            self.span(Some(index), true, Duration::from_secs(9));
            self.restart_when_ended(index);
        } else {
            self.span(Some(index), false, length + AFTERMATH);
            self.later(length, move |site| {
                let instance = &mut site.instances[index];
                if instance.paused {
                    instance.signal(Signal::CONT);
                    instance.paused = false;
                } else if !instance.is_running() {
                    start(site, index);
                }
            });
        }
    }

    fn restart_when_ended(&self, index: usize) {
        let site = Rc::clone(&self.site);
        actix_rt::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                let site = &mut *site.borrow_mut();
                if !site.instances[index].is_running() {
                    start(site, index);
                    return;
                }
            }
        });
    }

    fn instance_fault(&mut self, trouble: Trouble, index: usize, length: Duration) {
        let one_way = self.rng.random_bool(0.4);
        self.span(Some(index), false, length + AFTERMATH);
        let site = self.site.borrow();
        let instance = &site.instances[index];
        match trouble {
            Trouble::CutFromStore => {
                let fault = proxy::Faults {
                    drop_requests: !one_way,
                    ..proxy::Faults::DROP_ALL
                };
                instance.store_proxy.set_faults(fault);
                self.later(length, move |site| {
                    site.instances[index]
                        .store_proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            Trouble::ResetStoreConnections => instance.store_proxy.reset_connections(),
            Trouble::DelayCallers => {
                let delay = Duration::from_millis(60);
                instance.caller_proxy.set_faults(proxy::Faults {
                    delay,
                    ..proxy::Faults::default()
                });
                self.later(length, move |site| {
                    site.instances[index]
                        .caller_proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            Trouble::BadSettings => {
                instance.corrupt_settings();
                self.later(length, move |site| site.instances[index].restore_settings());
            }
            _ => instance.caller_proxy.reset_connections(),
        }
    }

    fn store_fault(&mut self, trouble: Trouble, length: Duration) {
        self.span(None, false, length + AFTERMATH);
        let late = self.rng.random_bool(0.5);
        let site = self.site.borrow();
        let fault = match trouble {
            Trouble::StoreDown => store::Faults::DOWN,
            Trouble::StoreSlow => store::Faults {
                delay: Duration::from_millis(200),
                ..store::Faults::default()
            },
            Trouble::StoreLoses => store::Faults {
                loss_probability: 0.35,
                delay_lost_writes: late,
                ..store::Faults::default()
            },
            _ => {
                site.store.compact();
                return;
            }
        };
        site.store.set_faults(fault);
        self.later(length, |site| site.store.set_faults(Default::default()));
    }

    fn endpoint_fault(&self, trouble: Trouble, index: usize, length: Duration) {
        self.span(None, false, length + AFTERMATH);
        let site = self.site.borrow();
        if let Some(fault) = service_fault(trouble) {
            site.services[index].endpoint.set_faults(fault);
            self.later(length, move |site| {
                site.services[index]
                    .endpoint
                    .set_faults(service::Faults::default());
            });
            return;
        }
        let proxied = &site.engines[index];
        match trouble {
            Trouble::EngineDark => {
                proxied.proxy.set_faults(proxy::Faults::DROP_ALL);
                self.later(length, move |site| {
                    site.engines[index]
                        .proxy
                        .set_faults(proxy::Faults::default());
                });
            }
            Trouble::EngineLapses => {
                proxied.endpoint.deregister();
                self.later(length.min(Duration::from_millis(1_500)), move |site| {
                    let proxied = &site.engines[index];
                    proxied.endpoint.register(proxied.proxy.address);
                });
            }
            _ => {
                proxied.endpoint.set_faults(engine_fault(trouble));
                self.later(length, move |site| {
                    site.engines[index]
                        .endpoint
                        .set_faults(engine::Faults::default());
                });
            }
        }
    }

    /// An endpoint leaves in good order, and a new one comes first.
    async fn replace(&mut self, trouble: Trouble, index: usize) {
        let mut site = self.site.borrow_mut();
        if matches!(trouble, Trouble::EngineLeaves) {
            let version = site.engines[index].endpoint.version();
            // A site that can't add an endpoint keeps the old one.
            if add(site.add_engine(version)) {
                site.engines[index].endpoint.leave();
                let last = site.engines.len() - 1;
                site.engines.swap(index, last);
                let old = site.engines.pop().expect("one was just added");
                end_later(move || old.endpoint.deregister());
            }
        } else if index + 1 < site.services.len() && add(site.add_service("plain")) {
            let proxied = &site.services[index];
            proxied.endpoint.leave(proxied.proxy.address);
            let last = site.services.len() - 1;
            site.services.swap(index, last);
            let old = site.services.pop().expect("one was just added");
            end_later(move || old.endpoint.deregister());
        }
    }

    fn configure(&mut self) {
        let other = self.rng.random_bool(0.5);
        let timeout = Duration::from_millis(self.rng.random_range(1_500..2_500));
        let service = if other { "other" } else { "plain" };
        let mut site = self.site.borrow_mut();
        change_keys(&mut site);
        site.configure(service, timeout);
    }
}

/// The next configuration has other keys beside the one that callers use.
pub(super) fn change_keys(site: &mut Site) {
    let next = format!("key-of-w-{}", site.config_version);
    site.workspaces = Some(json!([
        {"name": WORKSPACE, "apiKeys": [API_KEY, next]},
        {"name": "nobody", "apiKeys": []},
    ]));
}

/// Binding a loopback port never waits, so that the future is done at once.
fn add(adding: impl Future<Output = io::Result<()>>) -> bool {
    let done = futures_util::FutureExt::now_or_never(adding);
    matches!(done, Some(Ok(())))
}

/// An endpoint that has announced its leave goes off the list when its last requests are over.
fn end_later(end: impl FnOnce() + 'static) {
    actix_rt::spawn(async move {
        sleep(Duration::from_secs(4)).await;
        end();
    });
}
