//! The program under test, started as the deploy file starts it.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, exchange};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGHUP: i32 = 1;

/// Sends a signal to a process that the script has started.
pub fn signal(child: &Child, number: i32) {
    let Ok(pid) = i32::try_from(child.id()) else {
        return;
    };
    // SAFETY: kill takes two numbers and touches no memory of this process.
    unsafe { kill(pid, number) };
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

/// What the settings of all hosts have in common.
pub struct Layout {
    pub store: SocketAddr,
    pub zones: Vec<String>,
    pub folder: PathBuf,
    pub heartbeat_ms: u64,
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Writes the settings of one host for each name of a zone, each at a loopback address of its own.
pub fn lay_out(layout: &Layout) -> Vec<Host> {
    let pid = std::process::id();
    let ip = |index: usize| {
        Ipv4Addr::new(
            127,
            10 + (pid % 200) as u8,
            (pid / 200 % 250) as u8,
            10 + index as u8,
        )
    };
    let first = ip(0);
    let (front, ready, control, internal) = (
        free_port(first),
        free_port(first),
        free_port(first),
        free_port(first),
    );
    let seeds = (0..layout.zones.len().min(3)).map(|index| format!("\"{}:{control}\"", ip(index)));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let zones = layout
        .zones
        .iter()
        .map(|zone| format!("\"{zone}\":\"region-a\""));
    let mut zones = zones.collect::<Vec<_>>();
    zones.sort();
    zones.dedup();
    let zones = zones.join(",");
    let hosts = layout.zones.iter().enumerate().map(|(index, zone)| {
        let ip = ip(index);
        let name = format!("front-{zone}-{index}");
        let text = format!(
            "{{\"node\":\"{name}\",\"role\":\"router\",\"class\":\"front\",\"serves\":[\"front\",\"control\"],\
\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"region-a\",\"zones\":{{{zones}}},\
\"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\"control\":\"{ip}:{control}\"}},\
\"internal_ports\":[{internal},{internal}],\"seeds\":[{seeds}],\"bootstrap\":true,\"counts_as_loss\":false,\
\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":{beat},\
\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"layers\"],\
\"tolerate\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
\"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\
\"grace_s\":8,\"lost_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"outer_ms\":5000,\"strict_revoke\":false,\
\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":200,\"recovery_s\":12,\"pass_ms\":120,\
\"retry_after_s\":0,\"stall_ms\":2000,\"require_fence\":false}},\
\"provider\":{{\"address\":\"{store}\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":12,\"append_ms\":2.0,\
\"ingress_per_s\":20.0,\"egress_per_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}}}",
            beat = layout.heartbeat_ms,
            store = layout.store,
        );
        let settings = layout.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings are written");
        Host {
            front: SocketAddr::from((ip, front)),
            ready: SocketAddr::from((ip, ready)),
            log: layout.folder.join(format!("{name}.log")),
            settings,
            name,
            child: None,
        }
    });
    hosts.collect()
}

/// Returns the root of the repository: the folder above `review/`.
pub fn root() -> PathBuf {
    let root = std::env::var_os("REVIEW_ROOT").expect("REVIEW_ROOT names the repository");
    Path::new(&root).to_owned()
}

impl Host {
    pub fn start(&mut self) -> io::Result<()> {
        let root = root();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(root.join("target/release/jackdawwickd"))
            .arg("--platform")
            .current_dir(&root)
            .env("JACKDAWWICK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces a part of the settings file.
    pub fn change_settings(&self, before: &str, after: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings are read");
        assert!(text.contains(before), "the settings have {before}");
        fs::write(&self.settings, text.replace(before, after)).expect("the settings are written");
    }

    /// Returns the addresses of the seeds, in the format of the settings.
    pub fn seeds(&self) -> String {
        let text = fs::read_to_string(&self.settings).expect("the settings are read");
        let (_, rest) = text
            .split_once("\"seeds\":[")
            .expect("the settings have seeds");
        rest.split(']').next().unwrap_or_default().to_owned()
    }

    /// Sets the addresses of the seeds.
    pub fn set_seeds(&self, seeds: &str) {
        self.change_settings(
            &format!("\"seeds\":[{}]", self.seeds()),
            &format!("\"seeds\":[{seeds}]"),
        );
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            signal(child, number);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            signal(&child, SIGCONT);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut connection) = Connection::connect(self.ready, limit) else {
            return false;
        };
        let request =
            b"GET /jackdawwick/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        exchange(&mut connection, request, limit).status == 200
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => false,
        }
    }

    /// Returns the memory of the process that no file backs, in kB.
    pub fn memory_kb(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready; false if they are not in time.
pub fn wait_ready(hosts: &[Host], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
