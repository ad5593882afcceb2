use std::fmt::{Display, Formatter};

use serde_json::Value;

/// One line of a daemon's log.
pub(crate) struct LogLine {
    pub(crate) at_ms: u64,
    pub(crate) fields: Value,
    /// The text before the line's JSON object or, without any, the path of the log file.
    source: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not a daemon's. Text before the JSON object, such as a log
    /// collector's prefix, is taken as the line's source.
    pub(crate) fn parse(path: &str, line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let fields: Value = serde_json::from_str(&line[start..]).ok()?;
        let prefix = line[..start].trim();
        let source = if prefix.is_empty() { path } else { prefix };
        Some(Self {
            at_ms: fields.get("at_ms")?.as_u64()?,
            fields,
            source: source.into(),
        })
    }

    pub(crate) fn is_about(&self, id: &str) -> bool {
        self.text("id") == Some(id)
    }

    pub(crate) fn event(&self) -> &str {
        self.text("event").unwrap_or("-")
    }

    /// Returns whether the line records how the request ended for its client.
    pub(crate) fn ends_request(&self) -> bool {
        matches!(
            self.event(),
            "client-left" | "cut-off" | "refused" | "target-error"
        )
    }

    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }
}

impl Display for LogLine {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {} {}", self.at_ms, self.source, self.event())?;
        let Some(fields) = self.fields.as_object() else {
            return Ok(());
        };
        for (key, value) in fields {
            if !matches!(key.as_str(), "at_ms" | "event" | "id" | "level") {
                match value.as_str() {
                    Some(text) => write!(formatter, " {key}={text}")?,
                    None => write!(formatter, " {key}={value}")?,
                }
            }
        }
        Ok(())
    }
}
