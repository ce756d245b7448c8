//! Configurations of a small deployment, with the figures of the example on the wire page.

use std::net::SocketAddr;

use crate::discovery::{list_json, Discovery, Member, REVISION};

/// A request class of the settings.
pub struct Lane {
    pub name: &'static str,
    pub aim_ms: u32,
    pub deadline_ms: u32,
    /// `free`, `guarded` or `single_shot`.
    pub repeat: &'static str,
    pub writes: bool,
}

/// The classes of the first deployment.
pub fn lanes() -> Vec<Lane> {
    let lane = |name, aim_ms, deadline_ms, repeat, writes| Lane { name, aim_ms, deadline_ms, repeat, writes };
    vec![
        lane("consulta", 150, 1000, "free", false),
        lane("pedido", 250, 1500, "guarded", true),
        lane("exportacion", 1000, 3000, "free", false),
    ]
}

/// What a configuration says beside the classes.
pub struct Site<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: &'a [Member],
    pub memory_mb: u32,
    pub sockets: u32,
}

impl<'a> Site<'a> {
    /// Returns a site with the limits of the example configuration.
    pub fn small(listen: SocketAddr, discovery: &Discovery, known: &'a [Member]) -> Self {
        Self { listen, discovery: discovery.address, known, memory_mb: 192, sockets: 1024 }
    }
}

/// Returns a configuration.
pub fn config(site: &Site, lanes: &[Lane]) -> String {
    let lane_texts: Vec<String> = lanes
        .iter()
        .map(|lane| {
            let scope = if lane.repeat == "guarded" { "cell" } else { "all" };
            let window = if lane.repeat == "guarded" { 2500 } else { 5000 };
            format!(
                "{{\"name\":\"{}\",\"aimMs\":{},\"deadlineMs\":{},\"credit\":2.0,\"lateWorth\":0.2,\
                 \"repeat\":\"{}\",\"stream\":false,\"dedupScope\":\"{scope}\",\"dedupWindowMs\":{window}}}",
                lane.name, lane.aim_ms, lane.deadline_ms, lane.repeat
            )
        })
        .collect();
    let writes: Vec<String> = lanes.iter().map(|lane| lane.writes.to_string()).collect();
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\
         \"settings\":{{\"balancers\":1,\"slotNo\":0,\"discovery\":\"pushed\",\"resolutionMs\":2.0,\
         \"clients\":{{\"marksRetry\":true}},\"lanes\":[{}],\
         \"contracts\":[{{\"name\":\"basico\",\"usualRate\":4.8,\"reserve\":0.0,\"parts\":1.0,\"price\":0.72,\
         \"ceilingRate\":0.0,\"burst\":0.0}},{{\"name\":\"prioritario\",\"usualRate\":9.5,\"reserve\":11.0,\
         \"parts\":2.0,\"price\":1.0,\"ceilingRate\":0.0,\"burst\":0.0}}],\
         \"familyInfo\":{{\"unitMean\":2.07,\"maxUnits\":8,\"withinShare\":0.3,\"spareWorth\":0.05,\
         \"youngLimit\":72.0,\"changesData\":[{}],\"slotsTotal\":9}},\
         \"limits\":{{\"sendCap\":3,\"connectTimeoutMs\":250.0,\"idleCloseMs\":15000.0,\"retryAfter\":true,\
         \"maxRetryAfterMs\":2000.0,\"secondCopies\":false,\"probes\":true,\"peers\":true}},\
         \"safety\":{{\"coldShare\":0.24,\"coldMs\":18000.0,\"fallMs\":2000.0,\"tipMultiple\":4.0,\
         \"stopSendingWithinMs\":250.0,\"answerSlackMs\":8.0}}}}}}",
        site.listen,
        site.discovery,
        site.memory_mb,
        site.sockets,
        list_json(REVISION, true, site.known),
        lane_texts.join(","),
        writes.join(",")
    )
}
