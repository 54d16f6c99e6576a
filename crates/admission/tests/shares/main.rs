//! Shares of customers at a service that can't take all calls of 85 nodes of callers.

mod simulation;

use crate::simulation::{
    everywhere,
    Customer,
    Simulation, //
};

const SEED_COUNT: u64 = 3;

/// Share of its weighted max-min share that each customer gets at least.
const SHARE_MIN_RATIO: f64 = 0.8;

/// Share of the refusals that may come later than the requirement of 20 ms.
const LATE_REFUSED_MAX_RATIO: f64 = 0.05;

/// Returns the weighted max-min shares of `capacity` calls, of which each customer asks for `asked`.
fn max_min(customers: &[Customer], asked: &[f64], capacity: f64) -> Vec<f64> {
    let need = |index: usize| asked[index] / customers[index].weight;
    let mut by_need: Vec<usize> = (0..customers.len()).collect();
    by_need.sort_by(|a, b| need(*a).total_cmp(&need(*b)));
    let mut shares = vec![0.0; customers.len()];
    let mut left = capacity;
    let mut left_weight: f64 = customers.iter().map(|customer| customer.weight).sum();
    for index in by_need {
        let weight = customers[index].weight;
        shares[index] = asked[index].min(left * weight / left_weight);
        left -= shares[index];
        left_weight -= weight;
    }
    shares
}

/// Sums of the runs of some seeds.
struct Sums {
    /// What each customer got of its weighted max-min share of all calls that were answered promptly.
    share_ratios: Vec<f64>,
    prompt_count: f64,
    late_refused_ratio: f64,
}

fn run(customers: &[Customer], shared: bool) -> Sums {
    let mut asked = vec![0.0; customers.len()];
    let mut served = vec![0.0; customers.len()];
    let (mut refused_count, mut late_refused_count) = (0.0, 0.0);
    for seed in 1..=SEED_COUNT {
        let run = Simulation::new(customers, shared, seed).run();
        for index in 0..customers.len() {
            asked[index] += run.asked_counts[index];
            served[index] += run.prompt_counts[index];
        }
        refused_count += run.refused_count;
        late_refused_count += run.late_refused_count;
    }
    let prompt_count: f64 = served.iter().sum();
    let shares = max_min(customers, &asked, prompt_count);
    let ratios = served.iter().zip(shares).map(|(got, share)| got / share);
    Sums {
        share_ratios: ratios.collect(),
        prompt_count,
        late_refused_ratio: late_refused_count / refused_count,
    }
}

fn check(customers: &[Customer]) {
    let (shared, plain) = (run(customers, true), run(customers, false));
    let ratios = &shared.share_ratios;
    for (customer, ratio) in customers.iter().zip(ratios) {
        assert!(*ratio >= SHARE_MIN_RATIO, "{} {ratios:.2?}", customer.name);
    }
    let (count, plain_count) = (shared.prompt_count, plain.prompt_count);
    assert!(count >= 0.95 * plain_count, "{count} {plain_count}");
    let late_ratio = shared.late_refused_ratio;
    assert!(late_ratio <= LATE_REFUSED_MAX_RATIO, "{late_ratio:.3}");
}

/// Guards against a customer that crowds out the others of its priority by sending several times its usual
/// load, or by a small weight that isn't kept.
#[test]
fn a_customer_that_surges_leaves_the_others_their_shares() {
    check(&[
        Customer {
            usual_per_s: 150.0,
            ..everywhere("surging", 200.0, 1_100.0)
        },
        everywhere("above", 100.0, 250.0),
        everywhere("at-limit", 200.0, 190.0),
        everywhere("below", 150.0, 80.0),
        everywhere("small", 25.0, 20.0),
        everywhere("tiny", 8.0, 6.0),
    ]);
}

/// Guards against shares that depend on the node that was asked: the surging customer and a small one use
/// a few nodes, others half of them.
#[test]
fn shares_hold_for_customers_that_use_different_nodes() {
    let at = |name, weight, per_s, first, count| Customer {
        nodes: (first, count),
        ..everywhere(name, weight, per_s)
    };
    check(&[
        Customer {
            usual_per_s: 150.0,
            ..at("surging", 200.0, 900.0, 0, 20)
        },
        at("beside", 100.0, 90.0, 0, 20),
        at("elsewhere", 150.0, 300.0, 20, 65),
        at("half", 200.0, 190.0, 40, 45),
        at("one-node", 20.0, 15.0, 84, 1),
        everywhere("spread", 50.0, 45.0),
    ]);
}

/// Guards against small customers that are refused for the chance of their calls' arrival: each makes a call
/// at a node each 10 s or so.
#[test]
fn many_small_customers_keep_their_shares_beside_a_large_one() {
    const NAMES: &str = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMN";
    let mut customers = vec![everywhere("large", 400.0, 1_200.0)];
    for index in 0..NAMES.len() {
        customers.push(everywhere(&NAMES[index..=index], 10.0, 8.0));
    }
    check(&customers);
}

/// Guards against shares that hold only while little is refused, with four times what the targets can serve.
#[test]
fn shares_hold_far_above_the_capacity() {
    check(&[
        everywhere("without-limit", 100.0, 3_000.0),
        everywhere("above", 300.0, 800.0),
        everywhere("small", 50.0, 40.0),
        everywhere("below", 500.0, 200.0),
    ]);
}
