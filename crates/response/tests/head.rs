//! Heads of responses.

use bytes::Bytes;
use http::Response;
use http_body_util::{Empty, Full, StreamBody};
use hyper::body::Frame;
use response::head::{Framing, Head, Invalid};
use std::convert::Infallible;

// Guards against a status that HTTP does not have, or that is none of a final response.
#[test]
fn only_final_statuses_are_those_of_a_response() {
    for status in 100..=999 {
        let response = Response::builder().status(status);
        let response = response.body(Empty::<Bytes>::new()).unwrap();
        let expected = match status {
            100..=199 => Err(Invalid::Upgrade),
            200..=599 => Ok(Head {
                framing: Framing::Delimited,
            }),
            _ => Err(Invalid::Status(status)),
        };
        assert_eq!(Head::try_from(&response), expected, "{status}");
    }
}

// Guards against a body that ends with its connection and counts as complete.
#[test]
fn a_body_is_delimited_by_a_length_or_by_chunks() {
    let whole = Response::new(Full::new(Bytes::from("x")));
    assert!(Head::try_from(&whole).unwrap().is_delimited());
    for (coding, delimited) in [
        ("", false),
        ("identity", false),
        ("chunked, gzip", false),
        ("gzip, chunked", true),
        ("Chunked", true),
    ] {
        let frames = futures::stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from("x")))]);
        let response = Response::builder().header("transfer-encoding", coding);
        let response = response.body(StreamBody::new(frames)).unwrap();
        let head = Head::try_from(&response).unwrap();
        assert_eq!(head.is_delimited(), delimited, "{coding:?}");
    }
}
