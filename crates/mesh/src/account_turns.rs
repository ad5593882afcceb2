use std::{rc::Rc, time::Duration};

use crate::account_turn::AccountTurn;

/// The deficit round robin by account within each rank of a gate's queue.
///
/// In a round, every account of the rank earns the same run time, and an account starts its next request once it has
/// earned that request's expected run time. The time earned in a round is arbitrarily short: the rounds in which no
/// account can start a request are skipped, so a decision takes one pass, whatever the requests cost.
///
/// Accounts with nothing queued in a rank have no state there, so there are never more turns than queued requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountTurns {
    /// The turns, at indices that queued requests refer to; none where an index is free.
    turns: Vec<Option<AccountTurn>>,
}

impl AccountTurns {
    /// Adds a queued request; returns the index of its turn.
    pub(crate) fn join(&mut self, rank: u32, account: Option<&Rc<str>>) -> usize {
        let index = self.index_of(rank, account).unwrap_or_else(|| {
            let turn = AccountTurn {
                account: account.cloned(),
                deficit: Duration::ZERO,
                rank,
                waiting_count: 0,
            };
            let free = self.turns.iter().position(Option::is_none);
            let index = free.unwrap_or(self.turns.len());
            if index == self.turns.len() {
                self.turns.push(None);
            }
            self.turns[index] = Some(turn);
            index
        });
        if let Some(turn) = &mut self.turns[index] {
            turn.waiting_count += 1;
        }
        index
    }

    /// Removes a queued request from the turn with this index.
    pub(crate) fn leave(&mut self, index: usize) {
        let Some(turn) = &mut self.turns[index] else {
            return;
        };
        turn.waiting_count -= 1;
        if turn.waiting_count == 0 {
            self.turns[index] = None;
            while let Some(None) = self.turns.last() {
                self.turns.pop();
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        self.turns.clear();
    }

    /// Charges a request that starts to its turn; the other accounts of the rank earn as much as its account lacked.
    pub(crate) fn charge(&mut self, index: usize, cost: Duration) {
        let Some(turn) = &self.turns[index] else {
            return;
        };
        let (rank, lacking) = (turn.rank, cost.saturating_sub(turn.deficit));
        for turn in self.turns.iter_mut().flatten() {
            if turn.rank == rank {
                turn.deficit += lacking;
            }
        }
        if let Some(turn) = &mut self.turns[index] {
            turn.deficit = turn.deficit.saturating_sub(cost);
        }
    }

    /// Returns how much time each account has to earn before the one with this turn starts a request of this cost.
    pub(crate) fn lacking(&self, index: usize, cost: Duration) -> Duration {
        cost.saturating_sub(self.deficit(index))
    }

    /// Returns the time that the account with this turn has earned and not used.
    pub(crate) fn deficit(&self, index: usize) -> Duration {
        let turn = self.turns.get(index).and_then(Option::as_ref);
        turn.map_or(Duration::ZERO, |turn| turn.deficit)
    }

    /// Returns whether all queued requests of a rank have the same turn.
    pub(crate) fn is_undivided(&self, rank: u32) -> bool {
        let of_rank = self.iter().filter(|turn| turn.rank == rank);
        of_rank.count() < 2
    }

    /// Returns the index of an account's turn in a rank, if it has requests queued there.
    pub(crate) fn index_of(&self, rank: u32, account: Option<&Rc<str>>) -> Option<usize> {
        self.turns.iter().position(|turn| {
            turn.as_ref()
                .is_some_and(|turn| turn.rank == rank && turn.account.as_ref() == account)
        })
    }

    /// Returns one more than the highest index of a turn.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &AccountTurn> {
        self.turns.iter().flatten()
    }
}
