//! Health checks that tell whether the local backend server is cold.
//!
//! They are sent only if the settings bound the requests to a cold backend server and its service has
//! a warm-up rate, and only when [`Warmup::next_check`] needs one, which depends on the present rate of
//! requests. They don't count as requests.
//!
//! [`Warmup::next_check`]: crate::coordination::sidecar::warmup::Warmup::next_check

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::warmup::{Check, WarmupLimits};
use crate::protocol::adapter::Adapter;
use crate::state::routes::Service;
use crate::state::sidecar_settings::{SidecarSettings, WarmupExcess};
use crate::transport::sidecar::health::HealthClient;

/// Time limit of a health check. These are immediate also on a loaded backend server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum warm-up time that is accepted from a health check.
const MAX_WARMUP: Duration = Duration::from_mins(1);

/// Sender of health checks to the local backend server.
#[derive(Debug)]
pub struct Prober {
    /// Service of the local backend server according to the settings.
    service: String,
    adapter: Rc<dyn Adapter>,
    configuration: Rc<Configuration>,
    dispatcher: Rc<Dispatcher>,
    excess: Cell<Option<WarmupExcess>>,
    client: HealthClient,
    /// Whether the last health check has failed.
    failed: Cell<bool>,
}

impl Prober {
    /// Creates a prober, and limits requests until the warm-up rate of the service is known.
    #[must_use]
    pub fn new(
        settings: &SidecarSettings,
        adapter: &Rc<dyn Adapter>,
        configuration: &Rc<Configuration>,
        dispatcher: &Rc<Dispatcher>,
    ) -> Self {
        let prober = Self {
            service: settings.service.clone(),
            adapter: Rc::clone(adapter),
            configuration: Rc::clone(configuration),
            dispatcher: Rc::clone(dispatcher),
            excess: Cell::new(settings.bounds.warmup_excess),
            client: HealthClient::default(),
            failed: Cell::new(false),
        };
        prober.update_limits();
        prober
    }

    /// Sets what a cold backend server may get above its warm-up rate.
    pub fn set_excess(&self, excess: Option<WarmupExcess>) {
        self.excess.set(excess);
        self.update_limits();
    }

    /// Sends health checks when they are due.
    pub async fn run(&self) {
        let dispatcher = &self.dispatcher;
        loop {
            let changed = dispatcher.state_changed.notified();
            self.update_limits();
            match dispatcher.next_check() {
                Some(Duration::ZERO) => self.check().await,
                Some(wait) => {
                    tokio::select! {
                        () = time::sleep(wait) => {}
                        () = changed => {}
                        () = dispatcher.check_due.notified() => {}
                    }
                }
                None => {
                    tokio::select! {
                        () = changed => {}
                        () = dispatcher.check_due.notified() => {}
                    }
                }
            }
        }
    }

    /// Returns the service of the local backend server, if the configuration has it.
    fn service(&self) -> Option<Service> {
        let routes = self.configuration.get()?;
        let backend = self.dispatcher.backend();
        let name = backend.map_or_else(|| self.service.clone(), |b| b.service);
        routes.service(&name).cloned()
    }

    fn update_limits(&self) {
        let limits = self.excess.get().and_then(|excess| {
            if self.configuration.get().is_none() {
                return Some(WarmupLimits::new(None, excess));
            }
            let rate = self.service()?.warmup_rate?;
            Some(WarmupLimits::new(Some(rate), excess))
        });
        self.dispatcher.set_warmup_limits(limits);
    }

    /// Sends one health check and records its result.
    async fn check(&self) {
        let dispatcher = &self.dispatcher;
        dispatcher.record_check();
        let path = self.service().and_then(|s| s.health_path);
        let failed = |error: String| (Check::Failed, Some(error));
        let (check, error) = match (path, dispatcher.backend()) {
            (Some(path), Some(backend)) => {
                let response = self.client.get(backend.address, &path, CHECK_TIMEOUT).await;
                let left = response.map(|head| {
                    if !(200..300).contains(&head.status) {
                        return None;
                    }
                    let signals = self.adapter.decode_signals(&head.headers);
                    dispatcher.record_stated_load(signals.load);
                    self.adapter.decode_warmup(&head.headers)
                });
                match left {
                    Ok(Some(left)) => (Check::Answered(left.min(MAX_WARMUP)), None),
                    Ok(None) => failed("no warm-up time in the response".to_owned()),
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                        (Check::Unreachable, Some(e.to_string()))
                    }
                    Err(e) => failed(e.to_string()),
                }
            }
            _ => failed("no health path is known".to_owned()),
        };
        let failed_before = self.failed.replace(error.is_some());
        if let Some(error) = error.filter(|_| !failed_before) {
            tracing::warn!(event = 581, error = %error, "a health check of the backend server failed");
        }
        dispatcher.record_check_result(check);
    }
}
