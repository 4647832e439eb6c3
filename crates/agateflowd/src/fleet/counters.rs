//! Traffic and error counters of the fleet service.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

const UDP_HEADERS_BYTES: u64 = 28; // IPv4 and UDP
const TCP_HEADERS_BYTES: u64 = 52; // IPv4 and TCP with timestamps
const TCP_SEGMENT_BYTES: u64 = 1_448;

macro_rules! counters {
    ($($(#[$meta:meta])* $name:ident),* $(,)?) => {
        /// Counters since the start of the process. Bytes include IP, UDP and TCP headers.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$meta])* pub $name: AtomicU64,)*
        }

        /// Values of all counters at one time.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Snapshot {
            $($(#[$meta])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads the current values.
            pub fn snapshot(&self) -> Snapshot {
                Snapshot { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }

        impl Snapshot {
            /// The increase since `earlier`.
            pub fn since(&self, earlier: &Snapshot) -> Snapshot {
                Snapshot { $($name: self.$name - earlier.$name,)* }
            }
        }
    };
}

counters! {
    /// Datagrams sent.
    datagrams_sent,
    /// Datagrams received.
    datagrams_received,
    /// Bytes sent.
    bytes_sent,
    /// Bytes received.
    bytes_received,
    /// Datagrams that could not be encoded or sent.
    unsent,
    /// Messages that failed authentication.
    unauthentic,
    /// Authentic messages that could not be decoded.
    undecodable,
    /// Messages of an unknown kind, sent by newer processes.
    unknown,
    /// Brief messages without an earlier full heartbeat of the sender.
    strangers,
    /// Replays of a message received before.
    replayed,
    /// Heartbeats older than the last one.
    late,
    /// Heartbeats from replaced incarnations.
    superseded,
    /// Messages that this process does not handle, or that exceeded the member table.
    misplaced,
    /// Calls to the configuration service.
    calls,
    /// Calls to the configuration service that failed.
    failed_calls,
    /// Documents fetched from peers.
    fetches,
    /// Failed fetches from peers.
    failed_fetches,
    /// Documents that failed validation.
    rejections,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, amount: u64) {
        counter.fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn sent_datagram(&self, bytes: usize) {
        Self::add(&self.datagrams_sent, 1);
        Self::add(&self.bytes_sent, bytes as u64 + UDP_HEADERS_BYTES);
    }

    pub(crate) fn received_datagram(&self, bytes: usize) {
        Self::add(&self.datagrams_received, 1);
        Self::add(&self.bytes_received, bytes as u64 + UDP_HEADERS_BYTES);
    }

    pub(crate) fn sent_stream(&self, bytes: usize) {
        Self::add(&self.bytes_sent, stream_bytes(bytes));
    }

    pub(crate) fn received_stream(&self, bytes: usize) {
        Self::add(&self.bytes_received, stream_bytes(bytes));
    }
}

fn stream_bytes(bytes: usize) -> u64 {
    let bytes = bytes as u64;
    bytes + TCP_HEADERS_BYTES * bytes.div_ceil(TCP_SEGMENT_BYTES)
}
