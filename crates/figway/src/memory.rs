//! Memory that a node may take for the bodies of requests and answers.

use anyhow::Context as _;
use figway_settings::MEMORY_RANGE_MB;

/// Environment variable that gives the memory of the process, in megabytes, if the settings don't.
const MEMORY_VARIABLE: &str = "FIGWAY_MEMORY_MAX_MB";

/// Memory that a process takes if it is given nowhere, in megabytes.
const MEMORY_DEFAULT_MB: usize = 100;

/// Memory that the process takes without the bodies of requests and answers, in megabytes.
const OWN_MEMORY_MB: usize = 20;

/// Returns the size of the budget of bodies, in bytes.
///
/// # Errors
///
/// The environment variable has a value that is not allowed.
pub(crate) fn body_memory_bytes(configured_mb: Option<usize>) -> anyhow::Result<usize> {
    let max_mb = match configured_mb {
        Some(mb) => mb,
        None => read_variable()?.unwrap_or(MEMORY_DEFAULT_MB),
    };
    Ok((max_mb - OWN_MEMORY_MB) * 1_000_000)
}

fn read_variable() -> anyhow::Result<Option<usize>> {
    let text = std::env::var(MEMORY_VARIABLE).unwrap_or_default();
    if text.is_empty() {
        return Ok(None);
    }
    let mb = text.parse::<f64>().ok().map(|mb| mb as u64);
    let mb = mb.filter(|mb| MEMORY_RANGE_MB.contains(mb));
    let mb = mb.with_context(|| {
        format!(
            "could not read {MEMORY_VARIABLE}: expected {} to {} megabytes, found {text}",
            MEMORY_RANGE_MB.start(),
            MEMORY_RANGE_MB.end()
        )
    })?;
    Ok(Some(mb as usize))
}
