//! Open-loop driver: starts each request at its time, whatever became of those before it.

use std::io::IsTerminal;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressDrawTarget};
use tokio::sync::mpsc;

use super::check::Verdict;
use super::client::{Seen, Sender, Target};
use super::mix::Mix;
use super::request::Request;
use super::schedule::{Schedule, Start};
use super::summary::{Answer, Summary};
use crate::error::Error;

/// Most requests in progress; those beyond are counted as unsent.
const MAX_IN_PROGRESS: u64 = 20_000;

/// What to send, when and where.
#[derive(Clone, Debug)]
pub struct Options {
    target: Target,
    mix: Arc<Mix>,
    schedule: Schedule,
    timeout: Duration,
    run: u64,
}

impl Options {
    /// Creates the options of a load.
    pub fn new(target: Target, mix: Mix, schedule: Schedule) -> Self {
        let timeout = Duration::from_secs(60);
        Self { target, mix: Arc::new(mix), schedule, timeout, run: rand::random() }
    }

    /// Sets the time in which an answer must be whole.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }
}

/// Runs a load to its last answer. `each` sees every answer.
///
/// # Errors
///
/// [`Error::Step`] if the client cannot be started or the mix cannot be sent.
pub async fn drive(options: Options, mut each: impl FnMut(&Answer)) -> Result<Summary, Error> {
    let mut summary = Summary::new(&options.mix).map_err(|e| Error::step("start load", e))?;
    let progress = progress(options.schedule.expected());
    let (answers, mut received) = mpsc::unbounded_channel();
    let begin = Instant::now();
    let spawner = tokio::spawn(spawn(options, begin, answers));
    while let Some(answer) = received.recv().await {
        let answer = answer?;
        each(&answer);
        summary.add(&answer);
        progress.inc(1);
    }
    progress.finish_and_clear();
    spawner.await.map_err(|e| Error::step("send requests", e))??;
    summary.seconds = begin.elapsed().as_secs_f64();
    Ok(summary)
}

fn progress(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    bar
}

async fn spawn(
    options: Options,
    begin: Instant,
    answers: mpsc::UnboundedSender<Result<Answer, Error>>,
) -> Result<(), Error> {
    let sender = Sender::new(options.target)?;
    let in_progress = Arc::new(AtomicU64::new(0));
    let mut starts = pace(options.schedule, begin);
    while let Some(start) = starts.recv().await {
        let one = One {
            sender: sender.clone(),
            mix: Arc::clone(&options.mix),
            run: options.run,
            intended: begin + start.at,
            timeout: options.timeout,
            in_progress: Arc::clone(&in_progress),
        };
        let answers = answers.clone();
        tokio::spawn(async move {
            let _ = answers.send(one.run(start).await);
        });
    }
    Ok(())
}

/// Emits each start at its time, from a thread whose sleep is finer than the runtime's timer.
fn pace(schedule: Schedule, begin: Instant) -> mpsc::UnboundedReceiver<Start> {
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for start in schedule.starts() {
            let now = begin.elapsed();
            thread::sleep(start.at.saturating_sub(now));
            if sender.send(start).is_err() {
                return;
            }
        }
    });
    receiver
}

struct One {
    sender: Sender,
    mix: Arc<Mix>,
    run: u64,
    intended: Instant,
    timeout: Duration,
    in_progress: Arc<AtomicU64>,
}

impl One {
    async fn run(self, start: Start) -> Result<Answer, Error> {
        let request = Request::new(&self.mix, self.run, start)?;
        let sent = Instant::now().max(self.intended);
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let seen = if before < MAX_IN_PROGRESS {
            self.send(&request).await
        } else {
            Seen::without_answer(Verdict::Unsent)
        };
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
        Ok(Answer { request, intended: self.intended, sent, seen })
    }

    async fn send(&self, request: &Request) -> Seen {
        let answer = tokio::time::timeout(self.timeout, self.sender.send(request));
        answer.await.unwrap_or_else(|_| Seen::without_answer(Verdict::Late))
    }
}
