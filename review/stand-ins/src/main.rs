//! Stand-ins and cases of the independent review. Each case starts the project's daemons as processes, with the command
//! of the deploy file, and judges only what its clients, upstreams and store can see.

mod cases;
mod client;
mod config;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod upstream;

use std::{env, path::PathBuf, process::ExitCode, thread, time::Duration};

use crate::{
    cases::{Setting, Verdict},
    record::Record,
    upstream::UpstreamOptions,
};

/// The longest time of a case; its processes end with it.
const MAX_CASE_TIME: Duration = Duration::from_secs(112);

const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if let Some(options) = UpstreamOptions::parse(&words) {
        let served = upstream::run(options);
        return served.map_or(ExitCode::from(NOT_RUN), |()| ExitCode::SUCCESS);
    }
    let [name, root, folder] = words.as_slice() else {
        eprintln!("usage: review-stand-ins CASE ROOT FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let setting = Setting {
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        record: record.clone(),
        root: root.into(),
    };
    let (case, name) = (setting, name.clone());
    let running = thread::spawn(move || cases::run(&name, &case));
    let verdict = wait_for(running);
    let (text, code) = match verdict {
        Ok(Verdict::Held(text)) => (format!("held: {text}"), ExitCode::SUCCESS),
        Ok(Verdict::Broken(text)) => (format!("BROKEN: {text}"), ExitCode::from(BROKEN)),
        Err(error) => (
            format!("the case couldn't run: {error}"),
            ExitCode::from(NOT_RUN),
        ),
    };
    record.say(&text);
    code
}

/// Waits for a case, which ends its processes itself.
fn wait_for(running: thread::JoinHandle<Result<Verdict, String>>) -> Result<Verdict, String> {
    let started_at = std::time::Instant::now();
    while !running.is_finished() {
        if started_at.elapsed() > MAX_CASE_TIME {
            cases::abandon();
            return Err("it took too long".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    running.join().unwrap_or(Err("it panicked".into()))
}
