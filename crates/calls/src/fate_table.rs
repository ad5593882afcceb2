use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Instant,
};

use medlarspool_types::{CallId, Incarnation};

use crate::{
    Arrival, CallSettings, ChannelId, Fate, FateQuestion, FateReply, QuestionKind, RunOutcome,
};

/// A gate's records of its calls, by which an entry that lost an answer learns the fate of its call.
///
/// Records are limited in number and age, and retained answers in total size and age. The eviction of
/// records never makes a reply wrong: each reply carries a [`FateReply::retention`], and the table
/// still has the record of every started call that arrived within that time. See
/// `docs/design/calls.md`.
#[derive(Debug)]
pub struct FateTable<A> {
    answers: VecDeque<RetainedAnswer>,
    answers_bytes: usize,
    channels: BTreeSet<u64>,
    incarnation: Incarnation,
    /// The latest arrival among the evicted records of started calls; before the first eviction,
    /// the time at which this table was made.
    last_evicted_arrival: Instant,
    next_channel_number: u64,
    /// The order in which records are examined for eviction: by arrival, except that calls that still
    /// wait or run when examined are moved to the end.
    pending_eviction: VecDeque<CallId>,
    records: HashMap<CallId, Record<A>>,
    settings: CallSettings,
}

/// The size and the age of an answer, whose content is in the record of its call.
#[derive(Debug)]
struct RetainedAnswer {
    call: CallId,
    finished_at: Instant,
    size_bytes: usize,
}

#[derive(Debug)]
struct Record<A> {
    arrived_at: Instant,
    state: State<A>,
}

#[derive(Debug)]
enum State<A> {
    /// Settled when the table had no record of the call: it must not start any more, but it may
    /// have run before, with a record that was evicted.
    Blocked,
    /// It did not run and never will.
    Fenced,
    /// It was started, and how it ended is unknown.
    Lost,
    /// It ran; `None` if its answer was evicted.
    Ran(Option<A>),
    Running,
    Waiting,
}

