//! Status codes and bodies as docs/api.md lists them.

mod fake;

use fake::{World, post};

/// Guards against a malformed body that is taken, or refused without its place.
#[test]
fn malformed_json_is_refused_with_its_place() {
    fake::run(async {
        let world = World::new().await;
        let answer = post(world.addr, "/v1/jobs", "{\n  \"team\": }").await;
        insta::assert_snapshot!(answer.text, @r#"{"status":"not_run","reason":"bad_request","detail":"expected value at line 2 column 11"}"#);
        assert_eq!(answer.code, 400);
        assert_eq!(world.sidecar.starts(), 0);
    });
}
