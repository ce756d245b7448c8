//! A deployment of one class and one plan that bounds nothing, and a call of these.
// Not each test uses all of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathward_core::{Call, Work};
use heathward_policy::settings::Deployment;
use heathward_policy::{
    ClassId, ClassSettings, KeyId, Micros, PlanId, PlanSettings, Settings, ShardId, VolumeId,
};
use tokio::time::Instant;

/// With so many hosts; answers within `aim` earn the full worth, clients wait for 1 s, and settings have that
/// grace after a drain, if any.
pub fn deployment(hosts: u32, aim: Micros, grace: Option<Micros>) -> Deployment {
    let class = ClassSettings { aim, deadline: 1_000_000, worth: 1.0, ..ClassSettings::default() };
    let plan = PlanSettings { rate: 1e6, reserve: 1e6, weight: 1.0, price: 1.0, ..PlanSettings::default() };
    let settings = Settings {
        hosts,
        classes: vec![class],
        plans: vec![plan],
        mean_units: 2.0,
        most_units: 8,
        max_attempts: 3,
        tick: 2_000,
        ..Settings::default()
    };
    let (classes, plans) = (vec!["read".to_owned()], vec!["one".to_owned()]);
    Deployment { settings, classes, plans, writes: vec![false], connect: 250_000, idle: 15_000_000, grace }
}

/// A read of one unit at that shard, whose client waits for 1 s from now on.
pub fn read(id: &str, shard: u32) -> Call {
    let work = Work {
        call: id.into(),
        class: "read".into(),
        write: false,
        target: "/".into(),
        once: None,
        volume: VolumeId(0),
        key: KeyId(0),
        units: 1,
        length: None,
        body: Bytes::new(),
        rest: None,
    };
    Call {
        class: ClassId(0),
        plan: PlanId(0),
        shard: Some(ShardId(shard)),
        hosts: 1,
        repeat: false,
        deadline: Instant::now() + Duration::from_secs(1),
        work: Arc::new(work),
    }
}
