//! Control messages between the fleet's processes.

use std::net;

use serde::{Deserialize, Serialize};

use super::{gossip, parts, summary};
use crate::{id, unit};

/// The function of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Receives requests from callers.
    Entry,
    /// Proxies requests to the engine or plain service of its VM.
    Upstream,
}

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Not ready for requests yet.
    Starting,
    /// Accepts new work.
    Serving,
    /// Draining: refuses new work and finishes requests in progress.
    Leaving,
}

/// Identity of the process that sent a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of its VM. A replacement may reuse it.
    pub name: id::Vm,
    /// Data centre of its VM.
    pub data_centre: id::DataCentre,
    /// Whether it is an entry or an upstream process.
    pub role: Role,
    /// Identifies this run of the process.
    pub incarnation: id::Incarnation,
    /// Start time by its VM's wall clock, since the Unix epoch. Orders the incarnations of a name.
    pub started: unit::Millis,
}

/// Load that a process reports in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Queued requests.
    pub waiting: u16,
    /// Requests being processed by the engine or service.
    pub running: u16,
    /// Estimated processing time of the queue, in milliseconds.
    pub queued_ms: u32,
    /// Duration of one engine step, in microseconds; 0 for plain services.
    pub step_us: u32,
    /// Free fraction of the engine's prompt cache, in thousandths.
    pub cache_free: u16,
    /// Tokens generated per second, or calls answered per second by plain services.
    pub rate: u32,
}

/// Periodic report of a process's health and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the sender polls the configuration service and has had a recent answer.
    pub watching: bool,
    /// Whether the sender's last call to the configuration service failed.
    pub failing: bool,
    /// Time on the sender's own clock until which an attempt sent now is valid.
    pub grant: unit::Millis,
    /// Load at the time of sending.
    pub load: Load,
}

/// Control address of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of its VM.
    pub name: id::Vm,
    /// Whether it is an entry or an upstream process.
    pub role: Role,
    /// Address for datagrams and for fetches over TCP.
    pub address: net::SocketAddr,
}

/// Payload of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// No payload: announces the revision in the header.
    Notice,
    /// Health and load of the sender.
    Heartbeat(Heartbeat),
    /// Requests the members known to the receiver.
    GetDirectory {
        /// Whether to include upstream processes as well as entries.
        upstreams: bool,
    },
    /// Members of the sender's data centre.
    Directory(Box<[Contact]>),
    /// Load of one data centre's groups.
    Summary(Box<summary::Summary>),
    /// Gossiped items.
    Items(Box<[gossip::Item]>),
    /// Requests the manifest of the document in force.
    GetManifest,
    /// The manifest of the sender's document in force.
    Manifest(parts::Manifest),
    /// Requests parts of the last manifest by index.
    GetParts(Box<[u32]>),
    /// One part of a document.
    Part(Box<[u8]>),
}

/// A message and its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sending process.
    pub sender: Sender,
    /// Sequence number among all messages of this incarnation, from 1.
    pub sequence: u64,
    /// Whether the sender accepts new work.
    pub state: State,
    /// The revision in force at the sender; zero if none.
    pub revision: unit::Revision,
    /// The tag of the document in force at the sender.
    pub tag: u32,
    /// Whether the sender's name, data centre and start time are omitted: only processes that have
    /// received a full heartbeat of the sender can decode it.
    pub brief: bool,
    /// The payload.
    pub body: Body,
}
