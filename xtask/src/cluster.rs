use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rules::key_digest;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::deployment::Deployment;
use crate::process::Process;

/// All processes of a deployment on this machine, with stand-ins for the platform.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) deployment: Deployment,
    pub(crate) platform: Process,
    pub(crate) stores: Vec<Process>,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) http: reqwest::Client,
    folder: PathBuf,
}

/// How long the processes may take to learn of each other.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

impl Cluster {
    /// Starts everything and waits until every entry knows every agent.
    pub(crate) async fn start(deployment: Deployment, folder: &Path) -> Result<Self> {
        std::fs::create_dir_all(folder)?;
        let platform = standin(folder, "platform", "platform", &[]).await?;
        let weights = standin(folder, "weights", "weights", &[]).await?;
        let weight_store = format!("http://{}", weights.address("")?);
        let mut cluster = Self {
            platform,
            stores: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build()?,
            folder: folder.to_owned(),
            deployment,
        };
        cluster.stores.push(weights);
        cluster.apply_rules("").await?;
        cluster.start_targets(&weight_store).await?;
        cluster.start_processes().await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the key of a team.
    pub(crate) fn key(team: usize) -> String {
        format!("demo-key-of-team-{team:04}")
    }

    /// Returns the address for callers of an entry.
    pub(crate) fn entry(&self, index: usize) -> Result<SocketAddr> {
        self.entries[index % self.entries.len()].address("http")
    }

    /// Makes the deployment's rules and some further lines the configuration in force.
    pub(crate) async fn apply_rules(&self, further: &str) -> Result<()> {
        let path = self.folder.join("rules");
        std::fs::write(&path, format!("{}{further}", self.rules()))?;
        let platform = format!("http://{}", self.platform.address("")?);
        let program = std::env::current_exe()?.with_file_name("boragereel");
        let output = tokio::process::Command::new(program)
            .arg("apply")
            .arg(&path)
            .args(["--who", "xtask", "--why", "demo"])
            .args([
                "--table",
                &platform,
                "--objects",
                &platform,
                "--hosts",
                &platform,
            ])
            .output()
            .await?;
        if output.status.success() {
            return Ok(());
        }
        Err(format!("apply failed: {}", String::from_utf8_lossy(&output.stderr)).into())
    }

    fn rules(&self) -> String {
        let deployment = &self.deployment;
        let mut rules = String::new();
        for team in 0..deployment.teams {
            let digest: String = key_digest(&Self::key(team))
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            // The first two teams are large.
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

    async fn start_targets(&mut self, weight_store: &str) -> Result<()> {
        let folder = self.folder.clone();
        for index in 0..self.deployment.stores {
            let store = standin(&folder, &format!("store-{index}"), "store", &[]).await?;
            self.stores.push(store);
        }
        for index in 0..self.deployment.engines {
            let arguments = [
                "--model",
                &self.deployment.model,
                "--weights",
                "v1",
                "--weight-store",
                weight_store,
            ];
            let engine = standin(&folder, &format!("engine-{index}"), "engine", &arguments).await?;
            self.engines.push(engine);
        }
        for index in 0..self.deployment.services {
            let name = format!("{}-{index}", self.deployment.service);
            let service = standin(&folder, &name, "service", &["--name", &name]).await?;
            self.services.push(service);
        }
        Ok(())
    }

    async fn start_processes(&mut self) -> Result<()> {
        let stores: Vec<_> = self
            .stores
            .iter()
            .skip(1)
            .enumerate()
            .map(|(index, store)| {
                let address = store.address("")?;
                let name = format!("store-{index}");
                Ok(json!({ "name": name, "address": format!("http://{address}") }))
            })
            .collect::<Result<_>>()?;
        let deployment = self.deployment.clone();
        for (index, engine) in self.engines.iter().enumerate() {
            let role = json!({ "engine": {
                "target": format!("{}-{index}", deployment.model),
                "model": deployment.model,
                "address": format!("http://{}", engine.address("")?),
                "cold_limit": 2,
                "warm_limit": 16,
            }});
            let name = format!("agent-engine-{index}");
            self.agents.push(
                self.daemon(&name, deployment.domain(index), &role, &stores)
                    .await?,
            );
        }
        for (index, service) in self.services.iter().enumerate() {
            let role = json!({ "service": {
                "target": format!("{}-{index}", deployment.service),
                "service": deployment.service,
                "address": format!("http://{}", service.address("")?),
                "limit": 16,
            }});
            let name = format!("agent-service-{index}");
            self.agents.push(
                self.daemon(&name, deployment.domain(index), &role, &stores)
                    .await?,
            );
        }
        for index in 0..deployment.entries {
            let role = json!({ "entry": { "http_address": "127.0.0.1:0" } });
            let name = format!("entry-{index}");
            self.entries.push(
                self.daemon(&name, deployment.domain(index), &role, &stores)
                    .await?,
            );
        }
        Ok(())
    }

    async fn daemon(
        &self,
        name: &str,
        domain: &str,
        role: &serde_json::Value,
        stores: &[serde_json::Value],
    ) -> Result<Process> {
        let platform = format!("http://{}", self.platform.address("")?);
        let settings = json!({
            "name": name,
            "host": format!("host-{name}"),
            "domain": domain,
            "region": self.deployment.region,
            "peer_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "cluster_keys": ["demo cluster key of 2026"],
            "context_secret": "demo context secret of 2026",
            "platform": { "table": platform, "objects": platform, "hosts": platform },
            "stores": stores,
            "role": role,
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let log = self.folder.join(format!("{name}.log"));
        Process::spawn("boragereeld", &arguments, &log).await
    }

    async fn wait_ready(&self) -> Result<()> {
        let members = self.agents.len() + self.entries.len();
        let deadline = Instant::now() + READY_TIMEOUT;
        for process in self.entries.iter().chain(&self.agents) {
            let admin = process.address("admin")?;
            loop {
                let ready = self
                    .http
                    .get(format!("http://{admin}/ready"))
                    .send()
                    .await?;
                let status = self
                    .http
                    .get(format!("http://{admin}/status"))
                    .send()
                    .await?;
                let status: serde_json::Value = status.json().await?;
                let known = status["members"].as_array().map_or(members, Vec::len);
                if ready.status().is_success() && known >= members {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("not ready within 20 s: {status}").into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

async fn standin(folder: &Path, name: &str, kind: &str, options: &[&str]) -> Result<Process> {
    let mut arguments = vec![kind.to_owned()];
    arguments.extend(options.iter().map(ToString::to_string));
    Process::spawn(
        "boragereel-standin",
        &arguments,
        &folder.join(format!("{name}.log")),
    )
    .await
}
