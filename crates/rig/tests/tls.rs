//! TLS on the listeners for callers and for administration, over real sockets.

use bytes::Bytes;
use http::{Request, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rig::caller::ChatRequest;
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{KITCHENS, Plan};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// A certificate and its key, stored in a folder of their own for each test.
struct Pair {
    folder: PathBuf,
    certificate: CertificateDer<'static>,
}

impl Pair {
    /// Generates a pair and writes it to the folder, replacing the one that exists.
    fn write(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let made =
            rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).expect("a pair");
        std::fs::write(folder.join("cert.pem"), made.cert.pem()).expect("written");
        std::fs::write(folder.join("key.pem"), made.signing_key.serialize_pem()).expect("written");
        Self {
            folder,
            certificate: made.cert.der().clone(),
        }
    }

    /// Returns the lines for a listener's settings.
    fn lines(&self) -> String {
        let folder = self.folder.display();
        format!("certificate = {folder}/cert.pem\nkey = {folder}/key.pem\n")
    }

    /// Connects as a caller that trusts only this certificate and offers `protocols` by ALPN.
    async fn connect(
        &self,
        addr: SocketAddr,
        protocols: &[&str],
    ) -> std::io::Result<TlsStream<TcpStream>> {
        let mut roots = RootCertStore::empty();
        roots.add(self.certificate.clone()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider);
        let builder = builder
            .with_safe_default_protocol_versions()
            .expect("versions");
        let mut config = builder.with_root_certificates(roots).with_no_client_auth();
        config.alpn_protocols = protocols.iter().map(|p| p.as_bytes().to_vec()).collect();
        let stream = TcpStream::connect(addr).await?;
        let name = ServerName::try_from("localhost").expect("a name");
        TlsConnector::from(Arc::new(config))
            .connect(name, stream)
            .await
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn fleet(pair: &Pair) -> Fleet {
    let plan = Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        services: 1,
        // `Fleet::wait_until_settled` does not use TLS on the callers' listener, so only the status
        // from the admin listener is waited for below.
        callers: pair.lines(),
        ..Plan::default()
    };
    let mut fleet = Fleet::start_standins(plan).await.expect("stand-ins");
    fleet.start_node(0).expect("node");
    fleet.update_instance_list();
    let text = fleet.text();
    fleet.publish(&text).await.expect("published");
    wait("the bundle is in force", || async {
        let status = rig::caller::status(fleet.node(0).admin).await;
        status.is_ok_and(|s| s.ready)
    })
    .await
    .expect("in force");
    fleet
}

fn request(addr: SocketAddr, chat: &ChatRequest, version: Version) -> Request<Full<Bytes>> {
    let path = "/v1/chat/completions";
    let uri = match version {
        Version::HTTP_2 => format!("https://{addr}{path}"),
        _ => path.to_owned(),
    };
    let builder = Request::post(uri)
        .version(version)
        .header("host", "localhost");
    let builder = builder.header("authorization", format!("Bearer {}", KITCHENS.key));
    builder.body(Full::from(chat.body())).expect("a request")
}

/// Sends a chat completion request over a connection, with the protocol negotiated by ALPN.
async fn chat(
    stream: TlsStream<TcpStream>,
    addr: SocketAddr,
    chat: &ChatRequest,
) -> (StatusCode, Bytes) {
    let agreed = stream.get_ref().1.alpn_protocol().map(<[u8]>::to_vec);
    let io = TokioIo::new(stream);
    let response = if agreed.as_deref() == Some(b"h2") {
        let (mut sender, conn) = http2::handshake(TokioExecutor::new(), io)
            .await
            .expect("http2");
        tokio::spawn(conn);
        sender
            .send_request(request(addr, chat, Version::HTTP_2))
            .await
    } else {
        let (mut sender, conn) = http1::handshake(io).await.expect("http1");
        tokio::spawn(conn);
        sender
            .send_request(request(addr, chat, Version::HTTP_11))
            .await
    };
    let response = response.expect("answer");
    let status = response.status();
    (
        status,
        response
            .into_body()
            .collect()
            .await
            .expect("body")
            .to_bytes(),
    )
}

/// An open HTTP/2 connection.
struct Http2(http2::SendRequest<Full<Bytes>>);

impl Http2 {
    async fn open(stream: TlsStream<TcpStream>) -> Self {
        let io = TokioIo::new(stream);
        let (sender, conn) = http2::handshake(TokioExecutor::new(), io)
            .await
            .expect("http2");
        tokio::spawn(conn);
        Self(sender)
    }

    async fn chat(&mut self, addr: SocketAddr) -> StatusCode {
        let request = request(addr, &chat_request(), Version::HTTP_2);
        let response = self.0.send_request(request).await.expect("answer");
        let status = response.status();
        response.into_body().collect().await.expect("body");
        status
    }
}

fn chat_request() -> ChatRequest {
    ChatRequest {
        stream: false,
        ..ChatRequest::new("flag the sesame")
    }
}

fn text(body: &Bytes) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).expect("JSON");
    value["choices"][0]["message"]["content"]
        .as_str()
        .expect("text")
        .to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn both_versions_are_negotiated() {
    let pair = Pair::write("tls-versions");
    let fleet = fleet(&pair).await;
    let addr = fleet.node(0).callers;
    let cases: [(&[&str], Option<&[u8]>); 4] = [
        (&["h2"], Some(b"h2")),
        (&["http/1.1"], Some(b"http/1.1")),
        (&["http/1.1", "h2"], Some(b"h2")),
        (&[], None),
    ];
    for (offered, agreed) in cases {
        let stream = pair.connect(addr, offered).await.expect("connected");
        assert_eq!(stream.get_ref().1.alpn_protocol(), agreed, "{offered:?}");
        let (status, body) = chat(stream, addr, &chat_request()).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(text(&body), expect::text(&fleet.plan, &chat_request()));
    }
    let mut stream = pair.connect(addr, &["http/1.1"]).await.expect("connected");
    let named = addresses(&mut stream).await;
    assert!(named.contains("https://"), "{named}");
}

