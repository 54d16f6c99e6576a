//! A fleet of local processes: the log stand-in, and hosts with a node and a target each.

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

/// Parameters of a host: a node and the target beside it.
#[derive(Clone, Debug)]
pub struct HostSpec<'a> {
    /// Name of the node and of its target.
    pub name: &'a str,
    /// Zone of the host.
    pub zone: Zone,
    /// Service that the target runs.
    pub service: &'a str,
    /// Slots of the target.
    pub slot_count: u32,
    /// Labels of the target, for example `track=stable`.
    pub labels: &'a [&'a str],
    /// Loopback address of the control listener; outgoing control connections use it as their
    /// source address.
    pub control_ip: &'a str,
    /// Lines to append to the node's settings.
    pub extra_settings: &'a str,
}

/// A node and the target beside it.
pub struct Host {
    /// Name of the node and of its target.
    pub name: String,
    /// Process of the node.
    pub node: Process,
    /// Process of the target.
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

/// A log stand-in and hosts, with a temporary folder for their files. The folder is removed on drop
/// unless `FIGWAY_KEEP` is set.
pub struct Fleet {
    programs: Programs,
    folder: PathBuf,
    cluster: String,
    log_region: String,
    /// Process of the log stand-in.
    pub log: Process,
    /// The hosts in the order in which they were added.
    pub hosts: Vec<Host>,
    http: Client,
    /// URL of the log in the settings of nodes that are added from now on.
    pub log_url: String,
    /// Whether nodes that are added from now on log warnings only.
    pub quiet: bool,
    /// Retention of the log in the settings of nodes that are added from now on, in milliseconds.
    pub retention_ms: u64,
}

impl Fleet {
    /// Starts a log stand-in. `name` becomes the name of the mesh and part of the folder's name.
    ///
    /// # Errors
    ///
    /// The log stand-in does not start.
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

    /// Starts a log stand-in and, in each of the first `zone_count` zones of a deployment, one host
    /// for each service. Waits until all nodes see each other as live.
    ///
    /// # Errors
    ///
    /// A process does not start, or a node does not see all others within 20 s.
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

    /// Publishes the profiles steady, trial and fallback from `profiles`, the folder of a deployment
    /// under `deploy/`, then switches `services` to steady.
    ///
    /// # Errors
    ///
    /// A command of the figway binary fails.
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

    /// Starts the node and the target of a new host.
    ///
    /// # Errors
    ///
    /// The settings can't be written, or a process does not start.
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

    /// Restarts the node of a host with the same settings. Restarts its target too, since a running
    /// target announces itself only to the node's previous address.
    ///
    /// # Errors
    ///
    /// A process does not start.
    pub fn restart_host(&mut self, index: usize) -> anyhow::Result<()> {
        let name = self.hosts[index].name.clone();
        let settings_path = self.hosts[index].settings_path.clone();
        self.hosts[index].node = self.start_node(&name, &settings_path)?;
        self.restart_target(index)
    }

    /// Restarts the target of a host.
    ///
    /// # Errors
    ///
    /// The target does not start.
    pub fn restart_target(&mut self, index: usize) -> anyhow::Result<()> {
        let host = &self.hosts[index];
        let target = self.start_target(&host.target_args, host.call_address())?;
        self.hosts[index].target = target;
        Ok(())
    }

    /// Kills the target of a host and restarts it on the same port.
    ///
    /// # Errors
    ///
    /// The target can't be killed or does not start.
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
    /// The file can't be written.
    pub fn write(&self, name: &str, text: &str) -> anyhow::Result<String> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Runs a command of the figway binary to its end, with the URL of the log and the call address
    /// of the first host's node in its environment.
    ///
    /// # Errors
    ///
    /// The command does not start.
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

    /// Runs a command of the figway binary and returns its standard output.
    ///
    /// # Errors
    ///
    /// The command does not start or does not succeed.
    pub async fn figway_ok(&self, args: &[&str]) -> anyhow::Result<String> {
        let output = self.figway(args).await?;
        if !output.status.success() {
            bail!(
                "figway {args:?} failed with {}: {}{}",
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
