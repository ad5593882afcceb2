use std::{sync::Arc, time::Duration};

use fastrand::Rng;
use medlarspool_spread::{SpreadMessage, SpreadPeer};
use medlarspool_types::AvailabilityZone;

/// The faults of the network between daemons.
#[derive(Clone, Debug)]
pub struct Faults {
    pub cut_zone: Option<AvailabilityZone>,
    pub damage_probability: f64,
    pub duplicate_probability: f64,
    pub loss_probability: f64,
    pub max_delay: Duration,
}

impl Faults {
    /// Returns whether exactly one of two daemons is in the cut-off zone.
    pub fn is_cut(&self, one: &SpreadPeer, other: &SpreadPeer) -> bool {
        self.cut_zone
            .as_ref()
            .is_some_and(|cut| (one.availability_zone == *cut) != (other.availability_zone == *cut))
    }

    /// Draws how often a datagram arrives: not at all, once, or twice.
    pub fn copies(&self, random: &mut Rng) -> usize {
        if random.f64() < self.loss_probability {
            0
        } else {
            1 + usize::from(random.f64() < self.duplicate_probability)
        }
    }

    pub fn delay(&self, random: &mut Rng) -> Duration {
        Duration::from_micros(200) + self.max_delay.mul_f64(random.f64())
    }

    /// Returns the message; one update of an offer is damaged with probability
    /// `damage_probability`.
    pub fn damaged(&self, message: SpreadMessage, random: &mut Rng) -> SpreadMessage {
        let SpreadMessage::Offer { mut updates } = message else {
            return message;
        };
        if random.f64() < self.damage_probability {
            let index = random.usize(..updates.len());
            let mut bytes = updates[index].delta.to_vec();
            bytes[1] ^= 0x55;
            updates[index].delta = Arc::from(bytes);
        }
        SpreadMessage::Offer { updates }
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            cut_zone: None,
            damage_probability: 0.0,
            duplicate_probability: 0.0,
            loss_probability: 0.0,
            max_delay: Duration::from_millis(2),
        }
    }
}
