use std::{net::SocketAddr, time::Duration};

use medlarspool_mesh::{
    AnnouncedState, PeerRecord, ReportedCrash, RolloutStatus, SendStamp, StoreEra, TargetEvidence,
    TargetLoad, TargetRecord,
};
use prost::Message;

use crate::{
    ReportError,
    crash_codec::{decode_crash, encode_crashes},
    report_message::{ReportMessage, TargetMessage},
    rollout_codec::{decode_runs, decode_status, encode_runs, encode_status},
};

const CANNOT_RELAY: u32 = 0;
const RELAYS: u32 = 1;
const CAN_RELAY: u32 = 2;

/// The state that a daemon reports to other daemons a few times a second, and at once when something changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Whether the sender asks for a full report in return, which it does when it learns of the receiver.
    pub reply_requested: bool,
    /// The requests that were running at crashes; those of the same crash follow each other.
    pub crashes: Vec<ReportedCrash>,
    /// How long the sender, which started or was paused, still makes no decisions about rollouts.
    pub decides_in: Duration,
    /// The runs at the sender's target, while its service has a rollout.
    pub evidence: Option<TargetEvidence>,
    /// Whether the sender knows all orders of rollouts and `rollouts` has all of them. A daemon that has just started
    /// needn't read them in the store then.
    pub knows_rollouts: bool,
    /// The addresses of some daemons that the sender knows.
    pub known_peers: Vec<SocketAddr>,
    /// The bits of the quota partitions that the sender holds.
    pub quota_partitions: u32,
    /// What the sender knows of orders of rollouts, with the shares that it applies; the newest ones first.
    pub rollouts: Vec<RolloutStatus>,
    /// The sender's record of itself.
    pub sender: PeerRecord,
    /// The sender's record of the receiver's target, from which a receiver that has just started restores its own.
    pub receiver_target: Option<TargetRecord>,
    /// The latest incarnation of the receiver that the sender knows; 0 if it knows none.
    pub receiver_incarnation: u64,
    /// When the report was sent; none in rows of the store, and in reports of earlier releases.
    pub sent: Option<SendStamp>,
    /// The era of the platform's store, if the sender knows it.
    pub store_era: Option<StoreEra>,
}

impl Report {
    /// The most bytes of an encoded report, and the size of a receive buffer.
    pub const MAX_BYTES: usize = 2_048;

    /// Creates a report that contains only the sender's state.
    #[must_use]
    pub fn of(sender: PeerRecord) -> Self {
        Self {
            reply_requested: false,
            crashes: Vec::new(),
            decides_in: Duration::ZERO,
            evidence: None,
            known_peers: Vec::new(),
            knows_rollouts: false,
            rollouts: Vec::new(),
            quota_partitions: 0,
            sender,
            receiver_target: None,
            receiver_incarnation: 0,
            sent: None,
            store_era: None,
        }
    }

