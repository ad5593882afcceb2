//! The messages between [`Spread`] and its peers.

use std::time::Instant;

use medlarspool_types::{Address, ConfigHead, InstanceId};

use crate::{
    DeltaUpdate, Spread, SpreadAction, SpreadMessage, SpreadMode, SpreadPeer, retrieval::WaitingFor,
};

impl Spread {
    /// Handles a message and sends the reply, if there is one, to the sender's `address`.
    ///
    /// The updates of an offer are buffered, except in mode `Poll`. A referral is ignored unless a
    /// pull from its sender is awaited.
    pub(crate) fn on_message(
        &mut self,
        now: Instant,
        from: InstanceId,
        address: Address,
        head: ConfigHead,
        message: SpreadMessage,
        actions: &mut Vec<SpreadAction>,
    ) {
        let link = self.peers.link_to(&from);
        let own_head = self.announced_head();
        let reply = match message {
            SpreadMessage::Digest { reply_wanted } => {
                self.distributor.answer_digest(own_head, head, reply_wanted)
            }
            SpreadMessage::Offer { updates } => {
                self.buffer_offer(&from, updates);
                None
            }
            SpreadMessage::Pull { base } => self.distributor.answer_pull(own_head, base),
            SpreadMessage::Referral => {
                if self
                    .retrieval
                    .is_waiting_for(&WaitingFor::Pull(from.clone()))
                {
                    self.retrieval.on_referral(now, from);
                }
                None
            }
        };
        actions.extend(reply.map(|message| SpreadAction::Send {
            address,
            link,
            message,
        }));
    }

    fn buffer_offer(&mut self, from: &InstanceId, updates: Vec<DeltaUpdate>) {
        if self.settings.mode == SpreadMode::Poll {
            return;
        }
        for update in updates {
            self.offers.add(self.head_in_use, from, update);
        }
    }

    /// Returns the answer to a request for a transfer and counts it.
    pub(crate) fn on_transfer_requested(
        &mut self,
        base: Option<ConfigHead>,
        request_id: u64,
    ) -> SpreadAction {
        let ready = self.readiness().is_ready();
        let answer = self.distributor.answer_transfer(ready, base, request_id);
        match answer {
            SpreadAction::TransferGranted { .. } => self.counters.transfers_granted += 1,
            _ => self.counters.transfers_busy += 1,
        }
        answer
    }

    /// Pushes the pending changes, if a push is due, to random peers that haven't announced the
    /// head in use, other than the peer that sent the changes.
    pub(crate) fn relay_pending(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        let Some(pending) = self.relay.take_due(now, self.settings.relay_interval) else {
            return;
        };
        let messages = self.distributor.push_messages(pending.base);
        let random = &mut self.random;
        let copies_per_group = self.settings.copies_per_remote_group;
        let mut peers =
            self.peers
                .behind_in_own_zone(self.head_in_use, self.settings.fan_out, random);
        if pending.reach.includes_zones {
            peers.extend(self.peers.behind_in_other_zones(
                self.head_in_use,
                copies_per_group,
                random,
            ));
        }
        if pending.reach.includes_regions {
            peers.extend(self.peers.behind_in_other_regions(
                self.head_in_use,
                copies_per_group,
                random,
            ));
        }
        peers.retain(|peer| Some(&peer.instance) != pending.origin.as_ref());
        for peer in peers {
            for message in &messages {
                self.send(peer, message.clone(), actions);
            }
        }
    }

    /// Sends the digests that are due.
    ///
    /// A daemon that is ready sends one to a random peer. One that isn't sends one to a peer of
    /// each group and asks for replies, to learn the peers' heads. Mode `Poll` sends none.
    pub(crate) fn send_digests(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        if now < self.next_digest {
            return;
        }
        let ready = self.readiness().is_ready();
        let interval = self.settings.digest_interval;
        self.next_digest = now + interval.mul_f64(0.5 + self.random.f64());
        if self.settings.mode == SpreadMode::Poll {
            return;
        }
        let peers = if ready {
            Vec::from_iter(self.peers.pick_digest_peer(&mut self.random))
        } else {
            self.peers.pick_one_per_group(&mut self.random)
        };
        for peer in peers {
            let message = SpreadMessage::Digest {
                reply_wanted: !ready,
            };
            self.send(peer, message, actions);
        }
    }

    pub(crate) fn send(
        &self,
        peer: &SpreadPeer,
        message: SpreadMessage,
        actions: &mut Vec<SpreadAction>,
    ) {
        actions.push(SpreadAction::Send {
            address: peer.address,
            link: self.peers.link_to(&peer.instance),
            message,
        });
    }
}
