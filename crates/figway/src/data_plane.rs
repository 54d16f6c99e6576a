//! Data plane of a node, built from its settings.

use std::sync::Arc;
use std::time::Duration;

use figway_control::ControlPlane;
use figway_dataplane::{
    DataPlane,
    DataPlaneBuilder, //
};
use figway_http::MemoryBudget;
use figway_platform::{
    parse_duration_ms,
    PlatformInterface, //
};
use figway_profile::{
    Limits,
    Profile, //
};
use figway_routing::TransitPrices;
use figway_settings::{
    NodeSettings,
    PlatformSettings, //
};

/// Fraction of the platform's retry allowance that the nodes use. It is below 1 because each node
/// counts only its own retries.
const RETRY_ALLOWANCE_SHARE: f64 = 0.88;

/// Builds the data plane of a node.
pub(crate) fn start_data_plane(
    settings: &NodeSettings,
    control_plane: &ControlPlane,
    memory: &MemoryBudget,
) -> Arc<DataPlane> {
    let mut builder =
        DataPlaneBuilder::new(Arc::clone(&control_plane.mesh), control_plane.agent.clone())
            .body_max_bytes(settings.calls.body_max_bytes)
            .connection_max_count(settings.calls.connection_max_count)
            .memory(memory.clone())
            .remember_ms(settings.claims.remember_ms)
            .transit_prices(transit_prices(settings));
    if let Some(platform) = &settings.platform {
        builder = apply_platform_settings(builder, platform);
    }
    builder.build()
}

fn transit_prices(settings: &NodeSettings) -> TransitPrices {
    let default = TransitPrices::default();
    TransitPrices {
        region_per_kb: settings
            .prices
            .region_per_kb
            .unwrap_or(default.region_per_kb),
        far_per_kb: settings.prices.far_per_kb.unwrap_or(default.far_per_kb),
    }
}

fn apply_platform_settings(
    builder: DataPlaneBuilder,
    platform: &PlatformSettings,
) -> DataPlaneBuilder {
    let mut profile = Profile::default();
    if let Some(ratio) = platform.retry_ratio {
        profile.limits = Limits {
            retry_budget_ratio: ratio * RETRY_ALLOWANCE_SHARE,
            ..profile.limits
        };
    }
    let mut builder = builder
        .interface(Box::new(PlatformInterface))
        .origin(&platform.service)
        .target_address(&platform.target_address)
        .first_start(platform.first_start)
        .default_profile(profile);
    if let Some(every_ms) = parse_duration_ms(&platform.announce_every) {
        builder = builder.announce_every(Duration::from_millis(every_ms));
    }
    if let Some(count) = platform.retry_burst_count {
        builder = builder.shared_retry_burst_count(count * RETRY_ALLOWANCE_SHARE);
    }
    if let Some(grace_ms) = platform.grace.as_deref().and_then(parse_duration_ms) {
        builder = builder.grace(Duration::from_millis(grace_ms));
    }
    builder
}
