use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Instant,
};

use medlarspool_types::{CallId, Incarnation};

use crate::{
    Arrival, CallSettings, ChannelId, Fate, FateQuestion, FateReply, QuestionKind, RunOutcome,
};

/// A gate's memory of its calls, by which a lost answer is settled.
///
/// Its bounds on entries, bytes and time shorten what it can tell but never make a lie. It knows up
/// to which arrival it has forgotten a call that ran, and tells so with each reply. See
/// `docs/design/calls.md`.
#[derive(Debug)]
pub struct FateTable<A> {
    answers: VecDeque<KeptAnswer>,
    answers_bytes: usize,
    channels: BTreeSet<u64>,
    forgotten_to: Instant,
    life: Incarnation,
    next_channel: u64,
    order: VecDeque<CallId>,
    records: HashMap<CallId, Record<A>>,
    settings: CallSettings,
}

#[derive(Debug)]
struct KeptAnswer {
    bytes: usize,
    call: CallId,
    since: Instant,
}

#[derive(Debug)]
struct Record<A> {
    arrived: Instant,
    state: State<A>,
}

#[derive(Debug)]
enum State<A> {
    /// Asked for without a record: it may not start any more, but an earlier record of it may have
    /// been forgotten.
    Barred,
    Fenced,
    Lost,
    Ran(Option<A>),
    Running,
    Waiting,
}

impl<A: Clone> FateTable<A> {
    /// Starts with an empty memory; whatever was called before `now` may have met an earlier life.
    #[must_use]
    pub fn new(settings: &CallSettings, life: Incarnation, now: Instant) -> Self {
        Self {
            answers: VecDeque::new(),
            answers_bytes: 0,
            channels: BTreeSet::new(),
            forgotten_to: now,
            life,
            next_channel: 0,
            order: VecDeque::new(),
            records: HashMap::new(),
            settings: settings.clone(),
        }
    }

    /// Opens a channel for a new connection; over the limit the oldest channel is closed.
    pub fn open_channel(&mut self) -> ChannelId {
        let number = self.next_channel;
        self.next_channel += 1;
        self.channels.insert(number);
        if self.channels.len() > self.settings.max_open_channels {
            self.channels.pop_first();
        }
        ChannelId {
            gate_incarnation: self.life,
            number,
        }
    }

    /// Closes a channel, so that nothing more is accepted under it.
    pub fn close_channel(&mut self, channel: ChannelId) {
        if channel.gate_incarnation == self.life {
            self.channels.remove(&channel.number);
        }
    }

    /// Takes in a call that arrived over `channel`, unless it must not run.
    pub fn arrive(&mut self, now: Instant, call: CallId, channel: ChannelId) -> Arrival {
        match self.records.get(&call).map(|record| &record.state) {
            Some(State::Barred | State::Fenced) => return Arrival::Fenced,
            Some(_) => return Arrival::Known,
            None => {}
        }
        if channel.gate_incarnation != self.life || !self.channels.contains(&channel.number) {
            return Arrival::ChannelClosed;
        }
        self.insert(now, call, State::Waiting);
        Arrival::New
    }

    /// Marks a waiting call as running; returns whether it may run.
    #[must_use]
    pub fn start(&mut self, call: CallId) -> bool {
        match self.records.get_mut(&call) {
            Some(record) if matches!(record.state, State::Waiting) => {
                record.state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Fences a waiting call; returns whether it was still waiting.
    pub fn fence(&mut self, call: CallId) -> bool {
        match self.records.get_mut(&call) {
            Some(record) if matches!(record.state, State::Waiting) => {
                record.state = State::Fenced;
                true
            }
            _ => false,
        }
    }

    /// Records how a running call ended; returns whether it was running.
    pub fn finish(&mut self, now: Instant, call: CallId, end: RunOutcome<A>) -> bool {
        let Some(record) = self.records.get_mut(&call) else {
            return false;
        };
        if !matches!(record.state, State::Running) {
            return false;
        }
        record.state = match end {
            RunOutcome::Answered {
                answer,
                answer_bytes,
            } => {
                self.answers_bytes += answer_bytes;
                self.answers.push_back(KeptAnswer {
                    bytes: answer_bytes,
                    call,
                    since: now,
                });
                State::Ran(Some(answer))
            }
            RunOutcome::Lost => State::Lost,
            RunOutcome::NotSent => State::Fenced,
        };
        self.forget(now);
        true
    }

    /// Tells what became of a call. Settling fences what has not started and closes its channel.
    pub fn ask(&mut self, now: Instant, question: &FateQuestion) -> FateReply<A> {
        self.forget(now);
        if question.kind == QuestionKind::Settle {
            self.close_channel(question.channel);
            self.fence(question.call);
        }
        let fate = match self.records.get(&question.call).map(|record| &record.state) {
            Some(State::Barred) => Fate::NeverSeen,
            Some(State::Fenced) => Fate::NotRun,
            Some(State::Lost) => Fate::MayHaveRun,
            Some(State::Ran(Some(answer))) => Fate::Ran(answer.clone()),
            Some(State::Ran(None)) => Fate::AnswerGone,
            Some(State::Running | State::Waiting) => Fate::Underway,
            None if question.channel.gate_incarnation != self.life => Fate::MayHaveRun,
            None if question.kind == QuestionKind::Inquire => Fate::MayHaveRun,
            None => {
                self.insert(now, question.call, State::Barred);
                Fate::NeverSeen
            }
        };
        FateReply {
            fate,
            remembered: now.saturating_duration_since(self.forgotten_to),
        }
    }

    /// Drops what is past its time or over its bound.
    pub fn forget(&mut self, now: Instant) {
        self.forget_answers(now);
        for _ in 0..self.order.len() {
            let Some(&call) = self.order.front() else {
                return;
            };
            let Some(record) = self.records.get(&call) else {
                self.order.pop_front();
                continue;
            };
            let aged =
                now.saturating_duration_since(record.arrived) >= self.settings.fate_retention;
            if !aged && self.records.len() <= self.settings.max_fates {
                return;
            }
            self.order.pop_front();
            match record.state {
                State::Running | State::Waiting => {
                    self.order.push_back(call);
                    continue;
                }
                State::Lost | State::Ran(_) => {
                    self.forgotten_to = self.forgotten_to.max(record.arrived);
                }
                State::Barred | State::Fenced => {}
            }
            self.records.remove(&call);
        }
    }

    /// Returns the number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of answers held.
    #[must_use]
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    fn forget_answers(&mut self, now: Instant) {
        while let Some(oldest) = self.answers.front() {
            let aged =
                now.saturating_duration_since(oldest.since) >= self.settings.answer_retention;
            if !aged && self.answers_bytes <= self.settings.max_answers_bytes {
                return;
            }
            self.answers_bytes -= oldest.bytes;
            if let Some(record) = self.records.get_mut(&oldest.call) {
                record.state = State::Ran(None);
            }
            self.answers.pop_front();
        }
    }

    fn insert(&mut self, now: Instant, call: CallId, state: State<A>) {
        self.forget(now);
        self.order.push_back(call);
        let record = Record {
            arrived: now,
            state,
        };
        self.records.insert(call, record);
    }
}
