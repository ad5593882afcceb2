//! A handful of cores joined by an in-memory delivery queue under a clock that tests move.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant, SystemTime},
};

use medlarspool_membership::{
    Member, MemberState, Membership, MembershipAction, MembershipEvent, MembershipSettings,
    Message, SeedRow, UpstreamAnnouncement,
};
use medlarspool_types::{Address, Incarnation, InstanceId};

/// How far the clock moves at once.
pub const STEP: Duration = Duration::from_millis(20);

/// The bytes of a datagram's envelope and IP and UDP framing.
const ENVELOPE_BYTES: usize = 128;

/// What is held of an instance: its life, its sequence and whether it is living.
type Held = (Incarnation, u64, bool);

/// One daemon's place: the core that runs there, if any.
pub struct Place {
    pub core: Option<Membership>,
    pub inbox: Vec<(usize, Incarnation, Message)>,
    pub issued: Incarnation,
    pub paused_until: Instant,
    pub sent_bytes: usize,
    pub sent_messages: usize,
    seen: BTreeMap<InstanceId, Held>,
}

/// All places, what is under way between them, and the table of seed rows.
pub struct Fleet {
    pub checked: bool,
    pub delay: Duration,
    pub duplicated_percent: u32,
    pub groups: Vec<usize>,
    pub lost_percent: u32,
    pub now: Instant,
    pub pages_to: BTreeMap<usize, usize>,
    pub places: Vec<Place>,
    pub random: fastrand::Rng,
    pub rows: BTreeMap<(String, u8), SeedRow>,
    pub settings: MembershipSettings,
    pub start: Instant,
    pub store_delay: Duration,
    pub store_reads: usize,
    pub store_up: bool,
    pub store_writes: usize,
    pub zones: usize,
    queue: BTreeMap<(Instant, u64), (usize, usize, Incarnation, Message)>,
    queued: u64,
    store_answers: Vec<(Instant, usize, MembershipEvent)>,
}

