//! What a cold start of many schedulers costs the list service and the storage nodes: the law in virtual time
//! over many seeds, and real processes before the rig's stand-ins.

use std::path::PathBuf;
use std::time::Duration;

use heathward_fault_injection::audit::most_cold;
use heathward_fault_injection::callers::{busiest, fleet, start, worst, Constants};
use heathward_fault_injection::fleet::{play, Outcome, RULES};
use heathward_fault_injection::scenario::Scenario;
use heathward_fault_injection::service::Costs;

use crate::{program, Figures, Want};

/// Seeds of the law in virtual time, each with so many hosts.
const SEEDS: u64 = 1_000;
const HOSTS: u32 = 350;
/// What the shared service of the processes' play takes for a call, milliseconds.
const CALL: f64 = 50.0;

fn law(figures: &mut Figures) {
    for (name, ms, down, known) in
        [("start", 54, 0, 0), ("return", 54, 8, 6), ("return-slow", 270, 8, 6), ("return-fast", 11, 8, 6)]
    {
        let costs = Costs { call: Duration::from_millis(ms), ..Costs::default() };
        let down = Duration::from_secs(down);
        let came = worst(SEEDS, |seed| start(&mut fleet(HOSTS, seed, (known, costs.call)), costs, down));
        // Where it serves fewer than four calls a second one call more is a third of that.
        let room = if ms > 250 { 1.5 } else { 1.2 };
        figures.tell(&format!("{name}-busiest-second"), came.busiest, "of-capacity", Want::AtMost(room));
        figures.tell(&format!("{name}-in-vain"), came.in_vain, "of-served", Want::AtMost(0.05));
        figures.tell(&format!("{name}-99-of-100"), came.slowest, "of-least", Want::AtMost(1.5));
    }
    let costs = Costs::default();
    let constants = |seed: u64| {
        let mut laws: Vec<_> =
            (0..HOSTS).map(|host| Constants::new(HOSTS, seed * 10_000 + u64::from(host))).collect();
        start(&mut laws, costs, Duration::ZERO)
    };
    let now = worst(5, |seed| start(&mut fleet(HOSTS, seed, (0, costs.call)), costs, Duration::ZERO));
    let before = worst(5, constants);
    figures.tell("start-against-constants", now.slowest / before.slowest, "ratio", Want::AtMost(0.6));
    println!("law: {SEEDS} seeds of {HOSTS} hosts");
}

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|wrong| panic!("{wrong}"))
}

async fn processes(figures: &mut Figures) -> std::io::Result<()> {
    let folder = std::env::temp_dir().join(format!("heathward-coldstart-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let heathward: PathBuf = program("heathward");
    let mut broken = 0;
    let mut played = async |text: &str| -> std::io::Result<Outcome> {
        let outcome = play(&scenario(text), &heathward, &folder).await?;
        outcome.breaches.iter().for_each(|breach| println!("{breach}"));
        broken += outcome.breaches.len();
        Ok(outcome)
    };
    let shared = format!(r#"{{"seed":1,"seconds":7,"hosts":40,"nodes":6,"rate":2,"service_ms":{CALL}}}"#);
    let shared = played(&shared).await?;
    let (calls, mut times) = shared.calls.clone();
    times.sort_unstable();
    let capacity = 1_000.0 / CALL;
    let cut = r#"{"seed":2,"seconds":8,"hosts":30,"nodes":6,"rate":6,"writes":0.3,"cold":true}"#;
    let cut = played(cut).await?;
    let alone = r#"{"seed":3,"seconds":2,"hosts":1,"nodes":6,"rate":20}"#;
    let alone = played(alone).await?;
    std::fs::remove_dir_all(&folder)?;
    let calls_made = busiest(&times, 1_000_000) as f64 / capacity;
    figures.tell("processes-busiest-second", calls_made, "of-capacity", Want::AtMost(1.2));
    let in_vain = calls.in_vain as f64 / (calls.made - calls.in_vain).max(1) as f64;
    figures.tell("processes-in-vain", in_vain, "of-served", Want::AtMost(0.05));
    let least = HOSTS_SHARED * CALL * 1_000.0;
    let last =
        times.last().copied().unwrap_or_default() as f64 - times.first().copied().unwrap_or_default() as f64;
    figures.tell("processes-last-list", last / least, "of-least", Want::AtMost(1.5));
    figures.tell("cold-node-load", most_cold(&cut.log, &RULES), "of-rule", Want::AtMost(1.0));
    let (served, asked) = cut.served(0.0, 8.0);
    figures.tell("power-cut-served", served as f64 / asked.max(1) as f64, "of-asked", Want::AtLeast(0.8));
    let ready = alone.ready.first().copied().unwrap_or(u64::MAX) as f64 / 1e6;
    figures.tell("alone-ready", ready, "s", Want::AtMost(1.0));
    figures.tell("rules-broken", broken as f64, "times", Want::Exactly(0.0));
    Ok(())
}

/// Hosts of the shared service's play.
const HOSTS_SHARED: f64 = 40.0;

/// All of it.
///
/// # Panics
/// Where a play can't be set up.
pub fn run(figures: &mut Figures) {
    law(figures);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = runtime.and_then(|runtime| runtime.block_on(processes(figures)));
    played.unwrap_or_else(|error| panic!("the rig: {error}"));
}
