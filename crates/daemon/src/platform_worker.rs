use std::{
    sync::{
        Arc,
        mpsc::{Receiver, Sender},
    },
    thread::JoinHandle,
};

use medlarspool_membership::SeedRow;
use medlarspool_platform::{Platform, PlatformError, read_head, read_snapshot};
use medlarspool_spread::{FetchOutcome, FetchSource, SpreadEvent};
use medlarspool_types::{AvailabilityZone, ConfigHead};

use crate::{
    DaemonError,
    control_message::ControlMessage,
    membership_seeds::{read_seed_rows, write_seed_row},
    platform_job::PlatformJob,
    shared_state::SharedState,
    spread_apply,
};

/// The thread that sends the control thread's requests to the platform, so that a slow store delays no other
/// thread.
pub(crate) struct PlatformWorker {
    control: Sender<ControlMessage>,
    platform: Arc<dyn Platform>,
    shared: Arc<SharedState>,
}

impl PlatformWorker {
    pub(crate) fn start(
        shared: Arc<SharedState>,
        platform: Arc<dyn Platform>,
        control: Sender<ControlMessage>,
        jobs: Receiver<PlatformJob>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        let worker = Self {
            control,
            platform,
            shared,
        };
        std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || worker.serve(&jobs))
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }

    fn serve(&self, jobs: &Receiver<PlatformJob>) {
        for job in jobs {
            match job {
                PlatformJob::ReadHead => self.read_head(),
                PlatformJob::ReadLists { head } => self.read_lists(head),
                PlatformJob::ReadSeedRows { availability_zone } => {
                    self.read_seed_rows(availability_zone);
                }
                PlatformJob::WriteSeedRow { replaces, row } => {
                    self.write_seed_row(replaces.as_ref(), &row);
                }
            }
        }
    }

    fn read_head(&self) {
        self.shared.metrics.store_reads.inc();
        let event = match read_head(self.platform.as_ref()) {
            Ok(head) => SpreadEvent::HeadRead(head.unwrap_or_default()),
            Err(error) => {
                self.count_failure(&error);
                SpreadEvent::HeadReadFailed
            }
        };
        self.send_to_control(ControlMessage::Spread(event));
    }

    fn read_lists(&self, head: ConfigHead) {
        self.shared.metrics.store_reads.inc();
        let base = self.shared.serving_snapshot();
        let outcome = match read_snapshot(self.platform.as_ref(), base.as_deref(), head) {
            Ok(snapshot) => spread_apply::install_snapshot(&self.shared, snapshot),
            Err(error) => {
                self.count_failure(&error);
                FetchOutcome::Failed
            }
        };
        self.send_to_control(ControlMessage::Spread(SpreadEvent::Fetched {
            head,
            outcome,
            source: FetchSource::Store,
        }));
    }

    fn count_failure(&self, error: &PlatformError) {
        self.shared.metrics.store_failures.inc();
        log::debug!(error = error.to_string().as_str(); "a request to the store failed");
    }

    fn read_seed_rows(&self, availability_zone: Option<AvailabilityZone>) {
        self.shared.metrics.store_reads.inc();
        let rows = read_seed_rows(self.platform.as_ref(), availability_zone.as_ref());
        if let Err(error) = &rows {
            self.count_failure(error);
        }
        self.send_to_control(ControlMessage::SeedRows {
            availability_zone,
            rows: rows.ok(),
        });
    }

    fn write_seed_row(&self, replaces: Option<&SeedRow>, row: &SeedRow) {
        self.shared.metrics.store_reads.inc();
        self.shared.metrics.store_writes.inc();
        if let Err(error) = write_seed_row(self.platform.as_ref(), replaces, row) {
            self.count_failure(&error);
        }
    }

    fn send_to_control(&self, message: ControlMessage) {
        if self.control.send(message).is_err() {
            log::debug!("the control thread has ended");
        }
    }
}
