//! Parts of a route get their weight's share, from any start and over many nodes.

use figway_routing::WeightedRoundRobin;

fn share_of_first(book: &mut WeightedRoundRobin, weights: &[u32], count: usize, seed: u64) -> f64 {
    let mut first_count = 0;
    for _ in 0..count {
        first_count += usize::from(book.next("route", weights, seed) == 0);
    }
    first_count as f64 / count as f64
}

#[test]
fn one_node_meets_the_weights_in_any_window() {
    for seed in 0..50 {
        let mut book = WeightedRoundRobin::default();
        for _ in 0..10 {
            let share = share_of_first(&mut book, &[90, 10], 40, seed);
            assert!((share - 0.9).abs() <= 0.03, "{share}");
        }
    }
}

#[test]
fn many_nodes_with_few_calls_each_meet_the_weights_together() {
    let mut first_count = 0.0;
    for node in 0..64_u64 {
        let mut book = WeightedRoundRobin::default();
        first_count += 5.0 * share_of_first(&mut book, &[70, 30], 5, node.wrapping_mul(7_919));
    }
    let share = first_count / (64.0 * 5.0);
    assert!((share - 0.7).abs() <= 0.1, "{share}");
}

#[test]
fn new_weights_hold_at_once_and_a_weight_of_zero_gets_nothing() {
    let mut book = WeightedRoundRobin::default();
    share_of_first(&mut book, &[50, 50], 7, 3);
    assert!((share_of_first(&mut book, &[100, 0], 100, 3) - 1.0).abs() < 1e-9);
    assert_eq!(book.next("other", &[5], 1), 0);
    assert_eq!(book.next("none", &[], 1), 0);
}
