use std::{fs, time::Duration};

/// The number of clock ticks per second; `/proc` counts processor time in clock ticks.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// The resources that a process uses, as `/proc` reports them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessSample {
    /// The processor time so far, user and system together.
    pub processor_time: Duration,
    /// The resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessSample {
    /// Samples a process by its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is gone.
    pub fn of(process_id: u32) -> Result<Self, String> {
        let read = |name: &str| {
            let path = format!("/proc/{process_id}/{name}");
            fs::read_to_string(&path).map_err(|error| format!("`{path}`: {error}"))
        };
        Ok(Self {
            processor_time: processor_time(&read("stat")?),
            resident_bytes: resident_bytes(&read("status")?),
        })
    }
}

fn processor_time(stat: &str) -> Duration {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> u64 {
        let field = fields.get(index).copied().unwrap_or_default();
        field.parse().unwrap_or(0)
    };
    let total = ticks(11) + ticks(12);
    Duration::from_millis(total * 1000 / CLOCK_TICKS_PER_SECOND)
}

fn resident_bytes(status: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .map_or(0, |kibibytes| kibibytes * 1024)
}
