use crate::{header_list::HeaderList, http_error::HttpError};

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    Chunked,
    Length(u64),
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing of a request. Ambiguous framing, which allows request smuggling, is an error.
    pub(crate) fn of_request(headers: &HeaderList, is_http_11: bool) -> Result<Self, HttpError> {
        match Self::declared(headers)? {
            Some(Self::Chunked) if !is_http_11 => Err(HttpError::Malformed),
            Some(framing) => Ok(framing),
            None => Ok(Self::Length(0)),
        }
    }

    /// Determines the framing of a response to a request with this method.
    pub(crate) fn of_response(
        headers: &HeaderList,
        status: u16,
        method: &str,
    ) -> Result<Self, HttpError> {
        if method == "HEAD" || status == 204 || status == 304 {
            return Ok(Self::Length(0));
        }
        Ok(Self::declared(headers)?.unwrap_or(Self::UntilClose))
    }

    fn declared(headers: &HeaderList) -> Result<Option<Self>, HttpError> {
        let mut encodings = headers.get_all("transfer-encoding");
        let mut lengths = headers.get_all("content-length");
        match (encodings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (None, Some(length)) if lengths.next().is_none() => {
                let digits = std::str::from_utf8(length)
                    .ok()
                    .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
                let length = digits.and_then(|text| text.parse().ok());
                Ok(Some(Self::Length(length.ok_or(HttpError::Malformed)?)))
            }
            (Some(encoding), None)
                if encodings.next().is_none() && encoding.eq_ignore_ascii_case(b"chunked") =>
            {
                Ok(Some(Self::Chunked))
            }
            _ => Err(HttpError::Malformed),
        }
    }
}
