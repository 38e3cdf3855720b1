//! The program under test, as a separate process.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The settings of an entry that the cases vary.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: u16,
    pub peers: u16,
    pub store: SocketAddr,
    pub grace_s: f64,
    pub revoke_ms: u64,
    pub memory_mb: u64,
    pub fds: u64,
    pub first_start: bool,
}

/// An entry with its settings file.
pub struct Entry {
    pub child: Child,
    pub settings: Settings,
    folder: PathBuf,
}

fn free_tcp(ip: &str) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Settings {
    pub fn new(name: &str, ip: &str, store: SocketAddr) -> std::io::Result<Self> {
        let address =
            |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<Result<_, _>>()?;
        let ports: Vec<u16> = listeners
            .iter()
            .map(|one| one.local_addr().map(|at| at.port()))
            .collect::<Result<_, _>>()?;
        let peers = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        drop(listeners);
        let _ = free_tcp(ip)?;
        Ok(Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            front: address(ports[0]),
            ready: address(ports[1]),
            metrics: ports[2],
            peers,
            store,
            grace_s: 8.0,
            revoke_ms: 5000,
            memory_mb: 260,
            fds: 4100,
            first_start: true,
        })
    }

    /// Fills in the template that the deploy file names.
    fn text(&self, template: &str) -> String {
        let quoted = |text: &str| format!("\"{text}\"");
        let mut text = template.to_owned();
        for (name, value) in [
            ("{{node|json}}", quoted(&self.name)),
            ("{{zone|json}}", quoted("harbour")),
            ("{{ip|json}}", quoted(&self.ip)),
            ("{{listen.front|json}}", quoted(&self.front.to_string())),
            ("{{listen.ready|json}}", quoted(&self.ready.to_string())),
            ("{{portRange.0}}", self.metrics.to_string()),
            ("{{portRange.1}}", self.peers.to_string()),
            ("{{platform.addr|json}}", quoted(&self.store.to_string())),
            ("{{bootstrap|json}}", self.first_start.to_string()),
            ("{{limits.memoryMb}}", self.memory_mb.to_string()),
            ("{{limits.cpuShare}}", "0.19".to_owned()),
            ("{{bounds.revokeMs}}", self.revoke_ms.to_string()),
            ("{{bounds.graceS}}", self.grace_s.to_string()),
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
        ] {
            text = text.replace(name, &value);
        }
        text
    }

    /// Writes the settings file as the platform does.
    pub fn write(&self, folder: &Path) -> std::io::Result<PathBuf> {
        let template = std::fs::read_to_string("deploy/entry.json")?;
        let text = self.text(&template);
        if text.contains("{{") {
            return Err(std::io::Error::other(
                "the template has fields that the case does not know",
            ));
        }
        let path = folder.join(format!("{}.json", self.name));
        let temporary = folder.join(format!("{}.new", self.name));
        std::fs::File::create(&temporary)?.write_all(text.as_bytes())?;
        std::fs::rename(&temporary, &path)?;
        Ok(path)
    }
}

impl Entry {
    /// Starts the program with the command of the deploy file.
    pub fn start(settings: &Settings, folder: &Path) -> std::io::Result<Self> {
        let file = settings.write(folder)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", settings.name)))?;
        let child = Command::new("target/release/boragereel-edge")
            .args([
                "--drain-ms",
                "2000",
                "--descriptors",
                &settings.fds.to_string(),
            ])
            .env_clear()
            .env("BORAGEREEL_SETTINGS", file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self {
            child,
            settings: settings.clone(),
            folder: folder.to_owned(),
        })
    }

    /// Writes changed settings, as the platform does before SIGHUP.
    pub fn change(&mut self, settings: &Settings) -> std::io::Result<()> {
        self.settings = settings.clone();
        settings.write(&self.folder).map(|_| ())
    }

    /// Sends a signal, such as `-TERM`, by the shell's own `kill`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("sh")
            .args(["-c", "kill \"$0\" \"$1\"", name])
            .arg(self.child.id().to_string())
            .status();
    }

    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.settings.ready) else {
            return false;
        };
        let _ = connection
            .socket
            .set_read_timeout(Some(Duration::from_secs(1)));
        let sent =
            connection.send(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok()
            && connection
                .message()
                .is_ok_and(|answer| answer.status() == 200)
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
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes a temporary folder for a case.
pub fn temporary_folder(case: &str) -> std::io::Result<PathBuf> {
    let name = format!("boragereel-review-{case}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
