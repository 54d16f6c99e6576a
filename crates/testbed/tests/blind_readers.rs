//! Configurations while most nodes can't read the platform's store.
//!
//! The tests guard against a node that takes the silence of other nodes for the absence of a newer
//! configuration.

mod common;

use std::time::Duration;

use figway_testbed::relay::LinkState;
use figway_testbed::site::{
    config,
    Site, //
};

use crate::common::{
    assert_served,
    wait_site_ready, //
};

/// Longest time that the platform allows until a published configuration is in force.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);

/// Time without a disturbance after which the platform's bounds hold for a node.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

/// Delay of a link that is silent: it neither closes connections nor delivers in time.
const SILENT_DELAY_MS: u64 = 60_000;

/// Sets the store links of all hosts but `reaching` to `state`.
fn set_other_links(site: &Site, reaching: usize, state: LinkState) {
    for (index, host) in site.hosts.iter().enumerate() {
        if index != reaching {
            host.store_link.set_link_state(state);
        }
    }
}

/// Takes the store away from all hosts but one, for each host in turn, and checks that a version that
/// is published meanwhile is in force at this host in time.
async fn check_each_host_alone(site: &Site, lost: LinkState) {
    for reaching in 0..site.hosts.len() {
        let version = 10 * (reaching as u32 + 1);
        set_other_links(site, reaching, lost);
        tokio::time::sleep(STABILITY_WINDOW).await;
        site.store
            .publish(&config(version, &format!("/v{version}/")));
        tokio::time::sleep(IN_FORCE_MAX).await;
        let result = site
            .caller(reaching)
            .call("GET", &format!("/v{version}/1"))
            .await;
        assert_eq!(result.status, 200, "host {reaching}: {result:?}");
        set_other_links(site, reaching, LinkState::default());
        assert_served(site, &format!("/v{version}/1"), STABILITY_WINDOW).await;
    }
}

#[ntex::test]
async fn a_configuration_is_in_force_in_time_at_the_only_node_that_the_store_serves() {
    let site = Site::start("refused", 4).await.unwrap();
    wait_site_ready(&site).await;
    let refused = LinkState {
        blocked: true,
        ..LinkState::default()
    };
    check_each_host_alone(&site, refused).await;
}

#[ntex::test]
async fn a_configuration_is_in_force_in_time_at_the_only_node_whose_link_to_the_store_is_not_silent(
) {
    let site = Site::start("silent", 4).await.unwrap();
    wait_site_ready(&site).await;
    let silent = LinkState {
        delay_ms: SILENT_DELAY_MS,
        ..LinkState::default()
    };
    check_each_host_alone(&site, silent).await;
}
