use std::io::Read;
use std::path::PathBuf;

use serde::Deserialize;

use crate::Result;

/// The topology and size of a deployment, as described in `examples/`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Deployment {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) domains: Vec<String>,
    pub(crate) client_delay_ms: f64,
    pub(crate) domain_delay_ms: f64,
    pub(crate) entries: usize,
    pub(crate) model: String,
    pub(crate) engines: usize,
    pub(crate) service: String,
    pub(crate) repeatable: Vec<String>,
    pub(crate) services: usize,
    pub(crate) stores: usize,
    pub(crate) teams: usize,
}

impl Deployment {
    /// Reads `examples/NAME.json`.
    pub(crate) fn open(name: &str) -> Result<Self> {
        let path = root().join("examples").join(format!("{name}.json"));
        let text = std::fs::read_to_string(&path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let mut json = String::new();
        json_comments::StripComments::new(text.as_bytes()).read_to_string(&mut json)?;
        Ok(serde_json::from_str(&json).map_err(|error| format!("{}: {error}", path.display()))?)
    }

    /// Returns the failure domain of the process with this index; domains are assigned round robin.
    pub(crate) fn domain(&self, index: usize) -> &str {
        &self.domains[index % self.domains.len()]
    }
}

/// Returns the root folder of the repository.
pub(crate) fn root() -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    folder.parent().map_or(folder.clone(), PathBuf::from)
}
