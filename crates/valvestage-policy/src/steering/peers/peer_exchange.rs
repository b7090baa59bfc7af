//! Pulls missing knowledge from other balancers, and answers their pulls.
//!
//! The balancer that pulls sets the pace, one window of datagrams at a time, and keeps what has
//! arrived: an answer too large for a link would lose its end each time if it were sent at once.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::answer_queue::{AnswerQueue, PeerPull};
use super::backend_parts::backends_messages;
use super::backend_walk::{BackendWalk, WalkUpdate};
use super::peer_message::{
    ANSWER_WINDOW, BackendsPart, BackendsPull, ChunksPull, PeerHeartbeat, PeerMessage, RoutesIndex,
    RoutesPull, WalkScope,
};
use super::route_catalogue::RouteCatalogue;
use super::route_chunk::RouteChunk;
use super::route_transfer::{RouteTransfer, TransferStep};
use crate::steering::decision::IncompleteAnswer;
use crate::steering::knowledge::Knowledge;

/// What to do after a datagram of another balancer.
#[derive(Debug, Default)]
pub struct ExchangeStep {
    /// The balancer to pull the next window from, and the pull.
    pub next_pull: Option<(SocketAddrV4, PeerMessage)>,
    /// Whether a newer configuration is complete; [`PeerExchange::catalogue`] returns it.
    pub has_new_routes: bool,
}

/// An answer that did not arrive completely in time.
#[derive(Debug)]
pub struct OverdueAnswer {
    /// What arrived of it, for the log.
    pub incomplete: IncompleteAnswer,
    /// The balancer to pull the rest from, and the pull; `None` if it is not asked again.
    pub next_pull: Option<(SocketAddrV4, PeerMessage)>,
}

/// Pulls each kind of knowledge from one balancer at a time, and answers the pulls of others.
#[derive(Debug)]
pub struct PeerExchange {
    /// The configuration in force, in chunks. It may be outdated until it is renewed before its
    /// next use.
    catalogue: RouteCatalogue,
    routes: RouteTransfer,
    backends: BackendWalk,
    queue: AnswerQueue,
}

