use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rules::key_digest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::deployment::Deployment;
use crate::process::{Process, binary};
use crate::relay::{Link, Translation};

/// All processes of a deployment on this machine, with stand-ins for the platform.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) deployment: Deployment,
    pub(crate) platform: Node,
    pub(crate) weights: Node,
    pub(crate) stores: Vec<Node>,
    pub(crate) engines: Vec<Node>,
    pub(crate) services: Vec<Node>,
    pub(crate) agents: Vec<Node>,
    pub(crate) entries: Vec<Node>,
    /// The relayed links between processes; empty without relays.
    pub(crate) links: Vec<Link>,
    pub(crate) http: reqwest::Client,
    options: Options,
    folder: PathBuf,
    /// The third octet of all addresses and the base port, drawn at random so that concurrent
    /// clusters do not collide.
    net: (u8, u16),
}

/// Options of a cluster; the default has no relays.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    /// Puts a relay into every link between two processes.
    pub(crate) with_links: bool,
    /// Additional command-line options of each engine.
    pub(crate) engine: Vec<String>,
    /// Additional command-line options of each service.
    pub(crate) service: Vec<String>,
    /// Maximum concurrent requests of a warm engine and its agent.
    pub(crate) warm_limit: Option<u32>,
}

/// A process that can be restarted with the same settings and addresses.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) process: Process,
    program: &'static str,
    arguments: Vec<String>,
    log: PathBuf,
}

/// Timeout for the processes to discover each other.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The second octet of the addresses that processes bind. Process `p` sees its peers at addresses
/// with the second octet `LINK_OCTET + p`, where the relays of its links listen.
const PROCESS_OCTET: u8 = 30;
const LINK_OCTET: u8 = 31;
/// The last octet of the address of the first process.
const FIRST_HOST: u8 = 10;
/// The warm limit of engines if [`Options`] does not set one.
const DEFAULT_WARM_LIMIT: u32 = 16;

impl Node {
    async fn spawn(
        name: &str,
        program: &'static str,
        arguments: Vec<String>,
        folder: &Path,
    ) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        Ok(Self {
            process: Process::spawn(program, &arguments, &log).await?,
            name: name.to_owned(),
            program,
            arguments,
            log,
        })
    }

    /// Returns the address `name=ADDRESS` of the ready line, or the line's last word without it.
    pub(crate) fn address(&self, name: &str) -> Result<SocketAddr> {
        self.process.address(name)
    }

    /// Restarts the process after it has ended.
    pub(crate) async fn restart(&mut self) -> Result<()> {
        self.process = Process::spawn(self.program, &self.arguments, &self.log).await?;
        Ok(())
    }
}

impl Cluster {
    /// Starts all processes and waits until every one is ready and every entry knows every agent.
    pub(crate) async fn start(deployment: Deployment, folder: &Path) -> Result<Self> {
        Self::start_with(deployment, folder, Options::default()).await
    }

    /// Like [`Self::start`], with options.
    pub(crate) async fn start_with(
        deployment: Deployment,
        folder: &Path,
        options: Options,
    ) -> Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut cluster = Self {
            platform: standin(folder, "platform", &["platform"]).await?,
            weights: standin(folder, "weights", &["weights"]).await?,
            stores: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            links: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build()?,
            options,
            folder: folder.to_owned(),
            net: (
                rand::random_range(1..=250),
                rand::random_range(11_000..31_000),
            ),
            deployment,
        };
        cluster.apply_rules("").await?;
        cluster.start_targets().await?;
        cluster.start_processes().await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the API key of a team.
    pub(crate) fn key(team: usize) -> String {
        format!("demo-key-of-team-{team:04}")
    }

    /// Returns the address of an entry for callers; the index wraps around.
    pub(crate) fn entry(&self, index: usize) -> Result<SocketAddr> {
        self.entries[index % self.entries.len()].address("http")
    }

