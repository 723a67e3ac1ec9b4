//! One connection: an HTTP/2 stream with frames in both directions.

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
use tokio_util::sync::CancellationToken;

/// Frames kept until a pong shows that those before arrived.
const UNCONFIRMED: usize = 32;

/// A frame that may not have arrived.
pub(crate) type Unsent = Outgoing;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Nothing was sent or received for a while, or the node stops.
    Idle,
    /// The other side closed it, or it broke.
    Closed,
    /// It is open and nothing comes back.
    Silent,
    /// The other side broke the protocol.
    Refused,
}

impl From<&Error> for End {
    fn from(error: &Error) -> Self {
        match error {
            Error::Unresponsive => Self::Silent,
            Error::InvalidMac
            | Error::FrameTooLong(_)
            | Error::Codec(_)
            | Error::InvalidField(_) => Self::Refused,
            _ => Self::Closed,
        }
    }
}

/// The two halves of a stream with their buffers.
pub(crate) struct Pipe {
    pub(crate) send: SendStream<Bytes>,
    pub(crate) recv: RecvStream,
    pub(crate) ping: PingPong,
    pub(crate) codec: LengthDelimitedCodec,
    pub(crate) buffer: BytesMut,
}

/// The codec that cuts a stream into frames of at most `most` bytes.
pub(crate) fn codec(most: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(most)
        .new_codec()
}

impl Pipe {
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

/// Sends bytes as the other side's window allows.
pub(crate) async fn write(send: &mut SendStream<Bytes>, mut data: Bytes) -> Result<()> {
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let room = match send.capacity() {
            0 => poll_fn(|cx| send.poll_capacity(cx))
                .await
                .ok_or(Error::Closed)??,
            room => room,
        };
        send.send_data(data.split_to(room.min(data.len())), false)?;
    }
    Ok(())
}

/// Reads the next whole frame.
pub(crate) async fn read(
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

/// A frame with its length.
pub(crate) fn pack(codec: &mut LengthDelimitedCodec, frame: Bytes) -> Result<Bytes> {
    let mut out = BytesMut::with_capacity(frame.len() + 4);
    codec
        .encode(frame, &mut out)
        .map_err(|_| Error::FrameTooLong(out.len()))?;
    Ok(out.freeze())
}

/// A connection after both hellos.
pub(crate) struct Conn {
    pub(crate) peer: SocketAddr,
    pipe: Pipe,
    session: Session,
    first: Option<Frame>,
}

impl Conn {
    /// Takes a pipe whose hellos were exchanged.
    pub(crate) fn new(link: &Link, mut pipe: Pipe, session: Session, peer: SocketAddr) -> Self {
        pipe.codec = codec(link.shared.limits.max_frame_len + TAG_LEN);
        Self {
            peer,
            pipe,
            session,
            first: None,
        }
    }

    /// Waits for a first frame with a right MAC, which proves that the other side knows the key.
    pub(crate) async fn prove(&mut self, link: &Link) -> Result<()> {
        let Pipe {
            recv,
            codec,
            buffer,
            ..
        } = &mut self.pipe;
        let bytes = read(recv, codec, buffer).await?;
        self.first = Some(check(link, &mut self.session.recv, &bytes)?);
        Ok(())
    }

    /// Sends `unsent`, then what comes from `queue`, and delivers what is received. Gives back
    /// how it ended and the frames that may not have arrived.
    pub(crate) async fn run(
        self,
        link: &Link,
        queue: &mut mpsc::Receiver<Outgoing>,
        unsent: VecDeque<Unsent>,
        stop: &CancellationToken,
    ) -> (End, VecDeque<Unsent>) {
        let Self {
            peer,
            pipe,
            session,
            first,
        } = self;
        let Pipe {
            send,
            recv,
            ping,
            codec: cutter,
            buffer,
        } = pipe;
        let heard = Arc::new(Heard::new());
        let mut reader = Reader {
            link,
            peer,
            recv,
            codec: cutter,
            buffer,
            channel: session.recv,
            heard: heard.clone(),
        };
        let codec = codec(link.shared.limits.max_frame_len + TAG_LEN);
        let mut writer = Writer {
            link,
            send,
            ping,
            codec,
            channel: session.send,
            heard,
            unsent,
            pinged: None,
            used: Instant::now(),
        };
        let result = tokio::select! {
            result = reader.run(first) => result,
            result = writer.run(queue) => result,
            () = stop.cancelled() => Ok(()),
            () = link.shared.cancel.cancelled() => Ok(()),
        };
        let end = result.as_ref().err().map_or(End::Idle, End::from);
        count(link, result.as_ref().err());
        writer.finish(end);
        (end, writer.unsent)
    }
}

/// Counts why a connection was closed.
pub(crate) fn count(link: &Link, error: Option<&Error>) {
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

fn check(link: &Link, channel: &mut Channel, bytes: &[u8]) -> Result<Frame> {
    let frame = Frame::decode(channel.open(bytes)?)?;
    link.shared.counters.received.add(1);
    link.shared
        .counters
        .received_bytes
        .add(bytes.len() as u64 + 4);
    Ok(frame)
}

/// When something last came, in milliseconds since the connection began.
struct Heard {
    begun: Instant,
    last: AtomicU64,
}

impl Heard {
    fn new() -> Self {
        Self {
            begun: Instant::now(),
            last: AtomicU64::new(0),
        }
    }

    fn note(&self) {
        let ms = self.begun.elapsed().as_millis() as u64;
        self.last.store(ms, Ordering::Relaxed);
    }

    fn last(&self) -> Instant {
        self.begun + Duration::from_millis(self.last.load(Ordering::Relaxed))
    }
}

struct Reader<'a> {
    link: &'a Link,
    peer: SocketAddr,
    recv: RecvStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    channel: Channel,
    heard: Arc<Heard>,
}

impl Reader<'_> {
    async fn run(&mut self, first: Option<Frame>) -> Result<()> {
        if let Some(frame) = first {
            self.link.deliver(self.peer, frame).await;
        }
        loop {
            let bytes = read(&mut self.recv, &mut self.codec, &mut self.buffer).await?;
            self.heard.note();
            let frame = check(self.link, &mut self.channel, &bytes)?;
            self.link.deliver(self.peer, frame).await;
        }
    }
}

