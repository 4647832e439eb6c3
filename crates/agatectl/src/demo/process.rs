//! A daemon process of the demo, on a thread and a runtime of its own, so that it can be killed.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use agateflow::settings::Settings;
use agateflowd::log;
use agateflowd::process;
use tokio::sync::oneshot;

use crate::error::Error;

/// How a process is to end.
enum End {
    /// At once, as by a crash: its connections are dropped.
    Kill,
    /// After its requests in progress, as by SIGTERM.
    Drain,
}

struct Running {
    end: oneshot::Sender<End>,
    ended: oneshot::Receiver<()>,
    operators: SocketAddr,
}

/// A process that may be ended and started again.
pub struct Process {
    settings: Settings,
    running: Mutex<Option<Running>>,
    /// Held while the process starts or ends.
    changing: tokio::sync::Mutex<()>,
}

impl Process {
    /// Creates a process that does not run yet.
    pub fn new(settings: Settings) -> Self {
        let changing = tokio::sync::Mutex::new(());
        Self { settings, running: Mutex::new(None), changing }
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The address of the operators' pages, while the process runs.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.running().as_ref().map(|running| running.operators)
    }

    /// Starts the process, with an incarnation of its own, once the one before has ended.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the daemon cannot be started.
    pub async fn start(&self) -> Result<(), Error> {
        let _changing = self.changing.lock().await;
        let (started, start) = oneshot::channel();
        let (end, ending) = oneshot::channel();
        let (finish, ended) = oneshot::channel();
        let settings = self.settings.clone();
        thread::spawn(move || {
            run(settings, started, ending);
            let _ = finish.send(());
        });
        let operators = start.await.unwrap_or_else(|e| Err(e.to_string().into()));
        let operators = operators.map_err(|reason| {
            Error::step("start process", format!("{}: {reason}", self.settings.vm))
        })?;
        *self.running() = Some(Running { end, ended, operators });
        Ok(())
    }

    /// Kills the process.
    pub async fn kill(&self) {
        self.end(End::Kill).await;
    }

    /// Drains the process and waits until it has ended.
    pub async fn drain(&self) {
        self.end(End::Drain).await;
    }

    async fn end(&self, end: End) {
        let _changing = self.changing.lock().await;
        let running = self.running().take();
        if let Some(running) = running {
            let _ = running.end.send(end);
            let _ = running.ended.await;
        }
    }

    fn running(&self) -> MutexGuard<'_, Option<Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Started = oneshot::Sender<Result<SocketAddr, Box<str>>>;

/// Runs the daemon until it is to end. Dropping the runtime drops every connection.
fn run(settings: Settings, started: Started, end: oneshot::Receiver<End>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(error.to_string().into()));
            return;
        }
    };
    runtime.block_on(async {
        match process::Process::start(settings, log::discard()).await {
            Ok(process) => {
                let _ = started.send(Ok(process.operators));
                if let Ok(End::Drain) = end.await {
                    process.drain().await;
                }
            }
            Err(error) => {
                let _ = started.send(Err(error.to_string().into()));
            }
        }
    });
}
