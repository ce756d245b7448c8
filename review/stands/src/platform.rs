//! The platform: starts schedulers with the command of the deploy file, sends signals, and ends them.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::get_status;

/// Returns the command `run` of the deploy file; the current folder is the root of the repository.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
    line.split('"').next().expect("a command").to_owned()
}

/// A scheduler process; killed when dropped.
pub struct Scheduler {
    child: Child,
    listen: SocketAddr,
}

impl Scheduler {
    /// Starts a scheduler that listens at this address, with a configuration and with arguments beyond those
    /// of the deploy file. Its process id is added to the file `pids`, so that `run.sh` can end it if this
    /// program is ended.
    pub fn start(folder: &Path, listen: SocketAddr, config: &str, arguments: &str) -> Self {
        let name = format!("n0-{}", listen.port());
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, config).expect("the configuration can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log");
        let temporary = folder.join("tmp");
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{} {arguments}", run_command())])
            .env("GW_NAME", "n0")
            .env("GW_CONFIG", &file)
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the scheduler starts");
        let mut pids =
            OpenOptions::new().create(true).append(true).open(folder.join("pids")).expect("a file");
        writeln!(pids, "{}", child.id()).expect("the file can be written");
        Self { child, listen }
    }

    /// Waits until the scheduler answers a health check with 200.
    ///
    /// # Errors
    /// The scheduler has ended, or the time is over.
    pub fn await_ready(&mut self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if get_status(self.listen, "/healthz") == Some(200) {
                return Ok(());
            }
            if !matches!(self.child.try_wait(), Ok(None)) {
                return Err("the scheduler has ended at its start".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the scheduler is not ready in time".to_owned())
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the resident memory of the process in KiB; `None` once it has ended.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}
