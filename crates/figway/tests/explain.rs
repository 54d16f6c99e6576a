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

#[test]
fn unknown_request_is_reported() {
    let (code, printed) = explain("feed");
    assert_eq!(code, Some(3));
    assert!(
        printed.contains("no line of 2 files names request feed"),
        "{printed}"
    );
}
