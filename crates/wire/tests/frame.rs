//! The frame codec: valid frames round-trip, invalid ones give an error and never a panic.

use member::head::Head;
use member::identity::Identity;
use member::item::{Item, Observation};
use member::level::Level;
use member::message::{
    Batch, Body, BucketItems, Delta, KnownVersion, Message, Publication, Request, Row, Run,
    Summary, Update,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::time::Duration;
use wire::auth::{Hello, Key, Session, Side};
use wire::error::Error;
use wire::frame::{Body as FrameBody, CopyRequest, Frame, HeadRequest, Kind, Status};

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn row() -> Row {
    let identity = Identity {
        name: "node-1".into(),
        addr: "10.0.0.1:7000".parse().expect("address"),
        zone: "z1".into(),
        region: "r1".into(),
        incarnation: 1 << 40,
    };
    Row {
        identity,
        refutations: 3,
    }
}

fn observations() -> Vec<Observation> {
    let ttl = Duration::from_secs(30);
    vec![
        Observation::Leaving,
        Observation::Load(Level(9)),
        Observation::Endpoint {
            name: "e-1".into(),
            ejected: true,
            ttl,
        },
        Observation::Suspect {
            fingerprint: 7,
            ttl,
        },
        Observation::Condemned {
            fingerprint: 8,
            ttl,
        },
        Observation::Pending {
            fingerprint: 8,
            ttl,
        },
        Observation::Cleared {
            fingerprint: 8,
            ttl,
        },
        Observation::Isolated {
            service: "s-1".into(),
            isolated: true,
            ttl,
        },
        Observation::Demand {
            team: 5,
            rate: Level(40),
            in_flight: Level(50),
        },
        Observation::Ended {
            name: "e-1@7".into(),
            ended: true,
            ttl,
        },
    ]
}

fn delta() -> Delta {
    let publication = Publication {
        version: 4,
        observations: observations(),
    };
    let batch = Batch {
        row: 2,
        up_to: 5,
        publications: vec![publication],
    };
    Delta {
        items: vec![BucketItems {
            bucket: 3,
            hash: 99,
            batches: vec![batch],
        }],
        rows: vec![row()],
        complete: vec![4],
        requests: vec![Request {
            bucket: 1,
            hash: 5,
            known: vec![KnownVersion {
                row: 0,
                version: 70_000,
            }],
        }],
    }
}

fn bodies() -> Vec<Body> {
    let item = |body| Item {
        origin: 1,
        incarnation: 2,
        version: 3,
        body,
    };
    vec![
        Body::Ping { seq: 1, to: 2 },
        Body::Ack { seq: 1, of: 2 },
        Body::IndirectPing {
            seq: 1,
            to: 2,
            addr: "[::1]:80".parse().expect("address"),
        },
        Body::Identify,
        Body::Rows(vec![row()]),
        Body::Empty,
        Body::Items(observations().into_iter().map(item).collect()),
        Body::Digest(vec![
            Summary {
                hash: 1,
                versions: vec![1, 300, 70_000]
            };
            16
        ]),
        Body::Delta(delta()),
    ]
}

fn frames() -> Vec<Frame> {
    let run = Run {
        id: 1,
        incarnation: 2,
        refutations: 3,
    };
    let updates = vec![
        Update::Join(row()),
        Update::Suspect(run),
        Update::Alive(run),
        Update::Left(run),
    ];
    let head = Some(Head {
        number: 5,
        digest: [5; 32],
    });
    let message = |body| Message {
        from: 1,
        incarnation: 2,
        head,
        updates: updates.clone(),
        body,
    };
    let mut frames: Vec<Frame> = bodies()
        .into_iter()
        .map(|b| Frame::send(message(b)))
        .collect();
    let status = Status {
        number: 3,
        digest: [1; 32],
        incarnation: 9,
        leaving: true,
    };
    frames.push(Frame {
        kind: Kind::Request(1),
        body: FrameBody::StatusRequest,
    });
    frames.push(Frame {
        kind: Kind::Response(1),
        body: FrameBody::StatusResponse(status),
    });
    frames.push(Frame {
        kind: Kind::Request(2),
        body: FrameBody::HeadRequest(HeadRequest { number: 2, have: 1 }),
    });
    frames.push(Frame {
        kind: Kind::Response(2),
        body: FrameBody::HeadResponse(Some(vec![7; 1000])),
    });
    frames.push(Frame {
        kind: Kind::Response(3),
        body: FrameBody::HeadResponse(None),
    });
    frames.push(Frame {
        kind: Kind::Request(4),
        body: FrameBody::CopyRequest(CopyRequest { table: 1, from: 70 }),
    });
    frames.push(Frame {
        kind: Kind::Response(4),
        body: FrameBody::CopyResponse(Some(vec![3; 1000])),
    });
    frames
}

#[test]
fn frames_round_trip() {
    for frame in frames() {
        let bytes = frame.encode().expect("encodes");
        assert_eq!(Frame::decode(&bytes).expect("decodes"), frame);
    }
}

#[test]
fn kind_that_does_not_match_the_body_is_refused() {
    let frame = Frame {
        kind: Kind::OneWay,
        body: FrameBody::StatusRequest,
    };
    let bytes = frame.encode().expect("encodes");
    assert!(matches!(
        Frame::decode(&bytes),
        Err(Error::InvalidField("kind"))
    ));
}

#[test]
fn fields_out_of_bounds_are_refused() {
    let message = |body| {
        Frame::send(Message {
            from: 1,
            incarnation: 1,
            head: None,
            updates: vec![],
            body,
        })
    };
    let mut long = row();
    long.identity.name = "n".repeat(256);
    let mut control = row();
    control.identity.zone = "z\n1".into();
    let mut unordered = delta();
    unordered.items[0].batches[0].up_to = 1;
    let mut bucket = delta();
    bucket.complete = vec![16];
    let digest = vec![Summary {
        hash: 0,
        versions: vec![0; 257],
    }];
    let excessive_ttl = Observation::Condemned {
        fingerprint: 1,
        ttl: Duration::from_secs(1 << 30),
    };
    let item = Item {
        origin: 1,
        incarnation: 1,
        version: 1,
        body: excessive_ttl,
    };
    let mut refuted = row();
    refuted.refutations = u32::MAX;
    let bad = [
        Body::Rows(vec![long]),
        Body::Rows(vec![control]),
        Body::Rows(vec![refuted]),
        Body::Delta(unordered),
        Body::Delta(bucket),
        Body::Digest(digest),
        Body::Items(vec![item]),
    ];
    for body in bad {
        let bytes = message(body.clone()).encode().expect("encodes");
        assert!(
            matches!(Frame::decode(&bytes), Err(Error::InvalidField(_))),
            "{body:?}"
        );
    }
}

/// Guards against a suspicion that its subject can't refute, since the number of refutations overflows.
#[test]
fn a_suspicion_leaves_a_number_for_its_refutation() {
    for (refutations, is_valid) in [(u32::MAX - 1, true), (u32::MAX, false)] {
        let run = Run {
            id: 1,
            incarnation: 1,
            refutations,
        };
        let message = Message {
            from: 2,
            incarnation: 1,
            head: None,
            updates: vec![Update::Suspect(run)],
            body: Body::Empty,
        };
        let bytes = Frame::send(message).encode().expect("encodes");
        assert_eq!(Frame::decode(&bytes).is_ok(), is_valid);
    }
}

/// Guards against a peer that sends garbage, by a fault or on purpose: every byte string decodes to
/// an error or a frame, without a panic.
#[test]
fn garbage_and_mutated_frames_never_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let good: Vec<Vec<u8>> = frames()
        .iter()
        .map(|f| f.encode().expect("encodes"))
        .collect();
    let mut decoded = 0;
    for step in 0..40_000usize {
        let mut bytes = good[step % good.len()].clone();
        match step % 4 {
            0 => {
                bytes = vec![0; rng.next_u32() as usize % 200];
                rng.fill_bytes(&mut bytes);
            }
            1 => bytes.truncate(rng.next_u32() as usize % bytes.len()),
            2 => bytes.push(0),
            _ => {
                for _ in 0..1 + rng.next_u32() % 4 {
                    let at = rng.next_u32() as usize % bytes.len();
                    bytes[at] = rng.next_u32() as u8;
                }
            }
        }
        let frame = Frame::decode(&bytes);
        assert!(
            step % 4 != 2 || frame.is_err(),
            "trailing bytes are refused"
        );
        decoded += usize::from(frame.is_ok());
    }
    assert!(decoded > 0, "some mutations stay frames");
}

