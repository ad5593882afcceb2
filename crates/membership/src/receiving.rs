use std::time::Instant;

use medlarspool_types::{Address, InstanceId};

use crate::{Membership, MembershipAction, Message};

impl Membership {
    /// Takes a datagram in.
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
                words,
            } => {
                self.receive_ack(number, relayed, sender, &words, now, actions);
                self.apply_words(words, true, now, actions);
            }
            Message::Busy { retry_after, words } => {
                self.receive_busy(retry_after, words, now, actions);
            }
            Message::DetailReply {
                details,
                service,
                words,
            } => self.receive_detail_reply(&service, details, words, now, actions),
            Message::DetailRequest { digest, service } => {
                self.receive_detail_request(address, digest, &service, actions);
            }
            Message::DigestReply { buckets } => self.receive_digest_reply(address, &buckets, now),
            Message::DigestRequest { root } => {
                self.receive_digest_request(address, root, now, actions);
            }
            Message::Gossip { words } => {
                self.apply_words(words, true, now, actions);
            }
            Message::Nack { number } => self.receive_nack(number),
            Message::Ping { number, words } => {
                self.receive_ping(address, sender, number, words, now, actions);
            }
            Message::PingRequest {
                address: subject_address,
                number,
                subject,
            } => self.receive_ping_request(address, number, subject, subject_address, now, actions),
            Message::StateReply { buckets, words } => {
                self.receive_state_reply(address, &buckets, words, now, actions);
            }
            Message::StateRequest {
                announcement,
                buckets,
            } => self.receive_state_request(address, announcement, &buckets, now, actions),
        }
    }
}
