//! Plays the script of a case: `review-stand-ins-3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod crashing_answer;
mod http;
mod link;
mod long_cut;
mod machine;
mod record;
mod store;
mod suspects;
mod upstream;

use std::{path::Path, process::ExitCode};

use record::Record;

/// How a script ended.
pub enum Verdict {
    Broken,
    CouldNotRun,
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(folder));
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case.as_str() {
        "crashing-answer" => crashing_answer::play(&record, has_trouble),
        "drain" => suspects::play_drain(&record, has_trouble),
        "long-cut" => long_cut::play(&record, has_trouble),
        "stop" => suspects::play_stop(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case couldn't run", 2),
        Verdict::Held => ("the rule held", 0),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