struct Writer<'a> {
    link: &'a Link,
    send: SendStream<Bytes>,
    ping: PingPong,
    codec: LengthDelimitedCodec,
    channel: Channel,
    heard: Arc<Heard>,
    unsent: VecDeque<Unsent>,
    pinged: Option<Instant>,
    used: Instant,
}

impl Writer<'_> {
    async fn run(&mut self, queue: &mut mpsc::Receiver<Outgoing>) -> Result<()> {
        let again: Vec<Unsent> = self.unsent.drain(..).collect();
        for frame in again {
            self.put(frame).await?;
        }
        loop {
            let limits = &self.link.shared.limits;
            let silent = self.pinged.map(|p| p + limits.confirm_timeout);
            let idle = self.used.max(self.heard.last()) + limits.idle_timeout;
            tokio::select! {
                frame = queue.recv() => match frame {
                    Some(frame) => self.put(frame).await?,
                    None => return Ok(()),
                },
                pong = poll_fn(|cx| self.ping.poll_pong(cx)), if self.pinged.is_some() => {
                    pong?;
                    self.confirm();
                }
                () = sleep_until(silent.unwrap_or(idle)) => match silent {
                    // Something between the two ends may have lost track of this connection.
                    // The peer is judged by a new one.
                    Some(_) => return Err(Error::Unresponsive),
                    None if self.idle(idle) => return Ok(()),
                    None => {}
                },
            }
        }
    }

    fn idle(&self, planned: Instant) -> bool {
        let now = self.used.max(self.heard.last()) + self.link.shared.limits.idle_timeout;
        now <= planned
    }

    async fn put(&mut self, mut frame: Outgoing) -> Result<()> {
        let bytes = frame.bytes.clone();
        frame.tries += 1;
        self.unsent.push_back(frame);
        if self.unsent.len() > UNCONFIRMED {
            self.unsent.pop_front();
        }
        let tag = self.channel.seal(&bytes);
        let mut sealed = BytesMut::with_capacity(bytes.len() + TAG_LEN);
        sealed.extend_from_slice(&bytes);
        sealed.extend_from_slice(&tag);
        let packed = pack(&mut self.codec, sealed.freeze())?;
        let len = packed.len() as u64;
        let silent = self.link.shared.limits.confirm_timeout;
        let written = timeout(silent, write(&mut self.send, packed)).await;
        written.map_err(|_| Error::Unresponsive)??;
        self.link.shared.counters.sent.add(1);
        self.link.shared.counters.sent_bytes.add(len);
        self.used = Instant::now();
        self.probe()
    }

    /// A pong shows that all before the ping arrived. One ping at a time.
    fn probe(&mut self) -> Result<()> {
        if self.pinged.is_some() {
            return Ok(());
        }
        self.ping.send_ping(Ping::opaque())?;
        self.pinged = Some(Instant::now());
        self.unsent.iter_mut().for_each(|f| f.tries |= PINGED);
        Ok(())
    }

    fn confirm(&mut self) {
        self.pinged = None;
        self.unsent.retain(|f| f.tries & PINGED == 0);
        if !self.unsent.is_empty() {
            let _ = self.probe();
        }
    }

    fn finish(&mut self, end: End) {
        self.unsent.iter_mut().for_each(|f| f.tries &= !PINGED);
        if end == End::Idle {
            let _ = self.send.send_data(Bytes::new(), true);
            self.unsent.clear();
        }
    }
}

/// Marks a frame that was sent before the open ping.
const PINGED: u8 = 0x80;
