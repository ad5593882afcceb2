use std::rc::Rc;

use medlarspool_mesh::TargetLimit;

use crate::{
    app::App, fleet_status::fleet_status, incoming_request::IncomingRequest, line_log,
    panic_hook::panic_count, reply::Reply, state_dump::state_dump, units::millis,
};

/// Serves operators: `/metrics`, `/status` with the state of the fleet, and `/dump` with this daemon's
/// state.
///
/// No token is required, since the address is inside the platform's network and no secrets are served.
pub(crate) async fn serve_operator(app: Rc<App>, incoming: IncomingRequest) -> Reply {
    match &*incoming.head.request_target {
        b"/dump" => Reply::json(state_dump(&app).to_string()),
        b"/status" => Reply::json(fleet_status(&app).to_string()),
        b"/metrics" => {
            update_gauges(&app);
            match app.metrics.render() {
                Ok(text) => Reply::with_body(200, text)
                    .with_header("Content-Type", "text/plain; version=0.0.4"),
                Err(error) => {
                    log::error!(event = "metrics", error = error.to_string().as_str(); "");
                    Reply::status(500)
                }
            }
        }
        _ => Reply::status(404),
    }
}

/// Updates the metrics that are computed when they are read.
fn update_gauges(app: &Rc<App>) {
    let metrics = &app.metrics;
    app.core.with(|node, cx| {
        let now = cx.now();
        let (mut silent_daemon_count, mut unheard_daemon_count) = (0, 0);
        let (mut silent_target_count, mut unusable_target_count, mut usable_target_count) =
            (0, 0, 0);
        for (address, peer) in node.directory.peers() {
            let alive = node.directory.is_alive(now, *address);
            match (alive, peer.silent_for(now)) {
                (false, None) => unheard_daemon_count += 1,
                (false, Some(_)) => silent_daemon_count += 1,
                (true, _) => {}
            }
            match &peer.record().target {
                None => {}
                Some(_) if !alive => silent_target_count += 1,
                Some(_) if peer.offers_target() => usable_target_count += 1,
                Some(_) => unusable_target_count += 1,
            }
        }
        let alive_count = node.directory.alive_count(now);
        let counts = [
            (&metrics.daemons, "alive", clamped(alive_count)),
            (&metrics.daemons, "silent", silent_daemon_count),
            (&metrics.daemons, "unheard", unheard_daemon_count),
            (&metrics.targets, "silent", silent_target_count),
            (&metrics.targets, "unusable", unusable_target_count),
            (&metrics.targets, "usable", usable_target_count),
        ];
        for (metric, state, count) in counts {
            metric.with_label_values(&[state]).set(count);
        }
        let load = node.load(now);
        metrics.target_running.set(load.running_count.into());
        metrics
            .target_waiting
            .set(load.waiting_count(u32::MAX).into());
        metrics.target_failing.set(node.failure_rate);
        metrics.target_limit.set(match node.queue.limiter.limit() {
            TargetLimit::Limited(rate) => rate.requests_per_s(),
            TargetLimit::Unknown | TargetLimit::Unlimited => -1.0,
        });
        let age = node
            .config_at
            .map_or(0, |at| millis(now.saturating_duration_since(at)) / 1_000);
        metrics.config_age.set(clamped(age));
        let confirmed_age = node.store_confirmed_at.map_or(-1, |at| {
            clamped(now.saturating_duration_since(at).as_secs())
        });
        metrics.store_confirmed_age.set(confirmed_age);
        let confirmation_age = node.confirmation_age();
        metrics
            .confirmation_age
            .set(confirmation_age.map_or(-1.0, |age| age.as_secs_f64()));
        if let Some(tracker) = &node.rollouts {
            metrics.rollouts.update(&tracker.rollouts.statuses(now));
        }
        metrics
            .config_refused
            .set(node.refused_config.is_some().into());
        metrics
            .crash_suspects
            .set(clamped(node.crashes.suspects(now).count()));
        let remaining_retries = node.retry_budget.least_remaining(now, alive_count);
        #[allow(clippy::cast_possible_truncation)]
        metrics
            .retry_budget_left
            .set(remaining_retries.floor() as i64);
    });
    metrics
        .store_era
        .set(app.store.era_watch.era().map_or(-1, |era| clamped(era.0)));
    metrics.panics.set(clamped(panic_count()));
    metrics
        .log_lines_dropped
        .set(clamped(line_log::dropped_count()));
}

fn clamped(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
