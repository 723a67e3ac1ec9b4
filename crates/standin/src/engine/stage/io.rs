//! Reads calls from a stage's stream and writes replies to it.

use super::{Result, StreamClosed};
use bytes::{Bytes, BytesMut};
use engine::frame::{self, Call, Item, Reader, Reply};
use h2::{Reason, RecvStream, SendStream};
use std::future::poll_fn;

/// Framed reader and writer of both directions of a stream.
pub(super) struct FrameStream {
    sender: SendStream<Bytes>,
    body: RecvStream,
    reader: Reader<Call>,
}

impl FrameStream {
    pub(super) fn new(sender: SendStream<Bytes>, body: RecvStream) -> Self {
        Self {
            sender,
            body,
            reader: Reader::default(),
        }
    }

    /// Resets the stream.
    pub(super) fn abort(&mut self, reason: Reason) {
        self.sender.send_reset(reason);
    }

    /// Sends raw bytes, which need not be a valid frame.
    pub(super) fn send(&mut self, bytes: Bytes, end: bool) -> Result<()> {
        self.sender.send_data(bytes, end).map_err(|_| StreamClosed)
    }

    /// Reads the next call; `None` when the caller ended its side.
    pub(super) async fn call(&mut self) -> Result<Option<Call>> {
        match self.item().await? {
            None => Ok(None),
            Some(Item::Head(call)) => Ok(Some(call)),
            Some(Item::Payload(_)) => Err(StreamClosed),
        }
    }

    /// Reads a payload of `length` bytes.
    pub(super) async fn payload(&mut self, length: u32) -> Result<Bytes> {
        let length = length as usize;
        let mut bytes = BytesMut::new();
        while bytes.len() < length {
            match self.item().await? {
                Some(Item::Payload(piece)) if piece.len() == length => return Ok(piece),
                Some(Item::Payload(piece)) => bytes.extend_from_slice(&piece),
                _ => return Err(StreamClosed),
            }
        }
        Ok(bytes.freeze())
    }

    async fn item(&mut self) -> Result<Option<Item<Call>>> {
        loop {
            if let Some(item) = self.reader.read().map_err(|_| StreamClosed)? {
                return Ok(Some(item));
            }
            let Some(chunk) = self.body.data().await else {
                return if self.reader.is_at_frame_end() {
                    Ok(None)
                } else {
                    Err(StreamClosed)
                };
            };
            let chunk = chunk.map_err(|_| StreamClosed)?;
            let _ = self.body.flow_control().release_capacity(chunk.len());
            self.reader.push(chunk);
        }
    }

    /// Queues a reply; the connection sends it as the caller's flow-control window allows.
    pub(super) fn reply(&mut self, reply: &Reply, payload: Bytes, end: bool) -> Result<()> {
        let mut buf = BytesMut::new();
        frame::encode(reply, &mut buf).map_err(|_| StreamClosed)?;
        buf.extend_from_slice(&payload);
        self.sender
            .send_data(buf.freeze(), end)
            .map_err(|_| StreamClosed)
    }

    /// Waits until the caller resets the stream.
    async fn reset(&mut self) {
        let _ = poll_fn(|cx| self.sender.poll_reset(cx)).await;
    }

    /// Runs `work` to completion, or fails when the caller resets the stream first.
    pub(super) async fn until_reset<T>(&mut self, work: impl Future<Output = T>) -> Result<T> {
        tokio::select! {
            biased;
            () = self.reset() => Err(StreamClosed),
            done = work => Ok(done),
        }
    }
}
