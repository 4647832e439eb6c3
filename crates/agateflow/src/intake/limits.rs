//! Limits on what callers may hold, derived from the machine.

use serde::{Deserialize, Serialize};

use crate::unit;

/// Memory of an open connection: its state, the buffer of a request's head, and what the kernel may hold of bytes
/// that are not read yet.
pub const CONNECTION: unit::Bytes = unit::Bytes::new(40 << 10);

/// Memory beyond [`CONNECTION`] up to which a request is small.
pub const SMALL: unit::Bytes = unit::Bytes::new(128 << 10);

/// Memory of the process itself, with a configuration and a fleet of the target size.
const OWN: unit::Bytes = unit::Bytes::new(32 << 20);

/// Part of the memory that the allocator may lose to fragmentation, one in so many.
const FRAGMENTATION_PART: u64 = 8;

/// Part of a small machine's memory that callers get in any case, one in so many.
const LEAST_PART: u64 = 4;

/// Part of the callers' memory that large requests leave to small ones, one in so many.
const RESERVE_PART: u64 = 8;

/// Part of the sockets for upstreams, other entries, the registry and readiness, one in so many.
const SOCKETS_PART: usize = 4;

/// Least number of such sockets.
const MIN_SOCKETS: usize = 64;

/// Part of the callers' memory that connections may take while they hold nothing else, one in so many.
const CONNECTIONS_PART: u64 = 2;

/// Part of the memory that the responses of a page may take, one in so many, and the least.
const PAGE_PART: u64 = 16;
const MIN_PAGE: unit::Bytes = unit::Bytes::new(4 << 20);

/// Connections to a page.
const PAGE_CONNECTIONS: usize = 16;

/// The machine that a process runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Memory that the process may take.
    pub memory: unit::Bytes,
    /// Sockets that the process may open.
    pub sockets: usize,
}

/// Limits on what callers may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory for all callers.
    pub memory: unit::Bytes,
    /// Part of it that only small requests use.
    pub reserve: unit::Bytes,
    /// Connections of all callers.
    pub connections: usize,
}

impl Limits {
    /// Derives the limits from the machine.
    pub fn new(machine: Machine) -> Self {
        let total = machine.memory.get();
        let memory = total.saturating_sub(OWN.get() + total / FRAGMENTATION_PART);
        let memory = memory.max(total / LEAST_PART);
        let own_sockets = (machine.sockets / SOCKETS_PART).max(MIN_SOCKETS);
        let in_memory = (memory / CONNECTIONS_PART / CONNECTION.get()) as usize;
        Self {
            memory: unit::Bytes::new(memory),
            reserve: unit::Bytes::new(memory / RESERVE_PART),
            connections: machine.sockets.saturating_sub(own_sockets).min(in_memory).max(1),
        }
    }

    /// Derives the limits of a page for operators or other processes from the machine.
    pub fn for_page(machine: Machine) -> Self {
        let memory = unit::Bytes::new(machine.memory.get() / PAGE_PART);
        Self {
            memory: memory.max(MIN_PAGE),
            reserve: unit::Bytes::ZERO,
            connections: PAGE_CONNECTIONS,
        }
    }

    /// Lowers the limit on connections to `connections`.
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = self.connections.min(connections.max(1));
        self
    }
}
