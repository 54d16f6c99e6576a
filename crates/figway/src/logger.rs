//! Log lines and metrics, as the settings ask for them.

use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::str::FromStr as _;
use std::time::SystemTime;

use anyhow::Context as _;
use cadence::{
    QueuingMetricSink,
    StatsdClient,
    UdpMetricSink, //
};
use figway_settings::OutputSettings;
use log::LevelFilter;

/// Starts writing log lines to the standard error.
pub(crate) fn start(settings: &OutputSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level).context("could not read the log level")?;
    let json = settings.json;
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("figway", level)
        .level_for("figway_control", level)
        .level_for("figway_dataplane", level)
        .level_for("figway_log_client", level)
        .level_for("figway_profile", level)
        .format(move |out, message, record| {
            let at = humantime(SystemTime::now());
            if json {
                let line = serde_json::json!({
                    "at": at,
                    "level": record.level().as_str(),
                    "from": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!(
                    "{at} {:5} {} {message}",
                    record.level(),
                    record.target()
                ));
            }
        })
        .chain(std::io::stderr())
        .apply()
        .context("could not start logging")
}

/// Returns a client that sends metrics from a thread of its own.
pub(crate) fn statsd_client(node: &str, address: SocketAddr) -> anyhow::Result<StatsdClient> {
    let socket = UdpSocket::bind(("0.0.0.0", 0)).context("could not open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).context("could not reach statsd")?;
    Ok(
        StatsdClient::builder("figway", QueuingMetricSink::from(sink))
            .with_tag("node", node)
            .build(),
    )
}

fn humantime(at: SystemTime) -> String {
    let since_epoch = at
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "{}.{:03}",
        since_epoch.as_secs(),
        since_epoch.subsec_millis()
    )
}
