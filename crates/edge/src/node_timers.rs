use std::time::Duration;

use stakker::{CX, after};

use crate::{
    contain::contain, node::Node, node_reports::REPORT_INTERVAL, node_timer::NodeTimer,
    release::Release,
};

impl Node {
    /// Sets a timer. All timers are set here, since `stakker` never runs again after a panic that unwound through it.
    #[expect(
        clippy::disallowed_macros,
        reason = "a panic of the timer is contained by `fire`"
    )]
    pub(crate) fn set_timer(cx: CX![], wait: Duration, timer: NodeTimer) {
        after!(wait, [cx], fire(timer));
    }

    /// Does the work of a timer and contains its panics. The next tick is set also after a panic.
    pub(crate) fn fire(&mut self, cx: CX![], timer: NodeTimer) {
        let result = contain(|| match timer {
            NodeTimer::NextArrival => self.start_next_arrival(cx),
            NodeTimer::ScheduledReport => self.send_scheduled_report(cx),
            NodeTimer::Tick => self.tick(cx),
        });
        if result.is_none() {
            log::warn!(event = "timer-panicked", timer = timer.to_string().as_str(); "");
        }
        if timer == NodeTimer::Tick {
            Self::set_timer(cx, REPORT_INTERVAL, NodeTimer::Tick);
        }
    }

    /// Takes back what a dropped guard held.
    pub(crate) fn apply_release(&mut self, cx: CX![], release: Release) {
        match release {
            Release::InFlight {
                address,
                is_download,
            } => {
                if let Some(peer) = self.directory.peer_mut(address) {
                    peer.in_flight = peer.in_flight.saturating_sub(1);
                    let downloads = u32::from(is_download);
                    peer.in_flight_downloads = peer.in_flight_downloads.saturating_sub(downloads);
                }
            }
            Release::Slot {
                expected_run_time,
                run_number,
            } => self.end_run(cx, run_number, expected_run_time),
            Release::Ticket { ticket } => self.cancel_wait(ticket),
        }
    }
}
