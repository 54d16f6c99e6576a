//! Shares of a route's calls by weight, in turn, so that each part's share is met closely.

use figway_types::FastMap;

/// Whose turn it is, for one set of weights.
#[derive(Clone, Debug)]
struct Turn {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

/// Turns by route.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    turns: FastMap<String, Turn>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part whose turn it is. Other weights than before start anew, from
    /// a place that `seed` fixes, so that many nodes do not all begin with the same part.
    pub fn next(&mut self, route: &str, weights: &[u32], seed: u64) -> usize {
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        if weights.len() < 2 || total == 0 {
            return 0;
        }
        if !self.turns.contains_key(route) {
            self.turns
                .insert(route.to_owned(), Turn::new(weights, total, seed));
        }
        let turn = self.turns.get_mut(route).expect("the entry was just made");
        if turn.weights != weights {
            *turn = Turn::new(weights, total, seed);
        }
        turn.take(total)
    }
}

impl Turn {
    fn new(weights: &[u32], total: i64, seed: u64) -> Self {
        let mut turn = Self {
            weights: weights.to_vec(),
            credits: vec![0; weights.len()],
        };
        for _ in 0..seed % total as u64 % 1_000 {
            turn.take(total);
        }
        turn
    }

    /// Gives each part its weight in credit and takes the total from the one that has most.
    fn take(&mut self, total: i64) -> usize {
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
