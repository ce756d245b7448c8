//! A deployment of one class and one plan that bounds nothing, and a call of these.
// Not each test uses all of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathward_core::{ClientRequest, NodeRequest};
use heathward_policy::settings::Deployment;
use heathward_policy::{
    ClassId, ClassSettings, KeyId, Micros, PlanId, PlanSettings, Settings, ShardId, VolumeId,
};
use tokio::time::Instant;

/// With so many hosts; answers within `aim` earn the full worth, clients wait for 1 s, and settings have that
/// grace after a drain, if any.
pub fn deployment(hosts: u32, aim: Micros, grace: Option<Micros>) -> Deployment {
    let class = ClassSettings {
        latency_objective: aim,
        deadline: 1_000_000,
        priority_weight: 1.0,
        ..ClassSettings::default()
    };
    let plan = PlanSettings {
        usual_rate: 1e6,
        reserved_rate: 1e6,
        shared_weight: 1.0,
        priority_factor: 1.0,
        ..PlanSettings::default()
    };
    let settings = Settings {
        schedulers: hosts,
        classes: vec![class],
        plans: vec![plan],
        mean_units: 2.0,
        max_units: 8,
        max_attempts: 3,
        timer_resolution: 2_000,
        ..Settings::default()
    };
    let (classes, plans) = (vec!["read".to_owned()], vec!["one".to_owned()]);
    Deployment {
        settings,
        class_names: classes,
        plan_names: plans,
        class_writes: vec![false],
        connect_timeout: 250_000,
        idle_timeout: 15_000_000,
        drain_grace: grace,
    }
}

/// A read of one unit at that shard, whose client waits for 1 s from now on.
pub fn read(id: &str, shard: u32) -> ClientRequest {
    let work = NodeRequest {
        client_request_id: id.into(),
        class_name: "read".into(),
        is_write: false,
        target: "/".into(),
        idempotency_key: None,
        volume: VolumeId(0),
        key: KeyId(0),
        units: 1,
        read_length: None,
        body: Bytes::new(),
        upload: None,
    };
    ClientRequest {
        class: ClassId(0),
        plan: PlanId(0),
        shard: Some(ShardId(shard)),
        schedulers: 1,
        is_client_retry: false,
        deadline: Instant::now() + Duration::from_secs(1),
        node_request: Arc::new(work),
    }
}
