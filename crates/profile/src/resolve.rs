//! References of a profile against what a node has.

use figway_types::Findings;

use crate::body::Profile;

/// What a node has that routes may point at.
pub trait Resources {
    /// Returns whether some target of `service` is known that carries all of `labels`.
    fn has_target(
        &self,
        service: &str,
        labels: &std::collections::BTreeMap<String, String>,
    ) -> bool;
}

/// Lists the routes of `profile`, followed by `service`, that point at nothing this node has.
pub fn unresolved_references(
    service: &str,
    profile_name: &str,
    profile: &Profile,
    resources: &dyn Resources,
) -> Findings {
    let mut findings = Findings::default();
    let no_labels = std::collections::BTreeMap::new();
    for (index, kind) in profile.kinds.iter().enumerate() {
        let runs_at = kind.service.as_deref().unwrap_or(service);
        let labels = profile
            .subsets
            .get(&kind.subset)
            .map_or(&no_labels, |subset| &subset.labels);
        if resources.has_target(runs_at, labels) {
            continue;
        }
        findings.add(
            profile_name,
            0,
            &format!("kinds[{index}].subset"),
            format!(
                "no target of service {runs_at} is known in subset {}",
                kind.subset
            ),
        );
    }
    findings
}
