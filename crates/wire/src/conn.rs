//! One connection: an HTTP/2 stream that carries frames in both directions.

use crate::auth::{Channel, Session, TAG_LEN};
use crate::error::{Error, Result};
use crate::frame::Frame;
use crate::limits::MAX_HELLO_LEN;
use crate::peer::Link;
use crate::route::Outgoing;
use bytes::{Bytes, BytesMut};
use h2::{Ping, PingPong, RecvStream, SendStream};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum number of sent frames kept for a retry until a pong confirms their arrival. Further
/// frames wait in the queue.
const MAX_UNCONFIRMED_FRAMES: usize = 32;

/// A sent frame whose arrival is not confirmed.
pub(crate) type Unconfirmed = Outgoing;

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Nothing was sent or received within the idle timeout, the route was evicted and all its
    /// frames are confirmed, or the link was stopped.
    Idle,
    /// The peer closed the connection, or it failed.
    Closed,
    /// The connection is open, but the peer confirmed nothing in time.
    Unresponsive,
    /// The peer violated the protocol.
    ProtocolError,
}

impl From<&Error> for CloseReason {
    fn from(error: &Error) -> Self {
        match error {
            Error::Unresponsive => Self::Unresponsive,
            Error::InvalidMac
            | Error::FrameTooLong(_)
            | Error::Codec(_)
            | Error::InvalidField(_) => Self::ProtocolError,
            _ => Self::Closed,
        }
    }
}

/// Both halves of an HTTP/2 stream, with the codec and buffer of the receiving half.
pub(crate) struct FrameStream {
    pub(crate) send: SendStream<Bytes>,
    pub(crate) recv: RecvStream,
    pub(crate) ping: PingPong,
    pub(crate) codec: LengthDelimitedCodec,
    pub(crate) buffer: BytesMut,
}

/// Creates a codec for frames of at most `max_len` bytes, each after its length in four bytes.
pub(crate) fn codec(max_len: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(max_len)
        .new_codec()
}

impl FrameStream {
    /// Wraps a new stream; its frames are limited to the length of a hello.
    pub(crate) fn new(send: SendStream<Bytes>, recv: RecvStream, ping: PingPong) -> Self {
        Self {
            send,
            recv,
            ping,
            codec: codec(MAX_HELLO_LEN),
            buffer: BytesMut::new(),
        }
    }
}

/// Sends all bytes, as fast as the peer's flow-control window allows.
pub(crate) async fn write_all(send: &mut SendStream<Bytes>, mut data: Bytes) -> Result<()> {
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let capacity = match send.capacity() {
            0 => poll_fn(|cx| send.poll_capacity(cx))
                .await
                .ok_or(Error::Closed)??,
            capacity => capacity,
        };
        send.send_data(data.split_to(capacity.min(data.len())), false)?;
    }
    Ok(())
}

/// Reads the next complete frame.
pub(crate) async fn read_frame(
    recv: &mut RecvStream,
    codec: &mut LengthDelimitedCodec,
    buffer: &mut BytesMut,
) -> Result<BytesMut> {
    loop {
        let frame = codec
            .decode(buffer)
            .map_err(|_| Error::FrameTooLong(buffer.len()))?;
        if let Some(frame) = frame {
            return Ok(frame);
        }
        let data = recv.data().await.ok_or(Error::Closed)??;
        buffer.extend_from_slice(&data);
        recv.flow_control().release_capacity(data.len())?;
    }
}

/// Returns a frame after its length prefix.
pub(crate) fn add_length_prefix(codec: &mut LengthDelimitedCodec, frame: Bytes) -> Result<Bytes> {
    let mut out = BytesMut::with_capacity(frame.len() + 4);
    codec
        .encode(frame, &mut out)
        .map_err(|_| Error::FrameTooLong(out.len()))?;
    Ok(out.freeze())
}

/// A connection whose sides have exchanged hellos.
pub(crate) struct Conn {
    /// Address that the peer listens on.
    pub(crate) peer: SocketAddr,
    stream: FrameStream,
    session: Session,
    /// The frame that authenticated the peer, to be delivered first.
    first_frame: Option<Frame>,
}

impl Conn {
    /// Creates a connection after the exchange of hellos; frames may have their full length now.
    pub(crate) fn new(
        link: &Link,
        mut stream: FrameStream,
        session: Session,
        peer: SocketAddr,
    ) -> Self {
        stream.codec = codec(link.shared.limits.max_frame_len + TAG_LEN);
        Self {
            peer,
            stream,
            session,
            first_frame: None,
        }
    }

    /// Waits for a first frame with a valid MAC, which proves that the peer knows the shared key.
    pub(crate) async fn authenticate(&mut self, link: &Link) -> Result<()> {
        let FrameStream {
            recv,
            codec,
            buffer,
            ..
        } = &mut self.stream;
        let bytes = read_frame(recv, codec, buffer).await?;
        self.first_frame = Some(verify(link, &mut self.session.recv, &bytes)?);
        Ok(())
    }

