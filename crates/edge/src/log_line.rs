use std::backtrace::Backtrace;

use serde_json::{Map, Value as Json};

use crate::panic_backtrace::resolve;

/// A line that waits to be written.
pub(crate) enum LogLine {
    /// The text of a line.
    Text(String),
    /// The fields of a line about a panic, to which the text of the backtrace is added.
    WithBacktrace {
        backtrace: Backtrace,
        fields: Map<String, Json>,
    },
}

impl LogLine {
    /// Returns the text of the line. The symbols of a backtrace are resolved for it, which may take long.
    pub(crate) fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::WithBacktrace {
                backtrace,
                mut fields,
            } => {
                fields.insert("backtrace".into(), resolve(&backtrace).into());
                Json::Object(fields).to_string()
            }
        }
    }
}
