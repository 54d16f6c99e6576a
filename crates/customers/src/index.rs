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
    /// Mean of the rates of the customers with a limit, if there are any.
    mean_rate_per_s: Option<f64>,
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
        let mut rates_per_s = Vec::new();
        for customer in customers.values() {
            rates_per_s.extend(customer.limit.map(|limit| limit.rate_per_s));
        }
        let rate_sum: f64 = rates_per_s.iter().sum();
        Self {
            customers: customers.clone(),
            holders,
            mean_rate_per_s: (rate_sum > 0.0).then(|| rate_sum / rates_per_s.len() as f64),
        }
    }

    /// Returns the weight by which a customer shares a full service with the others: the rate of its limit.
    /// Callers without a limit or without a customer have the mean weight.
    pub fn weight(&self, name: Option<&str>) -> f64 {
        let customer = name.and_then(|name| self.customers.get(name));
        customer
            .and_then(|customer| customer.limit)
            .map(|limit| limit.rate_per_s)
            .or(self.mean_rate_per_s)
            .unwrap_or(1.0)
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
