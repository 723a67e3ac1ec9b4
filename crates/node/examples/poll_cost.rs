//! Measures the processor time of control per poll of an engine, on loopback: by the pooling client with a
//! decoded report, and over a kept connection with and without decoding.

#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::report::{Control, Session};
use eyre::Result;
use memory::budget::Budget;
use standin::engine::Engine;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Polls of each kind.
const POLLS: u32 = 2_000;
/// Time between two polls.
const INTERVAL: Duration = Duration::from_millis(1);

/// Returns the processor time of this thread.
fn processor_time() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().unwrap_or_default();
    Ok(Duration::from_nanos(nanos.parse()?))
}

async fn measure(what: &str, mut poll: impl AsyncFnMut() -> bool) -> Result<()> {
    let before = processor_time()?;
    let mut answered = 0;
    for _ in 0..POLLS {
        answered += u32::from(poll().await);
        tokio::time::sleep(INTERVAL).await;
    }
    let time = (processor_time()? - before) / POLLS;
    println!("{what}: {time:?} a poll, {answered} of {POLLS} answered");
    Ok(())
}

/// Starts an engine on a thread of its own.
fn start_engine() -> Result<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let engine = Engine::start("e1", &Store::start().await).await;
            sender.send(engine.addr)?;
            std::future::pending().await
        })
    });
    Ok(receiver.recv()?)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let addr = start_engine()?;
    let budget = Budget::new(1 << 20, 0);
    for _ in 0..2 {
        measure("timer alone", async || true).await?;
        let control = Control::new(addr, budget.clone());
        measure("pooling client, decoded", async || {
            control.fetch_report().await.is_ok()
        })
        .await?;
        for decode in [true, false] {
            let opened = Session::open(addr, budget.clone()).await;
            let (mut session, driver) = opened.map_err(|e| eyre::eyre!("{e:?}"))?;
            tokio::spawn(driver.run());
            measure(&format!("kept connection, decode {decode}"), async || {
                session.poll(decode).await.is_ok()
            })
            .await?;
        }
    }
    Ok(())
}