    /// Sends the frames of `unconfirmed`, then those of `queue`, and delivers received frames,
    /// until the connection ends. Returns why it was closed and the frames that may not have
    /// arrived.
    pub(crate) async fn run(
        self,
        link: &Link,
        queue: &mut mpsc::Receiver<Outgoing>,
        unconfirmed: VecDeque<Unconfirmed>,
    ) -> (CloseReason, VecDeque<Unconfirmed>) {
        let Self {
            peer,
            stream,
            session,
            first_frame,
        } = self;
        let FrameStream {
            send,
            recv,
            ping,
            codec: reader_codec,
            buffer,
        } = stream;
        let last_received = Arc::new(LastReceived::new());
        let mut reader = Reader {
            link,
            peer,
            recv,
            codec: reader_codec,
            buffer,
            channel: session.recv,
            last_received: last_received.clone(),
        };
        let codec = codec(link.shared.limits.max_frame_len + TAG_LEN);
        let mut writer = Writer {
            link,
            send,
            ping,
            codec,
            channel: session.send,
            last_received,
            to_resend: unconfirmed,
            unconfirmed: VecDeque::new(),
            ping_sent_at: None,
            last_sent: Instant::now(),
        };
        let result = tokio::select! {
            result = reader.run(first_frame) => result,
            result = writer.run(queue) => result,
            () = link.shared.cancel.cancelled() => Ok(()),
        };
        let reason = result
            .as_ref()
            .err()
            .map_or(CloseReason::Idle, CloseReason::from);
        count_failure(link, result.as_ref().err());
        (reason, writer.finish(reason))
    }
}

/// Counts an error that closed a connection, if there is a counter for it.
pub(crate) fn count_failure(link: &Link, error: Option<&Error>) {
    let counters = &link.shared.counters;
    match error {
        Some(Error::InvalidMac) => counters.bad_mac.add(1),
        Some(
            Error::FrameTooLong(_)
            | Error::Codec(_)
            | Error::InvalidField(_)
            | Error::UnsupportedVersion(_),
        ) => {
            counters.bad_frame.add(1);
        }
        Some(Error::Unresponsive) => counters.silent.add(1),
        _ => {}
    }
}

/// Verifies, decodes and counts a received frame.
fn verify(link: &Link, channel: &mut Channel, bytes: &[u8]) -> Result<Frame> {
    let frame = Frame::decode(channel.open(bytes)?)?;
    link.shared.counters.received.add(1);
    link.shared
        .counters
        .received_bytes
        .add(bytes.len() as u64 + 4);
    Ok(frame)
}

/// Time of the last received frame, shared by the reader and the writer of a connection.
struct LastReceived {
    started: Instant,
    /// Milliseconds from `started` to the last received frame.
    elapsed_ms: AtomicU64,
}

impl LastReceived {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            elapsed_ms: AtomicU64::new(0),
        }
    }

    fn record(&self) {
        let ms = self.started.elapsed().as_millis() as u64;
        self.elapsed_ms.store(ms, Ordering::Relaxed);
    }

    fn get(&self) -> Instant {
        self.started + Duration::from_millis(self.elapsed_ms.load(Ordering::Relaxed))
    }
}

/// The receiving side of a connection.
struct Reader<'a> {
    link: &'a Link,
    peer: SocketAddr,
    recv: RecvStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    channel: Channel,
    last_received: Arc<LastReceived>,
}

impl Reader<'_> {
    async fn run(&mut self, first_frame: Option<Frame>) -> Result<()> {
        if let Some(frame) = first_frame {
            self.link.deliver(self.peer, frame).await;
        }
        loop {
            let bytes = read_frame(&mut self.recv, &mut self.codec, &mut self.buffer).await?;
            self.last_received.record();
            let frame = verify(self.link, &mut self.channel, &bytes)?;
            self.link.deliver(self.peer, frame).await;
        }
    }
}

/// The sending side of a connection.
struct Writer<'a> {
    link: &'a Link,
    send: SendStream<Bytes>,
    ping: PingPong,
    codec: LengthDelimitedCodec,
    channel: Channel,
    last_received: Arc<LastReceived>,
    /// Frames of an earlier connection that have not been sent over this one yet.
    to_resend: VecDeque<Unconfirmed>,
    /// Sent frames in order, oldest first.
    unconfirmed: VecDeque<Unconfirmed>,
    /// Time of the open ping, if there is one.
    ping_sent_at: Option<Instant>,
    last_sent: Instant,
}