impl Fleet {
    pub fn new(size: usize, zones: usize, seed: u64) -> Self {
        let now = Instant::now();
        let places = (0..size).map(|_| Place {
            core: None,
            inbox: Vec::new(),
            issued: Incarnation(0),
            paused_until: now,
            sent_bytes: 0,
            sent_messages: 0,
            seen: BTreeMap::new(),
        });
        Self {
            checked: true,
            delay: Duration::from_millis(40),
            duplicated_percent: 0,
            groups: vec![0; size],
            lost_percent: 0,
            now,
            pages_to: BTreeMap::new(),
            places: places.collect(),
            random: fastrand::Rng::with_seed(seed),
            rows: BTreeMap::new(),
            settings: MembershipSettings::default(),
            start: now,
            store_answers: Vec::new(),
            store_delay: Duration::ZERO,
            store_reads: 0,
            store_up: true,
            store_writes: 0,
            zones,
            queue: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Returns a fleet whose daemons all know each other.
    pub fn settled(size: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self::started(size, zones, seed);
        let agreed = fleet.periods_until(120, Self::agrees);
        assert!(agreed.is_some(), "did not form:\n{}", fleet.describe());
        fleet
    }

    /// Returns a fleet whose daemons have just begun and find an empty table.
    pub fn started(size: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, zones, seed);
        (0..size).for_each(|place| fleet.begin(place));
        fleet
    }

    /// Returns whether each running core's living members are just the running ones.
    pub fn agrees(&self) -> bool {
        let running: BTreeSet<InstanceId> = (0..self.places.len())
            .filter(|place| self.places[*place].core.is_some())
            .map(instance)
            .collect();
        let mut digests = BTreeSet::new();
        let views = self.places.iter().filter_map(|place| place.core.as_ref());
        let mut all_same = true;
        for core in views {
            let living: BTreeSet<InstanceId> = core
                .members()
                .filter(|member| member.state.is_living())
                .map(|member| member.announcement.member.instance.clone())
                .collect();
            all_same &= living == running;
            digests.insert(core.view_digest());
        }
        all_same && digests.len() <= 1
    }

    /// Starts a new life at a place, at the time that the fleet's clock shows.
    pub fn begin(&mut self, place: usize) {
        let micros = 1_000_000_000_000_000 + self.elapsed().as_micros();
        let incarnation = Incarnation(u64::try_from(micros).unwrap());
        self.begin_as(place, incarnation);
    }

    pub fn begin_as(&mut self, place: usize, incarnation: Incarnation) {
        let zone = place % self.zones;
        let member = Member {
            availability_zone: format!("zone-{zone}").parse().unwrap(),
            call_address: address(place),
            control_address: address(place),
            incarnation,
            instance: instance(place),
            region: "region-1".parse().unwrap(),
        };
        let seed = self.random.u64(..);
        let core = Membership::new(self.settings.clone(), member, seed, self.now);
        let held = &mut self.places[place];
        held.issued = held.issued.max(incarnation);
        held.core = Some(core);
        held.inbox.clear();
        held.paused_until = self.now;
        held.seen.clear();
    }

    pub fn crash(&mut self, place: usize) {
        self.places[place].core = None;
        self.places[place].inbox.clear();
    }

    pub fn core(&self, place: usize) -> &Membership {
        self.places[place].core.as_ref().unwrap()
    }

    /// Returns what each core holds of the others, for the report of a failure.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for (place, held) in self.places.iter().enumerate() {
            let Some(core) = &held.core else {
                continue;
            };
            let members = core.members().map(|member| {
                let updates = member.announcement;
                let life = updates.member.incarnation;
                let instance = &updates.member.instance;
                format!("{instance}@{life}.{} {}", updates.sequence, member.state)
            });
            let members: Vec<String> = members.collect();
            lines.push(format!(
                "{place}: {} {:?}",
                members.join(", "),
                core.counters()
            ));
        }
        lines.join("\n")
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Hands an event to the core at a place, if one runs there, and carries out its actions.
    pub fn event(&mut self, place: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let held = &mut self.places[place];
        let Some(core) = held.core.as_mut() else {
            return;
        };
        core.handle(self.now, event, &mut actions);
        held.issued = held.issued.max(core.own_announcement().member.incarnation);
        if self.checked {
            self.check(place);
        }
        for action in actions {
            self.act(place, action);
        }
    }

    pub fn announce_upstream(&mut self, place: usize, service: &str, cold: bool) {
        let upstream = UpstreamAnnouncement {
            cold,
            generation: 1,
            service: service.parse().unwrap(),
            slots: 6,
        };
        self.event(place, MembershipEvent::UpstreamAnnounced(upstream));
    }

    pub fn pause(&mut self, place: usize, duration: Duration) {
        self.places[place].paused_until = self.now + duration;
    }

