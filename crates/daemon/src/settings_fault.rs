//! Messages about invalid settings, which never show a secret.

/// Fields whose value is never shown.
const SECRET_FIELDS: [&str; 3] = ["fleet_key", "operator_token", "platform_token"];

/// What is shown in place of a secret.
const HIDDEN: &str = "(hidden)";

/// Describes a parse error of a settings file by the line, the field and the value in backticks.
///
/// The YAML library's excerpt of the surrounding lines is left out because it could show secrets.
/// A missing field stands on no line, so the library's message is returned as it is.
pub(crate) fn describe(text: &str, error: &serde_saphyr::Error) -> String {
    let error = error.without_snippet();
    let reason = error.to_string();
    let line = error.location().map_or(0, |location| location.line());
    let line_number = usize::try_from(line).unwrap_or(0);
    let Some(source_line) = line_number
        .checked_sub(1)
        .and_then(|index| text.lines().nth(index))
    else {
        return reason;
    };
    let (field, value) = split_field(source_line);
    if reason.contains("missing field") {
        return reason;
    }
    format!("line {line}: field `{field}`: value `{value}`: {reason}")
}

/// Describes a value that could be parsed but is not allowed. If no line of the file has the field, the line
/// is 0 and the value is hidden.
pub(crate) fn describe_field(text: &str, field: &str, reason: &str) -> String {
    let is_field = |line: &&str| split_field(line).0 == field;
    let index = text.lines().position(|line| is_field(&line));
    let value = index
        .and_then(|index| text.lines().nth(index))
        .map(split_field);
    let line = index.map_or(0, |index| index + 1);
    let (_, value) = value.unwrap_or((field, HIDDEN));
    format!("line {line}: field `{field}`: value `{value}`: {reason}")
}

/// Returns the field and the value of a line; the value of a secret is replaced.
fn split_field(line: &str) -> (&str, &str) {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let field = field.trim().trim_matches('"');
    if SECRET_FIELDS.contains(&field) {
        return (field, HIDDEN);
    }
    (field, value.trim())
}
