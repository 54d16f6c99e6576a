//! A fleet of processes: the log stand-in, and nodes each beside a target stand-in.

mod requests;

use std::path::{
    Path,
    PathBuf, //
};
use std::process::Output;
use std::time::Duration;

use anyhow::{
    bail,
    Context as _, //
};
use ntex::client::Client;

use crate::deployment::{
    Deployment,
    Zone, //
};
use crate::http::client;
use crate::process::{
    Process,
    Programs,
    Signal, //
};

/// What a node of the fleet is started with.
#[derive(Clone, Debug)]
pub struct HostSpec<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Its zone.
    pub zone: Zone,
    /// Service of the target beside it.
    pub service: &'a str,
    /// Slots of the target.
    pub slot_count: u32,
    /// Labels of the target, like `track=stable`.
    pub labels: &'a [&'a str],
    /// Loopback address of the control listener, from which the node's control connects too.
    pub control_ip: &'a str,
    /// Further lines of the settings.
    pub extra_settings: &'a str,
}

/// A node and the target beside it.
pub struct Host {
    /// Name of the node.
    pub name: String,
    /// The node.
    pub node: Process,
    /// The target.
    pub target: Process,
    settings_path: PathBuf,
    target_args: Vec<String>,
}

impl Host {
    /// Returns the node's call address.
    pub fn call_address(&self) -> &str {
        self.node.address("call")
    }
}

/// A log stand-in and hosts, in a folder of their own.
pub struct Fleet {
    programs: Programs,
    folder: PathBuf,
    cluster: String,
    log_region: String,
    /// The log stand-in.
    pub log: Process,
    /// The hosts in the order in which they were added.
    pub hosts: Vec<Host>,
    http: Client,
    /// URL by which nodes reach the log, if not its own.
    pub log_url: String,
    /// Whether nodes that start from now on write warnings only.
    pub quiet: bool,
    /// How long nodes are told that the log keeps records, in milliseconds.
    pub retention_ms: u64,
}

impl Fleet {
    /// Starts a log stand-in; `name` names the folder and the mesh.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn start(name: &str, log_region: &str) -> anyhow::Result<Self> {
        let programs = Programs::find()?;
        let folder = std::env::temp_dir().join(format!("figway-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let log = Process::start(&programs.testbed, &["log"], None)?;
        let log_url = format!("http://{}", log.address("log"));
        Ok(Self {
            programs,
            folder,
            cluster: name.to_owned(),
            log_region: log_region.to_owned(),
            log,
            hosts: Vec::new(),
            http: client().await?,
            log_url,
            quiet: false,
            retention_ms: 86_400_000,
        })
    }

    /// Starts one host of each service in each of the first `zone_count` zones of a deployment, and
    /// waits until all see each other.
    ///
    /// # Errors
    ///
    /// One of them does not start.
    pub async fn start_deployment(
        name: &str,
        deployment: &Deployment,
        services: &[&str],
        zone_count: usize,
        quiet: bool,
    ) -> anyhow::Result<Self> {
        let mut fleet = Self::start(name, deployment.log_region).await?;
        fleet.quiet = quiet;
        for zone in &deployment.zones[..zone_count] {
            for service in services {
                fleet.add_host(&HostSpec {
                    name: &format!("{}-{service}", zone.name),
                    zone: *zone,
                    service,
                    slot_count: deployment.slot_count,
                    labels: &[],
                    control_ip: "127.0.0.1",
                    extra_settings: "",
                })?;
            }
        }
        let live_count = (zone_count * services.len()) as u64;
        fleet.wait_live(live_count, Duration::from_secs(20)).await?;
        Ok(fleet)
    }

    /// Publishes the profiles steady, trial and fallback of a deployment from `deploy/`, and
    /// switches `services` to steady.
    ///
    /// # Errors
    ///
    /// One of the commands fails.
    pub async fn publish_and_switch_to_steady(
        &self,
        profiles: &Path,
        services: &[&str],
    ) -> anyhow::Result<()> {
        for profile in ["steady", "trial", "fallback"] {
            let file = profiles.join(format!("{profile}.yaml"));
            self.figway_ok(&["publish", profile, &file.to_string_lossy()])
                .await?;
        }
        for service in services {
            self.figway_ok(&["switch", service, "steady", "--wait"])
                .await?;
        }
        Ok(())
    }

    /// Starts a node and a target beside it.
    ///
    /// # Errors
    ///
    /// One of them does not start.
    pub fn add_host(&mut self, spec: &HostSpec<'_>) -> anyhow::Result<()> {
        let settings_path = self.folder.join(format!("{}.yaml", spec.name));
        std::fs::write(&settings_path, self.settings(spec))?;
        let node = self.start_node(spec.name, &settings_path)?;
        let mut target_args: Vec<String> = Vec::new();
        for arg in [
            "target",
            "--name",
            spec.name,
            "--service",
            spec.service,
            "--slots",
        ] {
            target_args.push(arg.to_owned());
        }
        target_args.push(spec.slot_count.to_string());
        for label in spec.labels {
            target_args.push("--label".to_owned());
            target_args.push((*label).to_owned());
        }
        let target = self.start_target(&target_args, node.address("call"))?;
        self.hosts.push(Host {
            name: spec.name.to_owned(),
            node,
            target,
            settings_path,
            target_args,
        });
        Ok(())
    }

    /// Starts the node of a host again, with the same settings; its target goes on announcing only
    /// to the old address, so it is replaced too.
    ///
    /// # Errors
    ///
    /// One of them does not start.
    pub fn restart_host(&mut self, index: usize) -> anyhow::Result<()> {
        let name = self.hosts[index].name.clone();
        let settings_path = self.hosts[index].settings_path.clone();
        self.hosts[index].node = self.start_node(&name, &settings_path)?;
        self.restart_target(index)
    }

    /// Starts the target of a host again.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub fn restart_target(&mut self, index: usize) -> anyhow::Result<()> {
        let host = &self.hosts[index];
        let target = self.start_target(&host.target_args, host.call_address())?;
        self.hosts[index].target = target;
        Ok(())
    }