    /// Moves the clock until a condition holds and returns the protocol periods that took.
    pub fn periods_until(&mut self, limit: u32, holds: impl Fn(&Self) -> bool) -> Option<u32> {
        for period in 0..limit {
            if holds(self) {
                return Some(period);
            }
            self.run(self.settings.probe_interval);
        }
        holds(self).then_some(limit)
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.answer();
            self.deliver();
            for place in 0..self.places.len() {
                self.wake(place);
            }
        }
    }

    /// Returns how the core at one place sees the daemon at another.
    pub fn state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        let core = self.core(viewer);
        core.member(&instance(subject)).map(|member| member.state)
    }

    fn act(&mut self, place: usize, action: MembershipAction) {
        match action {
            MembershipAction::MemberChanged { .. } | MembershipAction::ServiceChanged { .. } => {}
            MembershipAction::ReadSeedRows { availability_zone } => {
                self.store_reads += 1;
                let zone = availability_zone.as_ref().map(ToString::to_string);
                let rows = self
                    .rows
                    .iter()
                    .filter(|((held, _), _)| zone.as_ref().is_none_or(|zone| zone == held))
                    .map(|(_, row)| row.clone())
                    .collect();
                let event = if self.store_up {
                    MembershipEvent::SeedRowsRead {
                        availability_zone,
                        rows,
                        system_now: SystemTime::UNIX_EPOCH + self.elapsed(),
                    }
                } else {
                    MembershipEvent::SeedRowsUnavailable
                };
                let due = self.now + self.store_delay;
                self.store_answers.push((due, place, event));
            }
            MembershipAction::Send { address, message } => self.send(place, address, &message),
            MembershipAction::WriteSeedRow { replaces, row } => {
                let key = (row.availability_zone.to_string(), row.slot);
                self.store_writes += 1;
                if self.store_up && self.rows.get(&key) == replaces.as_ref() {
                    self.rows.insert(key, row);
                }
            }
        }
    }

    /// Hands on what the store answered.
    fn answer(&mut self) {
        let now = self.now;
        let due = self.store_answers.extract_if(.., |answer| answer.0 <= now);
        for (_, place, event) in due.collect::<Vec<_>>() {
            self.event(place, event);
        }
    }

    /// Fails if a word of an old life overruled a newer one in the view at a place.
    fn check(&mut self, place: usize) {
        let held = &self.places[place];
        let members: Vec<(InstanceId, Held)> = held
            .core
            .iter()
            .flat_map(Membership::members)
            .map(|member| {
                let updates = member.announcement;
                let life = updates.member.incarnation;
                let held = (life, updates.sequence, member.state.is_living());
                (updates.member.instance.clone(), held)
            })
            .collect();
        for (instance, now) in members {
            let subject = place_of(&instance);
            assert!(now.0 <= self.places[subject].issued, "a life nobody began");
            if let Some(before) = self.places[place].seen.insert(instance, now) {
                assert!(
                    (now.0, now.1) >= (before.0, before.1),
                    "an older update won"
                );
                let rose = now.0 == before.0 && now.2 && !before.2;
                assert!(!rose, "a dead life rose again");
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, incarnation, message) = entry.remove();
            let is_cut = self.groups[from] != self.groups[to];
            if is_cut || self.places[to].core.is_none() {
                continue;
            }
            if self.places[to].paused_until > self.now {
                self.places[to].inbox.push((from, incarnation, message));
            } else {
                self.receive(from, to, incarnation, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, incarnation: Incarnation, message: Message) {
        if matches!(message, Message::StateRequest { .. }) {
            *self.pages_to.entry(to).or_default() += 1;
        }
        let event = MembershipEvent::Received {
            address: address(from),
            incarnation,
            message,
            sender: instance(from),
        };
        self.event(to, event);
    }

    fn send(&mut self, from: usize, to: Address, message: &Message) {
        let sender = &mut self.places[from];
        let bytes = message.max_bytes();
        assert!(bytes <= 1_200 - 100, "{bytes} bytes in {message:?}");
        sender.sent_bytes += bytes + ENVELOPE_BYTES;
        sender.sent_messages += 1;
        let incarnation = sender
            .core
            .as_ref()
            .unwrap()
            .own_announcement()
            .member
            .incarnation;
        let to = usize::from(to.port()) - 1;
        let copies = 1 + usize::from(self.random.u32(..100) < self.duplicated_percent);
        for _ in 0..copies {
            if self.random.u32(..100) >= self.lost_percent {
                let due = self.now + self.delay.mul_f64(self.random.f64());
                self.queued += 1;
                let entry = (from, to, incarnation, message.clone());
                self.queue.insert((due, self.queued), entry);
            }
        }
    }

    fn wake(&mut self, place: usize) {
        let held = &mut self.places[place];
        let is_paused = held.paused_until > self.now;
        let Some(core) = held.core.as_ref().filter(|_| !is_paused) else {
            return;
        };
        let is_due = core.next_wakeup() <= self.now;
        for (from, incarnation, message) in std::mem::take(&mut held.inbox) {
            self.receive(from, place, incarnation, message);
        }
        if is_due {
            self.event(place, MembershipEvent::Tick);
        }
    }
}

pub fn address(place: usize) -> Address {
    let port = u16::try_from(place + 1).unwrap();
    Address::from(([127, 0, 0, 1], port))
}

pub fn instance(place: usize) -> InstanceId {
    format!("instance-{place}").parse().unwrap()
}

fn place_of(instance: &InstanceId) -> usize {
    let text = instance.as_str().trim_start_matches("instance-");
    text.parse().unwrap()
}