/// Requests addresses over an open connection and returns the raw response.
async fn addresses(stream: &mut TlsStream<TcpStream>) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let request = b"GET /v1/addresses HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("answer");
    text
}

// Connections that don't use TLS, or end during the handshake, are closed, and later callers are
// served.
#[tokio::test(flavor = "multi_thread")]
async fn plain_text_connection_is_closed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let pair = Pair::write("tls-plain");
    let fleet = fleet(&pair).await;
    let addr = fleet.node(0).callers;
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    stream
        .write_all(b"GET /v1/addresses HTTP/1.1\r\nhost: node\r\n\r\n")
        .await
        .expect("sent");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    assert!(!bytes.starts_with(b"HTTP"), "plain text was answered");
    drop(TcpStream::connect(addr).await.expect("connected"));
    let stream = pair.connect(addr, &["h2"]).await.expect("connected");
    assert_eq!(chat(stream, addr, &chat_request()).await.0, StatusCode::OK);
}

// A renewed certificate is served without a restart, and open connections continue. While the key
// file is invalid during the renewal, the old pair is served and no connection is refused.
#[tokio::test(flavor = "multi_thread")]
async fn certificate_is_replaced_without_a_restart() {
    let old = Pair::write("tls-renewal");
    let fleet = fleet(&old).await;
    let addr = fleet.node(0).callers;
    let kept = old.connect(addr, &["h2"]).await.expect("connected");
    let mut kept = Http2::open(kept).await;
    assert_eq!(kept.chat(addr).await, StatusCode::OK);
    std::fs::write(old.folder.join("key.pem"), "half a renewal").expect("written");
    assert!(old.connect(addr, &["h2"]).await.is_ok());
    let new = Pair::write("tls-renewal");
    wait("the new certificate is served", || async {
        new.connect(addr, &["h2"]).await.is_ok()
    })
    .await
    .expect("renewed");
    assert!(old.connect(addr, &["h2"]).await.is_err());
    assert_eq!(kept.chat(addr).await, StatusCode::OK);
}

// The admin listener has its own certificate and key.
#[tokio::test(flavor = "multi_thread")]
async fn admin_listener_speaks_tls() {
    let pair = Pair::write("tls-admin");
    let plan = Plan::default();
    let closed = "127.0.0.1:9".parse().expect("an address");
    let platform = rig::plan::Platform {
        log: closed,
        list: closed,
        weights: closed,
    };
    let text = plan.settings(0, &platform);
    let admin = format!("[admin]\n{}", pair.lines());
    let text = text.replace("[admin]\n", &admin);
    let settings = node::settings::read("entry-0.ini", &text).expect("settings");
    let process = node::process::Process::start(settings).expect("node");
    let addr = process.admin;
    let stream = pair.connect(addr, &["http/1.1"]).await.expect("connected");
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.expect("http1");
    tokio::spawn(conn);
    let request = Request::get("/healthz").header("host", "localhost");
    let answer = sender
        .send_request(request.body(Full::<Bytes>::default()).expect("a request"))
        .await;
    assert_eq!(answer.expect("answer").status(), StatusCode::OK);
    process.kill();
    tokio::task::spawn_blocking(move || process.join())
        .await
        .expect("joined")
        .expect("ended");
}
