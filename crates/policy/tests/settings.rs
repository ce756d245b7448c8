//! Reading of the settings of both deployments; the error for an invalid setting names it.
#![cfg(test)]

mod common;
use std::error::Error;

use common::{GRANITE_SHELF, PREDIO_NORTE};
use heathward_policy::settings::{Deployment, JsonSource};
use heathward_policy::*;
use rstest::rstest;

/// Reads and validates settings in the same way as the configuration does.
fn read(settings_json: &str) -> Result<Deployment, Box<dyn Error>> {
    let json = miniserde::json::from_str(settings_json).expect("JSON");
    let deployment = Deployment::read(&JsonSource(&json))?;
    deployment.settings.validate()?;
    Ok(deployment)
}

/// Expected values of the settings that differ between the deployments.
struct Expected {
    drain_grace: Micros,
    max_attempts: u32,
    overload_multiple: f64,
    rate_limit: f64,
    idempotency: &'static [Idempotency],
    client_retries: ClientRetries,
}

#[rstest]
#[case::predio_norte(PREDIO_NORTE, Expected {
    drain_grace: 250_000,
    max_attempts: 3,
    overload_multiple: 4.0,
    rate_limit: 0.0,
    idempotency: &[Idempotency::Idempotent, Idempotency::WithKey, Idempotency::Idempotent],
    client_retries: ClientRetries::Marked,
})]
#[case::granite_shelf(GRANITE_SHELF, Expected {
    drain_grace: 1_000_000,
    max_attempts: 4,
    overload_multiple: 2.0,
    rate_limit: 40.0,
    idempotency: &[Idempotency::Idempotent, Idempotency::NotIdempotent],
    client_retries: ClientRetries::Unmarked,
})]
fn settings_that_differ_between_deployments_are_read(
    #[case] settings_json: &str,
    #[case] expected: Expected,
) {
    let Deployment { settings, drain_grace, .. } = read(settings_json).expect("valid settings");
    assert_eq!(drain_grace, Some(expected.drain_grace));
    assert_eq!(
        (settings.max_attempts, settings.overload_multiple),
        (expected.max_attempts, expected.overload_multiple)
    );
    assert_eq!(settings.client_retries, expected.client_retries);
    assert_eq!(settings.plans[0].rate_limit, expected.rate_limit);
    let idempotency = settings.classes.iter().map(|class| class.idempotency);
    assert!(idempotency.eq(expected.idempotency.iter().copied()));
    assert_eq!(settings.retry_budget, None, "there is no retry budget unless the settings have one");
}

#[rstest]
#[case::negative_grace(
    r#""stopSendingWithinMs": "#,
    r#""stopSendingWithinMs": -"#,
    "safety.stopSendingWithinMs"
)]
#[case::non_numeric_grace(
    r#""stopSendingWithinMs": "#,
    r#""stopSendingWithinMs": "x", "x": "#,
    "safety.stopSendingWithinMs"
)]
#[case::idempotency(r#""repeat": "free""#, r#""repeat": "often""#, "lanes.0.repeat")]
#[case::no_name(r#""name": "#, r#""title": "#, "lanes.0.name")]
#[case::no_latency_objective(r#""aimMs": "#, r#""aimsMs": "#, "aim or deadline")]
#[case::no_schedulers(r#""balancers": 4"#, r#""balancers": 0"#, "hosts")]
#[case::fractional_schedulers(r#""balancers": 4"#, r#""balancers": 4.5"#, "balancers")]
#[case::index_beyond_the_schedulers(r#""slotNo": 0"#, r#""slotNo": 4"#, "host")]
#[case::fraction_above_one(r#""coldShare": 0"#, r#""coldShare": 1"#, "cold_share")]
#[case::client_retries(r#""marksRetry": "#, r#""marksRetry": "perhaps", "x": "#, "clients.marksRetry")]
#[case::endpoint_list_mode(r#""pushed""#, r#""shouted""#, "discovery")]
fn an_invalid_setting_is_named_in_the_error(
    #[values(PREDIO_NORTE, GRANITE_SHELF)] settings_json: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
) {
    assert!(settings_json.contains(from), "{from}");
    let error =
        read(&settings_json.replacen(from, to, 1)).map(|_| ()).expect_err("an invalid setting").to_string();
    assert!(error.contains(field), "{error}");
}

/// A rule that is absent from the settings is neither required nor applied.
#[rstest]
fn without_a_rule_on_draining_nodes_there_is_no_grace(
    #[values(PREDIO_NORTE, GRANITE_SHELF)] settings_json: &str,
) {
    let without_rule = settings_json.replace("stopSendingWithinMs", "someOtherField");
    assert_eq!(read(&without_rule).expect("valid settings").drain_grace, None);
}

/// Guards against first requests that are treated as retries although the settings do not say that clients
/// leave their retries unmarked.
#[rstest]
fn retries_are_unmarked_only_where_the_settings_say_so(
    #[values(PREDIO_NORTE, GRANITE_SHELF)] settings_json: &str,
) {
    let without_field = settings_json.replace("marksRetry", "someOtherField");
    assert_eq!(read(&without_field).expect("valid settings").settings.client_retries, ClientRetries::Marked);
}
