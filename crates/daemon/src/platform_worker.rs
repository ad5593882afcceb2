use std::{
    sync::{
        Arc,
        mpsc::{Receiver, Sender},
    },
    thread::JoinHandle,
};

use medlarspool_config::Snapshot;
use medlarspool_platform::{
    Platform, PlatformError, RowCondition, RowWrite, read_head, read_lists,
};
use medlarspool_types::ConfigHead;

use crate::{
    DaemonError, control_message::ControlMessage, platform_job::PlatformJob, shared::Shared,
    upstream_record::UpstreamRecord,
};

/// The most upstream rows that one read asks for.
const MAX_UPSTREAM_ROWS: usize = 10_000;

/// The thread that alone waits for the platform, so that a slow store holds up nothing else.
pub(crate) struct PlatformWorker {
    control: Sender<ControlMessage>,
    platform: Arc<dyn Platform>,
    shared: Arc<Shared>,
}

impl PlatformWorker {
    pub(crate) fn start(
        shared: Arc<Shared>,
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
                PlatformJob::Poll { held, own } => self.poll(held, own.as_ref()),
            }
        }
    }

    fn poll(&self, held: ConfigHead, own: Option<&UpstreamRecord>) {
        let outcome = self
            .exchange_upstreams(own)
            .and_then(|()| self.fetch_newer(held));
        if let Err(error) = outcome {
            self.shared.metrics.store_failures.inc();
            log::debug!(error = error.to_string().as_str(); "the store can't be read");
        }
        self.tell(ControlMessage::PollDone);
    }

    fn exchange_upstreams(&self, own: Option<&UpstreamRecord>) -> Result<(), PlatformError> {
        if let Some(own) = own {
            self.shared.metrics.store_writes.inc();
            self.platform.transact(&[RowWrite {
                condition: RowCondition::Any,
                key: format!("upstreams/{}", own.instance),
                value: serde_json::to_string(own).ok(),
            }])?;
        }
        self.shared.metrics.store_reads.inc();
        let rows = self.platform.rows("upstreams/", MAX_UPSTREAM_ROWS)?;
        let records = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect();
        self.tell(ControlMessage::Upstreams(records));
        Ok(())
    }

    fn fetch_newer(&self, held: ConfigHead) -> Result<(), PlatformError> {
        self.shared.metrics.store_reads.inc();
        let Some(newest) = read_head(self.platform.as_ref())? else {
            return Ok(());
        };
        if newest.version <= held.version {
            return Ok(());
        }
        self.shared.metrics.store_reads.inc();
        let lists = read_lists(self.platform.as_ref(), newest)?;
        match Snapshot::build(newest, Arc::new(lists)) {
            Ok(snapshot) => self.tell(ControlMessage::Configuration(Arc::new(snapshot))),
            Err(error) => {
                self.shared.metrics.config_refused.inc();
                log::error!(version = newest.version.0, error = error.to_string().as_str(); "configuration refused");
            }
        }
        Ok(())
    }

    fn tell(&self, message: ControlMessage) {
        if self.control.send(message).is_err() {
            log::debug!("the control thread is gone");
        }
    }
}
