//! Customer of a call: identification at the caller's node, and the checks that follow when the routes
//! change while a call waits.

use std::sync::Arc;

use figway_admission::ShareHolder;
use figway_control::View;
use figway_customers::{
    identify,
    Credentials,
    Identity,
    KeyDigest,
    KeyTag, //
};
use figway_profile::{
    Route,
    RouteIndex, //
};
use figway_types::NotRunReason;

use crate::call::AdmissionRequest;
use crate::parent::{
    ParentCall,
    ParentEvidence, //
};
use crate::plane::DataPlane;
use crate::proxy::Incoming;

/// Caller of a request that is accepted.
pub(crate) struct IdentifiedCaller {
    /// Customer to whom the call belongs, if any.
    pub(crate) customer: Option<Arc<str>>,
    /// Digest of the key that identifies the customer.
    pub(crate) key: Option<KeyDigest>,
    /// Call of the local target in which the request is taken to be nested.
    pub(crate) parent_call: Option<ParentCall>,
}

/// Identifies the customer of a request.
///
/// # Errors
///
/// Why the request is refused.
pub(crate) fn identify_caller(
    plane: &DataPlane,
    view: &View,
    incoming: &Incoming<'_>,
    route: &Route,
) -> Result<IdentifiedCaller, NotRunReason> {
    let credentials = plane.interface.credentials(incoming.request);
    let customers = view.routes.customers.as_deref();
    let lacks_key = customers.is_some() && !route.anonymous && credentials == Credentials::Absent;
    let evidence = parent_evidence(plane, incoming, lacks_key);
    let parent = evidence.to_parent();
    let (customer, key) = match identify(customers, credentials, route.anonymous, parent) {
        Identity::Anonymous => (None, None),
        Identity::Customer { name, key } => (Some(name), key),
        Identity::Unauthorized(why) => return Err(NotRunReason::Unauthorized(why)),
        Identity::Orphaned => return Err(NotRunReason::UnknownParent),
    };
    // A caller with a key may use any id, so that its request is not taken for a nested one.
    let parent_call = evidence.into_call().filter(|_| key.is_none());
    Ok(IdentifiedCaller {
        customer,
        key,
        parent_call,
    })
}

/// Returns what is known of the parent of a request, and counts a request that lacks a key.
fn parent_evidence(plane: &DataPlane, incoming: &Incoming<'_>, lacks_key: bool) -> ParentEvidence {
    let evidence = match plane.named_parent(incoming.request_id) {
        Some(call) => ParentEvidence::Named(call),
        // Requests that need no key are not told from nested ones by their deadlines.
        None if !lacks_key => return ParentEvidence::None,
        None => plane.find_parent(incoming),
    };
    if lacks_key {
        plane.metrics.count_keyless(evidence.name());
    }
    evidence
}

/// Customer of a call, and how it was identified.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller<'a> {
    /// Customer to whom the call belongs, if any.
    pub(crate) customer: Option<&'a str>,
    /// Digest of the key that identifies the customer. Absent for nested calls, which belong to the
    /// customer of their parent.
    pub(crate) key: Option<KeyDigest>,
    /// Version of the routes by which the caller was identified; `None` if the call has no route.
    pub(crate) routes_version: Option<u64>,
    /// Whether those routes have customers, so that the credentials were read.
    pub(crate) has_customers: bool,
    /// Customer for whose share of a full service the call counts, if the route table has customers.
    pub(crate) holder: Option<ShareHolder<'a>>,
}

impl Caller<'_> {
    /// Caller of a call that is not routed by the route table.
    pub(crate) const UNROUTED: Caller<'static> = Caller {
        customer: None,
        key: None,
        routes_version: None,
        has_customers: false,
        holder: None,
    };

    /// Returns whether `routes` still accept the caller. Since it was identified, its key may have been
    /// removed, or customers may have been configured, so that requests need keys.
    pub(crate) fn is_authorized(&self, routes: &RouteIndex) -> bool {
        if self
            .routes_version
            .is_none_or(|version| version >= routes.version)
        {
            return true;
        }
        let Some(index) = &routes.customers else {
            return true;
        };
        match (self.customer, &self.key) {
            (Some(customer), Some(key)) => index
                .holder(key)
                .is_some_and(|holder| **holder == *customer),
            _ => self.has_customers,
        }
    }

    /// Returns the key as the node beside the target checks it.
    pub(crate) fn stated_key(&self) -> Option<StatedKey> {
        Some(StatedKey {
            tag: self.key?.tag(),
            routes_version: self.routes_version?,
        })
    }
}

/// Key of a call as its caller's node states it to the node beside the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StatedKey {
    pub(crate) tag: KeyTag,
    /// Version of the routes by which the key was accepted.
    pub(crate) routes_version: u64,
}

impl StatedKey {
    /// Encodes the key as `VERSION,TAG`, with the tag in hexadecimal digits.
    pub(crate) fn encode(&self) -> String {
        format!("{},{:016x}", self.routes_version, self.tag.0)
    }

    /// Decodes what [`StatedKey::encode`] returns.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let (routes_version, tag) = text.split_once(',')?;
        Some(Self {
            tag: KeyTag(u64::from_str_radix(tag, 16).ok()?),
            routes_version: routes_version.parse().ok()?,
        })
    }
}

impl DataPlane {
    /// Returns whether the key of a call was removed, by the routes in force, after the caller's node
    /// identified it. A node with older routes than that one accepts the key.
    pub(crate) fn refuses_key(&self, call: &AdmissionRequest<'_>) -> bool {
        let (Some(customer), Some(key)) = (call.customer, call.key) else {
            return false;
        };
        let view = self.mesh.view();
        let Some(customers) = &view.routes.customers else {
            return false;
        };
        view.routes.version > key.routes_version && !customers.holds_tag(customer, key.tag)
    }
}
