//! Whether a parsed head is that of a response.

use http::Response;
use http::header::TRANSFER_ENCODING;
use http_body::Body;
use std::fmt;

/// Statuses that HTTP defines, as numbers (RFC 9110, section 15).
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// A head that was checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// How the body ends.
    pub framing: Framing,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After a length, after the last chunk, or there is none.
    Delimited,
    /// With its connection. A body whose sender stopped in its middle may end in the same way; see
    /// [`crate::ending`].
    UntilClose,
}

/// Why a head is not that of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// HTTP has no such status.
    Status(u16),
    /// The sender changes to another protocol, which was not asked for.
    Upgrade,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "response has the invalid status {status}"),
            Self::Upgrade => f.write_str("response changes to another protocol"),
        }
    }
}

impl std::error::Error for Invalid {}

/// Result of checking a head.
pub type Result<T> = std::result::Result<T, Invalid>;

impl<B: Body> TryFrom<&Response<B>> for Head {
    type Error = Invalid;

    /// Checks a response whose body was not read yet.
    fn try_from(response: &Response<B>) -> Result<Self> {
        let status = response.status();
        if !STATUSES.contains(&status.as_u16()) {
            return Err(Invalid::Status(status.as_u16()));
        }
        // The HTTP library returns no other interim response.
        if status.is_informational() {
            return Err(Invalid::Upgrade);
        }
        Ok(Self {
            framing: framing(response),
        })
    }
}

impl Head {
    /// Returns whether the end of the body is marked.
    pub fn is_delimited(&self) -> bool {
        self.framing == Framing::Delimited
    }
}

fn framing<B: Body>(response: &Response<B>) -> Framing {
    let body = response.body();
    let has_length = body.is_end_stream() || body.size_hint().exact().is_some();
    match has_length || is_chunked(response) {
        true => Framing::Delimited,
        false => Framing::UntilClose,
    }
}

fn is_chunked<B>(response: &Response<B>) -> bool {
    let codings = response.headers().get_all(TRANSFER_ENCODING);
    let last = codings.iter().next_back();
    let last = last.and_then(|v| v.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
