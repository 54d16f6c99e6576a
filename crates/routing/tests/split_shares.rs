//! Parts of a route get calls in proportion to their weights, from any start position and over many
//! nodes.

use figway_routing::WeightedRoundRobin;

fn first_part_ratio(
    round_robin: &mut WeightedRoundRobin,
    weights: &[u32],
    count: usize,
    seed: u64,
) -> f64 {
    let mut first_count = 0;
    for _ in 0..count {
        first_count += usize::from(round_robin.next("route", weights, seed) == 0);
    }
    first_count as f64 / count as f64
}

#[test]
fn one_node_matches_the_weights_in_any_window() {
    for seed in 0..50 {
        let mut round_robin = WeightedRoundRobin::default();
        for _ in 0..10 {
            let ratio = first_part_ratio(&mut round_robin, &[90, 10], 40, seed);
            assert!((ratio - 0.9).abs() <= 0.03, "{ratio}");
        }
    }
}

#[test]
fn many_nodes_with_few_calls_each_match_the_weights_in_total() {
    let mut first_count = 0.0;
    for node in 0..64_u64 {
        let mut round_robin = WeightedRoundRobin::default();
        first_count +=
            5.0 * first_part_ratio(&mut round_robin, &[70, 30], 5, node.wrapping_mul(7_919));
    }
    let ratio = first_count / (64.0 * 5.0);
    assert!((ratio - 0.7).abs() <= 0.1, "{ratio}");
}

#[test]
fn new_weights_apply_at_once_and_a_weight_of_zero_gets_no_calls() {
    let mut round_robin = WeightedRoundRobin::default();
    first_part_ratio(&mut round_robin, &[50, 50], 7, 3);
    assert!((first_part_ratio(&mut round_robin, &[100, 0], 100, 3) - 1.0).abs() < 1e-9);
    assert_eq!(round_robin.next("other", &[5], 1), 0);
    assert_eq!(round_robin.next("none", &[], 1), 0);
}