    /// Returns the log of what a stand-in executed.
    pub(crate) async fn log_of(&self, node: &Node) -> Result<Value> {
        let url = format!("http://{}/log", node.address("")?);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Sets the faults of a stand-in.
    pub(crate) async fn set_faults(&self, node: &Node, faults: &Value) -> Result<()> {
        let url = format!("http://{}/faults", node.address("")?);
        let response = self.http.put(url).json(faults).send().await?;
        response.error_for_status()?;
        Ok(())
    }

    /// Returns the status of a process.
    pub(crate) async fn status_of(&self, node: &Node) -> Result<Value> {
        let url = format!("http://{}/status", node.address("admin")?);
        let response = self.http.get(url).timeout(Duration::from_secs(5));
        Ok(response.send().await?.json().await?)
    }

    /// Applies the deployment's rules followed by `extra_rules`; fails unless they are accepted.
    pub(crate) async fn apply_rules(&self, extra_rules: &str) -> Result<()> {
        let output = self.apply(extra_rules, None).await?;
        if output.status.success() {
            return Ok(());
        }
        Err(format!("apply failed: {}", String::from_utf8_lossy(&output.stderr)).into())
    }

    /// Runs `boragereel apply` with the deployment's rules followed by `extra_rules`.
    pub(crate) async fn apply(
        &self,
        extra_rules: &str,
        base: Option<u64>,
    ) -> Result<std::process::Output> {
        let name = format!("rules-{:08x}", rand::random::<u32>());
        let path = self.folder.join(name);
        std::fs::write(&path, format!("{}{extra_rules}", self.rules()))?;
        let mut command = tokio::process::Command::new(binary("boragereel")?);
        command.arg("apply").arg(&path).arg("--json");
        command.args(["--who", "xtask", "--why", "test"]);
        if let Some(base) = base {
            command.args(["--base", &base.to_string()]);
        }
        // Operators connect to the platform directly, without a relay.
        let platform = format!("http://{}", self.platform.address("")?);
        for option in ["--table", "--objects", "--hosts"] {
            command.args([option, &platform]);
        }
        let output = command.output().await?;
        std::fs::remove_file(&path)?;
        Ok(output)
    }

    fn rules(&self) -> String {
        let deployment = &self.deployment;
        let mut rules = String::new();
        for team in 0..deployment.teams {
            let digest: String = key_digest(&Self::key(team))
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            // The first two teams have higher limits.
            let (rate, share) = if team < 2 { (1000, 8) } else { (200, 1) };
            rules.push_str(&format!(
                "team team-{team} key={digest} rate={rate} concurrency=1000 share={share} \
                 # {}: contract {team}\n",
                deployment.name
            ));
        }
        let Deployment {
            name,
            model,
            service,
            repeatable,
            ..
        } = deployment;
        rules.push_str(&format!("model {model} weights=v1 # {name}: release 1\n"));
        let repeatable = repeatable.join(",");
        rules.push_str(&format!(
            "service {service} repeatable={repeatable} # {name}: API\n"
        ));
        rules
    }

    async fn start_targets(&mut self) -> Result<()> {
        let folder = self.folder.clone();
        for index in 0..self.deployment.stores {
            let listen = SocketAddr::from((
                Ipv4Addr::new(127, PROCESS_OCTET, self.net.0, 200),
                self.net.1 + 10 + index as u16,
            ));
            // A fixed address, so that a restarted store host is reachable again.
            let arguments = ["store", "--listen", &listen.to_string()];
            let store = standin(&folder, &format!("store-{index}"), &arguments).await?;
            self.stores.push(store);
        }
        let weight_store = format!("http://{}", self.weights.address("")?);
        let warm_limit = self
            .options
            .warm_limit
            .unwrap_or(DEFAULT_WARM_LIMIT)
            .to_string();
        for index in 0..self.deployment.engines {
            let mut arguments = vec![
                "engine",
                "--model",
                &self.deployment.model,
                "--weights",
                "v1",
                "--weight-store",
                &weight_store,
                "--warm-limit",
                &warm_limit,
            ];
            arguments.extend(self.options.engine.iter().map(String::as_str));
            let engine = standin(&folder, &format!("engine-{index}"), &arguments).await?;
            self.engines.push(engine);
        }
        for index in 0..self.deployment.services {
            let name = format!("{}-{index}", self.deployment.service);
            let mut arguments = vec!["service", "--name", &name];
            arguments.extend(self.options.service.iter().map(String::as_str));
            let service = standin(&folder, &name, &arguments).await?;
            self.services.push(service);
        }
        Ok(())
    }

    async fn start_processes(&mut self) -> Result<()> {
        let deployment = self.deployment.clone();
        let (engines, services) = (deployment.engines, deployment.services);
        for index in 0..engines {
            let name = format!("agent-engine-{index}");
            let target = self.engines[index].address("")?;
            let address = self.link_to(&name, self.engines[index].name.clone(), target);
            let role = json!({ "engine": {
                "target": format!("{}-{index}", deployment.model),
                "model": deployment.model,
                "address": format!("http://{}", address.await?),
                "cold_limit": 2,
                "warm_limit": self.options.warm_limit.unwrap_or(DEFAULT_WARM_LIMIT),
            }});
            let agent = self.daemon(&name, index, deployment.domain(index), &role);
            let agent = agent.await?;
            self.agents.push(agent);
        }
        for index in 0..services {
            let name = format!("agent-service-{index}");
            let target = self.services[index].address("")?;
            let address = self.link_to(&name, self.services[index].name.clone(), target);
            let role = json!({ "service": {
                "target": format!("{}-{index}", deployment.service),
                "service": deployment.service,
                "address": format!("http://{}", address.await?),
                "limit": 16,
            }});
            let agent = self.daemon(&name, engines + index, deployment.domain(index), &role);
            let agent = agent.await?;
            self.agents.push(agent);
        }
        for index in 0..deployment.entries {
            let number = engines + services + index;
            let http = SocketAddr::from((self.host(PROCESS_OCTET, number), self.net.1 + 2));
            let role = json!({ "entry": { "http_address": http } });
            let name = format!("entry-{index}");
            let entry = self.daemon(&name, number, deployment.domain(index), &role);
            let entry = entry.await?;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn host(&self, octet: u8, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, octet, self.net.0, FIRST_HOST + number as u8)
    }

    /// Puts a relay between two processes if the cluster has relays; returns the address that the
    /// connecting process has to use.
    async fn link_to(&mut self, from: &str, to: String, target: SocketAddr) -> Result<SocketAddr> {
        if !self.options.with_links {
            return Ok(target);
        }
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::bind(format!("{from}>{to}"), listen, target, [None, None]).await?;
        let address = link.address;
        self.links.push(link);
        Ok(address)
    }

    /// Puts relays between process `number` and all others and into its link to the platform, whose
    /// responses then contain the addresses of those relays instead of the peers' addresses.
    async fn link_peers(&mut self, name: &str, number: usize) -> Result<SocketAddr> {
        let platform = self.platform.address("")?;
        if !self.options.with_links {
            return Ok(platform);
        }
        let octet = LINK_OCTET + u8::try_from(number)?;
        let names = self.daemon_names();
        for (other, peer) in names.iter().enumerate() {
            if other == number {
                continue;
            }
            let listen = SocketAddr::from((self.host(octet, other), self.net.1));
            let target = SocketAddr::from((self.host(PROCESS_OCTET, other), self.net.1));
            let peer_octet = LINK_OCTET + u8::try_from(other)?;
            let translations = [peer_octet, octet].map(|to| Some(self.translation(to)));
            let link = format!("{name}>{peer}");
            let link = Link::bind(link, listen, target, translations).await?;
            self.links.push(link);
        }
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let translations = [None, Some(self.translation(octet))];
        let name = format!("{name}>platform");
        let link = Link::bind(name, listen, platform, translations).await?;
        let address = link.address;
        self.links.push(link);
        Ok(address)
    }

    /// Returns the translation for a process that sees its peers under the second octet `to`.
    fn translation(&self, to: u8) -> Translation {
        let daemons = self.daemon_names().len() as u8;
        Translation {
            octets: PROCESS_OCTET..LINK_OCTET + daemons,
            third: self.net.0,
            hosts: FIRST_HOST..FIRST_HOST + daemons,
            to,
        }
    }

    /// Returns the names of all daemons, indexed by their number.
    fn daemon_names(&self) -> Vec<String> {
        let Deployment {
            engines,
            services,
            entries,
            ..
        } = self.deployment;
        (0..engines)
            .map(|index| format!("agent-engine-{index}"))
            .chain((0..services).map(|index| format!("agent-service-{index}")))
            .chain((0..entries).map(|index| format!("entry-{index}")))
            .collect()
    }

    async fn daemon(
        &mut self,
        name: &str,
        number: usize,
        domain: &str,
        role: &Value,
    ) -> Result<Node> {
        let platform = format!("http://{}", self.link_peers(name, number).await?);
        let mut stores = Vec::new();
        if name.starts_with("agent-engine") {
            for index in 0..self.stores.len() {
                let target = self.stores[index].address("")?;
                let store = self.stores[index].name.clone();
                let address = self.link_to(name, store.clone(), target).await?;
                stores.push(json!({ "name": store, "address": format!("http://{address}") }));
            }
        }
        let octet = match self.options.with_links {
            true => LINK_OCTET + u8::try_from(number)?,
            false => PROCESS_OCTET,
        };
        let seeds: Vec<_> = (0..self.daemon_names().len())
            .filter(|&other| other != number)
            .map(|other| SocketAddr::from((self.host(octet, other), self.net.1)))
            .take(3)
            .collect();
        let host = self.host(PROCESS_OCTET, number);
        let settings = json!({
            "name": name,
            "host": format!("host-{name}"),
            "domain": domain,
            "region": self.deployment.region,
            "peer_address": SocketAddr::from((host, self.net.1)),
            "admin_address": SocketAddr::from((host, self.net.1 + 1)),
            "cluster_keys": ["demo cluster key of 2026"],
            "context_secret": "demo context secret of 2026",
            "platform": { "table": platform, "objects": platform, "hosts": platform },
            "stores": stores,
            "seeds": seeds,
            "role": role,
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        Node::spawn(name, "boragereeld", arguments, &self.folder).await
    }

    /// Waits until every process is ready and every entry knows every agent.
    pub(crate) async fn wait_ready(&self) -> Result<()> {
        let members = self.agents.len() + self.entries.len();
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in self.entries.iter().chain(&self.agents) {
            loop {
                let url = format!("http://{}/ready", node.address("admin")?);
                let ready = self.http.get(url).timeout(Duration::from_secs(5)).send();
                let ready = ready.await.is_ok_and(|ready| ready.status().is_success());
                let status = self.status_of(node).await.unwrap_or_default();
                let known = status["members"].as_array().map_or(members, Vec::len);
                // A target that is drained by a rule does not become ready.
                let is_drained = matches!(status["state"].as_str(), Some("draining" | "drained"));
                if (ready || is_drained) && known >= members {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready within 30 s: {status}", node.name).into());
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

async fn standin(folder: &Path, name: &str, arguments: &[&str]) -> Result<Node> {
    let arguments = arguments.iter().map(ToString::to_string).collect();
    Node::spawn(name, "boragereel-standin", arguments, folder).await
}