/// Guards against allocating memory for a length that a frame claims but doesn't have.
#[test]
fn claimed_lengths_are_not_allocated() {
    // The frame has a few bytes and claims to hold a record of 2^62 bytes.
    let mut bytes = vec![2, 1, 2, 1, 253];
    bytes.extend_from_slice(&(1u64 << 62).to_le_bytes());
    assert!(Frame::decode(&bytes).is_err());
    assert!(matches!(
        Frame::decode(&vec![0; wire::limits::MAX_FRAME_LEN + 1]),
        Err(Error::FrameTooLong(_))
    ));
}

fn sessions() -> (Session, Session) {
    let key = Key::try_from(KEY).expect("key");
    let hello = || {
        Hello::new("127.0.0.1:1".parse().expect("address"))
            .encode()
            .expect("encodes")
    };
    let (client, server) = (hello(), hello());
    let of = |side| Session::new(&key, side, &client, &server).expect("session");
    (of(Side::Client), of(Side::Server))
}

fn sealed(session: &mut Session, payload: &[u8]) -> Vec<u8> {
    let tag = session.send.seal(payload);
    [payload, &tag].concat()
}

/// Guards against an attacker on the path who replays frames on the same connection or another,
/// reflects them to the sender, reorders them or changes a byte. None of these may verify.
#[test]
fn replayed_reflected_and_changed_frames_are_refused() {
    let (mut client, mut server) = sessions();
    let first = sealed(&mut client, b"one");
    let second = sealed(&mut client, b"two");
    assert!(client.recv.clone().open(&first).is_err(), "reflected");
    assert!(server.recv.clone().open(&second).is_err(), "out of order");
    let mut changed = first.clone();
    changed[0] ^= 1;
    assert!(server.recv.clone().open(&changed).is_err(), "changed");
    assert_eq!(server.recv.open(&first).expect("first"), b"one");
    assert!(server.recv.clone().open(&first).is_err(), "again");
    assert_eq!(server.recv.open(&second).expect("second"), b"two");
    let (_, mut other) = sessions();
    assert!(other.recv.open(&first).is_err(), "another connection");
    assert!(server.recv.open(b"short").is_err());
}

#[test]
fn short_keys_are_refused_and_debug_hides_keys() {
    assert!(Key::try_from("00ff").is_err());
    assert!(Key::try_from("not hexadecimal").is_err());
    let key = Key::try_from(KEY).expect("key");
    assert_eq!(format!("{key:?}"), "Key(hidden)");
}