    /// Kills the target of a host and starts it again on the same port.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub fn kill_and_restart_target(&mut self, index: usize) -> anyhow::Result<()> {
        let host = &mut self.hosts[index];
        let address = host.target.address("target").to_owned();
        host.target.signal(Signal::Kill)?;
        host.target.wait()?;
        if !host.target_args.iter().any(|arg| arg == "--listen") {
            host.target_args.push("--listen".to_owned());
            host.target_args.push(address);
        }
        self.restart_target(index)
    }

    fn start_node(&self, name: &str, settings_path: &Path) -> anyhow::Result<Process> {
        let log_path = self.folder.join(format!("{name}.log"));
        let path = settings_path.to_string_lossy();
        Process::start(
            &self.programs.figway,
            &["node", "--settings", &path],
            Some(&log_path),
        )
    }

    fn start_target(&self, args: &[String], call_address: &str) -> anyhow::Result<Process> {
        let mut args: Vec<&str> = args.iter().map(String::as_str).collect();
        args.extend(["--node", call_address]);
        Process::start(&self.programs.testbed, &args, None)
    }

    fn settings(&self, spec: &HostSpec<'_>) -> String {
        format!(
            "cluster: {}\n\
             node: {}\n\
             region: {}\n\
             zone: {}\n\
             listen:\n  control: {}:0\n  call: 127.0.0.1:0\n\
             log:\n  url: {}\n  region: {}\n  retention_ms: {}\n\
             output:\n  level: {}\n{}\n",
            self.cluster,
            spec.name,
            spec.zone.region,
            spec.zone.name,
            spec.control_ip,
            self.log_url,
            self.log_region,
            self.retention_ms,
            if self.quiet { "warn" } else { "info" },
            spec.extra_settings,
        )
    }

    /// Writes a file into the fleet's folder and returns its path.
    ///
    /// # Errors
    ///
    /// It can't be written.
    pub fn write(&self, name: &str, text: &str) -> anyhow::Result<String> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Runs a command of the figway binary to its end, against the log and the first live node.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn figway(&self, args: &[&str]) -> anyhow::Result<Output> {
        let mut command = tokio::process::Command::new(&self.programs.figway);
        command
            .args(args)
            .env("FIGWAY_LOG", format!("http://{}", self.log.address("log")))
            .env("USER", "operator");
        if let Some(host) = self.hosts.first() {
            command.env("FIGWAY_NODE", host.call_address());
        }
        command.output().await.context("could not run figway")
    }

    /// Runs a command of the figway binary and returns what it printed; it must succeed.
    ///
    /// # Errors
    ///
    /// It failed.
    pub async fn figway_ok(&self, args: &[&str]) -> anyhow::Result<String> {
        let output = self.figway(args).await?;
        if !output.status.success() {
            bail!(
                "figway {args:?} ended with {}: {}{}",
                output.status,
                String::from_utf8_lossy(&output.stdout),
                String::from_utf8_lossy(&output.stderr)
            );
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("FIGWAY_KEEP").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}
