//! The scheduler's core and HTTP front within the test's process, in front of fake nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heathward_config::{self as config, Config};
use heathward_core::{self as core, CoreHandle, CoreMessage, Counters, Endpoint};
use heathward_transport::http::{self, ConnectionTable, Front};
use heathward_transport::node::{self, ConnectionPool, HttpLink, PoolLimits};
use heathward_transport::nvme::{NvmeLink, NvmeMap};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

use crate::attempt_ledger::AttemptLedger;
use crate::message::{answer, listen};
use crate::TEST_TIMEOUT;

/// The most client connections of the front.
pub const CONNECTIONS: usize = 32;

/// The most descriptors of connections to nodes.
pub const NODE_SOCKETS: usize = 64;

/// Returns a configuration whose cached endpoint list is `members`.
pub fn config_text(listen: &str, discovery: &str, members: &str) -> String {
    let class = |name: &str, aim: u32, deadline: u32, repeat: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":{aim},"deadlineMs":{deadline},"credit":2,"lateWorth":0.2,
            "repeat":"{repeat}","dedupScope":"cell","dedupWindowMs":2500.0,"stream":false}}"#
        )
    };
    let plan = |name: &str, reserve: f64| {
        format!(r#"{{"name":"{name}","usualRate":500.0,"reserve":{reserve},"parts":1,"price":1}}"#)
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
        "known":{{"revision":7,"complete":true,"members":[{members}]}},
        "settings":{{"balancers":1,"slotNo":0,"discovery":"pushed","resolutionMs":2.0,
        "lanes":[{},{}],"contracts":[{},{}],
        "familyInfo":{{"unitMean":2.0,"maxUnits":8,"withinShare":0.3,"spareWorth":0.05,"youngLimit":24.0,
            "changesData":[false,true]}},
        "limits":{{"sendCap":3,"connectTimeoutMs":1000.0,"idleCloseMs":15000.0,"retryAfter":true,
            "maxRetryAfterMs":2000.0}},
        "safety":{{"coldShare":0.24,"coldMs":6000.0,"fallMs":500.0}}}}}}"#,
        class("consulta", 150, 1000, "free"),
        class("pedido", 250, 700, "guarded"),
        plan("basico", 0.0),
        plan("prioritario", 500.0),
    )
}

/// A scheduler in front of fake nodes.
pub struct Rig {
    /// The core.
    pub core: CoreHandle,
    /// The address of its HTTP front.
    pub front: SocketAddr,
    /// The attempts that the core has in flight, as its observer sees them.
    pub attempts: AttemptLedger,
    /// Stops the fronts when dropped.
    pub _stop: watch::Sender<bool>,
}

/// Starts a scheduler with this endpoint list.
pub async fn rig(members: &[String], nvme: Option<Arc<NvmeMap>>) -> Rig {
    rig_of(&config_text("127.0.0.1:1", "127.0.0.1:1", &members.join(",")), nvme).await
}

/// Starts a scheduler with this configuration.
///
/// # Panics
/// If the configuration is not valid.
pub async fn rig_of(text: &str, nvme: Option<Arc<NvmeMap>>) -> Rig {
    let Config { seed, cached_endpoints: known, deployment, .. } =
        config::parse_configuration(text).expect("a valid configuration");
    let deployment = Arc::new(deployment);
    let (_, limits) = watch::channel(PoolLimits::new(&deployment, NODE_SOCKETS, 4));
    let pool = ConnectionPool::new(limits);
    let dial = move |member: &Endpoint, core: mpsc::Sender<CoreMessage>| {
        if let Some(map) = &nvme {
            if let Some(target) = map.targets.iter().find(|t| *t.node == *member.id) {
                let link = NvmeLink::new(member.address, &target.subsystem, map.clone());
                return node::spawn(link, pool.clone(), core);
            }
        }
        node::spawn(HttpLink::new(member.address), pool.clone(), core)
    };
    let core = core::start_core(deployment.clone(), seed, Box::new(dial)).expect("valid settings");
    core.discovery_sender().send(CoreMessage::EndpointUpdate(known)).await.expect("the core runs");
    let attempts = AttemptLedger::default();
    core.set_observer(Some(Box::new(attempts.clone()))).await;
    let (listener, front) = listen().await;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(http::serve(
        listener,
        Front::new(core.clone()),
        ConnectionTable::new(CONNECTIONS),
        stopping,
    ));
    Rig { core, front, attempts, _stop: stop }
}

impl Rig {
    /// Returns the current counters.
    ///
    /// # Panics
    /// If the core has stopped.
    pub async fn counters(&self) -> Counters {
        self.core.metrics().await.expect("the core runs").counters
    }

    /// Waits until the counters meet the condition, and returns them.
    ///
    /// # Panics
    /// If they do not meet it in time.
    pub async fn until(&self, so: impl Fn(&Counters) -> bool) -> Counters {
        let by = Instant::now() + TEST_TIMEOUT;
        loop {
            let counters = self.counters().await;
            if so(&counters) {
                return counters;
            }
            assert!(Instant::now() < by, "never came: {counters}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until no attempt is in flight.
    ///
    /// # Panics
    /// If one still is after [`TEST_TIMEOUT`].
    pub async fn until_at_rest(&self) {
        let by = Instant::now() + TEST_TIMEOUT;
        while self.attempts.in_flight_count() > 0 {
            assert!(Instant::now() < by, "in flight at rest: {:?}", self.attempts);
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the core is ready, or no longer is.
    ///
    /// # Panics
    /// If that does not happen in time.
    pub async fn until_ready(&self, ready: bool) {
        let by = Instant::now() + TEST_TIMEOUT;
        while self.core.status().ready != ready {
            assert!(Instant::now() < by, "never came: ready {ready}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a request on a new connection, and returns the status, the head and the body of its answer.
    ///
    /// # Panics
    /// If the front does not answer in time.
    pub async fn ask(&self, request: &str) -> (u16, String, Vec<u8>) {
        let mut stream = TcpStream::connect(self.front).await.expect("the front listens");
        stream.write_all(request.as_bytes()).await.expect("the connection is open");
        answer(&mut stream).await
    }
}
