use std::{
    collections::BTreeSet,
    io::ErrorKind,
    net::UdpSocket,
    time::{Duration, Instant},
};

use medlarspool_membership::{
    Member, Membership, MembershipAction, MembershipEvent, MembershipSettings, Message,
};
use medlarspool_proto::{Datagram, FleetKey, MembershipPayload};
use medlarspool_types::{Address, ConfigHead, InstanceId};

use crate::membership_traffic::MembershipTraffic;

/// The size of the buffer for a received datagram, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// One daemon's membership on a UDP socket of its own.
pub struct MembershipNode {
    /// The membership logic, which leaves all input and output to the node.
    pub core: Membership,
    /// The addresses that the node's datagrams don't reach, because of a partition.
    pub cut_off: BTreeSet<Address>,
    /// The share of datagrams that are dropped instead of sent, in percent.
    pub lost_percent: u32,
    /// When the node resumes, if it is paused.
    pub paused_until: Option<Instant>,
    /// The traffic so far and the time spent on it.
    pub traffic: MembershipTraffic,
    key: FleetKey,
    random: fastrand::Rng,
    socket: UdpSocket,
}

impl MembershipNode {
    /// Starts a node at its member's address on loopback.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound, because the bench would then measure nothing.
    #[must_use]
    pub fn start(member: Member, settings: MembershipSettings, key: &FleetKey, seed: u64) -> Self {
        let socket = UdpSocket::bind(member.control_address).expect("bind a loopback socket");
        socket.set_nonblocking(true).expect("set non-blocking");
        Self {
            core: Membership::new(settings, member, seed, Instant::now()),
            cut_off: BTreeSet::new(),
            key: key.clone(),
            lost_percent: 0,
            paused_until: None,
            random: fastrand::Rng::with_seed(seed),
            socket,
            traffic: MembershipTraffic::default(),
        }
    }

    /// Lets the core handle an event, sends the messages that it asks for and returns its other actions.
    pub fn handle_event(&mut self, event: MembershipEvent) -> Vec<MembershipAction> {
        let started = Instant::now();
        let mut actions = Vec::new();
        self.core.handle(started, event, &mut actions);
        actions.retain(|action| match action {
            MembershipAction::Send { address, message } => {
                self.send(*address, message);
                false
            }
            _ => true,
        });
        self.traffic.processing_time += started.elapsed();
        actions
    }

    /// Returns whether the node isn't paused; resumes it if its pause is over.
    pub fn is_active(&mut self, now: Instant) -> bool {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
        }
        self.paused_until.is_none()
    }

    /// Handles all received datagrams, and a tick if the core's wakeup is due.
    pub fn poll(&mut self) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let started = Instant::now();
            let (bytes, address) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => continue,
            };
            let event = self.read_datagram(&buffer[..bytes], address);
            self.traffic.processing_time += started.elapsed();
            if let Some(event) = event {
                actions.append(&mut self.handle_event(event));
            }
        }
        if self.core.next_wakeup() <= Instant::now() {
            actions.append(&mut self.handle_event(MembershipEvent::Tick));
        }
        actions
    }

    /// Pauses the node; datagrams that arrive meanwhile wait in the socket's buffer.
    pub fn pause(&mut self, duration: Duration) {
        self.paused_until = Some(Instant::now() + duration);
    }

    /// Returns the instance of the node.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.core.own_announcement().member.instance
    }

    fn read_datagram(&mut self, bytes: &[u8], address: Address) -> Option<MembershipEvent> {
        self.traffic.received_bytes += bytes.len() + Datagram::IP_UDP_HEADER_BYTES;
        self.traffic.received_messages += 1;
        let datagram = Datagram::open(&self.key, bytes).ok()?;
        let message = Message::try_from(datagram.membership?).ok()?;
        self.traffic.state_requests += usize::from(matches!(message, Message::StateRequest { .. }));
        Some(MembershipEvent::Received {
            address,
            incarnation: medlarspool_types::Incarnation(datagram.incarnation),
            message,
            sender: datagram.sender.parse().ok()?,
        })
    }

    fn send(&mut self, address: Address, message: &Message) {
        let own_member = &self.core.own_announcement().member;
        let mut datagram = Datagram::from_sender(
            &own_member.instance,
            own_member.incarnation,
            ConfigHead::default(),
        );
        datagram.membership = Some(MembershipPayload::from(message));
        let sealed = datagram.seal(&self.key);
        assert!(sealed.len() <= Datagram::MAX_BYTES, "{message:?}");
        self.traffic.sent_bytes += sealed.len() + Datagram::IP_UDP_HEADER_BYTES;
        self.traffic.sent_messages += 1;
        let is_lost = self.random.u32(..100) < self.lost_percent;
        if !is_lost && !self.cut_off.contains(&address) {
            let _ = self.socket.send_to(&sealed, address);
        }
    }
}
