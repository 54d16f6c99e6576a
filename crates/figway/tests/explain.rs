//! `figway explain` shows what happened to one request, from the logs of several nodes.

use std::process::Command;

use expect_test::expect;

fn explain(request: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_figway"))
        .args(["explain", request, "node-a.log", "node-b.log"])
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/files"))
        .output()
        .unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&printed).into_owned(),
    )
}

#[test]
fn lines_of_both_nodes_and_of_nested_calls_are_shown_in_order() {
    let (code, printed) = explain("9c41");
    assert_eq!(code, Some(0));
    expect![[r#"
        request 9c41:
            (1790000000900 node-b routes in force before=11 version=12)
          1790000001000 node-b call refused kind=r-order left_ms=120 running=12 slots=12 waited_ms=300 waiting=3 why=expired
          1790000001010 node-a call ended kind=r-order outcome=not-run tries=profile:default; at 0 ms node-b (zone, cost 0.100): not-run expired status 0 after 301 ms, 0 ms queued version=12 why=expired
          1790000001020 node-b call ended request=9c41.d750 kind=r-price outcome=answered
            (1790000001500 node-b target lost why=departed)
    "#]].assert_eq(&printed);
}

/// Guards against a 401 whose cause is not shown beside it.
#[test]
fn a_refused_key_is_shown_with_what_the_node_said_of_the_customers() {
    let (code, printed) = explain("7a01");
    assert_eq!(code, Some(0));
    expect![[r#"
        request 7a01:
            (1790000020000 node-a keys held by several customers customers=ann,bob keys=1 version=13)
          1790000020400 node-a call not routed method=GET path=/check/1 routes_version=13 to=host a.example why=shared-key
    "#]].assert_eq(&printed);
}

#[test]
fn unknown_request_is_reported() {
    let (code, printed) = explain("feed");
    assert_eq!(code, Some(3));
    assert!(
        printed.contains("no line of 2 files names request feed"),
        "{printed}"
    );
}
