//! Runs the scheduler from startup to shutdown, and handles signals and the peer process in between.

use std::future::pending;
use std::io;
use std::time::Duration;

use heathward_config::{Config, FileArguments};
use heathward_logs::Logs;
use heathward_policy::settings::ConfigError;
use heathward_transport::handover::PeerPhase;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::time::{interval, Instant, MissedTickBehavior};

use crate::handover::{HandoverSocket, HandoverStart};
use crate::memory_watch::MemoryWatch;
use crate::server::{PendingReload, Server};
use crate::signals::{SignalRequest, Signals};
use crate::{shutdown, startup};

/// How often losses are logged: dropped log lines, and events that could not be written to disk.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the memory that the process holds is measured, and divided anew.
const MEMORY_MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Serves until SIGTERM or SIGINT, and returns once every request is answered or the time for the shutdown is
/// over.
///
/// # Errors
/// Those of [`startup::start`], and the operating system's error if no descriptors are left for a peer
/// process.
pub async fn run(config: Config, files: FileArguments) -> io::Result<()> {
    let log = &config.operator_settings.log;
    let logs = heathward_logs::start(log.format, log.filter.clone());
    let mut signals = Signals::install()?;
    let HandoverStart { mut handover_socket, mut peer_phases, received } =
        HandoverSocket::request_handover(config.listen_address).await;
    let mut server = startup::start(config, files, logs, &handover_socket, received).await?;
    let address = server.fronts.local_http_address()?;
    handover_socket.bind();
    tracing::info!("listening on {address}");
    let signalled_at =
        serve_until_shutdown(&mut server, &mut handover_socket, &mut peer_phases, &mut signals).await?;
    tracing::info!("shutting down, signalled up to {} ms ago", signalled_at.elapsed().as_millis());
    // A process that starts from now on finds no handover socket, and does not wait for an answer.
    drop(handover_socket);
    shutdown::finish(&server, signalled_at).await;
    server.recording.stop(&server.core).await;
    server.report_counters().await;
    Ok(())
}

/// Handles signals, reloads and the peer process until a signal requests the shutdown. Returns the earliest
/// time at which that signal may have been sent.
async fn serve_until_shutdown(
    server: &mut Server,
    handover_socket: &mut HandoverSocket,
    peer_phases: &mut mpsc::Receiver<PeerPhase>,
    signals: &mut Signals,
) -> io::Result<Instant> {
    let mut loss_reports = interval(LOSS_REPORT_INTERVAL);
    let mut reported_lines = 0;
    let mut memory_measurements = interval(MEMORY_MEASUREMENT_INTERVAL);
    memory_measurements.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut memory_watch = MemoryWatch::default();
    let mut reload: Option<PendingReload> = None;
    let mut reload_announced_at = Instant::now();
    loop {
        // A branch whose pattern does not match is disabled until the next iteration of the loop.
        tokio::select! {
            _ = loss_reports.tick() => {
                report_dropped_lines(&server.logs, &mut reported_lines);
                server.recording.report_disk_faults();
            }
            _ = memory_measurements.tick() => server.measure_memory(&mut memory_watch),
            signalled_at = signals.shutdown.requested() => return Ok(signalled_at),
            // A further signal waits until the reload is finished, as it may announce newer files.
            Some(received) = signals.requests.next(), if reload.is_none() => match received.request {
                SignalRequest::Reload => {
                    reload_announced_at = received.signalled_at;
                    reload = Some(server.start_reload());
                }
                SignalRequest::ReportCounters => server.report_counters().await,
            },
            // A slow or endless read of the files blocks no other branch.
            reloaded = pending_result(&mut reload) => {
                reload = None;
                server.finish_reload(reloaded, reload_announced_at).await;
            }
            Some(peer) = handover_socket.next_peer(), if !server.descriptors.peer_running => {
                hand_over(server, handover_socket, peer)?;
            }
            Some(phase) = peer_phases.recv() => on_peer_phase(phase, server, handover_socket)?,
        }
    }
}

/// Returns the configuration, or why it is rejected, once the reload has read its files; never returns if no
/// reload is running.
async fn pending_result(reload: &mut Option<PendingReload>) -> Result<Config, ConfigError> {
    match reload {
        Some(pending_reload) => pending_reload.await,
        None => pending().await,
    }
}

/// Hands over to a process that has connected. Only one handover runs at a time: a further process waits
/// until the connected one turns out not to be a scheduler, or has exited. An error, which ends the
/// program, means that no descriptors are left.
fn hand_over(server: &mut Server, handover_socket: &HandoverSocket, peer: UnixStream) -> io::Result<()> {
    server.block_further_peers();
    let sockets = server.fronts.copy_sockets()?;
    server.spawn(handover_socket.send_handover(peer, server.core.clone(), sockets));
    Ok(())
}

/// Reacts to a new phase of the peer process.
fn on_peer_phase(
    phase: PeerPhase,
    server: &mut Server,
    handover_socket: &mut HandoverSocket,
) -> io::Result<()> {
    tracing::info!("peer process: {phase}");
    server.set_peer_running(phase != PeerPhase::Exited);
    match phase {
        PeerPhase::Starting => {}
        PeerPhase::Serving => server.yield_to_peer(),
        PeerPhase::Exited => {
            server.resume_from_peer()?;
            // The peer process had replaced the handover socket by its own.
            handover_socket.bind();
        }
    }
    Ok(())
}

/// Logs how many lines of the log were dropped since the last call.
fn report_dropped_lines(logs: &Logs, reported: &mut usize) {
    let dropped = logs.dropped_lines();
    if dropped > *reported {
        tracing::warn!(lines = dropped - *reported, "log lines were dropped");
        *reported = dropped;
    }
}
