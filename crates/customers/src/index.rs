//! Lookup of customers by API key and by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_types::FastMap;

use crate::customer::Customer;
use crate::key::KeyDigest;

/// Customers of one configuration.
#[derive(Clone, Debug, Default)]
pub struct CustomerIndex {
    customers: BTreeMap<String, Arc<Customer>>,
    /// Name of the customer that holds each key. A key that several customers hold is left out, since
    /// it does not tell whose request it is.
    names_by_key: FastMap<KeyDigest, Arc<str>>,
}

impl CustomerIndex {
    /// Indexes the customers of a configuration.
    pub fn new(customers: &BTreeMap<String, Arc<Customer>>) -> Self {
        let mut holders: FastMap<KeyDigest, Option<Arc<str>>> = FastMap::default();
        for (name, customer) in customers {
            let name: Arc<str> = Arc::from(name.as_str());
            for digest in &customer.key_digests {
                holders
                    .entry(*digest)
                    .and_modify(|holder| {
                        if holder.as_deref() != Some(&*name) {
                            *holder = None;
                        }
                    })
                    .or_insert_with(|| Some(Arc::clone(&name)));
            }
        }
        let mut names_by_key = FastMap::default();
        for (digest, holder) in holders {
            if let Some(name) = holder {
                names_by_key.insert(digest, name);
            }
        }
        Self {
            customers: customers.clone(),
            names_by_key,
        }
    }

    /// Returns the name of the customer that holds the key.
    pub fn holder(&self, digest: &KeyDigest) -> Option<&Arc<str>> {
        self.names_by_key.get(digest)
    }

    /// Returns a customer by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }

    /// Returns all customers by name.
    pub fn customers(&self) -> &BTreeMap<String, Arc<Customer>> {
        &self.customers
    }
}
