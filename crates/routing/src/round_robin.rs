//! Smooth weighted round-robin over the parts of a route, so that short runs of calls also match
//! the weights closely.

use figway_types::FastMap;

/// Round-robin state of one route, valid for one list of weights.
#[derive(Clone, Debug)]
struct RouteState {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

/// Smooth weighted round-robin, with a separate state for each route.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    routes: FastMap<String, RouteState>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part of `route` that gets the next call, or 0 if there are fewer
    /// than two parts or no weight. New weights restart the sequence at a position that `seed`
    /// determines, so that many nodes do not all begin with the same part.
    pub fn next(&mut self, route: &str, weights: &[u32], seed: u64) -> usize {
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        if weights.len() < 2 || total == 0 {
            return 0;
        }
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteState::new(weights, total, seed));
        }
        let state = self
            .routes
            .get_mut(route)
            .expect("the entry was just inserted");
        if state.weights != weights {
            *state = RouteState::new(weights, total, seed);
        }
        state.advance(total)
    }
}

impl RouteState {
    fn new(weights: &[u32], total: i64, seed: u64) -> Self {
        let mut state = Self {
            weights: weights.to_vec(),
            credits: vec![0; weights.len()],
        };
        for _ in 0..seed % total as u64 % 1_000 {
            state.advance(total);
        }
        state
    }

    /// Adds each part's weight to its credit, subtracts `total` from the highest credit and returns
    /// the index of that part.
    fn advance(&mut self, total: i64) -> usize {
        let mut best = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            self.credits[index] += i64::from(*weight);
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        best
    }
}
