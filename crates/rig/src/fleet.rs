//! A running fleet.

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

/// What the weight store allows.
const RATE: platform::weights::Rate = platform::weights::Rate {
    per_minute: 6000,
    at_once: 4,
};
/// Longest time to wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often it is looked for.
const LOOK: Duration = Duration::from_millis(10);
/// Any port of loopback.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An endpoint that runs a stage.
pub struct Endpoint {
    /// Its name, and that of its instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Which stage of its replica.
    pub stage: usize,
    /// The stand-in.
    pub engine: standin::engine::Handle,
}

/// An endpoint of a plain service.
pub struct Service {
    /// Its name, and that of its instance.
    pub name: String,
    /// The plain service.
    pub service: &'static str,
    /// Its availability zone.
    pub zone: String,
    /// The stand-in.
    pub handle: standin::service::Handle,
}

/// A running fleet. Nodes that are dropped from it keep running until the process ends.
pub struct Fleet {
    /// What it is made of.
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
    /// Nodes; `None` once ended.
    pub nodes: Vec<Option<Process>>,
    /// The version published last.
    pub bundle: Option<Bundle>,
}

impl Fleet {
    /// Starts the stand-ins and the nodes, publishes the first bundle and waits until it is in
    /// force on every node and all nodes know each other.
    pub async fn start(plan: Plan) -> Result<Self> {
        let mut fleet = Self::bare(plan).await?;
        for index in 0..fleet.plan.nodes {
            fleet.start_node(index)?;
        }
        fleet.relist();
        fleet.publish(&fleet.text()).await?;
        fleet.settled().await?;
        Ok(fleet)
    }

    /// Starts the stand-ins only.
    pub async fn bare(plan: Plan) -> Result<Self> {
        let mut fleet = Self {
            log: standin::log::Log::start(ANY).await?,
            list: standin::list::List::start(ANY, Vec::new()).await?,
            weights: standin::weights::Weights::start(ANY, RATE).await?,
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
        let handle = standin::service::Service::start(standin::service::Config::default()).await?;
        self.services.push(Service {
            name: format!("{service}-{index}"),
            service,
            zone: self.plan.zone(index),
            handle,
        });
        Ok(())
    }

    /// Starts node `index` (again).
    pub fn start_node(&mut self, index: usize) -> Result<()> {
        let text = self.plan.settings(index, &self.platform());
        let name = format!("{}.ini", plan::node_name(index));
        let settings = settings::read(&name, &text)
            .map_err(|f| eyre!("settings of the rig are wrong: {f:?}"))?;
        let process = Process::start(settings)?;
        if self.nodes.len() <= index {
            self.nodes.resize_with(index + 1, || None);
        }
        self.nodes[index] = Some(process);
        Ok(())
    }

    /// Where the platform's stand-ins listen.
    pub fn platform(&self) -> plan::Platform {
        plan::Platform {
            log: self.log.addr,
            list: self.list.addr,
            weights: self.weights.addr,
        }
    }

    /// Node `index`, which must run.
    pub fn node(&self, index: usize) -> &Process {
        self.nodes[index].as_ref().expect("the node runs")
    }

    /// Kills node `index` as a crash would.
    pub async fn kill_node(&mut self, index: usize) -> Result<()> {
        let Some(process) = self.nodes[index].take() else {
            return Ok(());
        };
        process.kill();
        tokio::task::spawn_blocking(move || process.join()).await?
    }

    /// Lets node `index` leave and ends it once nothing is in flight.
    pub async fn drain_node(&mut self, index: usize) -> Result<()> {
        let Some(process) = self.nodes[index].take() else {
            return Ok(());
        };
        process.leave().await;
        tokio::task::spawn_blocking(move || process.join()).await?
    }

    /// Puts into the instance list what runs.
    pub fn relist(&self) {
        self.list.set_instances(self.instances());
    }

    /// What runs.
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

    /// The bundle's text.
    pub fn text(&self) -> String {
        self.text_of(plan::VERSION)
    }

    /// The bundle's text with this version of the model.
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
            .map_err(|e| eyre!("the rig's bundle is wrong: {e}"))?;
        let client = platform::http::Log::new(self.log.addr, platform::Limits::default());
        let body = Bytes::from(record);
        platform::Log::append(&client, "bundles", body).await?;
        let number = self.bundle.as_ref().map_or(1, |b| b.number + 1);
        let mut bundle: Bundle = text.parse().map_err(|e| eyre!("{e}"))?;
        bundle.number = number;
        self.bundle = Some(bundle);
        Ok(())
    }

    /// Waits until every running node has the last version in force and names every other.
    pub async fn settled(&self) -> Result<()> {
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

/// Waits until `test` holds.
pub async fn wait<F: Future<Output = bool>>(what: &str, test: impl Fn() -> F) -> Result<()> {
    let end = tokio::time::Instant::now() + PATIENCE;
    while tokio::time::Instant::now() < end {
        if test().await {
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
    bail!("it did not come: {what}")
}
