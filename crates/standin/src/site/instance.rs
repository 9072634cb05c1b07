//! An instance in a process of its own, with its log.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tempfile::NamedTempFile;

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address on which the instance accepts callers.
    pub caller_address: SocketAddr,
    /// Address on which the instance answers readiness checks.
    pub ready_address: SocketAddr,
    /// Control address, by which other instances know this one.
    pub control_address: SocketAddr,
    /// Control addresses of some instances.
    pub seeds: Vec<SocketAddr>,
    /// Port for gossip between instances.
    pub peer_port: Option<u16>,
    /// Address of the store, or of a proxy in front of the store.
    pub store_address: SocketAddr,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Memory limit, in MB.
    pub memory_mb: u64,
    /// Further lines of the settings file, each with its line break.
    pub further_lines: String,
}

impl SiteSettings {
    fn text(&self) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(ToString::to_string).collect();
        let port_range = self.peer_port.map(|port| format!("port_range={port},{port}\n")).unwrap_or_default();
        format!(
            "node={}\nzone={}\nlisten.front={}\nlisten.ready={}\nlisten.control={}\nseeds={}\n{port_range}\
             first_start={}\nplatform.address={}\nbounds.grace_s=8\nbounds.drain_ms=2000\n\
             bounds.config_ms=2000\nbounds.stable_window_ms=3000\nbounds.budget_ratio=0.2\n\
             bounds.budget_slack=58\nbounds.budget_window_s=10\nlimits.memory_mb={}\npolicies=drain,retry,pool\nload.ranks=true\n{}",
            self.name,
            self.domain,
            self.caller_address,
            self.ready_address,
            self.control_address,
            seeds.join(","),
            self.first_start,
            self.store_address,
            self.memory_mb,
            self.further_lines
        )
    }
}

/// A running instance; killed when dropped.
#[derive(Debug)]
pub struct SiteInstance {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    log_closed: Arc<AtomicBool>,
    _settings: NamedTempFile,
}

impl SiteInstance {
    /// Starts `binary` with these settings.
    ///
    /// # Errors
    /// The settings cannot be written, or the process cannot be started.
    pub fn start(binary: &Path, settings: &SiteSettings) -> std::io::Result<Self> {
        let mut file = NamedTempFile::new()?;
        file.write_all(settings.text().as_bytes())?;
        let mut child = Command::new(binary).arg(file.path()).stdout(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let output = child
            .stdout
            .take()
            .ok_or_else(|| std::io::Error::other("the process has no pipe for its output"))?;
        let sink = Arc::clone(&log);
        let log_closed = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&log_closed);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                sink.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        Ok(Self { child, log, log_closed, _settings: file })
    }

    /// Stops reading the instance's log at the next line, and closes the pipe.
    pub fn close_log(&self) {
        self.log_closed.store(true, Ordering::Relaxed);
    }

    /// Log lines that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let lines = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Sends a signal by name, such as `-TERM`. A process that has ended gets no signal, since another process may have
    /// its id by then.
    ///
    /// # Errors
    /// `kill` cannot be run, or does not know the signal.
    pub fn signal(&mut self, name: &str) -> std::io::Result<()> {
        if self.exit_success().is_some() {
            return Ok(());
        }
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(std::io::Error::other(format!("kill {name} failed"))) }
    }

    /// Whether the process exited with success; `None` while the process runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Kills the process and waits until the process has ended.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for SiteInstance {
    fn drop(&mut self) {
        self.kill();
    }
}
