use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::QuotaMessage;
use medlarspool_mesh::{
    Account, QuotaCredit, QuotaGrant, QuotaLeases, QuotaPartition, QuotaQuestion,
};
use serde_json::{Value, json};
use stakker::CX;

use crate::{
    boot_clock::boot_time, node::Node, quota_account::QuotaAccount, quota_step::QuotaStep,
    quota_waiter::QuotaWaiter, quotas::Quotas, units::millis,
};

/// After what time without a request an account is forgotten.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// After what time a daemon is asked again that doesn't hold the partition, or no longer does.
const RETRY_NOT_HELD_AFTER: Duration = Duration::from_millis(100);

/// After what time a holder is asked again that doesn't know the account's limit yet.
const RETRY_UNKNOWN_LIMIT_AFTER: Duration = Duration::from_millis(200);

/// The most accounts that are shown by name.
const MAX_SHOWN_ACCOUNTS: usize = 10;

impl Node {
    /// Applies the limits of the configuration in force. Without any limit, nothing is kept and nothing is sent.
    pub(crate) fn apply_limits(&mut self, cx: CX![]) {
        let Some(config) = &self.config else { return };
        if !config.has_limits() {
            self.quotas = Quotas::default();
            if let Some(app) = &self.app {
                app.metrics.quota_partitions.set(0);
            }
            return;
        }
        let bounds = self.settings.quota;
        if let Some(leases) = &mut self.quotas.leases {
            leases.set_allowances(|name| {
                let account = config.account_named(name)?;
                (account.rate_per_s > 0.0).then(|| bounds.allowance(account))
            });
        }
        if self.quotas.leases.is_none() {
            let own_address = self.settings.peer_address;
            let mut leases = QuotaLeases::new(boot_time(), own_address, self.incarnation);
            if !self.serving {
                // A planned stop claims nothing any more.
                leases.stop(boot_time());
            }
            self.quotas.leases = Some(leases);
            self.tick_quotas(cx);
            if let Some(app) = &self.app {
                app.leases_changed.notify_one();
            }
        }
    }

    /// Tells the leases which daemons are alive, and forgets accounts that are not in use.
    pub(crate) fn tick_quotas(&mut self, cx: CX![]) {
        let now = cx.now();
        let Some(leases) = &mut self.quotas.leases else {
            return;
        };
        let own_address = self.settings.peer_address;
        let own_zone = self.settings.availability_zone.clone();
        let alive: Vec<(SocketAddr, Rc<str>, bool)> = self
            .directory
            .peers()
            .filter(|(address, _)| {
                **address != own_address && self.directory.is_alive(now, **address)
            })
            .map(|(address, peer)| {
                let record = peer.record();
                (*address, record.availability_zone.clone(), record.serving)
            })
            .chain([(own_address, own_zone, self.serving)])
            .collect();
        leases.tick(boot_time(), &alive);
        self.quotas.accounts.retain(|_, account| {
            account.waiting_count.get() > 0
                || now.saturating_duration_since(account.last_request_at) < MAX_IDLE
        });
        self.settle_leases(cx);
    }

    /// Counts a request of an account with a limit; the guard counts it as waiting.
    pub(crate) fn count_account_request(
        &mut self,
        now: Instant,
        account: &Rc<Account>,
    ) -> QuotaWaiter {
        let entry = self
            .quotas
            .accounts
            .entry(account.name.clone())
            .or_insert_with(|| QuotaAccount::new(now, &account.name));
        entry.request_count += 1;
        entry.last_request_at = now;
        entry.credits.record_request(now);
        QuotaWaiter::new(entry.waiting_count.clone())
    }

    /// Takes a credit for a request, or finds out whether there may be one.
    pub(crate) fn quota_step(&mut self, now: Instant, name: &Rc<str>) -> QuotaStep {
        let own_address = self.settings.peer_address;
        loop {
            let Some(leases) = &self.quotas.leases else {
                return QuotaStep::Admitted(None);
            };
            // Missing if limits were lifted and set again while the request waited.
            let accounts = &mut self.quotas.accounts;
            let entry = accounts
                .entry(name.clone())
                .or_insert_with(|| QuotaAccount::new(now, name));
            let boot_time = boot_time();
            let is_held = |partition: &QuotaPartition| {
                let holder = leases.believed_holder(boot_time, *partition);
                holder.is_some_and(|holder| {
                    holder == own_address || self.directory.is_alive(now, holder)
                })
            };
            let mut partitions = entry.partitions.clone();
            partitions.retain(is_held);
            let credit = entry.credits.take(now);
            let mut waiting_count = entry.waiting_count.get();
            if credit.is_some() {
                waiting_count = waiting_count.saturating_sub(1);
                if let Some(refused) = entry.end_refusals(now) {
                    log::info!(event = "quota", account = &**name, exceeded = false, refused = refused; "");
                }
            } else if let Some(until) = entry.credits.exhausted_until(now, &partitions) {
                return QuotaStep::Refused(until.saturating_duration_since(now));
            }
            let question = entry.credits.next_question(now, &partitions, waiting_count);
            let is_answered = question.is_some_and(|question| self.ask(now, name, question));
            if credit.is_some() {
                return QuotaStep::Admitted(credit);
            }
            if !is_answered {
                return QuotaStep::Waits;
            }
        }
    }

    /// Records and logs that a request is refused for its account's limit.
    pub(crate) fn record_quota_refusal(&mut self, now: Instant, name: &Rc<str>) {
        if let Some(entry) = self.quotas.accounts.get_mut(name)
            && entry.record_refusal(now)
        {
            log::info!(event = "quota", account = &**name, exceeded = true, refused = 1; "");
        }
    }

