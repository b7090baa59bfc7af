//! Asking other balancers for what they know more, and telling them what they know less.
//!
//! The one that asks sets the pace, a window of datagrams at a time, and keeps what has come: an answer that is too
//! much for a link at once would lose the same end each time it is sent.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::answer_queue::{AnswerQueue, PeerQuestion};
use super::backend_parts::backends_messages;
use super::backend_walk::{BackendWalk, WalkNews};
use super::peer_message::{
    ANSWER_WINDOW, BackendsPart, BackendsPull, ChunksPull, PeerHeartbeat, PeerMessage, RoutesIndex,
    RoutesPull, WalkScope,
};
use super::route_catalogue::RouteCatalogue;
use super::route_chunk::RouteChunk;
use super::route_transfer::{RouteTransfer, TransferStep};
use crate::steering::decision::IncompleteAnswer;
use crate::steering::knowledge::Knowledge;

/// `ExchangeStep` is what a datagram of another balancer leads to.
#[derive(Debug, Default)]
pub struct ExchangeStep {
    /// The balancer to ask for what follows.
    pub ask: Option<(SocketAddrV4, PeerMessage)>,
    /// Whether a newer configuration is whole; [`PeerExchange::catalogue`] has it.
    pub has_routes: bool,
}

/// `OverdueAnswer` is an answer that did not come whole in time.
#[derive(Debug)]
pub struct OverdueAnswer {
    /// What came of it.
    pub incomplete: IncompleteAnswer,
    /// Whom to ask for the rest.
    pub ask: Option<(SocketAddrV4, PeerMessage)>,
}

/// `PeerExchange` asks one balancer at a time for each kind of knowledge, and answers others.
#[derive(Debug)]
pub struct PeerExchange {
    /// The configuration in force, cut for others; at times one behind it.
    catalogue: RouteCatalogue,
    routes: RouteTransfer,
    backends: BackendWalk,
    queue: AnswerQueue,
}

