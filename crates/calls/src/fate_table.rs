use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Instant,
};

use medlarspool_types::{CallId, Incarnation};

use crate::{
    Arrival, CallSettings, ChannelId, Fate, FateQuestion, FateReply, QuestionKind, RunOutcome,
};

/// A gate's memory of its calls, from which an entry that lost an answer learns the call's fate.
///
/// The limits on records, bytes and time shorten how far back the memory reaches, but never make a
/// reply wrong: the table keeps the latest arrival time of the started calls that it has forgotten,
/// and each reply says how far back its memory reaches. See `docs/design/calls.md`.
#[derive(Debug)]
pub struct FateTable<A> {
    answers: VecDeque<RetainedAnswer>,
    answers_bytes: usize,
    channels: BTreeSet<u64>,
    /// The latest arrival of a started call that was forgotten, at first the start of this table.
    forgotten_until: Instant,
    incarnation: Incarnation,
    next_channel: u64,
    /// The order in which records are examined for eviction: by arrival, except that calls that still
    /// wait or run when examined are moved to the end.
    pending_eviction: VecDeque<CallId>,
    records: HashMap<CallId, Record<A>>,
    settings: CallSettings,
}

/// The size and the age of an answer, whose content is in the record of its call.
#[derive(Debug)]
struct RetainedAnswer {
    bytes: usize,
    call: CallId,
    finished_at: Instant,
}

#[derive(Debug)]
struct Record<A> {
    arrived_at: Instant,
    state: State<A>,
}

#[derive(Debug)]
enum State<A> {
    /// Settled when the table had no record of the call: it must not start any more, but it may have
    /// run before, with a record that was forgotten.
    Blocked,
    /// It did not run and never will.
    Fenced,
    /// It was started, and how it ended is unknown.
    Lost,
    /// It ran; `None` if its answer is no longer kept.
    Ran(Option<A>),
    Running,
    Waiting,
}

impl<A: Clone> FateTable<A> {
    /// Starts with an empty memory; a call sent before `now` may have reached an earlier incarnation.
    #[must_use]
    pub fn new(settings: &CallSettings, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            answers: VecDeque::new(),
            answers_bytes: 0,
            channels: BTreeSet::new(),
            forgotten_until: now,
            incarnation,
            next_channel: 0,
            pending_eviction: VecDeque::new(),
            records: HashMap::new(),
            settings: settings.clone(),
        }
    }

    /// Opens a channel for a new connection; beyond the limit, the oldest channel is closed.
    pub fn open_channel(&mut self) -> ChannelId {
        let number = self.next_channel;
        self.next_channel += 1;
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
                    bytes: answer_bytes,
                    call,
                    finished_at: now,
                });
                State::Ran(Some(answer))
            }
            RunOutcome::Lost => State::Lost,
            RunOutcome::NotSent => State::Fenced,
        };
        self.forget(now);
        true
    }

    /// Returns what became of a call. [`QuestionKind::Settle`] first closes the call's channel and
    /// fences the call if it has not started.
    ///
    /// Without a record, the reply is [`Fate::NeverSeen`] only to [`QuestionKind::Settle`] about this
    /// incarnation; the call is then blocked. Otherwise it is [`Fate::MayHaveRun`].
    pub fn ask(&mut self, now: Instant, question: &FateQuestion) -> FateReply<A> {
        self.forget(now);
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
            retention: now.saturating_duration_since(self.forgotten_until),
        }
    }

    /// Forgets the answers and records that are past their retention or beyond their limit. Calls that
    /// wait or run are never forgotten.
    pub fn forget(&mut self, now: Instant) {
        self.forget_answers(now);
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
                    self.forgotten_until = self.forgotten_until.max(record.arrived_at);
                }
                State::Blocked | State::Fenced => {}
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

    /// Returns the total size of the answers held, in bytes.
    #[must_use]
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    fn forget_answers(&mut self, now: Instant) {
        while let Some(oldest) = self.answers.front() {
            let expired =
                now.saturating_duration_since(oldest.finished_at) >= self.settings.answer_retention;
            if !expired && self.answers_bytes <= self.settings.max_answers_bytes {
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
        self.pending_eviction.push_back(call);
        let record = Record {
            arrived_at: now,
            state,
        };
        self.records.insert(call, record);
    }
}
