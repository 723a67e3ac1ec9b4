//! An endpoint process and the proxies between it and each node.

use crate::proxy::Proxy;
use crate::shape::Shape;
use crate::standin::address;
use crate::standin::process::{Settings, VARIABLE};
use crate::standin::store::Store;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Name of the test that runs an endpoint.
const TEST: &str = "endpoint_process";

/// An endpoint that is restarted at its address, each time under another id.
pub struct Endpoint {
    settings: Settings,
    name: String,
    /// Number of starts.
    run: u32,
    child: Child,
    /// One proxy for each node.
    pub proxies: Vec<Proxy>,
}

impl Endpoint {
    /// Starts endpoint `number`, and lists it in the store of each node at the address of its proxy.
    pub async fn start(
        number: usize,
        faulty: bool,
        shape: &Shape,
        folder: &Path,
        stores: &[Store],
    ) -> Self {
        let name = format!("p{number}");
        let settings = Settings {
            id: format!("{name}-1"),
            listen: address::unused(),
            runs: folder.join(&name),
            faulty,
            work_ms: shape.work_ms,
        };
        let mut proxies = Vec::new();
        for _ in stores {
            proxies.push(Proxy::start(settings.listen).await);
        }
        let endpoint = Self {
            child: spawn(&settings),
            settings,
            name,
            run: 1,
            proxies,
        };
        endpoint.register(stores, false);
        endpoint
    }

    fn register(&self, stores: &[Store], draining: bool) {
        for (store, proxy) in stores.iter().zip(&self.proxies) {
            let row = self.settings.registration(proxy.addr, draining);
            store.put_registration(&self.settings.id, &row);
        }
    }

    /// Announces that it leaves.
    pub fn drain(&self, stores: &[Store]) {
        self.register(stores, true);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let mut command = Command::new("kill");
        command.args([name, &self.child.id().to_string()]);
        command.stderr(Stdio::null()).status().unwrap();
    }

    /// Kills the process; its address refuses connections, and its row stays.
    pub fn kill(&mut self) {
        self.proxies.iter().for_each(|p| p.refuse(true));
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Starts the process again at its address under another id, and returns the id of the run before,
    /// whose row stays.
    pub fn restart(&mut self, stores: &[Store]) -> String {
        self.run += 1;
        let id = format!("{}-{}", self.name, self.run);
        let before = std::mem::replace(&mut self.settings.id, id);
        self.child = spawn(&self.settings);
        self.proxies.iter().for_each(|p| p.refuse(false));
        self.register(stores, false);
        before
    }

    /// Returns the ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.settings.runs).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs this test binary as an endpoint.
fn spawn(settings: &Settings) -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", TEST, "--ignored", "--nocapture"]);
    command.env(VARIABLE, settings.encode());
    command.stdout(Stdio::null()).spawn().unwrap()
}
