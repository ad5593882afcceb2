use getopts::Options;
use serde_json::Value;

use crate::{
    CommandError, Console,
    arguments::{Arguments, read_file},
    log_line::LogLine,
};

pub(crate) fn add_options(_: &mut Options) {}

/// Prints the lines of one request from several daemons' logs, ordered by time, and an explanation of its
/// outcome.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    let operands = arguments.all_operands();
    let Some((id, paths)) = operands
        .split_first()
        .filter(|(_, paths)| !paths.is_empty())
    else {
        return Err(CommandError::Usage(
            "a request id and at least one log file are needed".into(),
        ));
    };
    let mut lines = Vec::new();
    for path in paths {
        let text = read_file(path)?;
        let of_request = text
            .lines()
            .filter(|line| line.contains(id.as_str()))
            .filter_map(|line| LogLine::parse(path, line))
            .filter(|line| line.is_about(id));
        lines.extend(of_request);
    }
    lines.sort_by_key(|line| line.at_ms);
    let explanation = explain(&lines);
    if arguments.json() {
        let fields: Vec<&Value> = lines.iter().map(|line| &line.fields).collect();
        let document = serde_json::json!({ "lines": fields, "explanation": explanation });
        writeln!(console.output, "{document}")?;
        return Ok(());
    }
    for line in &lines {
        writeln!(console.output, "{line}")?;
    }
    writeln!(console.output, "{explanation}")?;
    Ok(())
}

/// Explains the request's outcome in one sentence, by the last line that records how it ended. The lines must
/// be in order of time.
fn explain(lines: &[LogLine]) -> String {
    let Some(last) = lines.iter().rev().find(|line| line.ends_request()) else {
        return match lines.last() {
            None => "No line is about this request: it was answered at the first try, its lines \
                     were dropped (see `dropped` in the logs), or the daemon that took it was \
                     ended while it waited (see that daemon's next `start`)."
                .into(),
            Some(last) => format!(
                "The request was tried again or turned away once ({}), and then answered.",
                last.event()
            ),
        };
    };
    let explanation = explain_end(lines, last);
    let reached = last.number("arrivals").unwrap_or_default() > 0;
    if reached && explanation.starts_with("It did not run") && !is_verdict_not_run(last) {
        return format!(
            "An earlier try reached a target and may have run; of the last one: {explanation}"
        );
    }
    explanation
}

/// Returns whether the line's verdict is that no attempt of the request ran.
fn is_verdict_not_run(last: &LogLine) -> bool {
    last.text("verdict") == Some("not-run")
}

/// Explains the event and the reason of the line that ends the request.
fn explain_end(lines: &[LogLine], last: &LogLine) -> String {
    let service = last.text("service").unwrap_or("its service");
    let run_lost = lines.iter().rev().find(|line| line.event() == "run-lost");
    match (last.event(), last.text("reason").unwrap_or_default()) {
        ("target-error", _) => format!(
            "A target of {service} ran it and answered with a failure of its own (status {}).",
            last.number("status").unwrap_or_default()
        ),
        ("client-left", _) => {
            "The client left before it was answered; what could be cancelled was.".into()
        }
        ("cut-off", _) => {
            "The daemon ended its planned stop before it was answered; it may have run.".into()
        }
        (_, "attempts-used-up" | "no-budget") => format!(
            "The targets of {service} that got it turned it away, and the attempts or the retry \
             budget were used up."
        ),
        (_, "busy") => format!(
            "It did not run: all targets of {service} that could be tried had longer queues than \
             the request could wait."
        ),
        (_, "calls-fail") => format!(
            "It did not run: most calls that such requests make of other services fail, so that a \
             target of {service} would have worked in vain."
        ),
        (_, "deadline") => {
            format!("Its time was over before a target of {service} answered; it may have run.")
        }
        (_, "hop-lost") => "The connection to the daemon beside the target was lost, and that \
                            daemon could not tell what became of the request; it may have run."
            .into(),
        (_, "moved") => format!(
            "It did not run: the targets of {service} that were chosen had left or gone down."
        ),
        (_, "no-config") => "It did not run: the daemon knew no configuration yet.".into(),
        (_, "no-route") => format!(
            "It did not run: no route of the configuration in force (version {}) has its host \
             and path.",
            last.number("config_version").unwrap_or_default()
        ),
        (_, "no-target") => format!("It did not run: no target of {service} was known to live."),
        (_, "quarantined") => {
            "It did not run: the same request crashed targets before, twice.".into()
        }
        (_, "stopping") => "It did not run: the daemon was at the end of a planned stop.".into(),
        (_, "target-failed") => match run_lost.and_then(|line| line.text("error")) {
            Some(error) => format!(
                "Its target in {service} got it and gave no whole answer ({error}); it may have run."
            ),
            None => {
                format!("Its target in {service} got it and gave no whole answer; it may have run.")
            }
        },
        (_, "target-refused") => {
            format!("It did not run: the targets of {service} that got it turned it away.")
        }
        (_, "unauthorized") => format!(
            "It did not run: it had no key that the configuration (version {}) knows.",
            last.number("config_version").unwrap_or_default()
        ),
        (_, "unconfirmed") => "It did not run: neither the store nor another daemon had confirmed \
                               the configuration for so long that its keys had expired."
            .into(),
        (_, "unknown-key") => format!(
            "It did not run: the daemons of {service}'s targets did not know its key, since their \
             configuration was not the entry's."
        ),
        (event, reason) => format!("It ended with {event} {reason}."),
    }
}
