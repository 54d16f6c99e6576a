//! Check of a profile's references against the targets that a node knows.

use figway_types::Findings;

use crate::body::Profile;

/// Resources of a node that a profile can refer to.
pub trait Resources {
    /// Returns whether the node knows a target of `service` that has all of `labels`.
    fn has_target(
        &self,
        service: &str,
        labels: &std::collections::BTreeMap<String, String>,
    ) -> bool;
}

/// Returns a finding for each request kind of `profile` that has no known target.
///
/// `service` is the service that follows the profile; it runs the kinds that name no other service.
pub fn unresolved_references(
    service: &str,
    profile_name: &str,
    profile: &Profile,
    resources: &dyn Resources,
) -> Findings {
    let mut findings = Findings::default();
    let no_labels = std::collections::BTreeMap::new();
    for (index, kind) in profile.kinds.iter().enumerate() {
        let target_service = kind.service.as_deref().unwrap_or(service);
        let labels = profile
            .subsets
            .get(&kind.subset)
            .map_or(&no_labels, |subset| &subset.labels);
        if resources.has_target(target_service, labels) {
            continue;
        }
        findings.add(
            profile_name,
            0,
            &format!("kinds[{index}].subset"),
            format!(
                "no target of service {target_service} is known in subset {}",
                kind.subset
            ),
        );
    }
    findings
}
