//! What one connection holds and moves.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::limits::SMALL;
use crate::{id, unit};

/// Window in which movement is measured; the one before counts too.
const WINDOW: unit::Millis = unit::Millis::new(1_000);

/// Windows in which a caller at its recent rate would have to move what it holds.
const MAX_WINDOWS: u64 = 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// No request is in progress; part of a head may have arrived.
    Idle,
    /// The body of a request arrives.
    Receiving,
    /// A whole request waits, and was sent to no upstream.
    Waiting,
    /// The request may run at an upstream.
    Running,
    /// The caller reads the response.
    Sending,
}

impl Stage {
    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Stage::Idle => "idle",
            Stage::Receiving => "receiving",
            Stage::Waiting => "waiting",
            Stage::Running => "running",
            Stage::Sending => "sending",
        }
    }
}

/// Bytes moved in the present window and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct Movement {
    window_start: unit::Millis,
    current: u64,
    previous: u64,
}

impl Movement {
    fn at(mut self, now: unit::Millis) -> Self {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW + WINDOW {
            return Self { window_start: now, current: 0, previous: 0 };
        }
        if elapsed >= WINDOW {
            self = Self {
                window_start: self.window_start + WINDOW,
                current: 0,
                previous: self.current,
            };
        }
        self
    }

    const fn bytes(&self) -> u64 {
        self.current + self.previous
    }
}

/// Why a connection may be evicted; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It holds much and moves too little.
    SlowLarge,
    /// It holds much.
    Large,
    /// It holds little and moves too little.
    SlowSmall,
    /// It has no request.
    Idle,
}

/// Account of a connection.
#[derive(Clone, Debug)]
pub struct Account {
    /// Address of the caller.
    pub caller: IpAddr,
    /// Team of its last request.
    pub team: Option<id::Team>,
    /// What it is doing.
    pub stage: Stage,
    /// Since when.
    pub since: unit::Millis,
    /// Memory that is charged beyond that of the connection itself.
    pub held: u64,
    /// Whether one of its requests was answered.
    pub served: bool,
    /// Whether it was told to go.
    pub evicted: bool,
    movement: Movement,
}

impl Account {
    /// Opens the account of a connection from `caller`.
    pub fn new(caller: IpAddr, now: unit::Millis) -> Self {
        Self {
            caller,
            team: None,
            stage: Stage::Idle,
            since: now,
            held: 0,
            served: false,
            evicted: false,
            movement: Movement { window_start: now, ..Movement::default() },
        }
    }

    /// Records that the caller sent or read bytes.
    pub fn record_movement(&mut self, bytes: u64, now: unit::Millis) {
        self.movement = self.movement.at(now);
        self.movement.current = self.movement.current.saturating_add(bytes);
    }

    /// Bytes that the caller moved of late.
    pub fn moved(&self, now: unit::Millis) -> u64 {
        self.movement.at(now).bytes()
    }

    /// Why it may be evicted, if it may.
    pub fn class(&self, now: unit::Millis) -> Option<Class> {
        if self.evicted {
            return None;
        }
        let is_large = self.held > SMALL.get();
        match self.stage {
            Stage::Running => None,
            Stage::Idle => Some(Class::Idle),
            Stage::Waiting => is_large.then_some(Class::Large),
            Stage::Receiving | Stage::Sending => match (self.is_slow(now), is_large) {
                (true, true) => Some(Class::SlowLarge),
                (true, false) => Some(Class::SlowSmall),
                (false, true) => Some(Class::Large),
                (false, false) => None,
            },
        }
    }

    /// Whether the caller moves too little for what it holds. A caller that has just begun is not slow.
    fn is_slow(&self, now: unit::Millis) -> bool {
        let is_new = now < self.since + WINDOW;
        !is_new && self.held >= self.moved(now).saturating_mul(MAX_WINDOWS)
    }
}
