//! Fetches a newer configuration from other balancers, some chunks at a time.
//!
//! The balancer that fetches sets the pace: it asks for the next chunks when the last ones have
//! arrived, so at most one window of them is in flight to it, and lost chunks are asked for again
//! individually. Chunks that have arrived are reused for every later configuration that contains
//! them, whichever balancer sends the rest.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use valvestage_core::ids::ConfigurationVersion;

use super::awaited_answer::AwaitedAnswer;
use super::part_assembly::PartAssembly;
use super::peer_message::{ANSWER_WINDOW, ChunksPull, PeerMessage, RoutesIndex, RoutesPull};
use super::route_catalogue::{RouteCatalogue, join_index};
use super::route_chunk::{ChunkDigest, RouteChunk};
use crate::steering::decision::IncompleteAnswer;
use crate::steering::store::store_follower::StoreKind;

/// What to do after a datagram of another balancer.
#[derive(Debug)]
pub(in crate::steering) enum TransferStep {
    /// Wait for further datagrams.
    Wait,
    /// Send a pull to a balancer.
    Pull(SocketAddrV4, PeerMessage),
    /// The configuration is complete.
    Complete(RouteCatalogue),
}

/// Fetches one configuration at a time, the newest one that was announced.
#[derive(Debug, Default)]
pub(in crate::steering) struct RouteTransfer {
    index_parts: Option<PartAssembly<RoutesIndex>>,
    /// The index of the configuration, once it is known.
    index: Option<RoutesIndex>,
    /// Chunks of it that have arrived, without those of other configurations.
    chunks: HashMap<ChunkDigest, Arc<RouteChunk>>,
    awaited: Option<AwaitedAnswer>,
    /// The last chunk of the awaited answer: when it arrives, chunks before it that have not
    /// arrived count as lost.
    last_requested: Option<ChunkDigest>,
}

impl RouteTransfer {
    /// Reports whether an answer is awaited.
    pub(in crate::steering) fn is_waiting(&self) -> bool {
        self.awaited.is_some()
    }

    /// Returns the pull for a balancer that has a newer configuration; `None` while another answer
    /// is in progress.
    pub(in crate::steering) fn pull(
        &mut self,
        own: &RouteCatalogue,
        peer: SocketAddrV4,
        announced_version: ConfigurationVersion,
        now: Instant,
    ) -> Option<PeerMessage> {
        if self.awaited.as_ref().is_some_and(|awaited| awaited.is_pending(peer, now)) {
            return None;
        }

        let index = self.index.as_ref().filter(|index| index.version == announced_version);
        let missing = index.map(|index| self.missing(own, index));
        Some(match missing {
            Some(digests) if !digests.is_empty() => self.pull_chunks(peer, digests, now),
            _ => self.pull_index(own, peer, now),
        })
    }

    /// Gives up an answer that has timed out. Returns what arrived of it, for the log, and the pull
    /// for the rest; `None` if no answer has timed out.
    pub(in crate::steering) fn retry(
        &mut self,
        own: &RouteCatalogue,
        now: Instant,
    ) -> Option<(IncompleteAnswer, Option<(SocketAddrV4, PeerMessage)>)> {
        let awaited = self.awaited.as_ref().filter(|awaited| awaited.is_timed_out(now))?;
        let (peer, may_ask) = (awaited.peer(), awaited.can_retry());
        let version = self.index.as_ref().map_or(own.version(), |index| index.version);
        let incomplete = awaited.incomplete(StoreKind::Configuration, version, now);

        let next_message = may_ask.then(|| self.pull(own, peer, version, now)).flatten();
        if next_message.is_none() {
            self.awaited = None;
        }
        Some((incomplete, next_message.map(|message| (peer, message))))
    }

    /// Processes a part of the index of a newer configuration.
    pub(in crate::steering) fn on_index(
        &mut self,
        own: &RouteCatalogue,
        sender: SocketAddrV4,
        part: RoutesIndex,
        now: Instant,
    ) -> TransferStep {
        let (version, number) = (part.version, part.part);
        let known = self.index.as_ref().map_or(own.version(), |index| index.version);
        if version <= known.max(own.version()) {
            return TransferStep::Wait;
        }
        let parts = PartAssembly::add(&mut self.index_parts, sender, version, number, part);
        let Some(index) = parts.and_then(join_index) else { return TransferStep::Wait };

        let requested: HashSet<_> = index.digests.iter().collect();
        self.chunks.retain(|digest, _| requested.contains(digest));
        self.index = Some(index);
        self.awaited = None;
        self.continue_fetch(own, sender, now)
    }

    /// Processes a chunk.
    pub(in crate::steering) fn on_chunk(
        &mut self,
        own: &RouteCatalogue,
        sender: SocketAddrV4,
        chunk: RouteChunk,
        now: Instant,
    ) -> TransferStep {
        let digest = chunk.digest();
        let is_requested = self.index.as_ref().is_some_and(|index| index.digests.contains(&digest));
        if !is_requested || self.chunks.contains_key(&digest) {
            return TransferStep::Wait;
        }

        self.chunks.insert(digest, Arc::new(chunk));
        let Some(awaited) = &mut self.awaited else { return self.continue_fetch(own, sender, now) };
        awaited.on_part(now);
        let is_last = self.last_requested == Some(digest);
        if is_last || awaited.is_complete() {
            self.continue_fetch(own, sender, now)
        } else {
            TransferStep::Wait
        }
    }

    /// Forgets a configuration that is not newer than `version`, which is in force.
    pub(in crate::steering) fn forget_until(&mut self, version: ConfigurationVersion) {
        if self.index.as_ref().is_some_and(|index| index.version <= version) {
            *self = Self::default();
        }
    }

    /// Assembles the configuration, or asks for the next chunks.
    fn continue_fetch(
        &mut self,
        own: &RouteCatalogue,
        peer: SocketAddrV4,
        now: Instant,
    ) -> TransferStep {
        let Some(index) = &self.index else { return TransferStep::Wait };
        let digests = self.missing(own, index);
        if !digests.is_empty() {
            return TransferStep::Pull(peer, self.pull_chunks(peer, digests, now));
        }

        let find = |digest: &ChunkDigest| self.chunks.get(digest).cloned().or(own.get(digest));
        let complete = RouteCatalogue::assemble(index, find);
        complete.map_or(TransferStep::Wait, TransferStep::Complete)
    }

    /// Returns the first missing chunks, as many as may be in flight at once.
    fn missing(&self, own: &RouteCatalogue, index: &RoutesIndex) -> Vec<ChunkDigest> {
        let is_missing =
            |digest: &&ChunkDigest| !self.chunks.contains_key(*digest) && own.get(digest).is_none();

        index.digests.iter().filter(is_missing).take(ANSWER_WINDOW).copied().collect()
    }

    fn pull_chunks(
        &mut self,
        peer: SocketAddrV4,
        digests: Vec<ChunkDigest>,
        now: Instant,
    ) -> PeerMessage {
        let former = self.awaited.take();
        self.awaited = Some(AwaitedAnswer::new(peer, digests.len(), former.as_ref(), now));
        self.last_requested = digests.last().copied();

        PeerMessage::ChunksPull(ChunksPull { digests })
    }

    fn pull_index(
        &mut self,
        own: &RouteCatalogue,
        peer: SocketAddrV4,
        now: Instant,
    ) -> PeerMessage {
        let former = self.awaited.take();
        self.awaited = Some(AwaitedAnswer::new(peer, 0, former.as_ref(), now));

        PeerMessage::RoutesPull(RoutesPull { version: own.version() })
    }
}
