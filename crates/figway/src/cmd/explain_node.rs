//! `figway explain --host`: asks a node where a request would go now.

use std::process::ExitCode;

use serde_json::{
    json,
    Value, //
};

use crate::cmd::EXIT_REFUSED;
use crate::flags::Explain;
use crate::node_client::NodeClient;

/// Asks the node and prints its answer.
pub(crate) async fn ask_node(flags: &Explain, host: &str) -> anyhow::Result<ExitCode> {
    let node = NodeClient::new(flags.node.as_deref()).await?;
    let described = json!({
        "host": host,
        "path": flags.request,
        "customer": flags.customer,
        "body_bytes": flags.body_bytes.unwrap_or(0),
    });
    let explained: Value = node.post("/figway/explain", &described).await?;
    if flags.json {
        println!("{explained}");
    } else {
        print_explained(&explained);
    }
    if explained["services"].is_array() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_REFUSED))
}

fn print_explained(explained: &Value) {
    let text = |value: &Value| value.as_str().unwrap_or("none").to_owned();
    println!("route table version {}", explained["version"]);
    if explained["services"].is_null() {
        println!("refused: {}", text(&explained["why"]));
        return;
    }
    println!(
        "route {} customer {} priority {} limit {}",
        text(&explained["route"]),
        text(&explained["customer"]),
        explained["priority"],
        explained["limit"],
    );
    print_limit_left(&explained["limit_left"]);
    for service in explained["services"].as_array().into_iter().flatten() {
        println!(
            "service {} weight {}: to {} ({})",
            text(&service["service"]),
            service["weight"],
            text(&service["picked"]),
            text(&service["why"]),
        );
        for target in service["targets"].as_array().into_iter().flatten() {
            print_target(target);
        }
    }
}

/// Prints what is left of the customer's limit, if it has one.
fn print_limit_left(left: &Value) {
    if left.is_null() {
        return;
    }
    let ratio = &left["admitted_ratio"];
    let tokens = &left["token_count"];
    println!(
        "limit left: coordinator {} admits {} of its requests, tokens at all nodes {}, of this node's share {:.2}",
        left["coordinator"].as_str().unwrap_or("none"),
        ratio.as_f64().map_or("unknown".to_owned(), |ratio| format!("{ratio:.3}")),
        tokens.as_f64().map_or("unknown here".to_owned(), |count| format!("{count:.1}")),
        left["own_share_count"].as_f64().unwrap_or(f64::NAN),
    );
}

fn print_target(target: &Value) {
    let number = |name: &str| target[name].as_f64().unwrap_or(f64::NAN);
    let mut remarks = String::new();
    for (name, remark) in [("suspect", " suspect"), ("refused_recently", " refused")] {
        if target[name] == true {
            remarks.push_str(remark);
        }
    }
    println!(
        "  {} {} run {:.1} ms wait {:.1} ms path {:.1} ms price {:.3} loss {:.3}{remarks}",
        target["node"].as_str().unwrap_or(""),
        target["distance"].as_str().unwrap_or(""),
        number("run_ms"),
        number("wait_ms"),
        number("path_ms"),
        number("price"),
        number("loss"),
    );
}
