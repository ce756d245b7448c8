//! Events that refer to unknown entities, and settings that are invalid.
#![cfg(test)]

mod common;
use common::*;
use heathward_policy::*;

#[test]
fn unknown_requests_nodes_timers_and_late_outcomes_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.end_attempt(4, 0, 9, AttemptEnd::Served, true, 1);
    harness.handle(Event::ClientDisconnected { request: RequestId(4) });
    harness.handle(Event::StreamStarted { request: RequestId(4) });
    harness.handle(Event::TimerFired { token: 999 });
    harness.set_endpoints(&[1]);
    harness.submit(sample_request(1));
    harness.handle(Event::ClientDisconnected { request: RequestId(1) });
    harness.end_attempt(1, 0, 1, AttemptEnd::Error, true, 1);
    assert!(harness.last_sent_requests().is_empty());
    assert_eq!(harness.answer_count(1), 0);
}

#[test]
fn a_request_of_an_unknown_class_or_plan_is_answered_at_once() {
    let mut harness = Harness::with_nodes(settings(), &[1]);
    harness.submit(Request { class: ClassId(9), ..sample_request(1) });
    harness.submit(Request { plan: PlanId(9), ..sample_request(2) });
    assert_eq!((harness.answer_count(1), harness.answer_count(2)), (1, 1));
}

#[test]
fn invalid_settings_are_rejected() {
    let none = Settings { schedulers: 0, ..settings() };
    assert_eq!(Scheduler::new(none, 1).err(), Some(SettingsError::Missing("hosts")));
    let not_a_number = Settings { slow_start_fraction: f64::NAN, ..settings() };
    assert_eq!(Scheduler::new(not_a_number, 1).err(), Some(SettingsError::OutOfRange("cold_share")));
    let without_classes = Settings { classes: vec![], ..settings() };
    assert!(matches!(Scheduler::new(without_classes, 1), Err(SettingsError::Missing(_))));
}

#[test]
fn a_scheduler_index_outside_the_number_of_schedulers_is_rejected() {
    let settings = Settings { schedulers: 3, scheduler_index: 3, ..settings() };
    assert_eq!(Scheduler::new(settings, 1).err(), Some(SettingsError::OutOfRange("host")));
}
