//! What passes between [`Spread`] and its peers.

use std::time::Instant;

use medlarspool_types::{Address, ConfigHead, InstanceId};

use crate::{
    DeltaUpdate, Spread, SpreadAction, SpreadMessage, SpreadMode, SpreadPeer, search::WaitingFor,
};

impl Spread {
    pub(crate) fn message(
        &mut self,
        now: Instant,
        from: InstanceId,
        address: Address,
        head: ConfigHead,
        message: SpreadMessage,
        actions: &mut Vec<SpreadAction>,
    ) {
        let link = self.peers.link_to(&from);
        let own = self.announced_head();
        let reply = match message {
            SpreadMessage::Digest { reply_wanted } => {
                self.giver.answer_digest(own, head, reply_wanted)
            }
            SpreadMessage::Offer { updates } => {
                self.offered(&from, updates);
                None
            }
            SpreadMessage::Pull { base } => self.giver.answer_pull(own, base),
            SpreadMessage::Referral => {
                if self.search.is_waiting_for(&WaitingFor::Pull(from.clone())) {
                    self.search.refer(now, from);
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

    fn offered(&mut self, from: &InstanceId, updates: Vec<DeltaUpdate>) {
        if self.settings.mode == SpreadMode::Poll {
            return;
        }
        for update in updates {
            self.offers.add(self.held, from, update);
        }
    }

    pub(crate) fn transfer_requested(
        &mut self,
        base: Option<ConfigHead>,
        ticket: u64,
    ) -> SpreadAction {
        let ready = self.readiness().is_ready();
        let answer = self.giver.transfer(ready, base, ticket);
        match answer {
            SpreadAction::TransferGranted { .. } => self.counters.transfers_granted += 1,
            _ => self.counters.transfers_busy += 1,
        }
        answer
    }

    pub(crate) fn hand_on(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        let Some(pending) = self.relay.take(now, self.settings.relay_interval) else {
            return;
        };
        let messages = self.giver.push(pending.base);
        let random = &mut self.random;
        let copies = self.settings.copies_per_remote_group;
        let mut peers = self
            .peers
            .lacking_in_zone(self.held, self.settings.fan_out, random);
        if pending.reach.zones {
            peers.extend(self.peers.lacking_in_other_zones(self.held, copies, random));
        }
        if pending.reach.regions {
            peers.extend(
                self.peers
                    .lacking_in_other_regions(self.held, copies, random),
            );
        }
        peers.retain(|peer| Some(&peer.instance) != pending.giver.as_ref());
        for peer in peers {
            for message in &messages {
                self.send(peer, message.clone(), actions);
            }
        }
    }

    pub(crate) fn show_digest(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
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
            Vec::from_iter(self.peers.digest_peer(&mut self.random))
        } else {
            self.peers.one_of_each(&mut self.random)
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
