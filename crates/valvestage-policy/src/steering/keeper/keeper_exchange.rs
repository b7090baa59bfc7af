//! What is asked of other balancers and told to them, with what that is worth a line in the log.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_core::StorePosition;

use super::keeper_action::KeeperAction;
use super::keeper_news::KeeperNews;
use crate::steering::decision::{Decision, NewsSource};
use crate::steering::knowledge::Knowledge;
use crate::steering::peers::answer_queue::PeerQuestion;
use crate::steering::peers::peer_exchange::{ExchangeStep, PeerExchange};
use crate::steering::peers::peer_message::{
    BackendsPart, BackendsPull, PeerHeartbeat, PeerMessage, RoutesPull, WalkScope,
};

/// `KeeperExchange` asks other balancers, answers them, and notes what was learned.
#[derive(Debug)]
pub(in crate::steering) struct KeeperExchange {
    exchange: PeerExchange,
    /// Whether other balancers have told of changes in a walk that has not ended yet.
    has_untold: bool,
}

impl KeeperExchange {
    /// `new` answers over a link of so many megabits a second.
    pub(in crate::steering) fn new(link_mbps: f64) -> Self {
        Self { exchange: PeerExchange::new(link_mbps), has_untold: false }
    }

    /// `next_due` gives when there is something to answer; none if nobody waits.
    pub(in crate::steering) fn next_due(&self) -> Option<Instant> {
        self.exchange.next_due()
    }

    /// Returns whether another balancer has told some of what it knows a moment ago.
    pub(in crate::steering) fn is_being_told(&self, now: Instant) -> bool {
        self.exchange.is_being_told(now)
    }

    /// `on_tick` asks again for what did not come, and answers those whose turn it is.
    pub(in crate::steering) fn on_tick(
        &mut self,
        knowledge: &Knowledge,
        news: &mut KeeperNews,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let mut actions = Vec::new();

        for overdue in self.exchange.overdue(knowledge, now) {
            news.note(Decision::AnswerIncomplete(overdue.incomplete));
            actions.extend(overdue.ask.map(tell));
        }
        actions.extend(self.answers(knowledge, news, now));
        actions
    }

    /// `knows_more` tells whether the sender of a heartbeat knows something that is not known here.
    pub(in crate::steering) fn knows_more(
        &self,
        knowledge: &Knowledge,
        heartbeat: &PeerHeartbeat,
    ) -> bool {
        self.exchange.knows_newer_routes(knowledge, heartbeat)
            || self.exchange.knows_more_backends(knowledge, heartbeat)
    }

    /// `pulls` asks the sender of a heartbeat, where nothing is awaited.
    pub(in crate::steering) fn pulls(
        &mut self,
        knowledge: &Knowledge,
        news: &mut KeeperNews,
        (sender, heartbeat): (SocketAddrV4, &PeerHeartbeat),
        now: Instant,
    ) -> Vec<KeeperAction> {
        let pulls = self.exchange.pulls(knowledge, sender, heartbeat, now);

        for pull in &pulls {
            note_pull(knowledge, news, sender, pull);
        }
        pulls.into_iter().map(|pull| tell((sender, pull))).collect()
    }

    /// `compare` asks the sender of a heartbeat for everything, if it believes in other backend servers though both know all changes.
    pub(in crate::steering) fn compare(
        &mut self,
        knowledge: &Knowledge,
        (sender, heartbeat): (SocketAddrV4, &PeerHeartbeat),
        now: Instant,
    ) -> Option<PeerMessage> {
        self.exchange.compare(knowledge, sender, heartbeat, now)
    }

    /// `on_message` takes a question or an answer in. Entries that go with it may return until the time given.
    pub(in crate::steering) fn on_message(
        &mut self,
        knowledge: &mut Knowledge,
        news: &mut KeeperNews,
        (sender, message): (SocketAddrV4, PeerMessage),
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let question = match message {
            PeerMessage::Heartbeat(_) => return Vec::new(),
            PeerMessage::RoutesIndex(index) => {
                let step = self.exchange.on_index(knowledge, sender, index, now);
                return self.take_step(knowledge, news, sender, step);
            }
            PeerMessage::RoutesChunk(chunk) => {
                let step = self.exchange.on_chunk(knowledge, sender, chunk, now);
                return self.take_step(knowledge, news, sender, step);
            }
            PeerMessage::Backends(part) => {
                return self.on_backends_part(knowledge, news, (sender, part), missing_until, now);
            }
            PeerMessage::RoutesPull(pull) => PeerQuestion::Routes(pull),
            PeerMessage::ChunksPull(pull) => PeerQuestion::Chunks(pull),
            PeerMessage::BackendsPull(pull) => PeerQuestion::Backends(pull),
        };

        self.exchange.on_question(sender, question, now);
        self.answers(knowledge, news, now)
    }

    /// Answers those whose turn it is.
    fn answers(
        &mut self,
        knowledge: &Knowledge,
        news: &mut KeeperNews,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let mut actions = Vec::new();

        while let Some((peer, answers)) = self.exchange.next_answer(knowledge, now) {
            if answers.len() > 1 {
                let (version, datagrams) = (knowledge.routes.version, answers.len());
                news.note(Decision::Answered { peer, version, datagrams });
            }
            actions.extend(answers.into_iter().map(|answer| tell((peer, answer))));
        }
        actions
    }

    /// Takes in what a part of a configuration leads to.
    fn take_step(
        &mut self,
        knowledge: &mut Knowledge,
        news: &mut KeeperNews,
        sender: SocketAddrV4,
        step: ExchangeStep,
    ) -> Vec<KeeperAction> {
        if step.has_routes {
            knowledge.note_caught_up();
            let routes = self.exchange.catalogue().map();
            news.take_routes(knowledge, routes, NewsSource::Peer(sender));
        }

        step.ask.into_iter().map(tell).collect()
    }

    fn on_backends_part(
        &mut self,
        knowledge: &mut Knowledge,
        news: &mut KeeperNews,
        (sender, part): (SocketAddrV4, BackendsPart),
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let era = knowledge.directory.changed_at().era;
        let step = self.exchange.on_backends_part(knowledge, sender, part, missing_until, now);
        let is_new_era = knowledge.directory.changed_at().era > era;

        // What came before the end is of no use to others yet: 60 that started before 1,500 backend servers sent each
        // other 309 messages each where each part was told of, and 107 with this.
        self.has_untold |= is_new_era || !step.changed.is_empty();
        if step.is_end {
            knowledge.note_caught_up();
            news.tell_if(std::mem::take(&mut self.has_untold));
        }
        for instance in step.changed {
            news.note_backend(knowledge, instance, NewsSource::Peer(sender));
        }
        step.ask.into_iter().map(tell).collect()
    }
}

fn tell((peer, message): (SocketAddrV4, PeerMessage)) -> KeeperAction {
    KeeperAction::Tell(peer, message)
}

/// Changes of backend servers come several times a second; their pulls are not worth a line.
fn note_pull(knowledge: &Knowledge, news: &mut KeeperNews, peer: SocketAddrV4, pull: &PeerMessage) {
    let version = knowledge.routes.version;
    let known_until = knowledge.directory.complete_until();

    match pull {
        PeerMessage::RoutesPull(RoutesPull { version }) => {
            news.note(Decision::Asked { peer, version: *version, known_until });
        }
        PeerMessage::BackendsPull(BackendsPull { scope: WalkScope::Everything, .. }) => {
            news.note(Decision::Asked { peer, version, known_until: StorePosition::START });
        }
        _ => {}
    }
}
