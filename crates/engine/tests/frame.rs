//! Tests of frames: every head survives a round trip, and arbitrary bytes can't make a reader panic
//! or allocate more memory than the bytes themselves need.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::{Bytes, BytesMut};
use engine::frame::{
    Call, Error, Head, Input, Item, MAX_HEAD_BYTES, Open, Place, Reader, Reason, Reply, Step,
    encode,
};
use std::cell::Cell;
use std::fmt::Debug;
use std::time::Duration;

/// Runs a property with fixed seeds. The low half of a seed is the size of its input. At most one
/// in ten inputs may be too short for the property.
fn each_seed(count: u64, size: u64, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    let complete = Cell::new(0);
    for seed in 1..=count {
        let counted = |u: &mut Unstructured<'_>| {
            property(u)?;
            complete.set(complete.get() + 1);
            Ok(())
        };
        arbtest(counted).seed(seed << 32 | size);
    }
    assert!(
        complete.get() * 10 >= count * 9,
        "{} of {count} inputs were long enough",
        complete.get()
    );
}

fn place(u: &mut Unstructured<'_>) -> Result<Place> {
    let from = u.int_in_range(0..=u16::MAX - 1)?;
    Ok(Place {
        request: u.arbitrary()?,
        attempt: u.int_in_range(1..=u32::MAX)?,
        step: u.int_in_range(1..=u32::MAX)?,
        from,
        to: u.int_in_range(from + 1..=u16::MAX)?,
    })
}

fn name(u: &mut Unstructured<'_>) -> Result<String> {
    let length = u.int_in_range(1..=40)?;
    Ok("mødel".chars().cycle().take(length).collect())
}

fn open(u: &mut Unstructured<'_>) -> Result<Open> {
    let Place {
        request,
        attempt,
        from,
        to,
        ..
    } = place(u)?;
    Ok(Open {
        request,
        attempt,
        model: name(u)?,
        version: name(u)?,
        adapter: if u.arbitrary()? { Some(name(u)?) } else { None },
        from,
        to,
        max_tokens: u.arbitrary()?,
        seed: u.arbitrary()?,
        priority: u.arbitrary()?,
        prefix: u.arbitrary()?,
    })
}

fn call(u: &mut Unstructured<'_>) -> Result<Call> {
    let payload = u.int_in_range(1..=900)?;
    let mut place = place(u)?;
    Ok(match u.int_in_range(0..=3)? {
        0 => Call::Open(open(u)?),
        1 => {
            place.from = 0;
            Call::Step(Step {
                place,
                input: Input::Prompt(u.arbitrary()?),
                payload,
            })
        }
        2 => {
            place.from = 0;
            Call::Step(Step {
                place,
                input: Input::Token(u.arbitrary()?),
                payload: 0,
            })
        }
        _ => {
            place.from = place.from.max(1);
            place.to = place.to.max(2);
            Call::Step(Step {
                place,
                input: Input::Activations,
                payload,
            })
        }
    })
}

fn reply(u: &mut Unstructured<'_>) -> Result<Reply> {
    let reasons = [Reason::Busy, Reason::Leaving, Reason::Unfit];
    let place = place(u)?;
    let prompt_tokens = u.arbitrary()?;
    Ok(match u.int_in_range(0..=5)? {
        0 => Reply::Opened(u.arbitrary()?, u.arbitrary()?),
        1 => {
            let wait = Duration::from_millis(u.int_in_range(0..=3_600_000)?);
            Reply::Refused(*u.choose(&reasons)?, Some(wait))
        }
        2 => Reply::Working(place),
        3 => Reply::Done {
            place,
            prompt_tokens,
            payload: u.int_in_range(1..=900)?,
        },
        4 => {
            let (id, text, end) = (u.arbitrary()?, name(u)?, u.arbitrary()?);
            Reply::Token {
                place,
                prompt_tokens,
                id,
                text,
                end,
            }
        }
        _ => Reply::Failed(place),
    })
}

