//! Bounds on connections and memory, derived from the limits of the instance.

/// Limits that the platform sets for the instance. What is not known has a default.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Instance {
    pub memory_bytes: Option<u64>,
    /// Number of file descriptors that the process may have open.
    pub descriptors: Option<u64>,
}

impl Instance {
    fn memory(self) -> u64 {
        self.memory_bytes.unwrap_or(MEMORY_DEFAULT_BYTES)
    }

    /// Memory for the jobs that the instance holds, in bytes: half of what connections leave.
    pub fn job_bytes(self) -> usize {
        usize::try_from(self.memory() / 4).unwrap_or(usize::MAX)
    }
}

/// Memory of an instance whose settings state none.
const MEMORY_DEFAULT_BYTES: u64 = 1 << 30;
/// Descriptors of an instance whose settings state none.
const DESCRIPTORS_DEFAULT: u64 = 65_536;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors that are reserved for outgoing HTTP connections, listeners and the runtime.
const OTHER_DESCRIPTORS: u64 = 64;

/// Connections and the bytes that they hold.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    pub connections: usize,
    pub bytes: usize,
}

impl Usage {
    /// This share of a bound, at least one connection.
    fn part(self, share: (usize, usize)) -> Usage {
        let part = |of: usize| (of as u128 * share.0 as u128 / share.1 as u128) as usize;
        Usage { connections: part(self.connections).max(1), bytes: part(self.bytes) }
    }

    /// Whether either figure is above that of `bound`.
    pub(super) fn excess(self, bound: Usage) -> Option<Resource> {
        if self.connections > bound.connections {
            return Some(Resource::Connections);
        }
        (self.bytes > bound.bytes).then_some(Resource::Bytes)
    }

    pub(super) fn plus(self, more: Usage) -> Usage {
        let bytes = self.bytes.saturating_add(more.bytes);
        Usage { connections: self.connections + more.connections, bytes }
    }
}

/// What a bound is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    Connections,
    Bytes,
}

/// Who connects to a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Audience {
    /// Clients of an HTTP interface.
    Clients,
    /// The system's own processes.
    System,
}

/// Bounds of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// All connections, including those that the process opened itself.
    pub total: Usage,
    /// The ports for clients together.
    pub clients: Usage,
    /// One port for clients.
    pub port: Usage,
    /// One peer address at the ports for clients.
    pub peer: Usage,
    /// One peer address at the ports for the system's own processes.
    pub system_peer: Usage,
}

impl Bounds {
    /// Half of the memory is for connections, the other half for the process's own work and for what the
    /// allocator does not reuse. Clients get at most three quarters of the connections and five eighths
    /// of that memory, so that the system's own connections always have room. A port and a peer get all
    /// but an eighth of what the next wider bound allows. One address may hold
    /// almost all connections between the system's own processes, because sidecars may share it.
    pub fn new(instance: Instance) -> Bounds {
        let memory = instance.memory();
        let descriptors = instance.descriptors.unwrap_or(DESCRIPTORS_DEFAULT);
        let reserved = (FILE_DESCRIPTORS + OTHER_DESCRIPTORS).min(descriptors / 2);
        let total = Usage {
            connections: usize::try_from(descriptors - reserved).unwrap_or(usize::MAX).max(1),
            bytes: usize::try_from(memory / 2).unwrap_or(usize::MAX),
        };
        let clients = Usage { connections: total.part((3, 4)).connections, ..total.part((5, 8)) };
        let port = clients.part((7, 8));
        let peer = port.part((7, 8));
        Bounds { total, clients, port, peer, system_peer: total.part((31, 32)) }
    }
}
