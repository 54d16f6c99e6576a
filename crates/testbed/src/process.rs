//! Child processes of the test bed: stand-ins and nodes, ended when dropped.

use std::io::{
    BufRead as _,
    BufReader,
    Write as _, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Child,
    ChildStdout,
    Command,
    Stdio, //
};
use std::time::Duration;

use anyhow::{
    bail,
    Context as _, //
};
use serde_json::Value;

/// A signal that the test bed sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Planned stop.
    Terminate,
    /// Sudden death.
    Kill,
    /// Pause.
    Stop,
    /// End of a pause.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

/// A child process that printed where it listens.
pub struct Process {
    child: Child,
    /// What it printed when it was ready.
    pub ready_message: Value,
}

impl Process {
    /// Starts `program` and waits for the JSON line that it prints when it is ready. Its log lines
    /// go to `log_path`, if there is one.
    ///
    /// # Errors
    ///
    /// It does not start or is not ready.
    pub fn start(program: &Path, args: &[&str], log_path: Option<&Path>) -> anyhow::Result<Self> {
        let stderr = match log_path {
            Some(path) => Stdio::from(
                std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path)?,
            ),
            None => Stdio::null(),
        };
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .with_context(|| format!("could not start {}", program.display()))?;
        let stdout = child.stdout.take().context("the child has no output")?;
        let mut output = BufReader::new(stdout);
        let Some(ready_message) = read_ready(&mut output, log_path)? else {
            child.kill().ok();
            child.wait().ok();
            bail!("{} {args:?} was not ready", program.display());
        };
        keep_output(output, log_path.map(Path::to_owned));
        Ok(Self {
            child,
            ready_message,
        })
    }

    /// Returns an address that the process printed.
    pub fn address(&self, name: &str) -> &str {
        self.ready_message[name].as_str().unwrap_or("")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(self.child.id().to_string())
            .status()?;
        if !status.success() {
            bail!("could not send {} to {}", signal.name(), self.child.id());
        }
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// The process can't be waited for.
    pub fn wait(&mut self) -> anyhow::Result<std::process::ExitStatus> {
        Ok(self.child.wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Reads lines until the one that names the process's addresses; none if the output ends before.
fn read_ready(
    output: &mut BufReader<ChildStdout>,
    log_path: Option<&Path>,
) -> anyhow::Result<Option<Value>> {
    let mut line = String::new();
    while output.read_line(&mut line)? > 0 {
        append(log_path, line.as_bytes())?;
        if let Ok(value) = serde_json::from_str::<Value>(&line) {
            if value["event"].is_null() || value["event"] == "node started" {
                return Ok(Some(value));
            }
        }
        line.clear();
    }
    Ok(None)
}

/// Takes the rest of the output, so that the process never waits for it.
fn keep_output(mut output: BufReader<ChildStdout>, log_path: Option<PathBuf>) {
    std::thread::spawn(move || {
        let mut line = Vec::new();
        while output
            .read_until(b'\n', &mut line)
            .is_ok_and(|length| length > 0)
        {
            if append(log_path.as_deref(), &line).is_err() {
                return;
            }
            line.clear();
        }
    });
}

fn append(log_path: Option<&Path>, line: &[u8]) -> std::io::Result<()> {
    let Some(path) = log_path else {
        return Ok(());
    };
    std::fs::File::options()
        .create(true)
        .append(true)
        .open(path)?
        .write_all(line)
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time, in microseconds.
    pub cpu_us: u64,
    /// Times that a thread of it went to sleep and was woken.
    pub wake_count: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads what the process has used, from the kernel's process table.
    ///
    /// # Errors
    ///
    /// The process is gone.
    pub fn of(process: &Process) -> anyhow::Result<Self> {
        let folder = format!("/proc/{}", process.id());
        let mut usage = Usage::default();
        for task in std::fs::read_dir(format!("{folder}/task"))? {
            let task = task?.path();
            let runtime = std::fs::read_to_string(task.join("schedstat"))?;
            let runtime_ns = runtime.split(' ').next().unwrap_or("0");
            usage.cpu_us += runtime_ns.parse::<u64>()? / 1_000;
            let status = std::fs::read_to_string(task.join("status"))?;
            usage.wake_count += status_value(&status, "voluntary_ctxt_switches:");
        }
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        usage.resident_bytes = status_value(&status, "VmRSS:") * 1_024;
        Ok(usage)
    }
}

/// Returns the processor time of this process.
///
/// # Errors
///
/// The kernel's process table can't be read.
pub fn cpu_time() -> anyhow::Result<Duration> {
    let mut runtime_ns = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let Ok(runtime) = std::fs::read_to_string(task?.path().join("schedstat")) else {
            continue;
        };
        runtime_ns += runtime.split(' ').next().unwrap_or("0").parse::<u64>()?;
    }
    Ok(Duration::from_nanos(runtime_ns))
}

fn status_value(status: &str, name: &str) -> u64 {
    for line in status.lines() {
        let Some(value) = line.strip_prefix(name) else {
            continue;
        };
        let digits = value.trim().split(' ').next().unwrap_or("");
        return digits.parse().unwrap_or(0);
    }
    0
}

/// Where the programs of this build are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The figway binary.
    pub figway: PathBuf,
    /// The testbed binary.
    pub testbed: PathBuf,
}

impl Programs {
    /// Finds both beside the running program, or one folder above it, as for tests.
    ///
    /// # Errors
    ///
    /// They are not built.
    pub fn find() -> anyhow::Result<Self> {
        let own = std::env::current_exe()?;
        for folder in own.ancestors().skip(1).take(2) {
            let figway = folder.join("figway");
            let testbed = folder.join("testbed");
            if figway.is_file() && testbed.is_file() {
                return Ok(Self { figway, testbed });
            }
        }
        bail!("could not find the programs; build them with `cargo build --workspace`")
    }
}
