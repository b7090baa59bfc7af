//! Pulls from other balancers, and answers to theirs, with the log events of both.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_core::StorePosition;

use super::keeper_action::KeeperAction;
use super::keeper_updates::KeeperUpdates;
use crate::steering::decision::{Decision, UpdateSource};
use crate::steering::knowledge::Knowledge;
use crate::steering::peers::answer_queue::PeerPull;
use crate::steering::peers::peer_exchange::{ExchangeStep, PeerExchange};
use crate::steering::peers::peer_message::{
    BackendsPart, BackendsPull, PeerHeartbeat, PeerMessage, RoutesPull, WalkScope,
};

/// Pulls from other balancers, answers their pulls, and records what was learned.
#[derive(Debug)]
pub(in crate::steering) struct KeeperExchange {
    exchange: PeerExchange,
    /// Whether other balancers have reported changes in a walk that has not ended yet.
    has_unannounced_changes: bool,
    /// Whether another balancer has reported the end of a backend server that should have been known
    /// here since the last call of [`Self::take_has_unexpected_end`].
    has_unexpected_end: bool,
}

impl KeeperExchange {
    /// Creates an exchange that answers over a link of `link_mbps` megabits per second.
    pub(in crate::steering) fn new(link_mbps: f64) -> Self {
        Self {
            exchange: PeerExchange::new(link_mbps),
            has_unannounced_changes: false,
            has_unexpected_end: false,
        }
    }

    /// Reports whether another balancer has reported the end of a backend server that should have
    /// been known here since the last call.
    pub(in crate::steering) fn take_has_unexpected_end(&mut self) -> bool {
        std::mem::take(&mut self.has_unexpected_end)
    }

    /// Returns when the next answer is due. `None` if no balancer waits for one.
    pub(in crate::steering) fn next_due(&self) -> Option<Instant> {
        self.exchange.next_due()
    }

    /// Reports whether parts of an answer about backend servers arrived a moment ago.
    pub(in crate::steering) fn is_receiving_backends(&self, now: Instant) -> bool {
        self.exchange.is_receiving_answer(now)
    }

    /// Repeats pulls that were not answered, and answers the balancers whose turn it is.
    pub(in crate::steering) fn on_tick(
        &mut self,
        knowledge: &Knowledge,
        updates: &mut KeeperUpdates,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let mut actions = Vec::new();

        for overdue in self.exchange.retry_overdue(knowledge, now) {
            updates.record(Decision::AnswerIncomplete(overdue.incomplete));
            actions.extend(overdue.next_pull.map(send_action));
        }
        actions.extend(self.answers(knowledge, updates, now));
        actions
    }

    /// Reports whether the sender of a heartbeat knows something that is not known here.
    pub(in crate::steering) fn knows_more(
        &self,
        knowledge: &Knowledge,
        heartbeat: &PeerHeartbeat,
    ) -> bool {
        self.exchange.knows_newer_routes(knowledge, heartbeat)
            || self.exchange.knows_more_backends(knowledge, heartbeat)
    }

    /// Pulls what the sender of a heartbeat knows and this balancer does not, unless an answer is
    /// already awaited.
    pub(in crate::steering) fn pull_updates(
        &mut self,
        knowledge: &Knowledge,
        updates: &mut KeeperUpdates,
        (sender, heartbeat): (SocketAddrV4, &PeerHeartbeat),
        now: Instant,
    ) -> Vec<KeeperAction> {
        let pulls = self.exchange.pulls_for(knowledge, sender, heartbeat, now);

        for pull in &pulls {
            record_pull(knowledge, updates, sender, pull);
        }
        pulls.into_iter().map(|pull| send_action((sender, pull))).collect()
    }

    /// Pulls everything from the sender of a heartbeat if it considers other backend servers live
    /// although both balancers know all changes.
    pub(in crate::steering) fn compare(
        &mut self,
        knowledge: &Knowledge,
        updates: &mut KeeperUpdates,
        (sender, heartbeat): (SocketAddrV4, &PeerHeartbeat),
        now: Instant,
    ) -> Option<KeeperAction> {
        let pull = self.exchange.compare_backends(knowledge, sender, heartbeat, now)?;

        record_pull(knowledge, updates, sender, &pull);
        Some(send_action((sender, pull)))
    }

