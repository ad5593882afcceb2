use std::{
    collections::HashMap,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use medlarspool_config::Snapshot;
use medlarspool_proto::FleetKey;
use medlarspool_spread::{
    LinkClass, SnapshotHolder, Spread, SpreadEvent, SpreadPeer, SpreadSettings,
};
use medlarspool_types::{ConfigHead, ConfigVersion};
use tokio::{
    net::UdpSocket,
    sync::mpsc::{self, UnboundedSender},
    task::JoinHandle,
};

use crate::{
    ConvergenceLayout, ConvergenceNetwork, ConvergenceRecord, ConvergenceStore,
    convergence_command::ConvergenceCommand, convergence_daemon::ConvergenceDaemon,
    convergence_record::IncarnationNumber,
};

/// The customers in the lists.
const CUSTOMER_COUNT: usize = 1_000;
/// The difference between the numbers of two successive incarnations of a daemon. It exceeds the number of
/// daemons, so that every incarnation of every daemon has a number of its own.
const INCARNATION_STEP: IncarnationNumber = 10_000;
/// The interval between two checks of the condition that a caller waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct RunningDaemon {
    commands: UnboundedSender<ConvergenceCommand>,
    holder: Arc<SnapshotHolder<Snapshot>>,
    task: JoinHandle<()>,
}

struct Member {
    incarnation: IncarnationNumber,
    peer: SpreadPeer,
    running: Option<RunningDaemon>,
}

/// The daemons of one bench run, each with a socket on loopback, in one process.
pub struct ConvergenceFleet {
    key: FleetKey,
    members: Vec<Member>,
    network: Arc<ConvergenceNetwork>,
    record: Arc<ConvergenceRecord>,
    settings: SpreadSettings,
    store: Arc<ConvergenceStore>,
}

impl ConvergenceFleet {
    /// Starts a fleet of `daemon_count` daemons, all of which know each other.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own fleet key is refused.
    pub async fn start(
        daemon_count: usize,
        layout: ConvergenceLayout,
        settings: SpreadSettings,
        seed: u64,
    ) -> io::Result<Self> {
        let mut fleet = Self {
            key: FleetKey::derive("the key of a bench on loopback").expect("a valid key"),
            members: Vec::with_capacity(daemon_count),
            network: Arc::default(),
            record: Arc::default(),
            settings,
            store: Arc::new(ConvergenceStore::new(CUSTOMER_COUNT, seed)),
        };
        let mut sockets = Vec::with_capacity(daemon_count);
        for index in 0..daemon_count {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            fleet.members.push(Member {
                incarnation: IncarnationNumber::try_from(index).unwrap_or(IncarnationNumber::MAX),
                peer: layout.peer(index, socket.local_addr()?),
                running: None,
            });
            sockets.push(socket);
        }
        for (index, socket) in sockets.into_iter().enumerate() {
            fleet.run_daemon(index, socket);
        }
        fleet.announce_peers();
        Ok(fleet)
    }

    /// Starts the next incarnation of a daemon on a socket.
    fn run_daemon(&mut self, index: usize, socket: UdpSocket) {
        let member = &mut self.members[index];
        member.incarnation += INCARNATION_STEP;
        let (sender, commands) = mpsc::unbounded_channel();
        self.network.add_daemon(member.peer.clone(), sender.clone());
        let holder = Arc::new(SnapshotHolder::default());
        let daemon = ConvergenceDaemon {
            commands: sender.clone(),
            core: Spread::new(
                self.settings.clone(),
                member.peer.clone(),
                member.incarnation,
                Instant::now(),
            ),
            holder: Arc::clone(&holder),
            key: self.key.clone(),
            incarnation: member.incarnation,
            own_peer: member.peer.clone(),
            network: Arc::clone(&self.network),
            record: Arc::clone(&self.record),
            socket: Arc::new(socket),
            store: Arc::clone(&self.store),
            pending_transfers: HashMap::new(),
        };
        let task = tokio::spawn(daemon.run(commands));
        member.running = Some(RunningDaemon {
            commands: sender,
            holder,
            task,
        });
    }

    /// Kills daemons; the others consider them alive until [`Self::announce_peers`] is called.
    pub async fn kill(&mut self, daemons: impl IntoIterator<Item = usize>) {
        for index in daemons {
            let member = &mut self.members[index];
            if let Some(running) = member.running.take() {
                self.network.remove_daemon(member.peer.address);
                running.task.abort();
                // The result is the error of an aborted task.
                let _ = running.task.await;
            }
        }
    }

