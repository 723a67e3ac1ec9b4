//! A minimal client of the stages as the baseline: one connection to each, no checks, no events.

use bytes::{Bytes, BytesMut};
use engine::chain::{Hop, Job};
use engine::frame::{self, Call, Input, Item, Open, Place, Reader, Reply, Step};
use futures::future::join_all;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::Request;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

type Senders = Vec<SendRequest<Bytes>>;

/// An open stream to a stage.
struct Stage {
    sender: SendStream<Bytes>,
    body: RecvStream,
    reader: Reader<Reply>,
}

impl Stage {
    async fn open(connection: &SendRequest<Bytes>, job: &Job, hop: &Hop) -> Self {
        let uri = format!("http://{}/v1/stage", hop.addr);
        let request = Request::post(uri).body(()).expect("a request");
        let mut connection = connection.clone().ready().await.expect("ready");
        let (response, sender) = connection.send_request(request, false).expect("sends");
        let mut stage = Opening { sender };
        stage.send(job, hop);
        let body = response.await.expect("answers").into_body();
        let mut stage = Self {
            sender: stage.sender,
            body,
            reader: Reader::default(),
        };
        stage.head().await;
        stage
    }

    async fn item(&mut self) -> Item<Reply> {
        loop {
            if let Some(item) = self.reader.read().expect("a frame") {
                return item;
            }
            let chunk = self
                .body
                .data()
                .await
                .expect("stream continues")
                .expect("stream is intact");
            let _ = self.body.flow_control().release_capacity(chunk.len());
            self.reader.push(chunk);
        }
    }

    async fn head(&mut self) -> Reply {
        match self.item().await {
            Item::Head(head) => head,
            Item::Payload(_) => panic!("received a payload instead of a head"),
        }
    }

    fn send(&mut self, step: Step, payload: &[u8]) {
        let mut buf = BytesMut::new();
        frame::encode(&Call::Step(step), &mut buf).expect("encodes");
        buf.extend_from_slice(payload);
        self.sender.send_data(buf.freeze(), false).expect("sends");
    }
}

/// A stream to a stage that has not answered the open frame yet.
struct Opening {
    sender: SendStream<Bytes>,
}

impl Opening {
    fn send(&mut self, job: &Job, hop: &Hop) {
        let open = Open {
            request: job.request,
            attempt: job.attempt,
            model: job.model.clone(),
            version: job.version.clone(),
            adapter: None,
            from: hop.from,
            to: hop.to,
            max_tokens: job.max_tokens,
            seed: job.seed,
            priority: 0,
            prefix: Vec::new(),
        };
        let mut buf = BytesMut::new();
        frame::encode(&Call::Open(open), &mut buf).expect("encodes");
        self.sender.send_data(buf.freeze(), false).expect("sends");
    }
}

async fn connect(hops: &[Hop]) -> Senders {
    let connect = |hop: &Hop| {
        let addr = hop.addr;
        async move {
            let socket = TcpStream::connect(addr).await.expect("connects");
            socket.set_nodelay(true).expect("is set");
            let mut builder = h2::client::Builder::new();
            builder
                .initial_window_size(256 << 10)
                .initial_connection_window_size(8 << 20);
            let (sender, connection) = builder.handshake(socket).await.expect("shakes hands");
            tokio::spawn(connection);
            sender
        }
    };
    join_all(hops.iter().map(connect)).await
}

/// Runs a job and returns the times between its tokens.
pub async fn run(job: &Job) -> Vec<Duration> {
    let senders = connect(&job.hops).await;
    stream(&senders, job).await
}

/// Runs a job over existing connections and returns the times between its tokens.
async fn stream(senders: &Senders, job: &Job) -> Vec<Duration> {
    let opens = senders
        .iter()
        .zip(&job.hops)
        .map(|(sender, hop)| Stage::open(sender, job, hop));
    let mut stages = join_all(opens).await;
    let mut times = Vec::new();
    let mut input = Input::Prompt(Vec::new());
    let mut payload = job.prompt.to_vec();
    let mut last = None;
    for number in 1..=job.max_tokens {
        for (stage, hop) in stages.iter_mut().zip(&job.hops) {
            let (request, attempt) = (job.request, job.attempt);
            let place = Place {
                request,
                attempt,
                step: number,
                from: hop.from,
                to: hop.to,
            };
            stage.send(
                Step {
                    place,
                    input,
                    payload: payload.len() as u32,
                },
                &payload,
            );
            payload.clear();
            input = match stage.head().await {
                Reply::Done {
                    payload: length, ..
                } => {
                    while payload.len() < length as usize {
                        if let Item::Payload(piece) = stage.item().await {
                            payload.extend_from_slice(&piece);
                        }
                    }
                    Input::Activations
                }
                Reply::Token { end: true, .. } => return times,
                Reply::Token { id, .. } => Input::Token(id),
                other => panic!("{other:?}"),
            };
        }
        let now = Instant::now();
        times.extend(last.replace(now).map(|before| now - before));
    }
    times
}

/// Runs `count` concurrent streams until `end`, and returns the number of steps.
pub async fn run_streams(count: usize, end: Instant, job: impl Fn(u128) -> Job) -> u64 {
    let senders = connect(&job(1).hops).await;
    let streams = (0..count).map(|first| {
        let (senders, job) = (&senders, &job);
        async move {
            let (mut number, mut steps) = (first as u128 + 1, 0);
            while Instant::now() < end {
                steps += stream(senders, &job(number)).await.len() as u64 + 1;
                number += count as u128;
            }
            steps
        }
    });
    join_all(streams).await.into_iter().sum()
}
