//! Starts and controls a fleet of nodes and stand-ins.

use crate::plan::{self, Plan, SIGNER, SIGNER_SEED};
use bundle::Bundle;
use bundle::sign;
use bytes::Bytes;
use eyre::{Result, bail, eyre};
use node::process::Process;
use node::settings;
use platform::instance::{Instance, State};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Rate limit of the weight store.
const WEIGHTS_RATE: platform::weights::Rate = platform::weights::Rate {
    per_minute: 6000,
    at_once: 4,
};
/// Timeout of [`wait`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which [`wait`] checks its condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Loopback address with an unspecified port: the kernel selects an unused one.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An endpoint that runs a stage.
pub struct Endpoint {
    /// Name of the endpoint and of its instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Index of the stage in its replica.
    pub stage: usize,
    /// Handle of the stand-in.
    pub engine: standin::engine::Handle,
}

/// An endpoint of a plain service.
pub struct Service {
    /// Name of the endpoint and of its instance.
    pub name: String,
    /// Name of the plain service.
    pub service: &'static str,
    /// Availability zone.
    pub zone: String,
    /// Handle of the stand-in.
    pub handle: standin::service::Handle,
}

/// A running fleet. Dropping it does not stop its nodes: they run until the process ends.
pub struct Fleet {
    /// Description of the fleet.
    pub plan: Plan,
    /// The log service.
    pub log: standin::log::Log,
    /// The instance list.
    pub list: standin::list::List,
    /// The weight store.
    pub weights: standin::weights::Weights,
    /// Endpoints that run stages.
    pub endpoints: Vec<Endpoint>,
    /// Endpoints of plain services.
    pub services: Vec<Service>,
    /// Nodes by index; `None` once a node has ended.
    pub nodes: Vec<Option<Process>>,
    /// The most recently published version of the bundle.
    pub bundle: Option<Bundle>,
}

