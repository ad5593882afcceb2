use bytes::Bytes;

/// The headers of a message, in their order and with their bytes as received.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeaderList(Vec<(Bytes, Bytes)>);

impl HeaderList {
    pub(crate) fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push((name.into(), value.into()));
    }

    /// Returns the first value of a header.
    pub(crate) fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the first value of a header if it is text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns all values of a header.
    pub(crate) fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0
            .iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &(Bytes, Bytes)> {
        self.0.iter()
    }

    /// Returns whether a list header, such as `Connection`, has this token.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .any(|value| contains_token(value, token.as_bytes()))
    }

    /// Removes the hop-by-hop headers, including those named in `Connection`.
    pub(crate) fn retain_end_to_end(&mut self) {
        let listed: Vec<Bytes> = self.get_all("connection").cloned().collect();
        self.0.retain(|(name, _)| {
            !is_one_of(name, &HOP_BY_HOP) && !listed.iter().any(|value| contains_token(value, name))
        });
    }

    /// Removes the headers with these names.
    pub(crate) fn remove_named(&mut self, names: &[&str]) {
        self.0.retain(|(name, _)| !is_one_of(name, names));
    }

    /// Removes the headers with these names and those that begin with `prefix`.
    pub(crate) fn remove_internal(&mut self, names: &[&str], prefix: &str) {
        self.0.retain(|(name, _)| {
            let has_prefix = name.len() >= prefix.len()
                && name[..prefix.len()].eq_ignore_ascii_case(prefix.as_bytes());
            !has_prefix && !is_one_of(name, names)
        });
    }
}

/// Returns whether the value of a list header has this token.
fn contains_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|byte| *byte == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}

fn is_one_of(name: &[u8], names: &[&str]) -> bool {
    names
        .iter()
        .any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
}

/// Hop-by-hop headers, and those that frame a message (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
