use medlarspool_types::ConfigVersion;

/// The start of the line in a list's file that names the list's base version.
const BASE_VERSION_KEY: &str = "base_version:";

/// Returns a list's text with its base version set; everything else, including comments, is unchanged.
pub(crate) fn with_base_version(yaml: &str, version: ConfigVersion) -> String {
    let line = format!("{BASE_VERSION_KEY} {version}\n");
    let mut lines: Vec<&str> = yaml.split_inclusive('\n').collect();
    if let Some(found) = lines
        .iter()
        .position(|text| text.starts_with(BASE_VERSION_KEY))
    {
        lines[found] = &line;
        return lines.concat();
    }
    let document_start = lines.iter().position(|text| text.trim_end() == "---");
    lines.insert(document_start.map_or(0, |start| start + 1), &line);
    lines.concat()
}