impl Fleet {
    /// Starts the stand-ins and the nodes, publishes the first bundle and waits until it is in
    /// force on every node and every node offers all others.
    pub async fn start(plan: Plan) -> Result<Self> {
        let mut fleet = Self::start_standins(plan).await?;
        for index in 0..fleet.plan.nodes {
            fleet.start_node(index)?;
        }
        fleet.update_instance_list();
        fleet.publish(&fleet.text()).await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    /// Starts the stand-ins without any node.
    pub async fn start_standins(plan: Plan) -> Result<Self> {
        let mut fleet = Self {
            log: standin::log::Log::start(ANY_PORT).await?,
            list: standin::list::List::start(ANY_PORT, Vec::new()).await?,
            weights: standin::weights::Weights::start(ANY_PORT, WEIGHTS_RATE).await?,
            endpoints: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            bundle: None,
            plan,
        };
        for replica in 0..fleet.plan.replicas {
            fleet.start_replica(replica).await?;
        }
        for index in 0..fleet.plan.services {
            fleet.start_service(plan::LOOKUP, index).await?;
            fleet.start_service(plan::NEWSLETTER, index).await?;
        }
        Ok(fleet)
    }

    async fn start_replica(&mut self, replica: usize) -> Result<()> {
        let plan = &self.plan;
        for (stage, part) in plan.stages.iter().enumerate() {
            let span = standin::engine::Span::new(
                plan::MODEL,
                plan::VERSION,
                plan.layers,
                part.from,
                part.to,
            );
            let config = standin::engine::Config {
                models: vec![span],
                slots: plan.slots,
                batch: plan.batch,
                layer_time: part.layer_time,
                load_time: plan.load_time,
                ..standin::engine::Config::default()
            };
            let engine = standin::engine::Engine::start(config).await?;
            self.endpoints.push(Endpoint {
                name: format!("engine-{replica}-{stage}"),
                zone: plan.zone(replica),
                stage,
                engine,
            });
        }
        Ok(())
    }

    async fn start_service(&mut self, service: &'static str, index: usize) -> Result<()> {
        let config = standin::service::Config {
            pieces: self.plan.pieces,
            piece_bytes: self.plan.piece_bytes,
            ..standin::service::Config::default()
        };
        let handle = standin::service::Service::start(config).await?;
        self.services.push(Service {
            name: format!("{service}-{index}"),
            service,
            zone: self.plan.zone(index),
            handle,
        });
        Ok(())
    }

    /// Starts or restarts node `index`.
    pub fn start_node(&mut self, index: usize) -> Result<()> {
        let text = self.plan.settings(index, &self.platform());
        let name = format!("{}.ini", plan::node_name(index));
        let settings =
            settings::read(&name, &text).map_err(|f| eyre!("invalid node settings: {f:?}"))?;
        let process = Process::start(settings)?;
        if self.nodes.len() <= index {
            self.nodes.resize_with(index + 1, || None);
        }
        self.nodes[index] = Some(process);
        Ok(())
    }

    /// Returns the addresses of the platform's stand-ins.
    pub fn platform(&self) -> plan::Platform {
        plan::Platform {
            log: self.log.addr,
            list: self.list.addr,
            weights: self.weights.addr,
        }
    }

    /// Returns node `index`.
    ///
    /// # Panics
    ///
    /// Panics if the node does not run.
    pub fn node(&self, index: usize) -> &Process {
        self.nodes[index].as_ref().expect("the node runs")
    }

    /// Stops node `index` without draining, as a crash would.
    pub async fn kill_node(&mut self, index: usize) -> Result<()> {
        let Some(process) = self.nodes[index].take() else {
            return Ok(());
        };
        process.kill();
        tokio::task::spawn_blocking(move || process.join()).await?
    }

    /// Drains node `index` and waits until it has ended.
    pub async fn drain_node(&mut self, index: usize) -> Result<()> {
        let Some(process) = self.nodes[index].take() else {
            return Ok(());
        };
        process.leave().await;
        tokio::task::spawn_blocking(move || process.join()).await?
    }

    /// Sets the instance list to the running nodes, endpoints and services.
    pub fn update_instance_list(&self) {
        self.list.set_instances(self.instances());
    }

    /// Returns the running nodes and all endpoints and services as instances.
    pub fn instances(&self) -> Vec<Instance> {
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.filter_map(|(index, node)| {
            let node = node.as_ref()?;
            Some(Instance {
                name: node.name.clone(),
                state: State::Live,
                zone: self.plan.zone(index),
                addr: Some(node.peers),
            })
        });
        let endpoints = self.endpoints.iter().map(|e| live(&e.name, &e.zone));
        let services = self.services.iter().map(|s| live(&s.name, &s.zone));
        nodes.chain(endpoints).chain(services).collect()
    }

    /// Returns the text of the bundle.
    pub fn text(&self) -> String {
        self.text_of(plan::VERSION)
    }

    /// Returns the text of the bundle with this version of the model.
    pub fn text_of(&self, version: &str) -> String {
        let mut text = self.plan.bundle(version);
        for endpoint in &self.endpoints {
            let stage = self.plan.stages[endpoint.stage];
            let _ = writeln!(
                text,
                "[endpoint {0}]\ninstance = {0}\naddr = {1}\nzone = {2}\nkind = kind-{3}\n\
                 spans = {4} {5}..{6}\nslots = {7}\nfenced = yes\n",
                endpoint.name,
                endpoint.engine.addr,
                endpoint.zone,
                endpoint.stage,
                plan::MODEL,
                stage.from,
                stage.to,
                self.plan.slots
            );
        }
        for service in &self.services {
            let _ = writeln!(
                text,
                "[endpoint {0}]\ninstance = {0}\naddr = {1}\nzone = {2}\nservices = {3}\nslots = 64\n",
                service.name, service.handle.addr, service.zone, service.service
            );
        }
        text
    }

    /// Signs `text` as the next version and appends it to the log.
    pub async fn publish(&mut self, text: &str) -> Result<()> {
        let key = sign::key_from_seed(SIGNER_SEED);
        let record = sign::sign_text(self.bundle.as_ref(), text, SIGNER, &key)
            .map_err(|e| eyre!("invalid bundle: {e}"))?;
        let client = platform::http::Log::new(self.log.addr, platform::Limits::default());
        let body = Bytes::from(record);
        platform::Log::append(&client, "bundles", body).await?;
        let number = self.bundle.as_ref().map_or(1, |b| b.number + 1);
        let mut bundle: Bundle = text.parse().map_err(|e| eyre!("{e}"))?;
        bundle.number = number;
        self.bundle = Some(bundle);
        Ok(())
    }

    /// Waits until every running node has the last published version in force and offers all
    /// running nodes to callers.
    pub async fn wait_until_settled(&self) -> Result<()> {
        let number = self.bundle.as_ref().map_or(0, |b| b.number);
        let running = self.nodes.iter().flatten().count();
        for node in self.nodes.iter().flatten() {
            wait(
                "a node has the bundle in force and knows the others",
                || async {
                    let status = crate::caller::status(node.admin).await;
                    let named = crate::caller::addresses(node.callers).await;
                    status.is_ok_and(|s| s.number == number)
                        && named.is_ok_and(|n| n.addresses.len() == running)
                },
            )
            .await?;
        }
        Ok(())
    }
}

fn live(name: &str, zone: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        state: State::Live,
        zone: zone.to_owned(),
        addr: None,
    }
}

/// Waits until `test` holds. Returns an error that contains `what` if it does not within 20 s.
pub async fn wait<F: Future<Output = bool>>(what: &str, test: impl Fn() -> F) -> Result<()> {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < end {
        if test().await {
            return Ok(());
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
    bail!("timed out waiting: {what}")
}
