//! Structured logs: JSON lines or terminal lines, each with its event number.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{mem, thread};

use slog::Drain;

/// Bytes of lines that wait for the reader of standard output.
const MAX_BUFFER: usize = 512 * 1_024;

/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Appends lines to the buffer.
struct Lines(Arc<Mutex<Buffer>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFER {
            buffer.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_out(buffer: &Mutex<Buffer>) {
    loop {
        thread::sleep(WRITE_INTERVAL);
        let taken = mem::take(&mut *buffer.lock().unwrap_or_else(PoisonError::into_inner));
        if taken.dropped > 0 {
            let line = format!("{{\"msg\":\"log lines dropped\",\"lines\":{}}}\n", taken.dropped);
            // Without a reader of standard output, the error has no destination.
            let _ = io::stdout().write_all(line.as_bytes());
        }
        if !taken.bytes.is_empty() {
            let _ = io::stdout().write_all(&taken.bytes);
        }
    }
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// One JSON object a line.
    Json,
    /// Lines for people.
    Terminal,
}

/// Creates a logger that writes to standard error on a thread of its own.
pub fn logger(form: Form) -> slog::Logger {
    let drain: Box<dyn slog::SendSyncRefUnwindSafeDrain<Ok = (), Err = slog::Never> + Send> =
        match form {
            Form::Json => {
                let json = slog_json::Json::default(io::stderr());
                Box::new(Mutex::new(json).fuse())
            }
            Form::Terminal => {
                let decorator = slog_term::TermDecorator::new().build();
                Box::new(Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse())
            }
        };
    let asynchronous = slog_async::Async::new(drain).build().fuse();
    slog::Logger::root(asynchronous, slog::o!())
}

/// Creates a logger of JSON lines that writes to standard output and never waits for its reader:
/// lines that find the buffer full are dropped and counted in a later line.
pub fn bounded() -> slog::Logger {
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let lines = Lines(buffer.clone());
    thread::spawn(move || write_out(&buffer));
    let json = slog_json::Json::new(lines).add_default_keys().build();
    slog::Logger::root(Mutex::new(json).fuse(), slog::o!())
}

/// Creates a logger that writes nothing.
pub fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Logs an [`agateflow::event::Event`] with `key => value` pairs.
#[macro_export]
macro_rules! event {
    ($logger:expr, $event:expr; $($pairs:tt)*) => {{
        let event: agateflow::event::Event = $event;
        match event.level() {
            agateflow::event::Level::Error => {
                slog::error!($logger, "{}", event.text(); "event" => event.number(), $($pairs)*);
            }
            agateflow::event::Level::Warning => {
                slog::warn!($logger, "{}", event.text(); "event" => event.number(), $($pairs)*);
            }
            agateflow::event::Level::Info => {
                slog::info!($logger, "{}", event.text(); "event" => event.number(), $($pairs)*);
            }
            agateflow::event::Level::Debug => {
                slog::debug!($logger, "{}", event.text(); "event" => event.number(), $($pairs)*);
            }
        }
    }};
}
