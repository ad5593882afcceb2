use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    QuotaCredit, QuotaGrant, QuotaPartition, QuotaQuestion,
    quota_bounds::{CREDIT_LIFETIME, MAX_HOLD},
};

/// After what time without an answer a question counts as lost, and the holder of the next partition is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// For how long a holder that didn't answer is asked only if no other one is left.
const UNANSWERED_PERIOD: Duration = Duration::from_secs(1);

/// The time for whose expected requests an entry asks for credits ahead.
const AHEAD_S: f64 = 0.3;

/// An entry asks again when its credits are expected to last no longer than this.
const REFILL_S: f64 = 0.1;

/// The time over which the demand is averaged.
const DEMAND_PERIOD_S: f64 = 1.0;

/// The credits that an entry holds for an account, and what it knows of the account's partitions.
#[derive(Debug)]
pub struct QuotaCredits {
    /// The requests per second at this entry, as a moving average as of `demand_at`.
    demand_per_s: f64,
    demand_at: Instant,
    /// The partitions that have no credits, each with the time when it will have some.
    exhausted: Vec<(QuotaPartition, Instant)>,
    next_nonce: u64,
    question: Option<SentQuestion>,
    /// The oldest first.
    stock: VecDeque<QuotaCredit>,
    /// The partitions whose holders didn't answer, each with the time until when others are preferred.
    unanswered: Vec<(QuotaPartition, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct SentQuestion {
    question: QuotaQuestion,
    sent_at: Instant,
}

impl QuotaCredits {
    /// The longest time for which an entry holds a request that waits for a credit.
    pub const MAX_HOLD: Duration = MAX_HOLD;

    /// Creates the state of an account that is not in use yet. `first_nonce` is drawn at random, so that an answer to
    /// an earlier process at the same address isn't taken for one to this.
    #[must_use]
    pub const fn new(now: Instant, first_nonce: u64) -> Self {
        Self {
            demand_per_s: 0.0,
            demand_at: now,
            exhausted: Vec::new(),
            next_nonce: first_nonce,
            question: None,
            stock: VecDeque::new(),
            unanswered: Vec::new(),
        }
    }

    /// Counts a request of the account towards its demand.
    pub fn record_request(&mut self, now: Instant) {
        self.demand_per_s = self.demand(now) + 1.0 / DEMAND_PERIOD_S;
        self.demand_at = self.demand_at.max(now);
    }

    /// Takes the credit that expires first; none if there is none.
    pub fn take(&mut self, now: Instant) -> Option<QuotaCredit> {
        self.drop_expired(now);
        self.stock.pop_front()
    }

    /// Returns the credit of a request that was refused before it ran. It expires as before.
    pub fn give_back(&mut self, now: Instant, credit: QuotaCredit) {
        let index = self
            .stock
            .partition_point(|held| held.expires_at <= credit.expires_at);
        self.stock.insert(index, credit);
        self.drop_expired(now);
    }

    /// Returns the question that is to be sent now, if any. `waiting_count` is the number of requests that wait for
    /// credits, and `partitions` are those of the account's partitions whose
    /// holders are known.
    pub fn next_question(
        &mut self,
        now: Instant,
        partitions: &[QuotaPartition],
        waiting_count: u32,
    ) -> Option<QuotaQuestion> {
        self.drop_expired(now);
        if let Some(sent) = self.question {
            if now.saturating_duration_since(sent.sent_at) < ANSWER_TIMEOUT {
                return None;
            }
            self.question = None;
            let until = now + UNANSWERED_PERIOD;
            replace(&mut self.unanswered, sent.question.partition, until);
        }
        let wanted = self.wanted(now, waiting_count);
        if wanted == 0 {
            return None;
        }
        let partition = self.choose_partition(now, partitions)?;
        let question = QuotaQuestion {
            partition,
            nonce: self.next_nonce,
            wanted,
        };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        self.question = Some(SentQuestion {
            question,
            sent_at: now,
        });
        Some(question)
    }

    /// Applies a holder's answer; returns whether it answers the question in flight. Any other one is ignored, since it
    /// isn't known when its question was sent.
    pub fn receive_grant(&mut self, now: Instant, nonce: u64, grant: QuotaGrant) -> bool {
        let Some(sent) = self.question.filter(|sent| sent.question.nonce == nonce) else {
            return false;
        };
        self.question = None;
        let QuotaQuestion {
            partition, wanted, ..
        } = sent.question;
        self.unanswered.retain(|(other, _)| *other != partition);
        let credit = QuotaCredit {
            expires_at: sent.sent_at + CREDIT_LIFETIME,
        };
        for _ in 0..grant.granted.min(wanted) {
            self.stock.push_back(credit);
        }
        if grant.granted < wanted {
            replace(&mut self.exhausted, partition, now + grant.retry_after);
        }
        self.drop_expired(now);
        true
    }

    /// Returns when the first of the partitions will have a credit, if all of them are known to have none and no answer is
    /// awaited: until then requests are refused without asking.
    #[must_use]
    pub fn exhausted_until(&self, now: Instant, partitions: &[QuotaPartition]) -> Option<Instant> {
        if self.question.is_some() {
            return None;
        }
        let mut first = None;
        for partition in partitions {
            let (_, until) = self
                .exhausted
                .iter()
                .find(|(other, until)| other == partition && *until > now)?;
            first = Some(first.map_or(*until, |first: Instant| first.min(*until)));
        }
        first
    }

    /// Returns the number of credits that can be used.
    #[must_use]
    pub fn stock_count(&self, now: Instant) -> usize {
        self.stock
            .iter()
            .filter(|credit| credit.expires_at > now)
            .count()
    }

    /// Returns how many credits to ask for. Credits ahead of need are asked for only where more than one request is
    /// expected within their lifetime; elsewhere most of them would expire.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn wanted(&self, now: Instant, waiting_count: u32) -> u32 {
        let demand_per_s = self.demand(now);
        let ahead = (demand_per_s * AHEAD_S).floor() as u32;
        let stock_count = self.stock.len() as u32;
        let is_low = f64::from(stock_count) <= demand_per_s * REFILL_S;
        if waiting_count == 0 && (ahead == 0 || !is_low) {
            return 0;
        }
        let ahead = if ahead > 1 { ahead } else { 0 };
        waiting_count + ahead.saturating_sub(stock_count)
    }

    /// Chooses one of the partitions at random, so that their buckets are used evenly: one that has credits as far as is
    /// known, and rather one that answers.
    fn choose_partition(
        &self,
        now: Instant,
        partitions: &[QuotaPartition],
    ) -> Option<QuotaPartition> {
        let holds = |list: &[(QuotaPartition, Instant)], partition: QuotaPartition| {
            list.iter()
                .any(|(other, until)| *other == partition && *until > now)
        };
        let candidates: Vec<_> = partitions
            .iter()
            .copied()
            .filter(|partition| !holds(&self.exhausted, *partition))
            .collect();
        let answering: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|partition| !holds(&self.unanswered, *partition))
            .collect();
        fastrand::choice(&answering)
            .or_else(|| fastrand::choice(&candidates))
            .copied()
    }

    fn demand(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand_per_s * (-elapsed_s / DEMAND_PERIOD_S).exp()
    }

    fn drop_expired(&mut self, now: Instant) {
        while self
            .stock
            .front()
            .is_some_and(|credit| credit.expires_at <= now)
        {
            self.stock.pop_front();
        }
    }
}

fn replace(list: &mut Vec<(QuotaPartition, Instant)>, partition: QuotaPartition, until: Instant) {
    list.retain(|(other, _)| *other != partition);
    list.push((partition, until));
}
