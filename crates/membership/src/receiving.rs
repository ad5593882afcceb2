use std::time::Instant;

use medlarspool_types::{Address, InstanceId};

use crate::{Membership, MembershipAction, Message};

impl Membership {
    /// Handles a message from another daemon.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        address: Address,
        sender: &InstanceId,
        message: Message,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            Message::Ack {
                number,
                relayed,
                updates,
            } => {
                self.receive_ack(number, relayed, sender, &updates, now, actions);
                self.apply_updates(updates, true, now, actions);
            }
            Message::Busy {
                retry_after,
                updates,
            } => {
                self.receive_busy(retry_after, updates, now, actions);
            }
            Message::DetailReply {
                details,
                service,
                updates,
            } => self.receive_detail_reply(&service, details, updates, now, actions),
            Message::DetailRequest { digest, service } => {
                self.receive_detail_request(address, digest, &service, actions);
            }
            Message::DigestReply { buckets } => self.receive_digest_reply(address, &buckets, now),
            Message::DigestRequest { root } => {
                self.receive_digest_request(address, root, now, actions);
            }
            Message::Gossip { updates } => {
                self.apply_updates(updates, true, now, actions);
            }
            Message::Nack { number } => self.receive_nack(number),
            Message::Ping { number, updates } => {
                self.receive_ping(address, sender, number, updates, now, actions);
            }
            Message::PingRequest {
                address: subject_address,
                number,
                subject,
            } => self.receive_ping_request(address, number, subject, subject_address, now, actions),
            Message::StateReply { buckets, updates } => {
                self.receive_state_reply(address, &buckets, updates, now, actions);
            }
            Message::StateRequest {
                announcement,
                buckets,
            } => self.receive_state_request(address, announcement, &buckets, now, actions),
        }
    }
}
