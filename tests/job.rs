//! Tests of the JSON of the callers' interface.

use briargauge::protocol::job;

/// Guards against responses that this project's own clients cannot read. The answers, which are raw
/// JSON text, were once lost because they were deserialised through an internally tagged enum.
#[test]
fn responses_round_trip() {
    let texts = [
        r#"{"status":"completed","answers":[{"a":1.50},null]}"#,
        r#"{"status":"failed","reason":"outcome_unknown","detail":"x"}"#,
        r#"{"status":"not_run","reason":"over_quota","detail":"y"}"#,
        r#"{"status":"running","done":1,"tasks":2}"#,
        r#"{"status":"unknown","detail":"z"}"#,
    ];
    for text in texts {
        let response: job::Response = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&response).unwrap(), text);
    }
    for text in [r#"{"status":"done"}"#, r#"{"status":"failed","reason":"never","detail":""}"#] {
        assert!(serde_json::from_str::<job::Response>(text).is_err());
    }
}
