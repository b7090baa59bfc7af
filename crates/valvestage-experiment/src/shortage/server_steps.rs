//! The backend servers' side of a run.

use std::time::Duration;

use valvestage_core::ids::ShortToken;

use super::backend_server::{Intake, QUEUE_LENGTH, SLOTS};
use super::caller_flow::{FlowId, RequestId};
use super::shortage_event::{Event, Notice, SentPacket};
use super::shortage_run::{CALLER_DELAY, ShortageRun};
use super::traffic_class::CLASSES;

impl ShortageRun {
    /// Handles a packet at a backend server.
    pub(super) fn receive(&mut self, server: usize, token: ShortToken, sent: SentPacket) {
        let SentPacket { flow, request, packet } = sent;
        if !self.servers[server].is_up {
            return;
        }
        if packet.opening {
            if self.servers[server].open(flow) {
                self.notify(flow, Notice::Opened { server, token }, Duration::ZERO);
            }
            return;
        }
        if packet.closing || packet.reset {
            self.servers[server].close(flow);
            return;
        }
        if !self.servers[server].holds(flow) {
            self.notify(flow, Notice::Reset, Duration::ZERO);
            return;
        }
        if let Some(request) = request.filter(|_| packet.data_length > 0) {
            self.notify(flow, Notice::Received(request), Duration::ZERO);
            self.take_in(server, flow, request);
        }
    }

    fn take_in(&mut self, server: usize, flow: FlowId, request: RequestId) {
        let intake = self.servers[server].receive(flow, request);
        if intake != Intake::Repeated {
            self.tally.count_arrival(intake == Intake::Rejected);
        }

        match intake {
            Intake::Begun => self.run_request(server, flow, request),
            Intake::Rejected => {
                let notice = Notice::Answered { request, is_rejection: true };
                self.notify(flow, notice, self.queue_wait(server, request));
            }
            Intake::Queued | Intake::Repeated => {}
        }
    }

    /// Returns the time that a full queue takes, after which a rejection is sent.
    fn queue_wait(&self, server: usize, request: RequestId) -> Duration {
        let work = CLASSES[self.requests[request].class].work;

        work.mul_f64(self.servers[server].slow_factor * QUEUE_LENGTH as f64 / SLOTS as f64)
    }

    fn run_request(&mut self, server: usize, flow: FlowId, request: RequestId) {
        let work = self.requests[request].work.mul_f64(self.servers[server].slow_factor);
        let starts = self.servers[server].starts;

        self.queue.add(self.now() + work, Event::Finish { server, starts, flow, request });
    }

    /// Answers a request, and begins the next one, unless the process has ended meanwhile.
    pub(super) fn finish_request(
        &mut self,
        server: usize,
        starts: u32,
        flow: FlowId,
        request: RequestId,
    ) {
        if self.servers[server].starts != starts {
            return;
        }

        self.notify(flow, Notice::Answered { request, is_rejection: false }, Duration::ZERO);
        if let Some((flow, request)) = self.servers[server].end_request() {
            self.run_request(server, flow, request);
        }
    }

    fn notify(&mut self, flow: FlowId, notice: Notice, delay: Duration) {
        self.queue.add(self.now() + delay + CALLER_DELAY, Event::Notify(flow, notice));
    }
}
