//! Work that the sender of a response can cause.

use response::meter::{Allowance, Meter, Metered};
use std::io::Cursor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ALLOWANCE: Allowance = Allowance {
    head: 16 << 10,
    body: 64 << 10,
};
/// Bytes that are offered in each test, many times what is allowed.
const OFFERED: usize = 16 << 20;

/// Returns a socket with bytes to read.
fn offering(bytes: usize) -> (Metered<Cursor<Vec<u8>>>, Meter) {
    let meter = Meter::new(ALLOWANCE);
    let io = Metered::new(Cursor::new(vec![b'x'; bytes]), meter.clone());
    (io, meter)
}

/// Reads pieces of this size until a read fails or all was read, and calls `used` after each. Returns the bytes
/// that were read.
async fn read(
    io: &mut Metered<Cursor<Vec<u8>>>,
    piece: usize,
    mut used: impl FnMut(usize),
) -> usize {
    let mut buffer = vec![0; piece];
    let mut total = 0;
    loop {
        match io.read(&mut buffer).await {
            Ok(0) | Err(_) => return total,
            Ok(read) => {
                total += read;
                used(read);
            }
        }
    }
}

// Guards against bytes without end that are read for as long as somebody waits, in pieces of any size.
#[tokio::test]
async fn bytes_of_no_use_are_read_up_to_the_allowance() {
    for piece in [1, 7, 64, 1460, 16 << 10] {
        let (mut io, meter) = offering(OFFERED);
        let head = read(&mut io, piece, |_| {}).await;
        assert!(head <= ALLOWANCE.head + piece, "{piece}: {head} of a head");
        assert!(meter.is_exhausted());
        meter.begin_body();
        let body = read(&mut io, piece, |_| meter.record_frame(0)).await;
        assert!(body <= ALLOWANCE.body + piece, "{piece}: {body} of a body");
    }
}

// Guards against a sound response that is cut off because it is long, or in short events.
#[tokio::test]
async fn bytes_of_use_are_read_to_their_end() {
    for piece in [1, 16, 100, 1460, 16 << 10] {
        let (mut io, meter) = offering(OFFERED.min(piece * 100_000));
        meter.begin_body();
        let read = read(&mut io, piece, |read| meter.record_frame(read)).await;
        assert_eq!(read, OFFERED.min(piece * 100_000), "{piece}");
    }
}

// Guards against a body that is collected in chunks of a byte, whose frames cost more than its bytes.
#[tokio::test]
async fn tiny_parts_of_a_body_cost_more_than_they_grant() {
    let (mut io, meter) = offering(OFFERED);
    meter.begin_body();
    let tiny = read(&mut io, 1, |read| meter.record_part(read)).await;
    assert!(tiny < ALLOWANCE.body, "{tiny}");
    let (mut io, meter) = offering(OFFERED);
    meter.begin_body();
    let large = read(&mut io, 1460, |read| meter.record_part(read)).await;
    assert_eq!(large, OFFERED);
}

// Guards against a connection that is reused with the units which the response before has left or used up.
#[tokio::test]
async fn each_request_begins_with_the_allowance_of_a_head() {
    let (mut io, meter) = offering(OFFERED);
    for _ in 0..3 {
        meter.begin();
        let read = read(&mut io, 64, |_| {}).await;
        assert!(read > 0 && read <= ALLOWANCE.head, "{read}");
    }
    // A pool that does not say when a request begins writes one.
    let (client, _server) = tokio::io::duplex(1 << 10);
    let meter = Meter::new(ALLOWANCE);
    let mut io = Metered::new(client, meter.clone());
    io.write_all(b"GET").await.unwrap();
    assert!(!meter.is_exhausted());
}
