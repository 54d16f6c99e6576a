//! Orders for services that the configuration does not contain yet.

use std::collections::BTreeMap;
use std::time::Instant;

use figway_types::Offset;

use crate::order::RolloutOrder;

/// Largest number of services, which bounds memory. Orders for further ones are dropped.
const SERVICE_MAX_COUNT: usize = 256;

/// An order that waits for its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Offset of its record.
    pub offset: Offset,
    /// Whether it was read as soon as it was written.
    pub fresh: bool,
    /// When it was read. Its duration counts from then.
    pub read_at: Instant,
}

/// The newest waiting order of each service.
#[derive(Clone, Debug, Default)]
pub struct WaitingOrders(BTreeMap<String, WaitingOrder>);

impl WaitingOrders {
    /// Keeps an order. Returns whether it is new.
    pub fn keep(&mut self, waiting: WaitingOrder) -> bool {
        let service = &waiting.order.service;
        let known = self.0.get(service);
        let is_full = known.is_none() && self.0.len() >= SERVICE_MAX_COUNT;
        if is_full || known.is_some_and(|known| known.offset >= waiting.offset) {
            return false;
        }
        self.0.insert(service.clone(), waiting);
        true
    }

    /// Removes the orders whose service is known now, and returns them. Drops those that have ended.
    pub fn take(
        &mut self,
        is_service_known: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<WaitingOrder> {
        self.0
            .retain(|_, waiting| now < waiting.read_at + waiting.order.duration());
        let known = self
            .0
            .extract_if(.., |service, _| is_service_known(service));
        known.map(|(_, waiting)| waiting).collect()
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