/// Encodes frames, splits the bytes at arbitrary positions, and decodes them.
fn check_round_trip<H: Head + Clone + Debug + PartialEq>(
    u: &mut Unstructured<'_>,
    make: fn(&mut Unstructured<'_>) -> Result<H>,
) -> Result<()> {
    let heads = (0..6).map(|_| make(u)).collect::<Result<Vec<H>>>()?;
    let mut bytes = BytesMut::new();
    for head in &heads {
        encode(head, &mut bytes).expect("encoding succeeds");
        bytes.extend(std::iter::repeat_n(7, head.payload() as usize));
    }
    let mut rest = bytes.freeze();
    let mut reader = Reader::<H>::default();
    let (mut read, mut payload) = (Vec::new(), 0);
    while !rest.is_empty() {
        let size = u.int_in_range(1..=rest.len().min(200))?;
        reader.push(rest.split_to(size));
        while let Some(item) = reader.read().expect("decoding succeeds") {
            match item {
                Item::Head(head) => read.push(head),
                Item::Payload(chunk) => payload += chunk.len(),
            }
        }
    }
    assert!(reader.is_at_frame_end());
    assert_eq!(read, heads);
    assert_eq!(
        payload,
        heads
            .iter()
            .map(|head| head.payload() as usize)
            .sum::<usize>()
    );
    Ok(())
}

#[test]
fn calls_survive_a_round_trip_split_anywhere() {
    each_seed(300, 4 << 10, |u| check_round_trip(u, call));
}

#[test]
fn replies_survive_a_round_trip_split_anywhere() {
    each_seed(300, 4 << 10, |u| check_round_trip(u, reply));
}

/// Decodes `bytes` in chunks of 50 bytes and returns the number of items. Decoding of a chunk ends
/// at an error.
fn count_items<H: Head>(bytes: Bytes) -> usize {
    let mut reader = Reader::<H>::default();
    let mut count = 0;
    for chunk in bytes.chunks(50) {
        reader.push(Bytes::copy_from_slice(chunk));
        while let Ok(Some(_)) = reader.read() {
            count += 1;
        }
    }
    count
}

#[test]
fn random_bytes_do_not_break_a_reader() {
    // A peer that is faulty or uses another protocol may send any bytes. A reader returns nothing
    // or errors for them. It neither panics nor allocates more memory than the bytes themselves
    // need.
    each_seed(500, 2 << 10, |u| {
        let mut bytes = u.bytes(u.len())?.to_vec();
        // Makes the length plausible; otherwise almost all inputs would fail at the length prefix.
        bytes[..3].copy_from_slice(&[0, 0, 0]);
        count_items::<Call>(bytes.clone().into());
        count_items::<Reply>(bytes.into());
        Ok(())
    });
}

#[test]
fn damaged_frames_do_not_break_a_reader() {
    each_seed(500, 4 << 10, |u| {
        let mut bytes = BytesMut::new();
        encode(&call(u)?, &mut bytes).expect("encoding succeeds");
        let at = u.int_in_range(0..=bytes.len() - 1)?;
        bytes[at] ^= u.int_in_range(1..=255)?;
        count_items::<Call>(bytes.freeze());
        Ok(())
    });
}

/// Returns the error of decoding a call whose head consists of these bytes.
fn decode_error(head: &[u8]) -> Option<Error> {
    let mut bytes = (head.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(head);
    let mut reader = Reader::<Call>::default();
    reader.push(bytes.into());
    reader.read().err()
}

#[test]
fn a_length_over_the_limit_is_rejected_before_its_bytes_arrive() {
    // Otherwise a peer could make a node buffer up to 4 GiB by sending four bytes.
    let mut reader = Reader::<Reply>::default();
    let length = MAX_HEAD_BYTES as u32 + 1;
    reader.push(Bytes::copy_from_slice(&length.to_be_bytes()));
    assert_eq!(
        reader.read().err(),
        Some(Error::HeadTooLong(MAX_HEAD_BYTES + 1))
    );
}

#[test]
fn heads_with_extra_or_missing_bytes_are_rejected() {
    let step = Step {
        place: PLACE,
        input: Input::Token(9),
        payload: 0,
    };
    let mut bytes = BytesMut::new();
    encode(&Call::Step(step), &mut bytes).expect("encoding succeeds");
    let head = &bytes[4..];
    assert_eq!(decode_error(head), None);
    assert_eq!(
        decode_error(&head[..head.len() - 1]),
        Some(Error::Malformed)
    );
    assert_eq!(decode_error(&[head, &[0]].concat()), Some(Error::Malformed));
}

const PLACE: Place = Place {
    request: 5,
    attempt: 1,
    step: 1,
    from: 0,
    to: 4,
};

/// Returns the error of decoding an invalid call, which is encoded without validation.
fn validation_error(call: Call) -> Option<Error> {
    let mut bytes = BytesMut::new();
    encode(&call, &mut bytes).expect("encoding succeeds");
    decode_error(&bytes[4..])
}

#[test]
fn errors_name_the_field_that_is_out_of_range() {
    let step = |place: Place, input: Input, payload: u32| {
        validation_error(Call::Step(Step {
            place,
            input,
            payload,
        }))
    };
    let cases = [
        (
            "attempt",
            step(
                Place {
                    attempt: 0,
                    ..PLACE
                },
                Input::Token(1),
                0,
            ),
        ),
        ("step", step(Place { step: 0, ..PLACE }, Input::Token(1), 0)),
        ("to", step(Place { to: 0, ..PLACE }, Input::Token(1), 0)),
        ("payload", step(PLACE, Input::Token(1), 1)),
        (
            "payload",
            step(Place { from: 1, ..PLACE }, Input::Activations, 0),
        ),
        ("payload", step(PLACE, Input::Prompt(Vec::new()), u32::MAX)),
        ("input", step(PLACE, Input::Activations, 8)),
        (
            "input",
            step(Place { from: 1, ..PLACE }, Input::Token(1), 0),
        ),
    ];
    for (field, found) in cases {
        assert_eq!(found, Some(Error::FieldOutOfRange(field)));
    }
}
