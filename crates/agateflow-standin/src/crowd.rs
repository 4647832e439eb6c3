//! Callers that do not behave: they send more than an entry can hold, stop short of the end of a request or stop
//! reading, and keep their connections open.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Time without progress after which a caller stops sending and only keeps its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the writes of a body that is not sent in pieces.
const WRITE_BYTES: usize = 64 << 10;

/// Size of a piece of a body that is sent piece by piece.
const PIECE_BYTES: usize = 16 << 10;

/// Pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 32 << 10;

/// A body in chunks of one byte is this part of the largest one: each of its bytes takes six.
const TINY_CHUNKS_PART: u64 = 8;

/// Length that is announced for a body far over the limit.
const FAR_OVER_BYTES: u64 = 1 << 40;

/// What is sent of a body far over the limit, as a multiple of the limit.
const FAR_OVER_SENT: u64 = 16;

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Its length is announced.
    Announced {
        /// The length announced.
        length: u64,
        /// Bytes that are sent.
        sent: u64,
        /// Size of a piece; there is a pause after each.
        piece: Option<usize>,
    },
    /// It is sent in chunks.
    Chunked {
        /// Bytes that are sent.
        sent: u64,
        /// Size of a chunk.
        chunk: usize,
        /// Whether the last, empty chunk is sent.
        complete: bool,
    },
}

/// A way to send too much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Bodies of the largest size allowed.
    Whole,
    /// The same but for the last byte.
    WholeUnfinished,
    /// The same piece by piece.
    PiecesUnfinished,
    /// Bodies of the largest size in large chunks.
    LargeChunks,
    /// The same without the end.
    LargeChunksUnfinished,
    /// Bodies in chunks of one byte.
    TinyChunks,
    /// The same without the end.
    TinyChunksUnfinished,
    /// Bodies that are announced as far over the limit.
    AnnouncedFarOver,
    /// Bodies in chunks that do not end.
    SentFarOver,
}

impl Way {
    /// The body where `limit` is the largest size allowed.
    pub const fn body(self, limit: u64) -> Body {
        let tiny = limit / TINY_CHUNKS_PART;
        match self {
            Way::Whole => Body::Announced { length: limit, sent: limit, piece: None },
            Way::WholeUnfinished => Body::Announced { length: limit, sent: limit - 1, piece: None },
            Way::PiecesUnfinished => {
                Body::Announced { length: limit, sent: limit - 1, piece: Some(PIECE_BYTES) }
            }
            Way::LargeChunks => {
                Body::Chunked { sent: limit, chunk: LARGE_CHUNK_BYTES, complete: true }
            }
            Way::LargeChunksUnfinished => {
                Body::Chunked { sent: limit, chunk: LARGE_CHUNK_BYTES, complete: false }
            }
            Way::TinyChunks => Body::Chunked { sent: tiny, chunk: 1, complete: true },
            Way::TinyChunksUnfinished => Body::Chunked { sent: tiny, chunk: 1, complete: false },
            Way::AnnouncedFarOver => {
                let sent = limit * FAR_OVER_SENT;
                Body::Announced { length: FAR_OVER_BYTES, sent, piece: None }
            }
            Way::SentFarOver => {
                let sent = limit * FAR_OVER_SENT;
                Body::Chunked { sent, chunk: LARGE_CHUNK_BYTES, complete: false }
            }
        }
    }
}

/// Connections that were kept open. Dropping it closes them.
#[derive(Debug)]
pub struct Crowd {
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` callers connect to `target` and send a request at the same time, without reading. `head` is
    /// the request line and the headers but for those of the body. Returns once each has sent its bytes, or
    /// gets no further.
    pub fn send(target: SocketAddr, count: usize, head: &str, body: Body) -> Self {
        Self::gather(count, |_| {
            let head = head.to_string();
            move || send(target, &head, body)
        })
    }

    /// Lets `count` callers connect to `target` and send `bytes`, which may be none.
    pub fn connect(target: SocketAddr, count: usize, bytes: &[u8]) -> Self {
        Self::gather(count, |_| {
            let bytes = bytes.to_vec();
            move || {
                let mut stream = connect(target)?;
                write_all(&mut stream, &bytes)?;
                Ok(stream)
            }
        })
    }

    /// Connections that are still open as far as their callers know.
    pub const fn open(&self) -> usize {
        self.open.len()
    }

    fn gather<T>(count: usize, caller: impl Fn(usize) -> T) -> Self
    where
        T: FnOnce() -> io::Result<TcpStream> + Send + 'static,
    {
        let callers: Vec<_> = (0..count).map(|number| thread::spawn(caller(number))).collect();
        let open = callers.into_iter().filter_map(|caller| caller.join().ok()?.ok());
        Self { open: open.collect() }
    }
}

fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn send(target: SocketAddr, head: &str, body: Body) -> io::Result<TcpStream> {
    let mut stream = connect(target)?;
    match body {
        Body::Announced { length, sent, piece } => {
            let framing = format!("content-length: {length}\r\n\r\n");
            write_all(&mut stream, (head.to_string() + &framing).as_bytes())?;
            send_announced(&mut stream, sent, piece)?;
        }
        Body::Chunked { sent, chunk, complete } => {
            let framing = "transfer-encoding: chunked\r\n\r\n";
            write_all(&mut stream, (head.to_string() + framing).as_bytes())?;
            send_chunks(&mut stream, sent, chunk)?;
            if complete {
                write_all(&mut stream, b"0\r\n\r\n")?;
            }
        }
    }
    Ok(stream)
}

fn send_announced(stream: &mut TcpStream, sent: u64, piece: Option<usize>) -> io::Result<()> {
    let bytes = vec![b'y'; piece.unwrap_or(WRITE_BYTES)];
    let mut left = sent;
    while left > 0 {
        let part = &bytes[..bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX))];
        if !write_all(stream, part)? {
            return Ok(());
        }
        left -= part.len() as u64;
        if piece.is_some() {
            thread::sleep(PIECE_PAUSE);
        }
    }
    Ok(())
}

fn send_chunks(stream: &mut TcpStream, sent: u64, chunk: usize) -> io::Result<()> {
    let mut one = format!("{chunk:x}\r\n").into_bytes();
    one.resize(one.len() + chunk, b'y');
    one.extend_from_slice(b"\r\n");
    let per_write = (WRITE_BYTES / one.len()).max(1) as u64;
    let mut left = sent / chunk as u64;
    while left > 0 {
        let count = left.min(per_write);
        if !write_all(stream, &one.repeat(count as usize))? {
            return Ok(());
        }
        left -= count;
    }
    Ok(())
}

/// Writes `bytes`; false if the other side reads no further.
fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<bool> {
    match stream.write_all(bytes) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) => Err(error),
    }
}
