//! Lookup of customers by API key and by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use figway_types::{
    FastMap,
    KeyRefusal, //
};

use crate::customer::Customer;
use crate::key::{
    KeyDigest,
    KeyTag, //
};

/// Customers of one configuration.
#[derive(Clone, Debug, Default)]
pub struct CustomerIndex {
    customers: BTreeMap<String, Arc<Customer>>,
    /// Name of the customer that holds each key; `None` if several do, so that the key identifies no
    /// customer.
    holders: FastMap<KeyDigest, Option<Arc<str>>>,
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
        Self {
            customers: customers.clone(),
            holders,
        }
    }

    /// Returns the name of the customer that holds the key, and the digest of the key.
    ///
    /// # Errors
    ///
    /// Why the key identifies no customer.
    pub fn find(&self, key: &str) -> Result<(&Arc<str>, KeyDigest), KeyRefusal> {
        let digest = KeyDigest::of_key(key).ok_or(KeyRefusal::Unknown)?;
        match self.holders.get(&digest) {
            Some(Some(name)) => Ok((name, digest)),
            Some(None) => Err(KeyRefusal::Shared),
            None => Err(KeyRefusal::Unknown),
        }
    }

    /// Returns the name of the customer that holds the key.
    pub fn holder(&self, digest: &KeyDigest) -> Option<&Arc<str>> {
        self.holders.get(digest)?.as_ref()
    }

    /// Returns whether the customer alone holds a key with the tag.
    pub fn holds_tag(&self, name: &str, tag: KeyTag) -> bool {
        let Some(customer) = self.customers.get(name) else {
            return false;
        };
        for digest in &customer.key_digests {
            if digest.tag() == tag && self.holder(digest).is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the number of customers that hold no key. One that could not be decoded holds none.
    pub fn count_without_keys(&self) -> usize {
        let customers = self.customers.values();
        customers
            .filter(|customer| customer.key_digests.is_empty())
            .count()
    }

    /// Returns the number of keys that several customers hold.
    pub fn shared_key_count(&self) -> usize {
        self.holders.values().filter(|name| name.is_none()).count()
    }

    /// Returns the names of the customers that hold a key that others hold too.
    pub fn customers_with_shared_keys(&self) -> Vec<&str> {
        let mut names = Vec::new();
        for (name, customer) in &self.customers {
            let digests = &customer.key_digests;
            if digests.iter().any(|digest| self.holder(digest).is_none()) {
                names.push(name.as_str());
            }
        }
        names
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
