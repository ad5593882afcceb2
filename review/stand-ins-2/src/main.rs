//! The cases of the second review: `CASE RECORD`, where RECORD is the file for what was sent, answered and run.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the same happens without the disruption.

mod client;
mod crasher;
mod fleet;
mod message;
mod regress;
mod store;
mod unsigned;
mod upstream;
mod weights;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = || match arguments[..] {
        ["crasher", record, path] => crasher::run(record, path, has_trouble),
        ["regress", record] => regress::run(record, has_trouble),
        ["unsigned", record] => unsigned::run(record, has_trouble),
        ["weights", record] => weights::run(record, has_trouble),
        _ => fleet::give_up("unknown case"),
    };
    if let ["upstream", settings] = arguments[..] {
        let _ = upstream::run(settings);
        return;
    }
    let status = std::panic::catch_unwind(run).map_or(2, i32::from);
    std::process::exit(status);
}
