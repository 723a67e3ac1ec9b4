//! Runs the stand-in engines in a child process.

use crate::Error;
use engine::chain::Hop;
use standin::engine::{Config, Engine, Span};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Argument that makes the process run the engines.
pub const ENGINES_ARGUMENT: &str = "--engines";
/// Model that the engines hold.
pub const MODEL: &str = "menu";
/// Version of the model's weights.
pub const VERSION: &str = "3";
/// Number of layers of the model.
pub const LAYERS: u16 = 12;
/// Boundaries of the stages' ranges of layers.
const CUTS: [u16; 4] = [0, 4, 8, LAYERS];
/// Activation sizes of the measured pipelines, in bytes per token; 16 KiB is a model with 8,192
/// dimensions of 16 bits.
const ACTIVATIONS: [usize; 4] = [8, 4 << 10, 8 << 10, 16 << 10];

/// A pipeline with activations of one size.
pub struct Pipeline {
    /// Size of the activation of one token, in bytes.
    pub activation: usize,
    /// Stages of the pipeline.
    pub hops: Vec<Hop>,
}

/// The child process of the engines; killed when dropped.
pub struct Engines {
    child: Child,
    /// Pipelines without simulated compute time, one for each activation size.
    pub pipelines: Vec<Pipeline>,
    /// A pipeline whose first stage does not finish its prefill.
    pub slow: Vec<Hop>,
}

impl Engines {
    /// Starts the process and reads the addresses of its engines.
    pub fn start() -> Result<Self, Error> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ENGINES_ARGUMENT)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or("child process has no standard output")?;
        let mut output_lines = BufReader::new(output).lines().take(ACTIVATIONS.len() + 1);
        let mut next = || -> Result<Vec<Hop>, Error> {
            hops(
                &output_lines
                    .next()
                    .ok_or("child process printed too few pipelines")??,
            )
        };
        let slow = next()?;
        let pipelines = ACTIVATIONS
            .iter()
            .map(|activation| {
                Ok(Pipeline {
                    activation: *activation,
                    hops: next()?,
                })
            })
            .collect::<Result<_, Error>>()?;
        Ok(Self {
            child,
            pipelines,
            slow,
        })
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Parses the space-separated addresses of a pipeline's stages.
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

/// Runs the engines until standard input closes.
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

/// Starts a pipeline and prints the addresses of its stages on one line.
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