impl<A: Clone> FateTable<A> {
    /// Makes an empty table. A call that arrived before `now` reached an earlier incarnation of the
    /// gate, whose records are lost, so no reply rules out that it ran.
    #[must_use]
    pub fn new(settings: &CallSettings, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            answers: VecDeque::new(),
            answers_bytes: 0,
            channels: BTreeSet::new(),
            incarnation,
            last_evicted_arrival: now,
            next_channel_number: 0,
            pending_eviction: VecDeque::new(),
            records: HashMap::new(),
            settings: settings.clone(),
        }
    }

    /// Opens a channel for a new connection; beyond the limit, the oldest channel is closed.
    pub fn open_channel(&mut self) -> ChannelId {
        let number = self.next_channel_number;
        self.next_channel_number += 1;
        self.channels.insert(number);
        if self.channels.len() > self.settings.max_open_channels {
            self.channels.pop_first();
        }
        ChannelId {
            gate_incarnation: self.incarnation,
            number,
        }
    }

    /// Closes a channel, so that no further call is accepted under it.
    pub fn close_channel(&mut self, channel: ChannelId) {
        if channel.gate_incarnation == self.incarnation {
            self.channels.remove(&channel.number);
        }
    }

    /// Records a call that arrived over `channel`, unless it must not run.
    pub fn arrive(&mut self, now: Instant, call: CallId, channel: ChannelId) -> Arrival {
        match self.records.get(&call).map(|record| &record.state) {
            Some(State::Blocked | State::Fenced) => return Arrival::Fenced,
            Some(_) => return Arrival::Known,
            None => {}
        }
        if channel.gate_incarnation != self.incarnation || !self.channels.contains(&channel.number)
        {
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

    /// Fences a waiting call, so that it never starts; returns whether it was still waiting.
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
    pub fn finish(&mut self, now: Instant, call: CallId, outcome: RunOutcome<A>) -> bool {
        let Some(record) = self.records.get_mut(&call) else {
            return false;
        };
        if !matches!(record.state, State::Running) {
            return false;
        }
        record.state = match outcome {
            RunOutcome::Answered {
                answer,
                answer_bytes,
            } => {
                self.answers_bytes += answer_bytes;
                self.answers.push_back(RetainedAnswer {
                    call,
                    finished_at: now,
                    size_bytes: answer_bytes,
                });
                State::Ran(Some(answer))
            }
            RunOutcome::Lost => State::Lost,
            RunOutcome::NotSent => State::Fenced,
        };
        self.evict(now);
        true
    }

    /// Returns what became of a call. [`QuestionKind::Settle`] first closes the call's channel and
    /// fences the call if it has not started.
    ///
    /// If there is no record of the call, [`QuestionKind::Settle`] about a channel of this
    /// incarnation blocks the call and returns [`Fate::NeverSeen`]. Every other question without a
    /// record returns [`Fate::MayHaveRun`].
    pub fn ask(&mut self, now: Instant, question: &FateQuestion) -> FateReply<A> {
        self.evict(now);
        if question.kind == QuestionKind::Settle {
            self.close_channel(question.channel);
            self.fence(question.call);
        }
        let fate = match self.records.get(&question.call).map(|record| &record.state) {
            Some(State::Blocked) => Fate::NeverSeen,
            Some(State::Fenced) => Fate::NotRun,
            Some(State::Lost) => Fate::MayHaveRun,
            Some(State::Ran(Some(answer))) => Fate::Ran(answer.clone()),
            Some(State::Ran(None)) => Fate::AnswerGone,
            Some(State::Running | State::Waiting) => Fate::Underway,
            None if question.channel.gate_incarnation != self.incarnation => Fate::MayHaveRun,
            None if question.kind == QuestionKind::Inquire => Fate::MayHaveRun,
            None => {
                self.insert(now, question.call, State::Blocked);
                Fate::NeverSeen
            }
        };
        FateReply {
            fate,
            retention: now.saturating_duration_since(self.last_evicted_arrival),
        }
    }

    /// Evicts the answers and records that are past their retention time or beyond their limit, the
    /// oldest first. The records of calls that wait or run are never evicted.
    pub fn evict(&mut self, now: Instant) {
        self.evict_answers(now);
        for _ in 0..self.pending_eviction.len() {
            let Some(&call) = self.pending_eviction.front() else {
                return;
            };
            let Some(record) = self.records.get(&call) else {
                self.pending_eviction.pop_front();
                continue;
            };
            let expired =
                now.saturating_duration_since(record.arrived_at) >= self.settings.fate_retention;
            if !expired && self.records.len() <= self.settings.max_fates {
                return;
            }
            self.pending_eviction.pop_front();
            match record.state {
                State::Running | State::Waiting => {
                    self.pending_eviction.push_back(call);
                    continue;
                }
                State::Lost | State::Ran(_) => {
                    self.last_evicted_arrival = self.last_evicted_arrival.max(record.arrived_at);
                }
                State::Blocked | State::Fenced => {}
            }
            self.records.remove(&call);
        }
    }

    /// Returns the number of records, those of waiting and running calls included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of the retained answers, in bytes.
    #[must_use]
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    fn evict_answers(&mut self, now: Instant) {
        while let Some(oldest) = self.answers.front() {
            let expired =
                now.saturating_duration_since(oldest.finished_at) >= self.settings.answer_retention;
            if !expired && self.answers_bytes <= self.settings.max_answers_bytes {
                return;
            }
            self.answers_bytes -= oldest.size_bytes;
            if let Some(record) = self.records.get_mut(&oldest.call) {
                record.state = State::Ran(None);
            }
            self.answers.pop_front();
        }
    }

    fn insert(&mut self, now: Instant, call: CallId, state: State<A>) {
        self.evict(now);
        self.pending_eviction.push_back(call);
        let record = Record {
            arrived_at: now,
            state,
        };
        self.records.insert(call, record);
    }
}
