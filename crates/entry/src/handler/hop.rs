//! The mark of a request that a node forwards.
//!
//! Peers and callers use the same listener, so the mark must not be one that a caller can set: a MAC
//! by the key that all nodes share, over the parts of the request that decide on its answer. A node
//! of an older build sends the constant [`UNSIGNED`] instead, which counts only if the connection
//! comes from another node's address, and accepts any value.

use super::Shared;
use crate::api::header::IDEMPOTENCY_KEY;
use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::net::IpAddr;
use wire::auth::{Key, Session, Side, TAG_LEN};

/// The mark of a node that does not sign.
const UNSIGNED: &[u8] = b"1";
/// Separates this use of the shared key from frames between nodes, whose keys are derived from
/// hellos. An encoded hello begins with the version of the protocol.
const CONTEXT: &[u8] = b"wigeonshelf forwarded request";

/// The parts of a request that its mark covers.
pub(super) struct Covered<'a> {
    pub(super) method: &'a Method,
    pub(super) uri: &'a Uri,
    pub(super) headers: &'a HeaderMap,
    pub(super) body: &'a Bytes,
}

impl Covered<'_> {
    /// Returns the mark of this request.
    pub(super) fn sign(&self, key: &Key) -> Option<HeaderValue> {
        let tag = session(key, Side::Client)?.send.seal(&self.bytes());
        HeaderValue::from_str(&hex::encode(tag)).ok()
    }

    /// Returns whether a node has forwarded this request, which came from `from` with `mark`.
    pub(super) fn is_forwarded(
        &self,
        state: &Shared,
        mark: &HeaderValue,
        from: Option<IpAddr>,
    ) -> bool {
        if mark.as_bytes() == UNSIGNED {
            let snapshot = state.shared_snapshot.load();
            let peers = snapshot.as_ref().map(|s| &s.peer_ips);
            return from.is_some_and(|ip| peers.is_some_and(|p| p.contains(&ip.to_canonical())));
        }
        self.is_signed(&state.peer_key, mark)
    }

    /// Returns whether `mark` is the one that a node with this key sets.
    pub(super) fn is_signed(&self, key: &Key, mark: &HeaderValue) -> bool {
        self.verify(key, mark).unwrap_or(false)
    }

    fn verify(&self, key: &Key, mark: &HeaderValue) -> Option<bool> {
        let mut tag = [0; TAG_LEN];
        hex::decode_to_slice(mark.as_bytes(), &mut tag).ok()?;
        let mut signed = self.bytes();
        signed.extend(tag);
        Some(session(key, Side::Server)?.recv.open(&signed).is_ok())
    }

    /// Returns the covered parts, each after its length.
    fn bytes(&self) -> Vec<u8> {
        let header = |name| {
            self.headers
                .get(name)
                .map_or(&[][..], HeaderValue::as_bytes)
        };
        let path = self.uri.path_and_query().map_or("", |p| p.as_str());
        let parts = [
            self.method.as_str().as_bytes(),
            path.as_bytes(),
            header(AUTHORIZATION),
            header(IDEMPOTENCY_KEY),
            self.body,
        ];
        let mut bytes = Vec::new();
        for part in parts {
            bytes.extend((part.len() as u64).to_le_bytes());
            bytes.extend(part);
        }
        bytes
    }
}

fn session(key: &Key, side: Side) -> Option<Session> {
    Session::new(key, side, CONTEXT, &[]).ok()
}
