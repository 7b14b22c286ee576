//! Entries of the project as separate processes, with settings like those of a small deployment.

use crate::http;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The program that the deploy file builds and starts.
const PROGRAM: &str = "target/release/fireflydirect";

/// `PR_SET_PDEATHSIG` and `SIGKILL` of Linux.
const SET_SIGNAL_AT_PARENTS_END: i32 = 1;
const KILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Last octets of the entries' addresses.
const ENTRY_OCTETS: std::ops::RangeInclusive<u8> = 1..=6;

/// Addresses of one case, all of them in a loopback net of its own.
pub struct Net {
    a: u8,
    b: u8,
    pub port: u16,
    _claim: TcpListener,
}

impl Net {
    /// Claims a net by a listener on its last address.
    pub fn claim() -> io::Result<Self> {
        let seed = std::process::id();
        for i in 0..500_u32 {
            let n = seed.wrapping_mul(31).wrapping_add(i.wrapping_mul(7919));
            let (a, b) = ((n % 120 + 100) as u8, (n / 120 % 250 + 1) as u8);
            let port = 20_000 + (n % 9_000) as u16;
            let claim = TcpListener::bind((Ipv4Addr::new(127, a, b, 254), port));
            let Ok(claim) = claim else { continue };
            let is_free = |last| {
                let addr = (Ipv4Addr::new(127, a, b, last), port);
                UdpSocket::bind(addr).is_ok() && TcpListener::bind(addr).is_ok()
            };
            if ENTRY_OCTETS.into_iter().all(is_free) {
                return Ok(Self {
                    a,
                    b,
                    port,
                    _claim: claim,
                });
            }
        }
        Err(io::Error::other("no loopback net is free"))
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, last)
    }

    /// Returns an address with a free port.
    pub fn free(&self, last: u8) -> io::Result<SocketAddr> {
        TcpListener::bind((self.ip(last), 0))?.local_addr()
    }
}

/// One entry.
pub struct Entry {
    pub number: u8,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Writes the settings of an entry that isn't started yet; `seeds` are entries' numbers.
    pub fn new(
        net: &Net,
        folder: &Path,
        number: u8,
        seeds: &[u8],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let (front, ready, control) = (net.free(number)?, net.free(number)?, net.free(number)?);
        let ip = net.ip(number);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|n| format!("\"{}:9\"", net.ip(*n)))
            .collect();
        let seeds = seeds.join(",");
        let inner = net.port;
        let text = format!(
            r#"{{"node_name":"front-{number}","role":"entry","machine_class":"front",
"serves":["front","control"],"ip":"{ip}","zone":"a","region":"north","zones":{{"a":"north"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"internal_port_range":[{inner},{inner}],"seeds":[{seeds}],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_timeout_ms":4000,
"catch_up_s":4,"drain_timeout_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,
"rollback_slack_ms":250,"outer_bound_ms":5000,"fail_closed":false,"revoke_ms":5000,
"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":58,"cold_overshoot":1.5,"cold_slack":5,
"recovery_s":12,"pass_ms":120,"retry_after_s":8.6}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,
"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#
        );
        let settings = folder.join(format!("node-{number}.json"));
        fs::write(&settings, text)?;
        Ok(Self {
            number,
            front,
            ready,
            settings,
            log: folder.join(format!("entry-{number}.log")),
            child: None,
        })
    }

    /// Starts the process as the deploy file does.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .env("FIREFLYCROFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one, however that ends. The call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| match prctl(SET_SIGNAL_AT_PARENTS_END, KILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let reply = http::request(
            self.ready,
            "GET",
            "/v1/readyz",
            &[("Host".to_owned(), "ready".to_owned())],
            b"",
            Duration::from_secs(1),
        );
        reply.status == 200
    }

    /// Waits until the entry is ready; false after 15 seconds.
    pub fn until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(30));
        }
        true
    }

    /// Returns the lines of its log that hold one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        let lines = log.lines().filter(|l| words.iter().any(|w| l.contains(w)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
