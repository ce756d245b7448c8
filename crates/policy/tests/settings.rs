//! The settings of both deployments are read as they stand; what makes no sense is named by its field.
#![cfg(test)]

mod common;
use std::error::Error;

use common::{GRANITE_SHELF, PREDIO_NORTE};
use heathward_policy::settings::{Deployment, JsonSource};
use heathward_policy::*;
use rstest::rstest;

/// Reads and checks them as the configuration does; the field at fault, or what it is.
fn read(text: &str) -> Result<Deployment, Box<dyn Error>> {
    let read = Deployment::read(&JsonSource(&miniserde::json::from_str(text).unwrap()));
    let deployment = read.map_err(|error| error.to_string())?;
    deployment.settings.validate()?;
    Ok(deployment)
}

#[rstest]
#[case::predio_norte(PREDIO_NORTE, 250_000, 3, 4.0, 0.0, &[Idempotency::Idempotent, Idempotency::WithKey, Idempotency::Idempotent])]
#[case::granite_shelf(GRANITE_SHELF, 1_000_000, 4, 2.0, 40.0, &[Idempotency::Idempotent, Idempotency::NotIdempotent])]
fn what_differs_is_read_from_the_settings(
    #[case] text: &str,
    #[case] grace: Micros,
    #[case] attempts: u32,
    #[case] multiple: f64,
    #[case] limit: f64,
    #[case] effects: &[Idempotency],
) {
    let Deployment { settings, drain_grace, .. } = read(text).unwrap();
    assert_eq!(drain_grace, Some(grace));
    assert_eq!((settings.max_attempts, settings.overload_multiple), (attempts, multiple));
    assert_eq!(settings.plans[0].rate_limit, limit);
    assert!(settings.classes.iter().map(|class| class.idempotency).eq(effects.iter().copied()));
    assert_eq!(settings.retry_budget, None, "none is stated, none is kept");
}

#[rstest]
#[case::negative_grace(
    r#""stopSendingWithinMs": "#,
    r#""stopSendingWithinMs": -"#,
    "safety.stopSendingWithinMs"
)]
#[case::grace_in_words(
    r#""stopSendingWithinMs": "#,
    r#""stopSendingWithinMs": "x", "x": "#,
    "safety.stopSendingWithinMs"
)]
#[case::effect(r#""repeat": "free""#, r#""repeat": "often""#, "lanes.0.repeat")]
#[case::no_name(r#""name": "#, r#""title": "#, "lanes.0.name")]
#[case::no_aim(r#""aimMs": "#, r#""aimsMs": "#, "aim or deadline")]
#[case::no_hosts(r#""balancers": 4"#, r#""balancers": 0"#, "hosts")]
#[case::half_a_host(r#""balancers": 4"#, r#""balancers": 4.5"#, "balancers")]
#[case::beyond_the_hosts(r#""slotNo": 0"#, r#""slotNo": 4"#, "host")]
#[case::colder_than_cold(r#""coldShare": 0"#, r#""coldShare": 1"#, "cold_share")]
#[case::list(r#""pushed""#, r#""shouted""#, "discovery")]
fn what_makes_no_sense_is_named(
    #[values(PREDIO_NORTE, GRANITE_SHELF)] text: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
) {
    assert!(text.contains(from), "{from}");
    let said = read(&text.replacen(from, to, 1)).map(|_| ()).unwrap_err().to_string();
    assert!(said.contains(field), "{said}");
}

/// A rule that is not in the settings is neither required nor kept.
#[rstest]
fn without_a_rule_on_drains_there_is_no_grace(#[values(PREDIO_NORTE, GRANITE_SHELF)] text: &str) {
    let none = text.replace("stopSendingWithinMs", "someOtherField");
    assert_eq!(read(&none).unwrap().drain_grace, None);
}
