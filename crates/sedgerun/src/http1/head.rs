//! Parses the heads of requests and responses.

use super::body::{BodyError, BodyFraming};
use httparse::{Header, Status};
use thiserror::Error;

/// The most fields of a head.
const MAX_FIELDS: usize = 128;

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// It has more than `MAX_FIELDS` fields.
    #[error("more than {MAX_FIELDS} header fields")]
    TooManyFields,
    /// It is not HTTP/1.
    #[error("malformed head: {0}")]
    Malformed(httparse::Error),
}

impl From<httparse::Error> for HeadError {
    fn from(error: httparse::Error) -> HeadError {
        match error {
            httparse::Error::TooManyHeaders => HeadError::TooManyFields,
            error => HeadError::Malformed(error),
        }
    }
}

/// Why a field that has to be there once cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// It is not there.
    #[error("the field is missing")]
    Missing,
    /// It is there more than once.
    #[error("the field is repeated")]
    Repeated,
    /// Its value is not visible ASCII text.
    #[error("the field is not text")]
    NotText,
}

/// The fields of a head, in their order.
#[derive(Clone, Debug)]
pub struct Fields<'a>(Vec<Header<'a>>);

impl<'a> Fields<'a> {
    /// The values of all fields with a name, whatever the case of its letters.
    pub fn values(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |field| field.name.eq_ignore_ascii_case(name)).map(|field| field.value)
    }

    /// Whether a field with this name is there.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// The value of the one field with this name.
    ///
    /// # Errors
    /// The field is missing, repeated or not text.
    pub fn single(&self, name: &str) -> Result<&'a str, FieldError> {
        let mut values = self.values(name);
        let value = values.next().ok_or(FieldError::Missing)?;
        if values.next().is_some() {
            return Err(FieldError::Repeated);
        }
        let is_text = value.iter().all(|byte| (b' '..=b'~').contains(byte) || *byte == b'\t');
        let text = std::str::from_utf8(value).ok().filter(|_| is_text).ok_or(FieldError::NotText)?;
        Ok(text.trim())
    }

    /// Whether one of the comma-separated words of a field is this one.
    fn has_word(&self, name: &str, word: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Whether the sender keeps the connection open behind this message. `minor_version` is that of its HTTP/1.
    fn keep_alive(&self, minor_version: u8) -> bool {
        let closes = self.has_word("Connection", "close");
        !closes && (minor_version == 1 || self.has_word("Connection", "keep-alive"))
    }

    /// How the end of the body is found; `None` where no field says so.
    ///
    /// # Errors
    /// The lengths are malformed, repeated or contradict each other.
    fn framing(&self) -> Result<Option<BodyFraming>, BodyError> {
        let is_encoded = self.contains("Transfer-Encoding");
        let length = match self.single("Content-Length") {
            Err(FieldError::Missing) => None,
            Err(_) => return Err(BodyError::AmbiguousLength),
            Ok(text) => Some(parse_length(text).ok_or(BodyError::AmbiguousLength)?),
        };
        match (is_encoded, length) {
            (true, None) => {
                let encoding = self.single("Transfer-Encoding").map_err(|_| BodyError::AmbiguousLength)?;
                let is_chunked = encoding.eq_ignore_ascii_case("chunked");
                is_chunked.then_some(Some(BodyFraming::Chunked)).ok_or(BodyError::AmbiguousLength)
            }
            (true, Some(_)) => Err(BodyError::AmbiguousLength),
            (false, length) => Ok(length.map(BodyFraming::Length)),
        }
    }
}

/// A length in decimal digits alone.
fn parse_length(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// The method.
    pub method: &'a str,
    /// The target as it was sent.
    pub target: &'a str,
    /// Whether the client is of HTTP/1.0.
    pub is_http_1_0: bool,
    /// Its fields.
    pub fields: Fields<'a>,
}

impl RequestHead<'_> {
    /// Whether the client keeps the connection open behind the response.
    pub fn keep_alive(&self) -> bool {
        self.fields.keep_alive(u8::from(!self.is_http_1_0))
    }

    /// Whether the client waits for a 100 before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.fields.has_word("Expect", "100-continue")
    }

    /// How the end of the body is found. A request without a length has none.
    ///
    /// # Errors
    /// The lengths are malformed, repeated or contradict each other.
    pub fn framing(&self) -> Result<BodyFraming, BodyError> {
        Ok(self.fields.framing()?.unwrap_or(BodyFraming::Length(0)))
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead<'a> {
    /// The status.
    pub status: u16,
    /// Its fields.
    pub fields: Fields<'a>,
    minor_version: u8,
}

impl ResponseHead<'_> {
    /// Whether the server keeps the connection open behind the response.
    pub fn keep_alive(&self) -> bool {
        self.fields.keep_alive(self.minor_version)
    }

    /// How the end of the body is found. A response without a length ends with its connection.
    ///
    /// # Errors
    /// The lengths are malformed, repeated or contradict each other.
    pub fn framing(&self) -> Result<BodyFraming, BodyError> {
        if matches!(self.status, 204 | 304) {
            return Ok(BodyFraming::Length(0));
        }
        Ok(self.fields.framing()?.unwrap_or(BodyFraming::UntilClose))
    }
}

/// Parses the head of a request and returns it with its length in bytes; `None` while bytes are missing.
///
/// # Errors
/// The bytes do not begin a request, or its head has too many fields.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead<'_>, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
    let (Some(method), Some(target)) = (request.method, request.path) else { return Ok(None) };
    let is_http_1_0 = request.version == Some(0);
    let fields = Fields(request.headers.to_vec());
    Ok(Some((RequestHead { method, target, is_http_1_0, fields }, length)))
}

/// Parses the head of a response and returns it with its length in bytes; `None` while bytes are missing.
///
/// # Errors
/// The bytes do not begin a response, or its head has too many fields.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead<'_>, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    let Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
    let Some(status) = response.code else { return Ok(None) };
    let minor_version = response.version.unwrap_or(0);
    let fields = Fields(response.headers.to_vec());
    Ok(Some((ResponseHead { status, fields, minor_version }, length)))
}
