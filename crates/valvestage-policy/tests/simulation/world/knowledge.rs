//! How balancers learn from each other and from the store.

use valvestage_policy::steering::{EntryPolicy, KeeperAction, PeerMessage, StoreReply};

use super::{END_AT, FINAL_PHASE_AT, HOP_MS, STORE_SCAN_INTERVAL, World};
use crate::backends::{LAPSE_MS, WRITE_INTERVAL_MS};
use crate::balancers::{Balancer, HeldCopies};
use crate::events::{BalancerNumber, Event};
use crate::mutation::Mutation;
use crate::site::balancer_address;
use crate::store::{OpenCall, StoreAnswer, StoreMode};

impl World {
    pub(super) fn wake(&mut self, balancer: BalancerNumber) {
        let node = &self.balancers[balancer];
        if node.policy.is_none() || self.now < node.wakes_at {
            return;
        }
        if node.paused_until > self.now {
            self.balancers[balancer].wakes_at = node.paused_until;
            let at = self.balancers[balancer].wakes_at;
            self.queue.add(at, Event::Wake(balancer));
            return;
        }

        let now = self.instant();
        self.run_policy(balancer, |policy| policy.on_tick(now));
        self.mutate_wake(balancer);
    }

    /// Runs one call of a balancer's policy, carries out the actions that it returns, and schedules
    /// the next timer.
    pub(super) fn run_policy(
        &mut self,
        balancer: BalancerNumber,
        act: impl FnOnce(&mut EntryPolicy) -> Vec<KeeperAction>,
    ) {
        let Some(policy) = &mut self.balancers[balancer].policy else { return };
        let actions = act(policy);
        let resets = policy.take_resets();
        let decisions = policy.take_decisions();
        policy.take_answers();
        let (is_ready, next_due) = (policy.is_ready(), policy.next_due());

        if self.trace.decisions {
            for decision in decisions {
                println!("{} ms, balancer {balancer}: {decision:?}", self.now);
            }
        }
        for action in actions {
            self.perform_action(balancer, action);
        }
        for reset in resets {
            self.reset_flow(balancer, reset.flow);
        }
        let due = self.millis_of(next_due).max(self.now + 1);
        let node = &mut self.balancers[balancer];
        if is_ready {
            node.ready_at.get_or_insert(self.now);
        }
        if due < node.wakes_at || node.wakes_at <= self.now {
            node.wakes_at = due;
            self.queue.add(due, Event::Wake(balancer));
        }
        self.release_held(balancer);
    }

    /// Handles held packets as the real driver does: a packet is decided about once the balancer
    /// knows enough, and dropped when its hold time ends.
    fn release_held(&mut self, balancer: BalancerNumber) {
        let now = self.instant();
        let Balancer { policy: Some(policy), held, .. } = &mut self.balancers[balancer] else {
            return;
        };
        let decidable = held.take_decidable(|packet| policy.can_decide(packet));
        let expired = held.take_expired(now);
        let is_ready = policy.is_ready();

        for held in decidable {
            self.on_packet(balancer, held.payload.flow, held.packet);
        }
        // Every held copy counts as dropped. A balancer that is not ready yet cannot decide about
        // any packet, so that its drops do not count.
        for held in expired.into_iter().filter(|_| is_ready) {
            let HeldCopies { flow, counted } = held.payload;
            (0..counted).for_each(|_| self.record_drop(balancer, flow));
        }
    }

    fn perform_action(&mut self, balancer: BalancerNumber, action: KeeperAction) {
        match action {
            KeeperAction::Send(peer, message) => {
                let repeats = if self.mutation == Some(Mutation::RepeatMessages) { 10 } else { 1 };
                for _ in 0..repeats {
                    self.send_message(balancer, peer, message.clone());
                }
            }
            KeeperAction::Call(kind, call) => {
                let start_count = self.balancers[balancer].start_count;
                self.final_calls += usize::from(self.now >= FINAL_PHASE_AT);
                let is_slow = self.plan.has_slow_links;
                self.store.begin_call((balancer, start_count), (kind, call), is_slow, self.now);
            }
        }
    }

    fn send_message(
        &mut self,
        from: BalancerNumber,
        peer: std::net::SocketAddrV4,
        message: PeerMessage,
    ) {
        if self.trace.messages {
            println!("{} ms, balancer {from} to {peer}: {message:?}", self.now);
        }
        let node = &mut self.balancers[from];
        node.final_messages += usize::from(self.now >= FINAL_PHASE_AT);
        let to = (0..self.plan.balancers).find(|other| balancer_address(*other) == peer);
        let Some(to) = to else { return };

        let now = self.instant();
        let sent_at = match &mut self.links {
            Some(links) => links.send(from, &message, now),
            None => Some(now),
        };
        if let Some(sent_at) = sent_at {
            let at = self.millis_of(sent_at) + HOP_MS;
            self.queue.add(at, Event::Message(from, to, message));
        }
    }

