//! The entry process against stand-ins for control and sidecars.

mod fake;

use fake::{World, numbered, post};

/// Guards against a job whose answers are out of order, missing or wrapped wrongly.
#[test]
fn a_job_is_answered_whole_and_in_order() {
    fake::run(async {
        let world = World::new().await;
        let answer = post(world.addr, "/v1/jobs", numbered("k", 4).to_string()).await;
        insta::assert_snapshot!(answer.text, @r#"{"status":"completed","answers":[0,1,2,3]}"#);
        assert_eq!(answer.code, 200);
        assert_eq!(world.sidecar.starts(), 4);
    });
}
