//! A thread with a runtime of its own, whose processor time and the process's memory are read from
//! the kernel.

use std::fs;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tokio::runtime;
use tokio::sync::oneshot;

use crate::error::Error;

const PAGE_BYTES: u64 = 4_096;

/// A running thread. It ends when it is dropped.
pub struct Worker {
    /// Spawns tasks on the thread.
    pub runtime: runtime::Handle,
    schedstat: Box<str>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts a thread.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the runtime cannot be built.
    pub fn start() -> Result<Self, Error> {
        let (sender, receiver) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let built = runtime::Builder::new_current_thread().enable_all().build();
            let link = fs::read_link("/proc/thread-self").unwrap_or_default();
            match built {
                Ok(runtime) => {
                    let path = format!("/proc/{}/schedstat", link.display());
                    let _ = sender.send(Ok((runtime.handle().clone(), path)));
                    let _ = runtime.block_on(stopped);
                    runtime.shutdown_timeout(Duration::from_secs(1));
                }
                Err(error) => {
                    let _ = sender.send(Err(Error::step("build runtime", error)));
                }
            }
        });
        let started = receiver.recv().map_err(|e| Error::step("start thread", e))?;
        let (runtime, path) = started?;
        Ok(Self { runtime, schedstat: path.into(), stop: Some(stop), thread: Some(thread) })
    }

    /// Processor time that the thread has used.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the kernel does not tell.
    pub fn processor_time(&self) -> Result<Duration, Error> {
        let text = fs::read_to_string(&*self.schedstat);
        let text = text.map_err(|e| Error::step("read processor time", e))?;
        let number = text.split_whitespace().next().and_then(|text| text.parse().ok());
        let number = number.ok_or_else(|| Error::step("read processor time", "no number"))?;
        Ok(Duration::from_nanos(number))
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(()); // it may have ended
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Resident memory of this process in bytes.
///
/// # Errors
///
/// [`Error::Step`] if the kernel does not tell.
pub fn resident_bytes() -> Result<u64, Error> {
    let text = fs::read_to_string("/proc/self/statm").map_err(|e| Error::step("read memory", e))?;
    let pages = text.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    Ok(pages.ok_or_else(|| Error::step("read memory", "no number"))? * PAGE_BYTES)
}
