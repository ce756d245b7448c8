//! Applies new settings while the core runs.

use std::sync::Arc;

use super::Actor;
use heathward_policy::settings::{ConfigError, Deployment};

impl Actor {
    /// Applies new settings.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if a class or plan was removed or renamed, because open requests refer to both by
    /// index, or if the policy does not accept the settings. The old settings then stay.
    pub(super) fn update_settings(&mut self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let old = Arc::clone(&self.published.deployment());
        if !deployment.class_names.starts_with(&old.class_names) {
            return Err(names_removed("settings.lanes"));
        }
        if !deployment.plan_names.starts_with(&old.plan_names) {
            return Err(names_removed("settings.contracts"));
        }
        self.policy
            .update_settings(deployment.settings.clone())
            .map_err(|error| ConfigError { field: "settings".to_owned(), reason: error.to_string() })?;
        self.observer.settings_changed(&deployment);
        self.lease.apply_settings(&deployment);
        self.published.set_deployment(deployment);
        self.schedule_all_node_checks();
        Ok(())
    }
}

fn names_removed(field: &str) -> ConfigError {
    ConfigError { field: field.to_owned(), reason: "names may only be added".to_owned() }
}
