//! What happens to the fleet while the requests run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::task::JoinSet;

use super::fleet::{Fleet, Which};
use super::watch;
use crate::error::Error;

/// Time in which a revision must be in force everywhere.
const REVISION_TIMEOUT: Duration = Duration::from_secs(6);

/// One thing that happened.
#[derive(Clone, Debug, Serialize)]
pub struct Happened {
    /// When it began, in seconds from the start.
    pub at: f64,
    /// What it was.
    pub what: Box<str>,
}

/// What is done to the fleet.
#[derive(Clone, Copy, Debug)]
enum Act {
    CrashEngine(usize, usize),
    RestartEngine(usize, usize),
    PauseEngine(usize, usize),
    UnpauseEngine(usize, usize),
    CrashService(usize, usize),
    RestartService(usize, usize),
    Kill(usize, Which),
    Drain(usize, Which),
    Start(usize, Which),
    ConfigurationDown,
    ConfigurationUp,
}

/// What is done and when, in thousandths of the demo's time.
const SCRIPT: [(u32, Act); 18] = [
    (80, Act::CrashEngine(0, 0)),
    (160, Act::ConfigurationDown),
    (200, Act::RestartEngine(0, 0)),
    (260, Act::Kill(1, Which::Engine(1))),
    (340, Act::Start(1, Which::Engine(1))),
    (380, Act::Drain(0, Which::Entry(1))),
    (420, Act::Kill(0, Which::Service(0))),
    (480, Act::Start(0, Which::Service(0))),
    (520, Act::ConfigurationUp),
    (540, Act::Start(0, Which::Entry(1))),
    (560, Act::Drain(1, Which::Engine(0))),
    (580, Act::CrashService(0, 1)),
    (600, Act::RestartService(0, 1)),
    (620, Act::Start(1, Which::Engine(0))),
    (660, Act::PauseEngine(0, 1)),
    (700, Act::UnpauseEngine(0, 1)),
    (740, Act::Kill(1, Which::Service(1))),
    (800, Act::Start(1, Which::Service(1))),
];

/// When a new revision is published, in thousandths of the demo's time.
const PUBLISH: u32 = 820;
const NEXT_REVISION: u64 = 2;
const THOUSANDTHS: f64 = 1000.0;

/// Plays the script over `span`, the faults only if `break_parts`.
///
/// # Errors
///
/// [`Error::Step`] if a part cannot be started again or a revision is not in force in time.
pub async fn play(
    fleet: Arc<Fleet>,
    span: Duration,
    break_parts: bool,
) -> Result<Vec<Happened>, Error> {
    let begin = Instant::now();
    let mut stage = Stage { fleet, begun: JoinSet::new() };
    let mut happened = Vec::new();
    for (at, act) in SCRIPT.iter().filter(|_| break_parts) {
        let due = span.mul_f64(f64::from(*at) / THOUSANDTHS);
        tokio::time::sleep(due.saturating_sub(begin.elapsed())).await;
        let at = begin.elapsed().as_secs_f64();
        let what = stage.apply(*act).await?;
        happened.push(Happened { at, what: what.into() });
    }
    while let Some(ended) = stage.begun.join_next().await {
        ended.map_err(|e| Error::step("break parts of the fleet", e))??;
    }
    let due = span.mul_f64(f64::from(PUBLISH) / THOUSANDTHS);
    tokio::time::sleep(due.saturating_sub(begin.elapsed())).await;
    let at = begin.elapsed().as_secs_f64();
    let what = publish(&stage.fleet, NEXT_REVISION).await?.into();
    happened.push(Happened { at, what });
    Ok(happened)
}

struct Stage {
    fleet: Arc<Fleet>,
    /// Drains and starts that go on beside the rest of the script.
    begun: JoinSet<Result<(), Error>>,
}

