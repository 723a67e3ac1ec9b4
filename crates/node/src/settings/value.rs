//! Parsers of the values of settings.

use super::SIGNER_KEY_BYTES;
use memory::shares::MIN_MEMORY_BYTES;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of parsing a value. The error is the message of a finding.
pub type Result<T> = std::result::Result<T, String>;

/// Parses an IP address with a port, such as `127.0.0.1:7000`.
pub fn addr(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| format!("{text:?} is not an IP address with a port"))
}

/// Parses IP addresses with ports, separated by commas.
pub fn addrs(text: &str) -> Result<Vec<SocketAddr>> {
    let items = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    items.map(addr).collect()
}

/// Maximum time that a setting may have. A far longer time would overflow when added to a clock.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// Parses a time with its unit, such as `250ms`, `10s`, `5m` or `24h`, of up to a year.
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

/// Converts a number with a fraction, such as `1.5`, to milliseconds. `unit` is the length of one
/// unit in milliseconds.
fn fractional_millis(digits: &str, unit: u64) -> Option<u64> {
    let number: f64 = digits.parse().ok()?;
    let time = Duration::try_from_secs_f64(number * unit as f64 / 1000.0).ok()?;
    u64::try_from(time.as_millis()).ok()
}

/// Parses a time that must not be 0, such as a timeout. The format is that of [`time`].
pub fn nonzero_time(text: &str) -> Result<Duration> {
    let time = time(text)?;
    if time.is_zero() {
        return Err("must be longer than 0".to_owned());
    }
    Ok(time)
}

/// Parses an integer of at least 1.
pub fn count(text: &str) -> Result<usize> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(format!("{text:?} is not a number of at least 1")),
    }
}

/// Parses the memory of a machine in binary megabytes, such as `260MB`, and returns it in bytes.
pub fn memory(text: &str) -> Result<usize> {
    let number = text.strip_suffix("MB").map(str::trim);
    let bytes = number.and_then(|n| n.parse::<usize>().ok()?.checked_mul(1 << 20));
    match bytes {
        Some(bytes) if bytes >= MIN_MEMORY_BYTES => Ok(bytes),
        Some(_) => {
            let least = MIN_MEMORY_BYTES >> 20;
            Err(format!(
                "{text:?} is less than the {least}MB that a node needs"
            ))
        }
        None => Err(format!("{text:?} is not an amount of memory such as 260MB")),
    }
}

/// Returns a parser of integers from 1 to `max`.
pub fn up_to(max: usize) -> impl Fn(&str) -> Result<usize> {
    move |text| match count(text)? {
        number if number > max => Err(format!("{text:?} is more than {max}")),
        number => Ok(number),
    }
}

/// Parses a signer's public key of [`SIGNER_KEY_BYTES`] bytes in hexadecimal digits.
pub fn key(text: &str) -> Result<[u8; SIGNER_KEY_BYTES]> {
    let mut key = [0; SIGNER_KEY_BYTES];
    match hex::decode_to_slice(text, &mut key) {
        Ok(()) => Ok(key),
        Err(_) => Err(format!("not {} hexadecimal digits", 2 * SIGNER_KEY_BYTES)),
    }
}

/// Parses the secret key that all nodes share.
pub fn peer_key(text: &str) -> Result<wire::auth::Key> {
    wire::auth::Key::try_from(text).map_err(|e| e.to_string())
}

/// Parses a name of up to 64 ASCII letters, digits, `-`, `_` and `.`.
pub fn name(text: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "{text:?} is not a name of up to 64 letters, digits, '-', '_' and '.'"
    ))
}

/// Parses a log level.
pub fn level(text: &str) -> Result<log::LevelFilter> {
    text.parse()
        .map_err(|_| format!("{text:?} is none of off, error, warn, info, debug, trace"))
}

/// Parses a finite number of at least 0, with or without a fraction.
pub fn non_negative(text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err(format!("{text:?} is not a number of at least 0")),
    }
}
