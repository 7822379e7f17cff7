//! The command line, run as a separate program.

mod workdir;

use std::process::Output;

use workdir::{
    Program, Workdir,
    system::{self, System},
};

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const COMMANDS: [&str; 11] = [
    "cancel", "drain", "init", "local", "members", "rules", "servers", "settings", "status",
    "submit", "version",
];

/// Guards against commands that the help does not list or that have no usage text.
#[test]
fn help_names_every_command() {
    let dir = Workdir::new();
    let help = dir.run(Program::Main, &["help"]);
    insta::assert_snapshot!("help", stdout(&help));
    for command in COMMANDS {
        assert!(stdout(&help).contains(&format!("    {command} ")));
        let usage = dir.run(Program::Main, &["help", command]);
        assert!(usage.status.success());
        assert!(stdout(&usage).contains(&format!("briargauge {command}")), "{command}");
        let same = dir.run(Program::Main, &[command, "--help"]);
        assert_eq!(stdout(&same), stdout(&usage));
    }
}

/// Guards against errors in arguments and files that are accepted, or are reported without naming
/// the argument, file or line.
#[test]
fn usage_errors_name_their_location() {
    let dir = Workdir::new();
    dir.file("job.json", "{\"team\": \"desk\",\n \"tusks\": []}");
    dir.file("rules", "team desk quota 5 starts/s\nteem desk share 2 # kana: more\n");
    dir.file("entry.json", "{ // a comment\n \"htp\": \"127.0.0.1:1\" }");
    let commands: [&[&str]; 9] = [
        &[],
        &["sumbit"],
        &["submit", "--entry", "127.0.0.1:1", "job.json"],
        &["submit", "--entry", "here", "job.json"],
        &["submit", "--entry", "127.0.0.1:1", "absent.json"],
        &["local", "job.json"],
        &["rules", "check", "rules"],
        &["settings", "check", "entry", "entry.json"],
        &["servers"],
    ];
    let mut report = String::new();
    for args in commands {
        let output = dir.run(Program::Main, args);
        assert!(output.stdout.is_empty(), "{args:?}");
        let code = output.status.code().unwrap();
        report += &format!("$ briargauge {}\n{}exit {code}\n\n", args.join(" "), stderr(&output));
    }
    insta::assert_snapshot!("mistakes", report);
}

/// Guards against `local`, the first command of a new user, failing to run a job or to print its
/// answers.
#[test]
fn local_runs_a_job_file() {
    let dir = Workdir::new();
    let job = r#"{"team": "desk", "tasks": [
        {"kind": "quote", "input": {"work_ms": 20, "n": 1}},
        {"kind": "quote", "input": {"work_ms": 20, "n": 2}}]}"#;
    dir.file("job.json", job);
    let output = dir.run(Program::Main, &["local", "job.json"]);
    assert!(output.status.success(), "{}", stderr(&output));
    let text = stdout(&output);
    assert_eq!(text.lines().filter(|line| line.contains("\"echo\"")).count(), 2, "{text}");
    assert!(text.contains("task times of desk:"), "{text}");
    let json = dir.run(Program::Main, &["local", "--json", "job.json"]);
    let response: serde_json::Value = serde_json::from_str(&stdout(&json)).unwrap();
    assert_eq!(response["status"], "completed");
}

/// Guards against example files that the programs reject.
#[test]
fn examples_are_valid() {
    let dir = Workdir::new();
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let files = [
        ("control", "control-1"),
        ("control", "control-2"),
        ("control", "control-3"),
        ("entry", "entry"),
        ("sidecar", "sidecar"),
        ("backend", "backend"),
    ];
    for (program, file) in files {
        let path = format!("{examples}/{file}.json");
        let output = dir.run(Program::Main, &["settings", "check", program, &path]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
    let output = dir.run(Program::Main, &["rules", "check", &format!("{examples}/rules.txt")]);
    assert_eq!(stdout(&output), format!("{examples}/rules.txt: 6 rules are valid\n"));
}

/// Guards against commands that have no effect on a running system, and against output or exit
/// codes that scripts cannot use.
#[test]
fn commands_work_on_a_running_system() {
    let system = System::new(1, 1, 2);
    let entry = system.entries[0].http().to_string();
    let submit = |key: &str, work_ms: u64| {
        let job = system::job(key, 2, work_ms);
        system.dir.file("job.json", &job.to_string());
        system.dir.run(Program::Main, &["submit", "--json", "--entry", &entry, "job.json"])
    };
    let first = submit("one", 5);
    assert_eq!(first.status.code(), Some(0), "{}", stderr(&first));
    let status =
        system.dir.run(Program::Main, &["status", "--json", "--entry", &entry, "desk", "one"]);
    assert_eq!(stdout(&status), stdout(&first));
    let cancelled = system.dir.run(Program::Main, &["cancel", "--entry", &entry, "desk", "one"]);
    assert_eq!(cancelled.status.code(), Some(0), "{}", stderr(&cancelled));
    let unknown = system.dir.run(Program::Main, &["status", "--entry", &entry, "desk", "none"]);
    assert_eq!(unknown.status.code(), Some(3));

    assert_eq!(system.cli_ok(&["servers"]).lines().count(), 2);
    let servers: serde_json::Value =
        serde_json::from_str(&system.cli_ok(&["servers", "--json"])).unwrap();
    let addr = servers[0]["addr"].as_str().unwrap();
    let target = format!("server {addr}");
    system.cli_ok(&["drain", &target, "new cords", "--operator", "kana"]);
    assert!(
        system.cli_ok(&["rules", "show"]).contains(&format!("drain {target} # kana: new cords"))
    );
    workdir::wait_for("the server to drain", || {
        system.cli_ok(&["servers"]).contains("Draining").then_some(())
    });
    system.cli_ok(&["drain", "--end", &target, "--operator", "emi"]);
    workdir::wait_for("the end of the drain", || {
        (!system.cli_ok(&["servers"]).contains("Draining")).then_some(())
    });
    let history = system.cli_ok(&["rules", "history"]);
    assert!(history.contains("version 2 by emi") && history.contains("version 1 by kana"));
    assert!(history.contains("+ drain server"), "{history}");
    let again = system.cli(&["drain", "--end", &target, "--operator", "emi"]);
    assert_eq!(again.status.code(), Some(2));
    let members = system.cli_ok(&["members"]);
    assert!(members.contains("role=Leader") && members.contains("voter node=1"), "{members}");
    assert_eq!(system.cli(&["init"]).status.code(), Some(3));
}
