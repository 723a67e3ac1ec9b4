//! Hop-by-hop headers, which concern a single connection and are not forwarded (RFC 9110, section
//! 7.6.1).

use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Headers that are hop-by-hop even if `Connection` does not name them.
const NAMES: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn remove(headers: &mut HeaderMap) {
    let options = headers.get_all(CONNECTION).iter().flat_map(options);
    let named: Vec<HeaderName> = options.collect();
    for name in NAMES.into_iter().chain(named) {
        headers.remove(name);
    }
}

/// Returns the options of a `Connection` header that can be names of headers.
fn options(value: &HeaderValue) -> impl Iterator<Item = HeaderName> + '_ {
    let options = value.as_bytes().split(|byte| *byte == b',');
    options.filter_map(|option| HeaderName::from_bytes(option.trim_ascii()).ok())
}
