//! Settings that change while the core runs.

use std::sync::Arc;
use std::time::Duration;

use super::Actor;
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::EndpointListMode;

impl Actor {
    /// Open requests go by the places of their class and plan, so that these stay as they are.
    pub(super) fn resettle(&mut self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let old = self.deployment.borrow().clone();
        let names = |field: &str| ConfigError {
            field: field.to_owned(),
            reason: "names may only be added".to_owned(),
        };
        if !deployment.class_names.starts_with(&old.class_names) {
            return Err(names("settings.lanes"));
        }
        if !deployment.plan_names.starts_with(&old.plan_names) {
            return Err(names("settings.contracts"));
        }
        let resettled = self.scheduler.update_settings(deployment.settings.clone());
        resettled.map_err(|e| ConfigError { field: "settings".to_owned(), reason: e.to_string() })?;
        if let Some(observer) = &mut self.observer {
            observer.settings_changed(&deployment);
        }
        self.deployment.send_replace(deployment);
        self.rule();
        self.check_nodes_soon();
        Ok(())
    }

    /// Goes by the settings' rule on drains, where they have one.
    pub(super) fn rule(&mut self) {
        let (ruled, within) = (self.deployment.borrow().drain_grace.is_some(), self.asks_within());
        self.lease.set_limits(ruled, within);
        self.expiry.set(self.lease.expires_at());
    }

    /// How long a host may go on without a watch, where lists have to be asked for.
    fn asks_within(&self) -> Option<Duration> {
        match self.deployment.borrow().settings.endpoint_list_mode {
            EndpointListMode::Streamed => None,
            EndpointListMode::Polled { max_interval: within } => Some(Duration::from_micros(within)),
        }
    }
}