    pub(super) fn deliver_message(
        &mut self,
        from: BalancerNumber,
        to: BalancerNumber,
        message: PeerMessage,
    ) {
        let is_cut = self.balancers[from].is_outbound_cut
            || self.balancers[from].is_uplink_cut
            || self.balancers[to].is_inbound_cut
            || !self.is_connected(self.plan.zone_of(from), self.plan.zone_of(to));
        if is_cut {
            self.mutate_lost_message(from, to, &message);
            return;
        }
        let paused_until = self.balancers[to].paused_until;
        if paused_until > self.now {
            self.queue.add(paused_until, Event::Message(from, to, message));
            return;
        }

        if self.misses_message(to, &message) {
            return;
        }
        let message = match self.mutation {
            Some(mutation) => mutation.on_message(message),
            None => Some(message),
        };
        let Some(message) = message else { return };
        let now = self.instant();
        self.run_policy(to, |policy| policy.on_message(balancer_address(from), message, now));
    }

    /// Handles the store's periodic scan: writes and deletes entries, and answers calls.
    pub(super) fn scan_store(&mut self) {
        if self.now < END_AT {
            self.queue.add(self.now + STORE_SCAN_INTERVAL, Event::StoreScan);
        }

        self.store.record_revision_time(self.now);
        self.update_entries();
        for call in std::mem::take(&mut self.store.calls) {
            if let Some(call) = self.answer_call(call) {
                self.store.calls.push(call);
            }
        }
    }

    /// Answers or fails a call; returns it if it is still pending.
    fn answer_call(&mut self, mut call: OpenCall) -> Option<OpenCall> {
        let node = &self.balancers[call.balancer];
        if node.policy.is_none() || node.start_count != call.start_count {
            return None;
        }
        if call.answer_at > self.now || node.paused_until > self.now {
            return Some(call);
        }

        let zone = self.plan.zone_of(call.balancer);
        let is_cut = node.is_cut_from_store || node.is_uplink_cut || self.cut_zones[zone];
        if call.is_silent || is_cut || self.store.mode == StoreMode::Silent {
            if call.times_out_at > self.now {
                return Some(call);
            }
            self.fail_call(&call);
            return None;
        }
        if self.store.mode == StoreMode::Refuses {
            self.fail_call(&call);
            return None;
        }
        let answer = self.store.answer(call.kind, &call.call, call.wait_ends_at <= self.now);
        let Some(answer) = answer else { return Some(call) };
        if self.store.loses_answers && self.draw.below(3) == 0 {
            call.is_silent = true;
            return Some(call);
        }
        self.deliver_reply(call.balancer, answer);
        None
    }

    fn fail_call(&mut self, call: &OpenCall) {
        use valvestage_policy::steering::StoreKind;

        self.deliver_reply(
            call.balancer,
            match call.kind {
                StoreKind::Configuration => StoreAnswer::Routes(StoreReply::Failed),
                StoreKind::Backends => StoreAnswer::Backends(StoreReply::Failed),
                StoreKind::Evacuations => StoreAnswer::Evacuations(StoreReply::Failed),
            },
        );
    }

    fn deliver_reply(&mut self, balancer: BalancerNumber, answer: StoreAnswer) {
        let now = self.instant();
        let misses = self.mutation == Some(Mutation::MissRoutes) && self.now > 4_000
            || self.has_joined_without_news(balancer);

        self.run_policy(balancer, |policy| match answer {
            StoreAnswer::Routes(StoreReply::Changes { position, .. }) if misses => {
                let nothing = StoreReply::Changes { objects: Vec::new(), position };
                policy.on_routes_reply(nothing, now)
            }
            StoreAnswer::Routes(reply) => policy.on_routes_reply(reply, now),
            StoreAnswer::Backends(reply) => policy.on_backends_reply(reply, now),
            StoreAnswer::Evacuations(reply) => policy.on_evacuations_reply(reply, now),
        });
    }

    /// Writes the entries of running backend servers that are due, and deletes lapsed entries.
    fn update_entries(&mut self) {
        let is_away = self.store.mode != StoreMode::Answers;
        let numbers: Vec<_> = self.backends.keys().copied().collect();

        for instance in numbers {
            let can_reach = self.can_reach_store(self.backends[&instance].zone);
            let backend = self.backends.get_mut(&instance).expect("the backend server exists");
            let is_running = !backend.has_ended && !backend.is_silent(self.now);
            if backend.last_written_at + WRITE_INTERVAL_MS <= self.now {
                if is_running && can_reach {
                    backend.last_written_at = self.now;
                    let known = self.store.entries.get(&instance);
                    let entry = backend.entry(self.base);
                    if known.is_none_or(|known| known.phase != entry.phase) {
                        backend.entry_stored_at.get_or_insert(self.now);
                        if backend.draining_since.is_some() {
                            backend.drain_stored_at.get_or_insert(self.now);
                        }
                        self.store.put_entry(entry, self.now);
                    }
                } else if is_away && !self.entries_lapse_while_away {
                    // An unavailable store keeps its entries: they do not age.
                    backend.last_written_at = self.now - WRITE_INTERVAL_MS;
                }
            }
            let backend = &self.backends[&instance];
            if backend.last_written_at + LAPSE_MS <= self.now {
                self.store.delete_entry(instance, self.now);
                self.store.delete_foreign_entry(instance, self.now);
            }
        }
    }
}