impl Stage {
    async fn apply(&mut self, act: Act) -> Result<String, Error> {
        let platform = self.fleet.platform();
        let engine =
            |data_centre, index| platform.engines[self.fleet.engine(data_centre, index)].host();
        let service =
            |data_centre, index| platform.services[self.fleet.service(data_centre, index)].host();
        match act {
            Act::CrashEngine(data_centre, index) => engine(data_centre, index).crash(),
            Act::RestartEngine(data_centre, index) => {
                let restarted = engine(data_centre, index).restart();
                restarted.map_err(|e| Error::step("restart engine", e))?;
            }
            Act::CrashService(data_centre, index) => service(data_centre, index).crash(),
            Act::RestartService(data_centre, index) => {
                let restarted = service(data_centre, index).restart();
                restarted.map_err(|e| Error::step("restart service", e))?;
            }
            Act::PauseEngine(data_centre, index) => engine(data_centre, index).pause(),
            Act::UnpauseEngine(data_centre, index) => engine(data_centre, index).unpause(),
            Act::Kill(data_centre, which) => {
                if let Some(member) = self.fleet.member(data_centre, which) {
                    member.process.kill().await;
                }
            }
            Act::Drain(data_centre, which) => self.begin(data_centre, which, false),
            Act::Start(data_centre, which) => self.begin(data_centre, which, true),
            Act::ConfigurationDown => platform.configuration.host().crash(),
            Act::ConfigurationUp => {
                let restarted = platform.configuration.host().restart();
                restarted.map_err(|e| Error::step("restart configuration service", e))?;
            }
        }
        Ok(describe(&self.fleet, act))
    }

    /// Begins a drain, and then a start if asked for.
    fn begin(&mut self, data_centre: usize, which: Which, start: bool) {
        let fleet = Arc::clone(&self.fleet);
        self.begun.spawn(async move {
            let Some(member) = fleet.member(data_centre, which) else {
                return Ok(());
            };
            member.process.drain().await;
            if start { member.process.start().await } else { Ok(()) }
        });
    }
}

fn describe(fleet: &Fleet, act: Act) -> String {
    let engine = |data_centre, index| {
        format!("the engine of {}", name(fleet, data_centre, Which::Engine(index)))
    };
    match act {
        Act::CrashEngine(data_centre, index) => format!("crashed {}", engine(data_centre, index)),
        Act::RestartEngine(data_centre, index) => {
            format!("restarted {}", engine(data_centre, index))
        }
        Act::PauseEngine(data_centre, index) => format!("paused {}", engine(data_centre, index)),
        Act::UnpauseEngine(data_centre, index) => {
            format!("let {} go on", engine(data_centre, index))
        }
        Act::CrashService(data_centre, index) => {
            format!("crashed the service of {}", name(fleet, data_centre, Which::Service(index)))
        }
        Act::RestartService(data_centre, index) => {
            format!("restarted the service of {}", name(fleet, data_centre, Which::Service(index)))
        }
        Act::Kill(data_centre, which) => format!("killed {}", name(fleet, data_centre, which)),
        Act::Drain(data_centre, which) => {
            format!("began to drain {}", name(fleet, data_centre, which))
        }
        Act::Start(data_centre, which) => {
            format!("began to replace {}", name(fleet, data_centre, which))
        }
        Act::ConfigurationDown => "took the configuration service down".into(),
        Act::ConfigurationUp => "brought the configuration service back".into(),
    }
}

fn name(fleet: &Fleet, data_centre: usize, which: Which) -> Box<str> {
    let member = fleet.member(data_centre, which);
    member.map_or("nobody".into(), |member| member.process.settings().vm.as_str().into())
}

async fn publish(fleet: &Fleet, revision: u64) -> Result<String, Error> {
    let begin = Instant::now();
    fleet.publish(revision)?;
    let everywhere = async {
        for member in fleet.members() {
            watch::revision(&member.process, revision).await;
        }
    };
    let late =
        |_| Error::step("publish", format!("revision {revision} is not in force everywhere"));
    tokio::time::timeout(REVISION_TIMEOUT, everywhere).await.map_err(late)?;
    let time = begin.elapsed().as_millis();
    Ok(format!("published revision {revision}, in force everywhere after {time} ms"))
}
