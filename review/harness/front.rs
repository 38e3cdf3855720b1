//! The entries: processes of the project, started by the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// Ports that are free at all addresses of a run; they are the same on all machines.
#[derive(Clone, Copy)]
pub struct Net {
    octets: (u8, u8),
    pub front: u16,
    pub ready: u16,
    pub metrics: u16,
    pub peer: u16,
    pub server: u16,
}

impl Net {
    /// Finds free ports for up to 64 machines in a part of the loopback range.
    pub fn find() -> Option<Net> {
        let seed = std::process::id();
        for attempt in 0..50u32 {
            let octets = (77 + (attempt % 100) as u8, (seed % 250) as u8 + 1);
            let base = 21_000 + ((seed.wrapping_mul(7) + attempt * 131) % 9000) as u16;
            let net = Net {
                octets,
                front: base,
                ready: base + 1,
                metrics: base + 2,
                peer: base + 3,
                server: base + 4,
            };
            let is_free = |machine: u8| {
                let ip = net.ip(machine);
                (0..5).all(|port| TcpListener::bind((ip, base + port)).is_ok())
                    && UdpSocket::bind((ip, net.peer)).is_ok()
            };
            if [1, 2, 3, 20, 40].into_iter().all(is_free) {
                return Some(net);
            }
        }
        None
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.octets.0, self.octets.1, machine))
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }
}

/// A folder for the settings and logs of a run, which is removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

impl Front {
    /// Starts an entry on a machine; `store` is the address of the platform's store for it.
    pub fn start(
        folder: &Path,
        net: &Net,
        name: &str,
        zone: &str,
        machine: u8,
        store: SocketAddr,
        bootstrap: bool,
    ) -> std::io::Result<Front> {
        let settings = folder.join(format!("{name}.json"));
        // The template of the deploy file, with the values of a small deployment.
        let template = std::fs::read_to_string("deploy/entry.json")?;
        let ip = net.ip(machine).to_string();
        let (front, ready) = (net.at(machine, net.front), net.at(machine, net.ready));
        let quoted = |value: String| format!("\"{value}\"");
        let values = [
            ("{{node|json}}", quoted(name.to_owned())),
            ("{{zone|json}}", quoted(zone.to_owned())),
            ("{{ip|json}}", quoted(ip)),
            ("{{listen.front|json}}", quoted(front.to_string())),
            ("{{listen.ready|json}}", quoted(ready.to_string())),
            ("{{portRange.0}}", net.metrics.to_string()),
            ("{{portRange.1}}", net.peer.to_string()),
            ("{{platform.addr|json}}", quoted(store.to_string())),
            ("{{bootstrap|json}}", bootstrap.to_string()),
            ("{{limits.memoryMb}}", "260".to_owned()),
            ("{{limits.cpuShare}}", "0.19".to_owned()),
            ("{{bounds.revokeMs}}", "5000".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.retryRatio}}", "0.2".to_owned()),
            ("{{bounds.retryWindowS}}", "10".to_owned()),
            ("{{bounds.retryExtra}}", "56".to_owned()),
            ("{{bounds.coldOver}}", "1.5".to_owned()),
            ("{{bounds.coldSlack}}", "5".to_owned()),
            (
                "{{#bounds.versionMs}}{{.}}{{/bounds.versionMs}}{{^bounds.versionMs}}null{{/bounds.versionMs}}",
                "15000".to_owned(),
            ),
            ("{{bounds.leaseMs}}", "3000".to_owned()),
        ];
        let mut text = template;
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        std::fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/boragereel-edge");
        command.env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        let process = command
            .env("BORAGEREEL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Front {
            name: name.to_owned(),
            address: front,
            ready,
            process,
        })
    }

    pub fn is_ready(&self) -> bool {
        let probe = http::send(
            self.ready,
            "GET",
            "/-/readyz",
            &[("Host", "ready")],
            b"",
            Duration::from_millis(500),
        );
        probe.is_some_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}
