//! The cases by name.

mod crash_suspects;
mod cut_answers;
mod cut_uploads;
mod hostnames;
mod late_stops;
mod long_poison;
mod swallowed_requests;

use std::{
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::record::Record;

/// Whether the case takes too long and is to end its processes.
static IS_ABANDONED: AtomicBool = AtomicBool::new(false);

/// How long an abandoned case has for that.
const ABANDON_TIME: Duration = Duration::from_secs(3);

/// What a case is run with.
pub struct Setting {
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: Record,
    /// The repository's root.
    pub root: PathBuf,
}

/// What a case found.
pub enum Verdict {
    Broken(String),
    Held(String),
}

/// Runs a case; an error says why it couldn't run.
pub fn run(name: &str, setting: &Setting) -> Result<Verdict, String> {
    let trouble = if setting.has_trouble {
        "with"
    } else {
        "without"
    };
    setting
        .record
        .say(&format!("case {name}, {trouble} the disruption"));
    match name {
        "crash-suspects" => crash_suspects::run(setting),
        "cut-answers" => cut_answers::run(setting),
        "cut-uploads" => cut_uploads::run(setting),
        "hostnames" => hostnames::run(setting),
        "late-stops" => late_stops::run(setting),
        "long-poison" => long_poison::run(setting),
        "swallowed-requests" => swallowed_requests::run(setting),
        _ => Err(format!("there is no case {name}")),
    }
}

/// Ends a case that takes too long.
pub fn abandon() {
    IS_ABANDONED.store(true, Ordering::SeqCst);
    thread::sleep(ABANDON_TIME);
}

/// Sleeps, unless the case is abandoned.
fn pause(duration: Duration) -> Result<(), String> {
    thread::sleep(duration);
    if IS_ABANDONED.load(Ordering::SeqCst) {
        return Err("it took too long".into());
    }
    Ok(())
}