impl Writer<'_> {
    async fn run(&mut self, queue: &mut mpsc::Receiver<Outgoing>) -> Result<()> {
        while let Some(frame) = self.to_resend.pop_front() {
            self.send_frame(frame).await?;
        }
        let mut evicted = false;
        loop {
            if evicted && self.unconfirmed.is_empty() {
                return self.drain().await;
            }
            let may_send = !evicted && self.unconfirmed.len() < MAX_UNCONFIRMED_FRAMES;
            let limits = &self.link.shared.limits;
            let pong_deadline = self.ping_sent_at.map(|sent| sent + limits.confirm_timeout);
            let idle_deadline = self.last_sent.max(self.last_received.get()) + limits.idle_timeout;
            tokio::select! {
                frame = queue.recv(), if may_send => match frame {
                    Some(frame) => self.send_frame(frame).await?,
                    None => evicted = true,
                },
                pong = poll_fn(|cx| self.ping.poll_pong(cx)), if self.ping_sent_at.is_some() => {
                    pong?;
                    self.handle_pong();
                }
                () = sleep_until(pong_deadline.unwrap_or(idle_deadline)) => match pong_deadline {
                    // A device on the path may have lost the state of this connection, so this
                    // doesn't show that the peer is unreachable. A new connection decides that.
                    Some(_) => return Err(Error::Unresponsive),
                    None if self.is_idle(idle_deadline) => return Ok(()),
                    None => {}
                },
            }
        }
    }

    /// Ends the sent half of the stream and leaves the received half to the reader, since frames that
    /// the peer takes for confirmed may not be delivered yet. Returns when the connection is idle.
    async fn drain(&mut self) -> Result<()> {
        self.send.send_data(Bytes::new(), true)?;
        let idle_timeout = self.link.shared.limits.idle_timeout;
        loop {
            let deadline = self.last_sent.max(self.last_received.get()) + idle_timeout;
            sleep_until(deadline).await;
            if self.is_idle(deadline) {
                return Ok(());
            }
        }
    }

    /// Returns whether nothing was sent or received since the idle deadline was computed.
    fn is_idle(&self, deadline: Instant) -> bool {
        let current =
            self.last_sent.max(self.last_received.get()) + self.link.shared.limits.idle_timeout;
        current <= deadline
    }

    /// Sends a frame with its MAC, keeps it as unconfirmed and pings the peer.
    async fn send_frame(&mut self, mut frame: Outgoing) -> Result<()> {
        let bytes = frame.bytes.clone();
        frame.attempts += 1;
        self.unconfirmed.push_back(frame);
        let tag = self.channel.seal(&bytes);
        let mut sealed = BytesMut::with_capacity(bytes.len() + TAG_LEN);
        sealed.extend_from_slice(&bytes);
        sealed.extend_from_slice(&tag);
        let prefixed = add_length_prefix(&mut self.codec, sealed.freeze())?;
        let len = prefixed.len() as u64;
        let limit = self.link.shared.limits.confirm_timeout;
        let written = timeout(limit, write_all(&mut self.send, prefixed)).await;
        written.map_err(|_| Error::Unresponsive)??;
        self.link.shared.counters.sent.add(1);
        self.link.shared.counters.sent_bytes.add(len);
        self.last_sent = Instant::now();
        self.ping()
    }

    /// Sends a ping unless one is open. Its pong confirms that all frames sent before it arrived.
    fn ping(&mut self) -> Result<()> {
        if self.ping_sent_at.is_some() {
            return Ok(());
        }
        self.ping.send_ping(Ping::opaque())?;
        self.ping_sent_at = Some(Instant::now());
        self.unconfirmed
            .iter_mut()
            .for_each(|f| f.attempts |= PING_COVERS_FRAME);
        Ok(())
    }

    /// Drops the frames that the pong confirms and pings again if others are unconfirmed.
    fn handle_pong(&mut self) {
        self.ping_sent_at = None;
        self.unconfirmed
            .retain(|f| f.attempts & PING_COVERS_FRAME == 0);
        if !self.unconfirmed.is_empty() {
            let _ = self.ping();
        }
    }

    /// Clears the marks of the ping and returns the frames that may not have arrived. If the
    /// connection was idle or the link was stopped, ends the stream and drops them instead.
    fn finish(mut self, reason: CloseReason) -> VecDeque<Unconfirmed> {
        self.unconfirmed
            .iter_mut()
            .for_each(|f| f.attempts &= !PING_COVERS_FRAME);
        if reason == CloseReason::Idle {
            let _ = self.send.send_data(Bytes::new(), true);
            return VecDeque::new();
        }
        self.unconfirmed.extend(self.to_resend);
        self.unconfirmed
    }
}

/// Bit in [`Outgoing::attempts`] of a frame that was sent before the open ping.
const PING_COVERS_FRAME: u8 = 0x80;