    /// Encodes the report as a Protobuf message, for a datagram or a row of the store.
    ///
    /// If it were longer than [`Self::MAX_BYTES`], the runs of the routes with the fewest are left out, and then the
    /// oldest orders. Receivers take lower counts for outdated ones.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut message = self.message();
        let tells_rollouts = !self.rollouts.is_empty() || self.evidence.is_some();
        while tells_rollouts && message.encoded_len() > Self::MAX_BYTES {
            let routes = message.runs.as_mut().map(|runs| &mut runs.routes);
            match routes.filter(|routes| !routes.is_empty()) {
                Some(routes) => routes.truncate(routes.len() * 3 / 4),
                None if message.rollouts.pop().is_none() => break,
                None => {}
            }
        }
        message.encode_to_vec()
    }

    fn message(&self) -> ReportMessage {
        let load = self.sender.load;
        ReportMessage {
            address: self.sender.address.to_string(),
            reply_requested: self.reply_requested,
            availability_zone: self.sender.availability_zone.to_string(),
            config_version: self.sender.config_version,
            crashes: encode_crashes(&self.crashes),
            incarnation: self.sender.incarnation,
            known_peers: self.known_peers.iter().map(ToString::to_string).collect(),
            load: load.to_numbers(),
            relay: match (self.sender.relays_config, self.sender.can_relay_config) {
                (true, _) => RELAYS,
                (false, true) => CAN_RELAY,
                (false, false) => CANNOT_RELAY,
            },
            report_number: self.sender.report_number,
            serving: self.sender.serving,
            target: self.sender.target.as_ref().map(encode_target),
            receiver_target: self.receiver_target.as_ref().map(encode_target),
            receiver_incarnation: self.receiver_incarnation,
            store_era_and_one: self.store_era.map_or(0, |era| era.0.saturating_add(1)),
            confirmation_question: None,
            confirmation_answer: None,
            decides_in_ms: u64::try_from(self.decides_in.as_millis()).unwrap_or(u64::MAX),
            knows_rollouts: self.knows_rollouts,
            rollouts: self.rollouts.iter().map(encode_status).collect(),
            runs: self.evidence.as_ref().map(encode_runs),
            quota_grant: None,
            quota_partitions: self.quota_partitions,
            quota_question: None,
            sent_at_us: self.sent.map_or(0, |stamp| stamp.sent_at_us()),
            sent_by_clock: self.sent.map_or(0, |stamp| stamp.clock),
        }
    }

    /// Decodes a report from its Protobuf message.
    ///
    /// # Errors
    ///
    /// Returns which part of the report is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let message = ReportMessage::decode(bytes)
            .map_err(|error| ReportError::Encoding(error.to_string()))?;
        Self::of_message(&message)
    }

    pub(crate) fn of_message(message: &ReportMessage) -> Result<Self, ReportError> {
        let target = message.target.as_ref().map(decode_target).transpose()?;
        let evidence = target.as_ref().zip(message.runs.as_ref());
        Ok(Self {
            reply_requested: message.reply_requested,
            crashes: message.crashes.iter().flat_map(decode_crash).collect(),
            evidence: evidence.map(|(target, runs)| decode_runs(target, runs)),
            decides_in: Duration::from_millis(message.decides_in_ms),
            knows_rollouts: message.knows_rollouts,
            rollouts: message
                .rollouts
                .iter()
                .map(decode_status)
                .collect::<Result<_, _>>()?,
            known_peers: message
                .known_peers
                .iter()
                .map(|text| parse_address(text))
                .collect::<Result<_, _>>()?,
            quota_partitions: message.quota_partitions,
            sender: PeerRecord {
                address: parse_address(&message.address)?,
                can_relay_config: message.relay != CANNOT_RELAY,
                availability_zone: message.availability_zone.as_str().into(),
                config_version: message.config_version,
                incarnation: check_start(message.incarnation)?,
                load: TargetLoad::from_numbers(message.load.iter().copied()),
                relays_config: message.relay == RELAYS,
                report_number: message.report_number,
                serving: message.serving,
                target,
            },
            receiver_target: message
                .receiver_target
                .as_ref()
                .map(decode_target)
                .transpose()?,
            receiver_incarnation: check_start(message.receiver_incarnation)?,
            sent: SendStamp::from_numbers(message.sent_by_clock, message.sent_at_us),
            store_era: message.store_era_and_one.checked_sub(1).map(StoreEra),
        })
    }
}

/// Parses the address of a daemon; nothing can be reached at port 0 or at an unspecified address.
fn parse_address(text: &str) -> Result<SocketAddr, ReportError> {
    let address: Option<SocketAddr> = text.parse().ok();
    address
        .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
        .ok_or_else(|| ReportError::Address(text.to_owned()))
}

/// Returns a start in Unix milliseconds, unless it is impossible.
fn check_start(start_ms: u64) -> Result<u64, ReportError> {
    if start_ms <= TargetRecord::MAX_START_MS {
        Ok(start_ms)
    } else {
        Err(ReportError::Start(start_ms))
    }
}

fn encode_target(target: &TargetRecord) -> TargetMessage {
    TargetMessage {
        born_ms: target.born_ms,
        id: target.id.to_string(),
        sequence: target.sequence,
        service: target.service.to_string(),
        slots: target.slots,
        state: match target.state {
            AnnouncedState::Draining => 1,
            AnnouncedState::Gone => 2,
            AnnouncedState::Ready => 0,
        },
        version: target.version.to_string(),
    }
}

fn decode_target(message: &TargetMessage) -> Result<TargetRecord, ReportError> {
    Ok(TargetRecord {
        born_ms: check_start(message.born_ms)?,
        id: message.id.as_str().into(),
        sequence: message.sequence,
        service: message.service.as_str().into(),
        slots: message.slots,
        state: match message.state {
            0 => AnnouncedState::Ready,
            1 => AnnouncedState::Draining,
            2 => AnnouncedState::Gone,
            other => return Err(ReportError::State(other)),
        },
        version: message.version.as_str().into(),
    })
}
