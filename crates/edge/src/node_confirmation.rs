use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use medlarspool_hop::{ConfirmationAnswer, ConfirmationQuestion};
use medlarspool_mesh::{
    BootTime, ConfirmationRole, ConfirmationStep, PeerConfirmation, StoredConfig,
};

use crate::{boot_clock::boot_time, node::Node, pending_question::PendingQuestion, units::millis};

/// The most questions that wait for an answer; an answer to an earlier one would be older than those to later ones.
const MAX_PENDING_QUESTIONS: usize = 4;

impl Node {
    /// Returns the age of the confirmation of the configuration in force; none if it was not confirmed since the start.
    pub(crate) fn confirmation_age(&self) -> Option<Duration> {
        self.confirmation.age.age(boot_time())
    }

    /// Returns whether the configuration in force permits clients' keys at this moment.
    pub(crate) fn permits_keys(&self) -> bool {
        self.confirmation
            .policy
            .is_none_or(|policy| policy.permits_keys(self.confirmation_age()))
    }

    /// Returns whom this daemon gets its confirmations from.
    pub(crate) fn confirmation_role(&self, now: Instant) -> ConfirmationRole {
        self.directory.confirmation_role(
            now,
            self.settings.peer_address,
            self.is_elected_relay(now),
        )
    }

    /// Returns what is to be done for the confirmation; none if keys don't expire in this deployment.
    pub(crate) fn confirmation_step(&self, now: Instant) -> Option<ConfirmationStep> {
        let since_start = || boot_time().saturating_since(self.confirmation.started_at);
        let age = self.confirmation_age().unwrap_or_else(since_start);
        let policy = self.confirmation.policy?;
        Some(policy.step(self.confirmation_role(now), age))
    }

    /// Asks a peer for a confirmation, if there is one that may have a younger one.
    pub(crate) fn ask_for_confirmation(&mut self, now: Instant, is_late: bool) {
        let role = self.confirmation_role(now);
        let own_address = self.settings.peer_address;
        let peer = self
            .directory
            .confirmation_peer(now, own_address, role, is_late);
        let Some(asked) = peer else { return };
        let nonce = fastrand::u64(..);
        if self.confirmation.pending_questions.len() >= MAX_PENDING_QUESTIONS {
            self.confirmation.pending_questions.pop_front();
        }
        // Taken before the question is sent, since the answer counts from this moment.
        let sent_at = boot_time();
        self.confirmation
            .pending_questions
            .push_back(PendingQuestion {
                asked,
                nonce,
                sent_at,
            });
        self.send(&ConfirmationQuestion { nonce }.encode(), asked);
    }

    /// Answers a peer's question, unless this daemon has no confirmation itself.
    pub(crate) fn answer_question(&self, from: SocketAddr, question: ConfirmationQuestion) {
        let known = self.confirmation.age.stored().zip(self.confirmation_age());
        let Some((stored, age)) = known.filter(|_| self.confirmation.policy.is_some()) else {
            return;
        };
        // The age belongs to the version in force, whatever the store was last seen to hold.
        if stored.version != self.config_version() {
            return;
        }
        let answer = ConfirmationAnswer {
            confirmation: PeerConfirmation { age, stored },
            nonce: question.nonce,
        };
        self.send(&answer.encode(), from);
    }

    /// Records the answer to a question of this daemon; ignores any other one.
    pub(crate) fn receive_answer(&mut self, from: SocketAddr, answer: &ConfirmationAnswer) {
        let is_answered =
            |question: &PendingQuestion| question.nonce == answer.nonce && question.asked == from;
        let Some(index) = self
            .confirmation
            .pending_questions
            .iter()
            .position(is_answered)
        else {
            return;
        };
        let Some(question) = self.confirmation.pending_questions.remove(index) else {
            return;
        };
        let era = self
            .app
            .as_ref()
            .map_or_else(Default::default, |app| app.store.era());
        self.confirmation.age.record_peer_answer(
            question.sent_at,
            self.config_version(),
            era,
            answer.confirmation,
        );
    }

    /// Records that the store held a version of the configuration in its answer to a call that was sent at `sent_at`.
    pub(crate) fn record_stored_config(&mut self, sent_at: BootTime, stored: StoredConfig) {
        let held_version = self.config_version();
        self.confirmation
            .age
            .record_store_answer(sent_at, held_version, stored);
    }

    /// Logs whether keys are permitted, if that has changed.
    pub(crate) fn log_permission(&mut self) {
        let permits_keys = self.permits_keys();
        if std::mem::replace(&mut self.confirmation.permitted_keys, permits_keys) == permits_keys {
            return;
        }
        let age_ms = self.confirmation_age().map_or(0, millis);
        if permits_keys {
            log::info!(event = "keys", permitted = true, age_ms = age_ms; "");
        } else {
            log::warn!(event = "keys", permitted = false, age_ms = age_ms; "");
        }
    }
}
