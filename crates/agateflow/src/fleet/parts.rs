//! Content-defined chunking of documents, so that after a small change to a large document readers
//! fetch only the parts that differ.

use std::sync::Arc;

use indexmap::IndexMap;

/// Length of a part's truncated BLAKE3 digest.
pub const DIGEST_BYTES: usize = 8;
/// Maximum size of a document.
pub const MAX_DOCUMENT_BYTES: usize = 2 << 20;
/// Maximum size of a part.
pub const MAX_PART_BYTES: usize = 8 << 10;
const MIN_PART_BYTES: usize = 512;
const MEAN_PART_BYTES: usize = 2 << 10;

/// Truncated BLAKE3 digest of a part.
pub type Digest = [u8; DIGEST_BYTES];

/// Digest and length of one part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part's bytes.
    pub digest: Digest,
    /// Length in bytes.
    pub length: u32,
}

/// Describes a document by its parts, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// BLAKE3 digest of the whole document.
    pub digest: [u8; 32],
    /// All parts, in document order.
    pub parts: Box<[Part]>,
}

fn digest(bytes: &[u8]) -> Digest {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_BYTES]);
    digest
}

impl Manifest {
    /// Splits `document` into parts.
    pub fn new(document: &[u8]) -> Self {
        let cuts =
            fastcdc::v2020::FastCDC::new(document, MIN_PART_BYTES, MEAN_PART_BYTES, MAX_PART_BYTES);
        let parts = cuts.map(|cut| {
            let bytes = &document[cut.offset..cut.offset + cut.length];
            Part { digest: digest(bytes), length: bytes.len() as u32 }
        });
        Self { digest: *blake3::hash(document).as_bytes(), parts: parts.collect() }
    }

    /// Length of the whole document in bytes.
    pub fn length(&self) -> usize {
        self.parts.iter().map(|part| part.length as usize).sum()
    }

    /// The bytes of the part at `index` of `document`, which this manifest describes.
    pub fn slice<'a>(&self, document: &'a [u8], index: usize) -> Option<&'a [u8]> {
        let length = self.parts.get(index)?.length as usize;
        let offset: usize = self.parts[..index].iter().map(|part| part.length as usize).sum();
        document.get(offset..offset + length)
    }
}

/// Assembles a document from the parts of a local document and parts fetched from a peer.
#[derive(Debug)]
pub struct Assembly {
    manifest: Manifest,
    parts: IndexMap<Digest, Box<[u8]>>,
}

impl Assembly {
    /// Starts with the parts of `manifest` that `held` contains. Returns `None` if the document
    /// would exceed [`MAX_DOCUMENT_BYTES`].
    pub fn new(manifest: Manifest, held: Option<(&Manifest, &Arc<[u8]>)>) -> Option<Self> {
        if manifest.length() > MAX_DOCUMENT_BYTES {
            return None;
        }
        let mut parts = IndexMap::new();
        if let Some((held_manifest, bytes)) = held {
            let mut offset = 0;
            for part in &held_manifest.parts {
                let end = offset + part.length as usize;
                let shared = manifest.parts.iter().any(|p| p.digest == part.digest);
                if let (true, Some(slice)) = (shared, bytes.get(offset..end)) {
                    parts.insert(part.digest, slice.into());
                }
                offset = end;
            }
        }
        Some(Self { manifest, parts })
    }

    /// Indices of the missing parts, one per distinct digest.
    pub fn missing(&self) -> Box<[u32]> {
        let mut asked = indexmap::IndexSet::new();
        let parts = self.manifest.parts.iter().enumerate();
        let missing = parts.filter(|(_, part)| !self.parts.contains_key(&part.digest));
        missing.filter(|(_, part)| asked.insert(part.digest)).map(|(i, _)| i as u32).collect()
    }

    /// Adds a part fetched from a peer. Returns whether its digest was missing.
    pub fn insert(&mut self, bytes: Box<[u8]>) -> bool {
        let digest = digest(&bytes);
        let wanted = self.manifest.parts.iter().any(|part| part.digest == digest);
        wanted && self.parts.insert(digest, bytes).is_none()
    }

    /// The complete document, if no part is missing and the digest matches the manifest.
    pub fn finish(self) -> Option<Arc<[u8]>> {
        let mut document = Vec::with_capacity(self.manifest.length());
        for part in &self.manifest.parts {
            document.extend_from_slice(self.parts.get(&part.digest)?);
        }
        let whole = *blake3::hash(&document).as_bytes() == self.manifest.digest;
        whole.then(|| document.into())
    }
}
