//! The configuration in force at one process.
//!
//! The highest valid revision received from the service or any peer is in force. It never decreases.
//! If two documents are published under one revision, all processes converge on the one with the
//! higher digest.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use super::parts;
use crate::unit;

/// Maximum number of rejections remembered.
pub const MAX_REJECTIONS: usize = 16;

/// Validates a document and returns its revision. Pure, so that all processes agree on the result.
pub type Validator = dyn Fn(&[u8]) -> Result<unit::Revision, Box<str>> + Send + Sync;

/// A document that is or was in force.
#[derive(Clone, PartialEq, Eq)]
pub struct Document {
    /// Configuration revision of the document.
    pub revision: unit::Revision,
    /// Parts of the document, for fetches by peers.
    pub manifest: parts::Manifest,
    /// The complete document.
    pub bytes: Arc<[u8]>,
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({}, {} bytes)", self.revision, self.bytes.len())
    }
}

impl Document {
    /// A short digest that distinguishes documents with the same revision.
    pub fn tag(&self) -> u32 {
        tag(&self.manifest.digest)
    }
}

fn tag(digest: &[u8; 32]) -> u32 {
    let [a, b, c, d, ..] = *digest;
    u32::from_be_bytes([a, b, c, d])
}

/// A document that failed validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// [`Document::tag`] of the document.
    pub tag: u32,
    /// Error message of the validator.
    pub reason: Box<str>,
}

/// Result of offering a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document is now in force.
    InForce(Arc<Document>),
    /// The document is in force already, or older.
    Known,
    /// The document is invalid; the one in force stays.
    Rejected(Rejection),
}

/// Holds the document in force and the last rejections.
#[derive(Debug, Default)]
pub struct Store {
    current: Option<Arc<Document>>,
    rejections: VecDeque<Rejection>,
}

impl Store {
    /// Creates a store with no document in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// The document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Revision and tag of the document in force; zeros if none.
    pub fn header(&self) -> (unit::Revision, u32) {
        self.current.as_ref().map(|d| (d.revision, d.tag())).unwrap_or_default()
    }

    /// The last rejections, oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejections.iter()
    }

    /// Whether a peer's document with `revision` and `tag` is newer and was not rejected.
    pub fn should_fetch(&self, revision: unit::Revision, tag: u32) -> bool {
        (revision, tag) > self.header() && !self.rejections.iter().any(|r| r.tag == tag)
    }

    /// Validates a document from the service or a peer and puts it in force if it is newer.
    pub fn offer(&mut self, bytes: &[u8], validate: &Validator) -> Outcome {
        let digest = *blake3::hash(bytes).as_bytes();
        let tag = tag(&digest);
        if self.current.as_ref().is_some_and(|d| d.manifest.digest == digest) {
            return Outcome::Known;
        }
        let revision = match validate(bytes) {
            Ok(revision) => revision,
            Err(reason) => return Outcome::Rejected(self.reject(tag, reason)),
        };
        if (revision, tag) <= self.header() {
            return Outcome::Known;
        }
        let manifest = parts::Manifest::new(bytes);
        let document = Arc::new(Document { revision, manifest, bytes: bytes.into() });
        self.current = Some(document.clone());
        Outcome::InForce(document)
    }

    fn reject(&mut self, tag: u32, reason: Box<str>) -> Rejection {
        let rejection = Rejection { tag, reason };
        if !self.rejections.contains(&rejection) {
            self.rejections.push_back(rejection.clone());
        }
        if self.rejections.len() > MAX_REJECTIONS {
            self.rejections.pop_front();
        }
        rejection
    }
}
