//! Health probes of an endpoint that does not accept connections.

use engine::pool::{Limits, Pool};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;

/// Time after which a connect of the test is not expected to succeed any more.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener whose backlog is full, so that further connects get no answer.
struct Unresponsive {
    addr: SocketAddr,
    _listener: TcpListener,
    _backlog: Vec<TcpStream>,
}

impl Unresponsive {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(addr).expect("binds");
        let listener = socket.listen(1).expect("listens");
        let addr = listener.local_addr().expect("an address");
        let connect = || TcpStream::connect_timeout(&addr, FULL_BACKLOG_TIMEOUT).ok();
        Self {
            addr,
            _listener: listener,
            _backlog: std::iter::from_fn(connect).collect(),
        }
    }
}

// Guards against a probe that waits for a connection longer, or gives up earlier, than the requests
// whose endpoint it judges.
#[tokio::test(start_paused = true)]
async fn probe_connects_within_the_limit_of_its_pool() {
    let endpoint = Unresponsive::new();
    for millis in [100, 3000] {
        let connect_timeout = Duration::from_millis(millis);
        let pool = Pool::new(Limits {
            connect_timeout,
            ..Limits::default()
        });
        let start = Instant::now();
        assert!(!pool.probe(endpoint.addr, Duration::from_secs(60)).await);
        let waited = start.elapsed();
        let expected = connect_timeout..connect_timeout + Duration::from_millis(50);
        assert!(expected.contains(&waited), "{millis} ms: {waited:?}");
    }
}
