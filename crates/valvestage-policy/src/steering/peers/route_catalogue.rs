//! A configuration in chunks that are identified by their digests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use valvestage_core::ids::ConfigurationVersion;

use super::peer_message::{MAX_MESSAGE_BYTES, MessagePart, PeerMessage, RoutesIndex};
use super::route_chunk::{ChunkDigest, RouteChunk, chunks_of};
use crate::steering::knowledge::route_map::RouteMap;

/// Number of digests in one datagram. The rest of a datagram is for the fields before them.
const DIGESTS_PER_DATAGRAM: usize = (MAX_MESSAGE_BYTES - 40) / size_of::<ChunkDigest>();

/// A configuration that is split into chunks.
#[derive(Debug, Clone, Default)]
pub struct RouteCatalogue {
    version: ConfigurationVersion,
    idle_timeout_ms: u64,
    /// Digests of the chunks in the order of their addresses; each of them is a key of `chunks`.
    order: Vec<ChunkDigest>,
    chunks: HashMap<ChunkDigest, Arc<RouteChunk>>,
}

impl RouteCatalogue {
    /// Splits a configuration into chunks.
    #[must_use]
    pub fn new(map: &RouteMap) -> Self {
        let chunks: Vec<_> =
            chunks_of(map).into_iter().map(|chunk| (chunk.digest(), Arc::new(chunk))).collect();

        Self {
            version: map.version,
            idle_timeout_ms: map.idle_timeout_ms,
            order: chunks.iter().map(|(digest, _)| *digest).collect(),
            chunks: chunks.into_iter().collect(),
        }
    }

    /// Assembles a configuration from its chunks; returns `None` if one is missing.
    #[must_use]
    pub fn assemble(
        index: &RoutesIndex,
        find: impl Fn(&ChunkDigest) -> Option<Arc<RouteChunk>>,
    ) -> Option<Self> {
        let mut chunks = HashMap::new();
        for digest in &index.digests {
            chunks.insert(*digest, find(digest)?);
        }

        Some(Self {
            version: index.version,
            idle_timeout_ms: index.idle_timeout_ms,
            order: index.digests.clone(),
            chunks,
        })
    }

    /// Returns the configuration's version; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Returns a chunk; `None` if the configuration has no such chunk.
    #[must_use]
    pub fn get(&self, digest: &ChunkDigest) -> Option<Arc<RouteChunk>> {
        self.chunks.get(digest).cloned()
    }

    /// Returns the configuration joined from its chunks.
    #[must_use]
    pub fn map(&self) -> RouteMap {
        let mut map = RouteMap {
            version: self.version,
            idle_timeout_ms: self.idle_timeout_ms,
            ..RouteMap::default()
        };

        let chunks = self.order.iter().filter_map(|digest| self.chunks.get(digest));
        chunks.for_each(|chunk| chunk.add_to(&mut map));
        map
    }

    /// Returns the index of the configuration. 1 MiB of configuration, the most that the store
    /// takes, has some 130 chunks, whose digests fit into one datagram.
    #[must_use]
    pub fn index_messages(&self) -> Vec<PeerMessage> {
        let mut parts: Vec<_> = self.order.chunks(DIGESTS_PER_DATAGRAM).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);

        (0..count)
            .zip(parts)
            .map(|(index, digests)| {
                PeerMessage::RoutesIndex(RoutesIndex {
                    part: MessagePart { index, count },
                    version: self.version,
                    idle_timeout_ms: self.idle_timeout_ms,
                    digests: digests.to_vec(),
                })
            })
            .collect()
    }

    /// Returns the chunks that were asked for. If one of them does not exist any more, because
    /// another configuration has come into force meanwhile, the index is added.
    #[must_use]
    pub fn chunk_messages(&self, digests: &[ChunkDigest]) -> Vec<PeerMessage> {
        let known: Vec<_> = digests.iter().filter_map(|digest| self.get(digest)).collect();
        let is_outdated = known.len() < digests.len();

        let chunks = known.into_iter().map(|chunk| PeerMessage::RoutesChunk((*chunk).clone()));
        let mut messages: Vec<_> = chunks.collect();
        if is_outdated {
            messages.extend(self.index_messages());
        }
        messages
    }
}

/// Joins the parts of an index in their order; returns `None` if there are no parts. A digest that
/// is listed twice stands for one chunk.
#[must_use]
pub fn join_index(parts: Vec<RoutesIndex>) -> Option<RoutesIndex> {
    let mut parts = parts.into_iter();
    let mut joined = parts.next()?;

    joined.digests.extend(parts.flat_map(|part| part.digests));
    let mut seen = HashSet::new();
    joined.digests.retain(|digest| seen.insert(*digest));
    Some(joined)
}