    /// Handles a pull or an answer. Entries that the answer reports as gone may return until
    /// `missing_until`, if that is given.
    pub(in crate::steering) fn on_message(
        &mut self,
        knowledge: &mut Knowledge,
        updates: &mut KeeperUpdates,
        (sender, message): (SocketAddrV4, PeerMessage),
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let pull = match message {
            PeerMessage::Heartbeat(_)
            | PeerMessage::SuspicionQuery(_)
            | PeerMessage::Refutation(_) => return Vec::new(),
            PeerMessage::RoutesIndex(index) => {
                let step = self.exchange.on_index(knowledge, sender, index, now);
                return self.apply_step(knowledge, updates, sender, step);
            }
            PeerMessage::RoutesChunk(chunk) => {
                let step = self.exchange.on_chunk(knowledge, sender, chunk, now);
                return self.apply_step(knowledge, updates, sender, step);
            }
            PeerMessage::Backends(part) => {
                return self.on_backends_part(
                    knowledge,
                    updates,
                    (sender, part),
                    missing_until,
                    now,
                );
            }
            PeerMessage::RoutesPull(pull) => PeerPull::Routes(pull),
            PeerMessage::ChunksPull(pull) => PeerPull::Chunks(pull),
            PeerMessage::BackendsPull(pull) => PeerPull::Backends(pull),
        };

        self.exchange.on_pull(sender, pull, now);
        self.answers(knowledge, updates, now)
    }

    /// Answers the balancers whose turn it is.
    fn answers(
        &mut self,
        knowledge: &Knowledge,
        updates: &mut KeeperUpdates,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let mut actions = Vec::new();

        while let Some((peer, answers)) = self.exchange.next_answer(knowledge, now) {
            if answers.len() > 1 {
                let (version, datagrams) = (knowledge.routes.version, answers.len());
                updates.record(Decision::Answered { peer, version, datagrams });
            }
            actions.extend(answers.into_iter().map(|answer| send_action((peer, answer))));
        }
        actions
    }

    /// Applies the result of processing a part of a configuration.
    fn apply_step(
        &mut self,
        knowledge: &mut Knowledge,
        updates: &mut KeeperUpdates,
        sender: SocketAddrV4,
        step: ExchangeStep,
    ) -> Vec<KeeperAction> {
        if step.has_new_routes {
            knowledge.note_caught_up();
            let routes = self.exchange.catalogue().map();
            updates.apply_routes(knowledge, routes, UpdateSource::Peer(sender));
        }

        step.next_pull.into_iter().map(send_action).collect()
    }

    fn on_backends_part(
        &mut self,
        knowledge: &mut Knowledge,
        updates: &mut KeeperUpdates,
        (sender, part): (SocketAddrV4, BackendsPart),
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let era = knowledge.directory.changed_at().era;
        let step = self.exchange.on_backends_part(knowledge, sender, part, missing_until, now);
        let is_new_era = knowledge.directory.changed_at().era > era;

        // Other balancers cannot use what came before the end of a walk. If each part is announced,
        // 60 balancers that start in front of 1,500 backend servers send each other 309 messages
        // each; with announcements only at the end of a walk, 107.
        self.has_unannounced_changes |= is_new_era || !step.changed.is_empty();
        if step.is_conclusive {
            knowledge.note_caught_up();
        }
        if step.is_walk_complete {
            updates.notify_if(std::mem::take(&mut self.has_unannounced_changes));
        }
        self.has_unexpected_end |= step.has_unexpected_end;
        for removals in step.removals {
            updates.record(Decision::RemovalsConcluded {
                source: UpdateSource::Peer(sender),
                removals,
            });
        }
        for instance in step.changed {
            updates.record_backend(knowledge, instance, UpdateSource::Peer(sender));
        }
        step.next_pull.into_iter().map(send_action).collect()
    }
}

fn send_action((peer, message): (SocketAddrV4, PeerMessage)) -> KeeperAction {
    KeeperAction::Send(peer, message)
}

/// Records a pull of a configuration or of everything. Changes of backend servers come several
/// times a second, so pulls of them are not logged.
fn record_pull(
    knowledge: &Knowledge,
    updates: &mut KeeperUpdates,
    peer: SocketAddrV4,
    pull: &PeerMessage,
) {
    let version = knowledge.routes.version;
    let known_until = knowledge.directory.complete_until();

    match pull {
        PeerMessage::RoutesPull(RoutesPull { version }) => {
            updates.record(Decision::Asked { peer, version: *version, known_until });
        }
        PeerMessage::BackendsPull(BackendsPull { scope: WalkScope::Everything, .. }) => {
            updates.record(Decision::Asked { peer, version, known_until: StorePosition::START });
        }
        _ => {}
    }
}
