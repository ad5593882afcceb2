//! The cases of the second review: `CASE RECORD`, where RECORD is the file for what was sent, answered and run.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the same happens without the disruption.

mod client;
mod crasher;
mod fleet;
mod message;
mod poisoned;
mod regress;
mod store;
mod unsigned;
mod upstream;
mod weights;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let is_broken = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["upstream", settings] => {
            let _ = upstream::run(settings);
            return;
        }
        ["regress", record] => regress::run(record, has_trouble),
        ["unsigned", record] => unsigned::run(record, has_trouble),
        ["weights", record] => weights::run(record, has_trouble),
        ["crasher", record, path] => crasher::run(record, path, has_trouble),
        ["poisoned", record] => poisoned::run(record, has_trouble),
        _ => fleet::give_up("unknown case"),
    };
    std::process::exit(i32::from(is_broken));
}
