//! How much of a machine callers may occupy.

/// The machine that a process runs on, as far as callers can exhaust it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Machine {
    /// The memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// The number of file descriptors that the process may open.
    pub descriptors: usize,
    /// The number of callers' connections that the operators set; derived if they set none.
    pub connections: Option<usize>,
}

/// What callers may occupy together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// The number of connections.
    pub connections: usize,
    /// The memory that these may hold, in bytes.
    pub bytes: usize,
}

/// The share of the memory that callers may hold. The rest is for the program, its lists, its
/// connections to targets, and memory that the allocator keeps.
const MEMORY_SHARE: f64 = 0.45;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// The largest part of the descriptors that is kept for files, for machines with few of them.
const MAX_FILE_DIVISOR: usize = 4;
/// Connections to administration addresses: enough for probes and scrapers, each address for itself.
const ADMIN_CONNECTIONS: usize = 64;
/// The largest part of the sockets that an administration address may use.
const MAX_ADMIN_DIVISOR: usize = 16;
/// The memory that a connection to an administration address may hold, in bytes.
const ADMIN_CONNECTION_BYTES: usize = 64 << 10;
/// The smallest number of connections.
const MIN_CONNECTIONS: usize = 8;

impl Machine {
    /// Describes a machine by its settings; without a number of descriptors there is no limit.
    #[must_use]
    pub fn new(memory_mb: f64, descriptors: Option<usize>, connections: Option<usize>) -> Self {
        Self {
            memory_bytes: (memory_mb * 1e6) as usize,
            descriptors: descriptors.unwrap_or(usize::MAX),
            connections,
        }
    }

    /// Returns what callers may occupy. A third of the sockets remains for targets, other entries,
    /// the store and administration.
    #[must_use]
    pub fn callers(&self) -> Capacity {
        let derived = self.sockets() / 3 * 2;
        Capacity {
            connections: self.connections.unwrap_or(derived).max(MIN_CONNECTIONS),
            bytes: (self.memory_bytes as f64 * MEMORY_SHARE) as usize,
        }
    }

    /// Returns what the connections to one address of the administration may occupy.
    #[must_use]
    pub fn administration(&self) -> Capacity {
        let connections = ADMIN_CONNECTIONS.min(self.sockets() / MAX_ADMIN_DIVISOR);
        let connections = connections.max(MIN_CONNECTIONS);
        Capacity {
            connections,
            bytes: connections * ADMIN_CONNECTION_BYTES,
        }
    }

    fn sockets(&self) -> usize {
        self.descriptors - FILE_DESCRIPTORS.min(self.descriptors / MAX_FILE_DIVISOR)
    }
}