    /// Starts daemons that were killed, all at once.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound.
    pub async fn restart(&mut self, daemons: impl IntoIterator<Item = usize>) -> io::Result<()> {
        for index in daemons {
            let socket = UdpSocket::bind(self.members[index].peer.address).await?;
            self.run_daemon(index, socket);
        }
        self.announce_peers();
        Ok(())
    }

    /// Sends every running daemon the list of running daemons, as membership would.
    pub fn announce_peers(&self) {
        let living = |member: &&Member| member.running.is_some();
        let peers: Vec<SpreadPeer> = self
            .members
            .iter()
            .filter(living)
            .map(|member| member.peer.clone())
            .collect();
        for running in self
            .members
            .iter()
            .filter_map(|member| member.running.as_ref())
        {
            let event = SpreadEvent::PeersChanged(peers.clone());
            // A daemon whose task has just ended receives nothing.
            let _ = running.commands.send(ConvergenceCommand::Event(event));
        }
    }

    /// Returns the network between the daemons.
    #[must_use]
    pub fn network(&self) -> &ConvergenceNetwork {
        &self.network
    }

    /// Returns the record of the versions that the daemons applied.
    #[must_use]
    pub fn record(&self) -> &ConvergenceRecord {
        &self.record
    }

    /// Returns the store that all daemons read, through which changes are committed.
    #[must_use]
    pub fn store(&self) -> &ConvergenceStore {
        &self.store
    }

    /// Returns how many daemons the fleet has, including killed ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the fleet has no daemon.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns whether any running daemon holds a version.
    #[must_use]
    pub fn any_holds(&self, head: ConfigHead) -> bool {
        self.holders().any(|holder| holder.head() == head)
    }

    /// Returns whether every running daemon holds a version.
    #[must_use]
    pub fn all_hold(&self, head: ConfigHead) -> bool {
        self.holders().all(|holder| holder.head() == head)
    }

    /// Waits until every running daemon holds a version; returns whether all did within `max_wait`.
    pub async fn wait_all_hold(&self, head: ConfigHead, max_wait: Duration) -> bool {
        let end = Instant::now() + max_wait;
        while !self.all_hold(head) {
            if Instant::now() > end {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Waits, without a limit, until some daemon holds a version.
    pub async fn wait_any_holds(&self, head: ConfigHead) {
        while !self.any_holds(head) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns how long after `since` each running daemon held a version, or [`Duration::MAX`] for a daemon
    /// that doesn't hold it.
    #[must_use]
    pub fn times_until_held(&self, version: ConfigVersion, since: Instant) -> Vec<Duration> {
        self.living_incarnations()
            .map(|incarnation| self.record.held_at(incarnation, version))
            .map(|at| at.map_or(Duration::MAX, |at| at.saturating_duration_since(since)))
            .collect()
    }

    /// Waits until these daemons are ready, or until `max_wait` has passed.
    pub async fn wait_ready(&self, daemons: &[usize], max_wait: Duration) {
        let end = Instant::now() + max_wait;
        let is_ready = |index: &usize| {
            self.record
                .ready_at(self.members[*index].incarnation)
                .is_some()
        };
        while !daemons.iter().all(is_ready) && Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how long after `since` each of these daemons was ready, or [`Duration::MAX`] for a daemon that
    /// isn't ready.
    #[must_use]
    pub fn times_until_ready(&self, daemons: &[usize], since: Instant) -> Vec<Duration> {
        daemons
            .iter()
            .map(|index| self.record.ready_at(self.members[*index].incarnation))
            .map(|at| at.map_or(Duration::MAX, |at| at.saturating_duration_since(since)))
            .collect()
    }

    /// Returns the bytes sent so far over each class of link.
    #[must_use]
    pub fn bytes(&self) -> [u64; LinkClass::ALL.len()] {
        LinkClass::ALL.map(|link| self.network.bytes(link))
    }

    fn holders(&self) -> impl Iterator<Item = &SnapshotHolder<Snapshot>> {
        let running = self
            .members
            .iter()
            .filter_map(|member| member.running.as_ref());
        running.map(|running| running.holder.as_ref())
    }

    fn living_incarnations(&self) -> impl Iterator<Item = IncarnationNumber> {
        let living = self
            .members
            .iter()
            .filter(|member| member.running.is_some());
        living.map(|member| member.incarnation)
    }
}

impl Drop for ConvergenceFleet {
    fn drop(&mut self) {
        for running in self
            .members
            .iter()
            .filter_map(|member| member.running.as_ref())
        {
            running.task.abort();
        }
    }
}
