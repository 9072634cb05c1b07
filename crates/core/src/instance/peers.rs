//! Exchange of messages with the other members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Instance, audit_health};
use crate::InstanceId;
use crate::event::{ConfigurationCandidate, Effect, Source};
use crate::homes::{Claim, InquiryReply, Replies};
use crate::message::{Heartbeat, Message};
use crate::quarantine::UpdateScope;

/// Minimum time between two fetches of a newer configuration or list from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

impl Instance {
    pub(super) fn message_received(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.heartbeat_received(now, from, &heartbeat, out);
                let reply = self.members.heartbeat(now, self.versions.number());
                self.deliver(now, from, Message::Echo { stamp: heartbeat.stamp, beat: reply }, out);
            }
            Message::Echo { stamp, beat } => {
                self.heartbeat_received(now, from, &beat, out);
                self.members.receive_echo(from, stamp);
            }
            Message::Fetch { version, revision, name, address } => {
                self.fetch_received(from, (version, revision), &name, address, out);
            }
            Message::Configuration { text } => {
                self.configuration_read(now, ConfigurationCandidate::parse(&text), Source::Peer(from), out);
            }
            Message::List(list) => self.list_read(now, list, Source::Peer(from), now, out),
            Message::Claim { key, request, revision, born } => {
                let claim = Claim { from, request, revision, born };
                let replies = self.homes.claim(now, &self.members, key, claim);
                self.send_replies(now, replies, out);
            }
            Message::Claimed { key, request, answer } => {
                self.claim_answered(now, from, key, request, answer, out);
            }
            Message::Settle { key, request, outcome } => self.homes.settle(now, key, request, outcome),
            Message::Inquire { key, revision, born } => {
                let reply = self.homes.answer_inquiry(now, &self.members, key, (revision, born));
                self.deliver(now, from, reply, out);
            }
            Message::Inquired { key, revision, record, own_grants_known, lists_known, homes } => {
                let reply = InquiryReply { revision, record, own_grants_known, lists_known, homes };
                let replies = self.homes.inquiry_answered(now, &self.members, from, key, reply);
                self.send_replies(now, replies, out);
            }
            Message::Crashes { crashes, served } => self.merge_crashes(now, crashes, served, out),
            Message::PromptParts { reports } => self.merge_parts(now, &reports, out),
            Message::Reserve(request) => self.reservation_requested(now, from, &request, out),
            Message::Queued { request } => self.reservation_queued(from, request),
            Message::Reserved { pool, request, prefill, decode } => {
                self.reservation_granted(now, from, (pool, request), (prefill, decode), out);
            }
            Message::Declined { request, wait_ms } => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                self.reservation_declined(now, from, request, wait, out);
            }
            Message::Freed { pool, request, prefill, decode } => {
                self.slots_freed(now, pool, request, (prefill, decode), out);
            }
            Message::Holding { pool, incarnation, sequences } => {
                self.leases_renewed(now, from, (pool, incarnation), sequences, out);
            }
            Message::Spending(report) => self.merge_spending(now, from, report),
            Message::Handover { incarnation, records, last } => {
                self.homes.accept_handover(now, (from, incarnation), records, last);
            }
        }
    }

    pub(super) fn send_replies(&mut self, now: Instant, replies: Replies, out: &mut Vec<Effect>) {
        for (to, message) in replies.messages {
            self.deliver(now, to, message, out);
        }
    }

    /// Sends a message to a member; a message to this instance itself is processed at once.
    pub(crate) fn deliver(&mut self, now: Instant, to: InstanceId, message: Message, out: &mut Vec<Effect>) {
        if to == self.identity.id() {
            return self.message_received(now, to, message, out);
        }
        if let Some(member) = self.members.get(to) {
            out.push(Effect::Send { to, name: Arc::clone(&member.name), address: member.address, message });
        }
    }

    fn heartbeat_received(
        &mut self,
        now: Instant,
        from: InstanceId,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let mut changes = Vec::new();
        let known = self.members.get(from).is_some_and(|member| member.incarnation == heartbeat.incarnation);
        changes.extend(self.members.receive_heartbeat(now, from, heartbeat));
        if !known && let Some(update) = self.crash_update(now, UpdateScope::Newcomers) {
            // A new incarnation knows no crashes. Without this update, requests in quarantine would crash
            // endpoints again before it refuses them.
            self.deliver(now, from, update, out);
        }
        if !known && let Some(update) = self.part_update(now, true) {
            self.deliver(now, from, update, out);
        }
        for &update in &heartbeat.updates {
            changes.extend(self.members.merge_update(now, update));
        }
        audit_health(changes, out);
        let behind =
            heartbeat.version > self.versions.number() || heartbeat.revision > self.members.revision();
        if behind && now >= self.next_fetch {
            self.next_fetch = now + FETCH_INTERVAL;
            let message = self.fetch_message();
            self.deliver(now, from, message, out);
        }
    }

    /// Sends the configuration and the list if they are newer here, also to an instance that the current list
    /// does not contain yet.
    fn fetch_received(
        &mut self,
        from: InstanceId,
        (version, revision): (u64, u64),
        name: &str,
        address: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        if InstanceId::of(name) != from {
            return;
        }
        let name: Arc<str> = Arc::from(name);
        let mut send =
            |message| out.push(Effect::Send { to: from, name: Arc::clone(&name), address, message });
        if let Some(text) = self.versions.text().filter(|_| self.versions.number() > version) {
            send(Message::Configuration { text: text.to_string() });
        }
        if let Some(list) = self.members.list.clone().filter(|l| l.revision > revision) {
            send(Message::List(list));
        }
    }

    /// Message that asks a peer for a newer configuration and list.
    pub fn fetch_message(&self) -> Message {
        Message::Fetch {
            version: self.versions.number(),
            revision: self.members.revision(),
            name: self.identity.name.clone(),
            address: self.identity.address,
        }
    }

    pub(super) fn send_heartbeat_to_neighbours(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let neighbours = self.members.neighbours().to_vec();
        self.send_heartbeats(now, neighbours, out);
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant, targets: Vec<InstanceId>, out: &mut Vec<Effect>) {
        if targets.is_empty() {
            return;
        }
        let heartbeat = self.members.heartbeat(now, self.versions.number());
        for to in targets {
            self.deliver(now, to, Message::Heartbeat(heartbeat.clone()), out);
        }
    }
}
