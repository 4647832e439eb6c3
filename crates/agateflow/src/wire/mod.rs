//! Messages between the system's own processes, encoded with Cap'n Proto.

pub mod decode;
pub mod encode;
pub mod frame;

/// Code generated from `wire.capnp`.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used, unused_qualifications)]
#[rustfmt::skip]
pub mod wire_capnp;

pub mod control;

/// Code generated from `control.capnp`.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used, unused_qualifications)]
#[rustfmt::skip]
pub mod control_capnp;
pub use frame::Frame;

/// Frame version that this build writes.
pub const VERSION: u16 = 1;

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest hello, in bytes.
pub const MAX_HELLO_BYTES: usize = 4 << 10;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid message.
    #[error("decode frame: {0}")]
    Codec(#[from] capnp::Error),
    /// A union or enum has a value that this build does not know.
    #[error("decode frame: unknown variant {0}")]
    Variant(#[from] capnp::NotInSchema),
    /// A text field is not valid UTF-8.
    #[error("decode frame: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A name field is not a valid name.
    #[error("decode frame: {0}")]
    Name(#[from] crate::id::Error),
    /// A number is out of its range.
    #[error("decode frame: {0} is out of range")]
    Range(&'static str),
}
