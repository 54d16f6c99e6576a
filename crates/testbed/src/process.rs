//! Child processes of the test bed: stand-ins and nodes. A process is killed when its handle is
//! dropped.

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

/// Number of log lines that the error shows for a process that ended before it was ready.
const LAST_LINE_COUNT: usize = 5;

/// Signal that the test bed sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: requests a graceful shutdown.
    Terminate,
    /// SIGKILL: simulates a crash.
    Kill,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
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

/// Child process that has printed its listen addresses.
pub struct Process {
    child: Child,
    /// JSON object that the process printed when it was ready. It names the listen addresses.
    pub ready_message: Value,
}

impl Process {
    /// Starts `program` and waits for the JSON line that it prints when it is ready. Its stdout and
    /// stderr are appended to the file at `log_path`; without a path they are discarded.
    ///
    /// # Errors
    ///
    /// The log file can't be written, the program can't be started, or its stdout closes before the
    /// JSON line.
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
        let stdout = child
            .stdout
            .take()
            .context("could not get the stdout of the child")?;
        let mut output = BufReader::new(stdout);
        let Some(ready_message) = read_ready_message(&mut output, log_path)? else {
            child.kill().ok();
            child.wait().ok();
            bail!(
                "{} {args:?} closed its stdout before it was ready: {}",
                program.display(),
                last_lines(log_path)
            );
        };
        drain_output(output, log_path.map(Path::to_owned));
        Ok(Self {
            child,
            ready_message,
        })
    }

    /// Returns the address that the process printed under `name`, or an empty string if it printed
    /// none.
    pub fn address(&self, name: &str) -> &str {
        self.ready_message[name].as_str().unwrap_or("")
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process, but not to its children.
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
            bail!(
                "could not send SIG{} to process {}",
                signal.name(),
                self.child.id()
            );
        }
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Blocks until the process ends and returns its exit status.
    ///
    /// # Errors
    ///
    /// The operating system returns an error for the wait.
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

/// Copies lines to the log file until the JSON line that reports the process ready, and returns
/// that line; `None` if the output ends before it. A node's log lines are JSON too: of those, only
/// `node started` reports it ready. Stand-ins print a line without `event`.
fn read_ready_message(
    output: &mut BufReader<ChildStdout>,
    log_path: Option<&Path>,
) -> anyhow::Result<Option<Value>> {
    let mut line = String::new();
    while output.read_line(&mut line)? > 0 {
        append_line(log_path, line.as_bytes())?;
        if let Ok(value) = serde_json::from_str::<Value>(&line) {
            if value["event"].is_null() || value["event"] == "node started" {
                return Ok(Some(value));
            }
        }
        line.clear();
    }
    Ok(None)
}

/// Copies the rest of the output to the log file in a thread of its own, so that the process never
/// blocks on a full pipe.
fn drain_output(mut output: BufReader<ChildStdout>, log_path: Option<PathBuf>) {
    std::thread::spawn(move || {
        let mut line = Vec::new();
        while output
            .read_until(b'\n', &mut line)
            .is_ok_and(|length| length > 0)
        {
            if append_line(log_path.as_deref(), &line).is_err() {
                return;
            }
            line.clear();
        }
    });
}

/// Returns the last lines of the log file, where the process wrote why it ended.
fn last_lines(log_path: Option<&Path>) -> String {
    let text = log_path.and_then(|path| std::fs::read_to_string(path).ok());
    let text = text.unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LAST_LINE_COUNT)..].join("\n")
}

fn append_line(log_path: Option<&Path>, line: &[u8]) -> std::io::Result<()> {
    let Some(path) = log_path else {
        return Ok(());
    };
    std::fs::File::options()
        .create(true)
        .append(true)
        .open(path)?
        .write_all(line)
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time that all live threads have used, in microseconds.
    pub cpu_us: u64,
    /// Voluntary context switches of all live threads: how often a thread blocked and was woken.
    pub wake_count: u64,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
    /// Largest resident set size since the start of the process, in bytes.
    pub peak_resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of `process` from `/proc`.
    ///
    /// # Errors
    ///
    /// The process has ended, or a thread of it ended during the read.
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
        usage.peak_resident_bytes = status_value(&status, "VmHWM:") * 1_024;
        Ok(usage)
    }
}

/// Returns the CPU time that the live threads of the current process have used.
///
/// # Errors
///
/// `/proc/self/task` can't be read.
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

/// Returns the number in the line of a `/proc` status file that starts with `name`, or 0.
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

/// Paths of the binaries of this build.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the `figway` binary.
    pub figway: PathBuf,
    /// Path of the `testbed` binary.
    pub testbed: PathBuf,
}

impl Programs {
    /// Finds both binaries in the folder of the current executable or in its parent folder; test
    /// executables are one folder below the binaries.
    ///
    /// # Errors
    ///
    /// The two binaries are not in one of these folders.
    pub fn find() -> anyhow::Result<Self> {
        let own = std::env::current_exe()?;
        for folder in own.ancestors().skip(1).take(2) {
            let figway = folder.join("figway");
            let testbed = folder.join("testbed");
            if figway.is_file() && testbed.is_file() {
                return Ok(Self { figway, testbed });
            }
        }
        bail!("could not find the figway and testbed binaries; run `cargo build --workspace` first")
    }
}
