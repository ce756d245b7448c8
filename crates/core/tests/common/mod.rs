//! Test builders for a deployment of one class and one plan without limits, a node, and a request.
// Each test binary uses only some of them.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathward_core::{ClientRequest, Endpoint, NodeRequest};
use heathward_policy::settings::Deployment;
use heathward_policy::{
    ClassId, ClassSettings, KeyId, Micros, NodeState, PlanId, PlanSettings, Settings, ShardId, VolumeId,
};
use tokio::time::Instant;

/// Creates a deployment with that many schedulers. Answers within `latency_objective` microseconds earn the
/// full weight, clients wait for 1 s, and nothing may be sent to a draining node after `drain_grace`
/// microseconds, if given.
pub fn deployment(schedulers: u32, latency_objective: Micros, drain_grace: Option<Micros>) -> Deployment {
    let class = ClassSettings {
        latency_objective,
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
        schedulers,
        classes: vec![class],
        plans: vec![plan],
        mean_units: 2.0,
        max_units: 8,
        max_attempts: 3,
        timer_resolution: 2_000,
        ..Settings::default()
    };
    Deployment {
        settings,
        class_names: vec!["read".to_owned()],
        plan_names: vec!["one".to_owned()],
        class_writes: vec![false],
        connect_timeout: 250_000,
        idle_timeout: 15_000_000,
        drain_grace,
    }
}

/// Creates the node with that number, which holds the shard of the same number.
pub fn endpoint(number: u32, state: NodeState) -> Endpoint {
    Endpoint {
        id: format!("s-{number}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        shard: ShardId(number),
        state,
        started_at: None,
    }
}

/// Creates a read of one unit from that shard, whose client waits for 1 s from now on.
pub fn read_request(client_request_id: &str, shard: u32) -> ClientRequest {
    let node_request = NodeRequest {
        client_request_id: client_request_id.into(),
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
        node_request: Arc::new(node_request),
    }
}