impl PeerExchange {
    /// Creates an exchange that knows nothing and sends answers over a link of `link_mbps` megabits
    /// per second.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        Self {
            catalogue: RouteCatalogue::default(),
            routes: RouteTransfer::default(),
            backends: BackendWalk::default(),
            queue: AnswerQueue::new(link_mbps),
        }
    }

    /// Reports whether parts of an answer about backend servers have arrived recently.
    #[must_use]
    pub fn is_receiving_answer(&self, now: Instant) -> bool {
        self.backends.is_progressing(now)
    }

    /// Reports whether the sender of a heartbeat has a newer configuration.
    #[must_use]
    pub fn knows_newer_routes(&self, knowledge: &Knowledge, heartbeat: &PeerHeartbeat) -> bool {
        heartbeat.version > knowledge.routes.version
    }

    /// Reports whether the sender of a heartbeat knows something about backend servers that is not
    /// known here.
    #[must_use]
    pub fn knows_more_backends(&self, knowledge: &Knowledge, heartbeat: &PeerHeartbeat) -> bool {
        let directory = &knowledge.directory;
        // While entries are missing that may return, changes are known beyond the position up to
        // which everything is known.
        let has_changes = heartbeat.changed_at > directory.complete_until()
            && (heartbeat.complete_until > directory.complete_until()
                || heartbeat.changed_at > directory.changed_at());

        has_changes || !self.backends.has_history() && !heartbeat.complete_until.is_start()
    }

    /// Returns the pulls to send to the sender of a heartbeat. A pull is left out while an answer
    /// of its kind is awaited.
    pub fn pulls_for(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        heartbeat: &PeerHeartbeat,
        now: Instant,
    ) -> Vec<PeerMessage> {
        let mut pulls = Vec::new();
        if self.knows_newer_routes(knowledge, heartbeat) {
            self.renew_catalogue(knowledge);
            pulls.extend(self.routes.pull(&self.catalogue, peer, heartbeat.version, now));
        }
        if self.knows_more_backends(knowledge, heartbeat) {
            pulls.extend(self.backends.pull(knowledge, peer, now));
        }
        pulls
    }

    /// Returns the pull to send to the sender of a heartbeat that knows the same changes as this
    /// balancer but has a different set of live backend servers. `None` if that is not the case,
    /// while an answer is awaited, or soon after the last comparison.
    ///
    /// When balancers conclude by themselves that a backend server is gone, its end gets the
    /// revision that was read last, so two balancers may conclude different ends at one revision.
    /// Without the comparison, a balancer that has read up to that revision would pull neither of
    /// them, and would count the gone backend servers as live permanently.
    pub fn compare_backends(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        heartbeat: &PeerHeartbeat,
        now: Instant,
    ) -> Option<PeerMessage> {
        let directory = &knowledge.directory;
        // Missing entries may return until their time is over.
        let awaits_missing = directory.has_missing() && !directory.has_expired_missing(now);
        let knows_the_same = directory.is_complete()
            && !awaits_missing
            && heartbeat.complete_until == directory.complete_until();
        if !knows_the_same || heartbeat.live_digest == directory.live_digest() {
            return None;
        }

        self.backends.compare(peer, now)
    }

    /// Returns the answers that did not arrive completely in time, with the pulls for the rest.
    pub fn retry_overdue(&mut self, knowledge: &Knowledge, now: Instant) -> Vec<OverdueAnswer> {
        if self.routes.is_waiting() {
            self.renew_catalogue(knowledge);
        }
        let routes = self.routes.retry(&self.catalogue, now);
        let backends = self.backends.retry(knowledge, now);

        let overdue = routes.into_iter().chain(backends);
        overdue.map(|(incomplete, pull)| OverdueAnswer { incomplete, next_pull: pull }).collect()
    }

    /// Returns the latest complete configuration.
    #[must_use]
    pub fn catalogue(&self) -> &RouteCatalogue {
        &self.catalogue
    }

    /// Processes a part of the index of a newer configuration.
    pub fn on_index(
        &mut self,
        knowledge: &Knowledge,
        sender: SocketAddrV4,
        index: RoutesIndex,
        now: Instant,
    ) -> ExchangeStep {
        self.renew_catalogue(knowledge);
        let step = self.routes.on_index(&self.catalogue, sender, index, now);

        self.apply_step(step)
    }

    /// Processes a chunk of a configuration.
    pub fn on_chunk(
        &mut self,
        knowledge: &Knowledge,
        sender: SocketAddrV4,
        chunk: RouteChunk,
        now: Instant,
    ) -> ExchangeStep {
        self.renew_catalogue(knowledge);
        let step = self.routes.on_chunk(&self.catalogue, sender, chunk, now);

        self.apply_step(step)
    }

    fn apply_step(&mut self, step: TransferStep) -> ExchangeStep {
        match step {
            TransferStep::Wait => ExchangeStep::default(),
            TransferStep::Pull(peer, message) => {
                ExchangeStep { next_pull: Some((peer, message)), has_new_routes: false }
            }
            TransferStep::Complete(catalogue) => {
                self.routes.forget_until(catalogue.version());
                self.catalogue = catalogue;
                ExchangeStep { next_pull: None, has_new_routes: true }
            }
        }
    }

    /// Processes some backend servers that a peer sent.
    pub(in crate::steering) fn on_backends_part(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        part: BackendsPart,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> WalkUpdate {
        self.backends.on_part(knowledge, sender, part, missing_until, now)
    }

    /// Queues the pull of another balancer.
    pub(in crate::steering) fn on_pull(
        &mut self,
        peer: SocketAddrV4,
        pull: PeerPull,
        now: Instant,
    ) {
        self.queue.push(peer, pull, now);
    }

    /// Returns the next balancer to answer, and the answer; `None` while the link is busy or no
    /// balancer waits.
    pub fn next_answer(
        &mut self,
        knowledge: &Knowledge,
        now: Instant,
    ) -> Option<(SocketAddrV4, Vec<PeerMessage>)> {
        let (peer, pull) = self.queue.pop(now)?;

        let messages = match pull {
            PeerPull::Routes(pull) => self.answer_routes(knowledge, pull),
            PeerPull::Chunks(pull) => self.answer_chunks(knowledge, &pull),
            PeerPull::Backends(pull) => answer_backends(knowledge, pull, now),
        };
        self.queue.record_sent(messages.iter().map(PeerMessage::bytes).sum(), now);
        Some((peer, messages))
    }

    /// Returns when the next answer may be sent; `None` if no balancer waits.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.queue.next_due()
    }

    /// Returns the index of the configuration if it is newer than that of the sender of the pull.
    fn answer_routes(&mut self, knowledge: &Knowledge, pull: RoutesPull) -> Vec<PeerMessage> {
        if knowledge.routes.version <= pull.version {
            return Vec::new();
        }

        self.renew_catalogue(knowledge);
        self.catalogue.index_messages()
    }

    /// Returns the chunks that were asked for, one window at most.
    fn answer_chunks(&mut self, knowledge: &Knowledge, pull: &ChunksPull) -> Vec<PeerMessage> {
        self.renew_catalogue(knowledge);

        let count = pull.digests.len().min(ANSWER_WINDOW);
        self.catalogue.chunk_messages(&pull.digests[..count])
    }

    /// Splits the configuration in force into chunks if the store has brought another one.
    fn renew_catalogue(&mut self, knowledge: &Knowledge) {
        let routes = &knowledge.routes;

        if self.catalogue.version() != routes.version {
            self.catalogue = RouteCatalogue::new(routes);
            self.routes.forget_until(routes.version);
        }
    }
}

/// Returns some of the backend servers if everything is known here and there is something to
/// report.
fn answer_backends(knowledge: &Knowledge, pull: BackendsPull, now: Instant) -> Vec<PeerMessage> {
    let directory = &knowledge.directory;
    let is_requested =
        pull.scope == WalkScope::Everything || directory.changed_at() > pull.after.whole_until();
    if !directory.is_complete() || !is_requested {
        return Vec::new();
    }

    backends_messages(directory, pull, now)
}