    /// Gives back the credit of a request that was refused before it ran.
    pub(crate) fn give_back_credit(&mut self, now: Instant, name: &Rc<str>, credit: QuotaCredit) {
        if let Some(entry) = self.quotas.accounts.get_mut(name) {
            entry.credits.give_back(now, credit);
        }
    }

    /// Asks the holder of a partition for credits; returns whether it has answered already, since it is this daemon.
    fn ask(&mut self, now: Instant, name: &Rc<str>, question: QuotaQuestion) -> bool {
        let QuotaQuestion {
            nonce,
            partition,
            wanted,
        } = question;
        let config_version = self.config_version();
        let leases = self.quotas.leases.as_ref();
        let holder = leases.and_then(|leases| leases.believed_holder(boot_time(), partition));
        let Some(holder) = holder else { return false };
        if holder == self.settings.peer_address {
            let grant = self.grant_credits(name, config_version, Some(partition), wanted);
            self.receive_credits(now, name, nonce, grant);
            return true;
        }
        if let Some(app) = &self.app {
            app.metrics.quota_questions.inc();
        }
        let message = QuotaMessage::Question {
            account: name.to_string(),
            config_version,
            nonce,
            partition: Some(partition),
            wanted,
        };
        self.send(&message.encode(), holder);
        false
    }

    /// Handles a question for credits, or the answer to one of this daemon.
    pub(crate) fn handle_quota_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: QuotaMessage,
    ) {
        match message {
            QuotaMessage::Grant {
                account,
                grant,
                nonce,
            } => self.receive_credits(now, &account, nonce, grant),
            QuotaMessage::Question {
                account,
                config_version,
                nonce,
                partition,
                wanted,
            } => {
                if self.quotas.leases.is_none() {
                    return;
                }
                let grant = self.grant_credits(&account, config_version, partition, wanted);
                let answer = QuotaMessage::Grant {
                    account,
                    grant,
                    nonce,
                };
                self.send(&answer.encode(), from);
            }
        }
    }

    /// Grants credits as holder of a partition. A daemon that doesn't hold it grants nothing, and so does every daemon
    /// in answer to the question of an earlier release.
    fn grant_credits(
        &mut self,
        name: &str,
        asker_version: u64,
        partition: Option<QuotaPartition>,
        wanted: u32,
    ) -> QuotaGrant {
        let denied = |retry_after| QuotaGrant {
            granted: 0,
            retry_after,
        };
        let (Some(config), Some(leases)) = (&self.config, &mut self.quotas.leases) else {
            return denied(RETRY_UNKNOWN_LIMIT_AFTER);
        };
        match config.account_named(name) {
            Some(account) if account.rate_per_s > 0.0 => {
                let allowance = self.settings.quota.allowance(account);
                let grant = partition.and_then(|partition| {
                    leases.grant(boot_time(), partition, &account.name, allowance, wanted)
                });
                grant.unwrap_or(denied(RETRY_NOT_HELD_AFTER))
            }
            // The limit was lifted; the asking daemon doesn't know it yet.
            Some(_) if config.version > asker_version => QuotaGrant {
                granted: wanted,
                retry_after: Duration::ZERO,
            },
            _ => denied(RETRY_UNKNOWN_LIMIT_AFTER),
        }
    }

    fn receive_credits(&mut self, now: Instant, name: &str, nonce: u64, grant: QuotaGrant) {
        let Some(entry) = self.quotas.accounts.get_mut(name) else {
            return;
        };
        if entry.credits.receive_grant(now, nonce, grant)
            && let Some(app) = &self.app
        {
            app.metrics.quota_credits.inc_by(grant.granted.into());
            app.credits_arrived.notify_waiters();
        }
    }

    /// Returns the state of the quotas for dumps: the busiest accounts by name, and the others as one.
    pub(crate) fn quota_dump(&self, now: Instant) -> Option<Value> {
        let leases = self.quotas.leases.as_ref()?;
        let boot_time = boot_time();
        let mut accounts: Vec<_> = self.quotas.accounts.iter().collect();
        accounts.sort_by_key(|(name, account)| {
            (std::cmp::Reverse(account.request_count), (*name).clone())
        });
        let others = accounts.split_off(accounts.len().min(MAX_SHOWN_ACCOUNTS));
        let shown: Vec<_> = accounts
            .into_iter()
            .map(|(name, account)| {
                let holders = account.partitions.iter().map(|partition| {
                    let holder = leases.believed_holder(boot_time, *partition);
                    holder.map(|holder| holder.to_string())
                });
                let partitions = account.partitions.iter();
                json!({
                    "account": &**name,
                    "credits": account.credits.stock_count(now),
                    "holders": holders.collect::<Vec<_>>(),
                    "idle_ms": millis(now.saturating_duration_since(account.last_request_at)),
                    "partitions": partitions.map(|one| one.number()).collect::<Vec<_>>(),
                    "refused": account.refused_count,
                    "requests": account.request_count,
                    "waiting": account.waiting_count.get(),
                })
            })
            .collect();
        let sum = |count: fn(&QuotaAccount) -> u64| -> u64 {
            others.iter().map(|(_, account)| count(account)).sum()
        };
        let held = QuotaPartition::all().filter(|partition| leases.holds(boot_time, *partition));
        Some(json!({
            "accounts": shown,
            "buckets": leases.bucket_count(),
            "held": held.map(QuotaPartition::number).collect::<Vec<_>>(),
            "holders": QuotaPartition::all()
                .map(|partition| leases.believed_holder(boot_time, partition))
                .map(|holder| holder.map(|holder| holder.to_string()))
                .collect::<Vec<_>>(),
            "other_accounts": {
                "count": others.len(),
                "refused": sum(|account| account.refused_count),
                "requests": sum(|account| account.request_count),
            },
            "renewed_ms": leases.renewal_age(boot_time).map(millis),
        }))
    }
}
