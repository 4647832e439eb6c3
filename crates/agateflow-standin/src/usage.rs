//! What a process holds: its resident memory, the bytes that its sockets have received and that it has not read, and
//! its descriptors.

use std::collections::HashSet;
use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// State of a listening socket in the kernel's list; its queue counts connections.
const LISTENING: &str = "0A";

/// A sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Bytes received and not read.
    pub unread: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Samples the process `id`, which alone listens at `address`; `None` if it has ended.
    pub fn sample(id: u32, address: IpAddr) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = resident.trim().strip_suffix("kB")?.trim().parse().ok()?;
        let links = fs::read_dir(format!("/proc/{id}/fd")).ok()?;
        let links = links.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        let links: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        let sockets: HashSet<&str> = links
            .iter()
            .filter_map(|link| link.strip_prefix("socket:[")?.strip_suffix(']'))
            .collect();
        Some(Self {
            resident: kilobytes << 10,
            unread: unread(&sockets, address),
            descriptors: links.len(),
        })
    }

    /// Memory of the machine that the process takes, in bytes.
    pub const fn memory(&self) -> u64 {
        self.resident + self.unread
    }

    fn max(self, other: Self) -> Self {
        let larger = if other.memory() > self.memory() { other } else { self };
        Self { descriptors: self.descriptors.max(other.descriptors), ..larger }
    }
}

/// Sum of the receive queues of `sockets`, given as inodes, and of connections to `address` that were not
/// accepted yet.
fn unread(sockets: &HashSet<&str>, address: IpAddr) -> u64 {
    let list = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    list.lines().skip(1).filter_map(|line| unread_of(line, sockets, address)).sum()
}

fn unread_of(line: &str, sockets: &HashSet<&str>, address: IpAddr) -> Option<u64> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (local, state, queues, inode) =
        (fields.get(1)?, fields.get(3)?, fields.get(4)?, fields.get(9)?);
    let ip = u32::from_str_radix(local.split(':').next()?, 16).ok()?;
    let ip = IpAddr::V4(Ipv4Addr::from(ip.to_le_bytes()));
    let is_own = sockets.contains(inode) || (*inode == "0" && ip == address);
    if !is_own || *state == LISTENING {
        return None;
    }
    u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
}

/// Samples a process until it is asked for the peak.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    sampler: JoinHandle<Usage>,
}

impl Watch {
    /// Starts to sample the process `id`, which alone listens at `address`.
    pub fn new(id: u32, address: IpAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sampler = thread::spawn(move || {
            let mut peak = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                peak = peak.max(Usage::sample(id, address).unwrap_or_default());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { stop, sampler }
    }

    /// Stops, and returns the sample with the most memory, with the most descriptors of any sample.
    pub fn peak(self) -> Usage {
        self.stop.store(true, Ordering::Relaxed);
        self.sampler.join().unwrap_or_default()
    }
}
