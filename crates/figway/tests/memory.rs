//! Tests of the memory limit that the environment gives a node.

use std::process::Command;

const SETTINGS: &str = "cluster: test\nnode: n1\nregion: land\nzone: east\n\
    listen:\n  control: 127.0.0.1:0\n  call: 127.0.0.1:0\n\
    log:\n  url: http://127.0.0.1:1\n  region: land\n";

#[test]
fn a_memory_limit_that_cannot_be_read_is_refused_with_its_place() {
    let path = std::env::temp_dir().join(format!("figway-memory-{}.yaml", std::process::id()));
    std::fs::write(&path, SETTINGS).unwrap();
    for value in ["much", "-1", "31", "1e300", "NaN"] {
        let output = Command::new(env!("CARGO_BIN_EXE_figway"))
            .args(["node", "--settings"])
            .arg(&path)
            .env("FIGWAY_MEMORY_MAX_MB", value)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(1), "{value}");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr),
            format!(
                "figway: could not read FIGWAY_MEMORY_MAX_MB: expected 32 to 1000000 megabytes, \
                 found {value}\n"
            )
        );
    }
    std::fs::remove_file(&path).unwrap();
}
