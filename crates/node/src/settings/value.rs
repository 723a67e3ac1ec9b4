//! Values of settings: from text to checked types.

use super::SIGNER_KEY_BYTES;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of reading a value; the error says what is expected.
pub type Result<T> = std::result::Result<T, String>;

/// An address with a port, such as `127.0.0.1:7000`.
pub fn addr(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| format!("{text:?} is not an IP address with a port"))
}

/// Addresses, separated by commas.
pub fn addrs(text: &str) -> Result<Vec<SocketAddr>> {
    let items = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    items.map(addr).collect()
}

/// Longest time that a setting may have. A far longer one, added to a clock, would overflow it.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// A time with its unit, up to a year: `250ms`, `10s`, `5m` or `24h`.
pub fn time(text: &str) -> Result<Duration> {
    let unit = text.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    let digits = &text[..text.len() - unit.len()];
    let malformed = || format!("{text:?} is not a time such as 250ms, 10s, 5m or 24h");
    let unit: u64 = match unit.trim() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(malformed()),
    };
    let millis = match digits.contains('.') {
        true => fractional_millis(digits, unit),
        false => digits.parse().ok().and_then(|n: u64| n.checked_mul(unit)),
    };
    let time = millis.map(Duration::from_millis).ok_or_else(malformed)?;
    if time > MAX_TIME {
        return Err(format!("{text:?} is longer than a year"));
    }
    Ok(time)
}

/// Milliseconds of a number with a fraction, such as `1.5` of a unit.
fn fractional_millis(digits: &str, unit: u64) -> Option<u64> {
    let number: f64 = digits.parse().ok()?;
    let time = Duration::try_from_secs_f64(number * unit as f64 / 1000.0).ok()?;
    u64::try_from(time.as_millis()).ok()
}

/// A time in which something is to happen, so not 0: see [`time`].
pub fn nonzero_time(text: &str) -> Result<Duration> {
    let time = time(text)?;
    if time.is_zero() {
        return Err("must be longer than 0".to_owned());
    }
    Ok(time)
}

/// A number of at least 1.
pub fn count(text: &str) -> Result<usize> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(format!("{text:?} is not a number of at least 1")),
    }
}

/// A number of at least 1 and at most `most`.
pub fn up_to(max: usize) -> impl Fn(&str) -> Result<usize> {
    move |text| match count(text)? {
        number if number > max => Err(format!("{text:?} is more than {max}")),
        number => Ok(number),
    }
}

/// A key of [`SIGNER_KEY_BYTES`] bytes in hexadecimal.
pub fn key(text: &str) -> Result<[u8; SIGNER_KEY_BYTES]> {
    let mut key = [0; SIGNER_KEY_BYTES];
    match hex::decode_to_slice(text, &mut key) {
        Ok(()) => Ok(key),
        Err(_) => Err(format!("not {} hexadecimal digits", 2 * SIGNER_KEY_BYTES)),
    }
}

/// The key that all nodes share.
pub fn peer_key(text: &str) -> Result<wire::auth::Key> {
    wire::auth::Key::try_from(text).map_err(|e| e.to_string())
}

/// A name: letters, digits, `-`, `_` and `.`.
pub fn name(text: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "{text:?} is not a name of up to 64 letters, digits, '-', '_' and '.'"
    ))
}

/// A level of log lines.
pub fn level(text: &str) -> Result<log::LevelFilter> {
    text.parse()
        .map_err(|_| format!("{text:?} is none of off, error, warn, info, debug, trace"))
}

/// A number of at least 0, maybe with a fraction.
pub fn non_negative(text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err(format!("{text:?} is not a number of at least 0")),
    }
}