impl PeerExchange {
    /// `new` knows nothing, and answers over a link of so many megabits a second.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        Self {
            catalogue: RouteCatalogue::default(),
            routes: RouteTransfer::default(),
            backends: BackendWalk::default(),
            queue: AnswerQueue::new(link_mbps),
        }
    }

    /// Returns whether parts of an answer about backend servers came a moment ago.
    #[must_use]
    pub fn is_being_told(&self, now: Instant) -> bool {
        self.backends.is_progressing(now)
    }

    /// `knows_newer_routes` tells whether the sender of a heartbeat has a newer configuration.
    #[must_use]
    pub fn knows_newer_routes(&self, knowledge: &Knowledge, heartbeat: &PeerHeartbeat) -> bool {
        heartbeat.version > knowledge.routes.version
    }

    /// `knows_more_backends` tells whether it knows something of backend servers that is not known here.
    #[must_use]
    pub fn knows_more_backends(&self, knowledge: &Knowledge, heartbeat: &PeerHeartbeat) -> bool {
        let directory = &knowledge.directory;
        // While entries are missing that may return, changes are known beyond what is complete.
        let has_changes = heartbeat.changed_at > directory.complete_until()
            && (heartbeat.complete_until > directory.complete_until()
                || heartbeat.changed_at > directory.changed_at());

        has_changes || !self.backends.has_history() && !heartbeat.complete_until.is_start()
    }

    /// `pulls` gives the questions for the sender of a heartbeat; none while their answers are awaited.
    pub fn pulls(
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

    /// `compare` gives the question for the sender of a heartbeat that knows all changes which are known here, and yet believes in
    /// other backend servers; none if that is not so, or was asked a moment ago.
    ///
    /// Ends that balancers conclude by themselves have the revision that was read last, and two of them may conclude different
    /// ends at one revision. Whoever had read up to it asked neither, and believed for good in what was gone.
    pub fn compare(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        heartbeat: &PeerHeartbeat,
        now: Instant,
    ) -> Option<PeerMessage> {
        let directory = &knowledge.directory;
        // Those that are missing may return, until their time is over.
        let awaits_missing = directory.has_missing() && !directory.has_overdue(now);
        let knows_the_same = directory.is_complete()
            && !awaits_missing
            && heartbeat.complete_until == directory.complete_until();
        if !knows_the_same || heartbeat.living == directory.living_digest() {
            return None;
        }

        self.backends.compare(peer, now)
    }

    /// `overdue` gives the answers that did not come whole in time.
    pub fn overdue(&mut self, knowledge: &Knowledge, now: Instant) -> Vec<OverdueAnswer> {
        if self.routes.is_waiting() {
            self.renew_catalogue(knowledge);
        }
        let routes = self.routes.retry(&self.catalogue, now);
        let backends = self.backends.retry(knowledge, now);

        let overdue = routes.into_iter().chain(backends);
        overdue.map(|(incomplete, ask)| OverdueAnswer { incomplete, ask }).collect()
    }

    /// `catalogue` gives the configuration that came whole last.
    #[must_use]
    pub fn catalogue(&self) -> &RouteCatalogue {
        &self.catalogue
    }

    /// `on_index` takes in what a newer configuration consists of.
    pub fn on_index(
        &mut self,
        knowledge: &Knowledge,
        sender: SocketAddrV4,
        index: RoutesIndex,
        now: Instant,
    ) -> ExchangeStep {
        self.renew_catalogue(knowledge);
        let step = self.routes.on_index(&self.catalogue, sender, index, now);

        self.take_step(step)
    }

    /// `on_chunk` takes some of a configuration in.
    pub fn on_chunk(
        &mut self,
        knowledge: &Knowledge,
        sender: SocketAddrV4,
        chunk: RouteChunk,
        now: Instant,
    ) -> ExchangeStep {
        self.renew_catalogue(knowledge);
        let step = self.routes.on_chunk(&self.catalogue, sender, chunk, now);

        self.take_step(step)
    }

    fn take_step(&mut self, step: TransferStep) -> ExchangeStep {
        match step {
            TransferStep::Wait => ExchangeStep::default(),
            TransferStep::Ask(peer, message) => {
                ExchangeStep { ask: Some((peer, message)), has_routes: false }
            }
            TransferStep::Whole(catalogue) => {
                self.routes.end(catalogue.version());
                self.catalogue = catalogue;
                ExchangeStep { ask: None, has_routes: true }
            }
        }
    }

    /// `on_backends_part` takes some backend servers in.
    pub(in crate::steering) fn on_backends_part(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        part: BackendsPart,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> WalkNews {
        self.backends.on_part(knowledge, sender, part, missing_until, now)
    }

    /// `on_question` takes in what another balancer asks for.
    pub(in crate::steering) fn on_question(
        &mut self,
        peer: SocketAddrV4,
        question: PeerQuestion,
        now: Instant,
    ) {
        self.queue.push(peer, question, now);
    }

    /// `next_answer` gives the next balancer to answer, and the answer; none while the link is busy.
    pub fn next_answer(
        &mut self,
        knowledge: &Knowledge,
        now: Instant,
    ) -> Option<(SocketAddrV4, Vec<PeerMessage>)> {
        let (peer, question) = self.queue.pop(now)?;

        let messages = match question {
            PeerQuestion::Routes(pull) => self.answer_routes(knowledge, pull),
            PeerQuestion::Chunks(pull) => self.answer_chunks(knowledge, &pull),
            PeerQuestion::Backends(pull) => answer_backends(knowledge, pull, now),
        };
        self.queue.spend(messages.iter().map(PeerMessage::bytes).sum(), now);
        Some((peer, messages))
    }

    /// `next_due` gives when there is something to answer; none if nobody waits.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.queue.next_due()
    }

    /// What the configuration consists of, where that is news.
    fn answer_routes(&mut self, knowledge: &Knowledge, pull: RoutesPull) -> Vec<PeerMessage> {
        if knowledge.routes.version <= pull.version {
            return Vec::new();
        }

        self.renew_catalogue(knowledge);
        self.catalogue.index_messages()
    }

    /// Some of the configuration.
    fn answer_chunks(&mut self, knowledge: &Knowledge, pull: &ChunksPull) -> Vec<PeerMessage> {
        self.renew_catalogue(knowledge);

        let count = pull.digests.len().min(ANSWER_WINDOW);
        self.catalogue.chunk_messages(&pull.digests[..count])
    }

    /// Cuts the configuration in force, where another one has come from the store.
    fn renew_catalogue(&mut self, knowledge: &Knowledge) {
        let routes = &knowledge.routes;

        if self.catalogue.version() != routes.version {
            self.catalogue = RouteCatalogue::new(routes);
            self.routes.end(routes.version);
        }
    }
}

/// Some of the backend servers, where there is something to tell.
fn answer_backends(knowledge: &Knowledge, pull: BackendsPull, now: Instant) -> Vec<PeerMessage> {
    let directory = &knowledge.directory;
    let is_asked = pull.scope == WalkScope::Everything || directory.changed_at() > pull.after;
    if !directory.is_complete() || !is_asked {
        return Vec::new();
    }

    backends_messages(directory, pull, now)
}
