//! The stand-in engines, in a process of their own.

use crate::Error;
use engine::chain::Hop;
use standin::engine::{Config, Engine, Span};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Argument that makes this process the engines.
pub const ROLE: &str = "--engines";
/// Model that they hold.
pub const MODEL: &str = "menu";
/// Version of its weights.
pub const VERSION: &str = "3";
/// Its layers.
pub const LAYERS: u16 = 12;
/// Where the ranges of the stages meet.
const CUTS: [u16; 4] = [0, 4, 8, LAYERS];
/// Bytes of activation per token of the measured lines; 16 KiB is a model 8,192 wide in 16 bits.
const ACTIVATIONS: [usize; 4] = [8, 4 << 10, 8 << 10, 16 << 10];

/// A pipeline whose activations have one size.
pub struct Line {
    /// Bytes per token.
    pub activation: usize,
    /// Its stages.
    pub hops: Vec<Hop>,
}

/// The engines' process; ends when dropped.
pub struct Engines {
    child: Child,
    /// Pipelines that compute as fast as they can.
    pub lines: Vec<Line>,
    /// A pipeline whose first stage never comes to an end.
    pub slow: Vec<Hop>,
}

impl Engines {
    /// Starts the process and reads where its engines listen.
    pub fn start() -> Result<Self, Error> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ROLE)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut pipelines = BufReader::new(output).lines().take(ACTIVATIONS.len() + 1);
        let mut next = || -> Result<Vec<Hop>, Error> { hops(&pipelines.next().ok_or("no line")??) };
        let slow = next()?;
        let lines = ACTIVATIONS
            .iter()
            .map(|activation| {
                Ok(Line {
                    activation: *activation,
                    hops: next()?,
                })
            })
            .collect::<Result<_, Error>>()?;
        Ok(Self { child, lines, slow })
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn hops(line: &str) -> Result<Vec<Hop>, Error> {
    let addrs = line.split(' ').map(str::parse::<SocketAddr>);
    let hop = |(addr, cut): (_, &[u16])| {
        Ok(Hop {
            addr: addr?,
            from: cut[0],
            to: cut[1],
        })
    };
    addrs.zip(CUTS.windows(2)).map(hop).collect()
}

/// Runs the engines until the input closes.
pub fn serve() -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let never = Duration::from_secs(24 * 3600);
        pipeline(Config {
            prefill_time: never,
            ..config()
        })
        .await?;
        for activation in ACTIVATIONS {
            pipeline(Config {
                activation_bytes: activation,
                ..config()
            })
            .await?;
        }
        tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new())).await??;
        Ok(())
    })
}

fn config() -> Config {
    Config {
        slots: 8192,
        recorded_attempts: 0,
        ..Config::default()
    }
}

async fn pipeline(config: Config) -> Result<(), Error> {
    let mut addrs = Vec::new();
    for cut in CUTS.windows(2) {
        let models = vec![Span::new(MODEL, VERSION, LAYERS, cut[0], cut[1])];
        let engine = Engine::start(Config {
            models,
            ..config.clone()
        })
        .await?;
        addrs.push(engine.addr.to_string());
    }
    println!("{}", addrs.join(" "));
    Ok(())
}
