//! Tests of the rules language.

use briargauge::protocol::{
    job,
    rule::{self, Edit, Preference, Rules},
};
use insta::assert_snapshot;
use quickcheck::{Arbitrary, Gen, quickcheck};

const FILE: &str = "\
# Rules of the repair desk

team *      quota 200 starts/s  # kana: default
team repair quota 500 starts/s  # kana: agreed in March
team repair waiting 2000 tasks#kana : queue
team repair share 3 # kana: weight
team repair prefer messages # kana: few messages
team repair hedge off # kana: no hedging
team repair retries 5% # kana: budget
team repair job 200 tasks # kana: small jobs: at most 200
kind scan only rack Kurume/r2 # emi: licence
kind scan only accelerators # emi: too slow without
kind quote only data-centre Saga # emi: archive
drain data-centre Fukuoka # ito: power works
drain rack Kurume/r1 # ito: switch
drain server 10.0.3.7:7400 # ito: disk errors
#
";

fn faults(text: &str) -> String {
    Rules::parse(text).expect_err("the text is not valid").to_string()
}

/// Guards against lookups that miss a rule, or that apply it to something that it does not name.
#[test]
fn lookups_return_the_rules_that_apply() {
    let rules = Rules::parse(FILE).expect("the file is valid");
    let repair = rules.account("repair");
    assert_eq!(repair.starts_per_s, Some(500));
    assert_eq!(repair.waiting, Some(2000));
    assert_eq!((repair.share, repair.hedge), (Some(3), Some(false)));
    assert_eq!(repair.preference, Some(Preference::Messages));
    assert_eq!((repair.retry_percent, repair.job_tasks), (Some(5), Some(200)));
    let other = rules.account("tariff");
    assert_eq!((other.starts_per_s, other.waiting), (Some(200), None));

    let addr = |a: &str| a.parse().expect("a valid address");
    let elsewhere = addr("10.0.3.7:7401");
    assert!(rules.drains("Fukuoka", "r9", elsewhere));
    assert!(rules.drains("Kurume", "r1", elsewhere));
    assert!(!rules.drains("Saga", "r1", elsewhere));
    assert!(rules.drains("Saga", "r1", addr("10.0.3.7:7400")));

    let scan = rules.placement("scan").expect("scan is placed");
    let size = |accelerators| job::Needs { accelerators, ..job::Needs::default() };
    assert!(scan.allows("Kurume", "r2", size(1)));
    assert!(!scan.allows("Kurume", "r2", size(0)));
    assert!(!scan.allows("Kurume", "r1", size(1)));
    assert!(!scan.allows("Saga", "r2", size(1)));
    assert_eq!(rules.placement("stock"), None);

    let entry = rules.rule_lines().find(|e| e.who == "ito").expect("ito asked for a drain");
    assert_eq!((entry.line, entry.reason.as_str()), (14, "power works"));
}

/// Guards against a printed form that loses lines or comments, or does not normalise the spacing.
#[test]
fn printing_keeps_lines_and_comments() {
    let rules = Rules::parse(FILE).expect("the file is valid");
    assert_snapshot!("printed_form", rules);
}

/// Guards against faults that do not state which line is wrong and what was expected.
#[test]
fn faults_name_lines_and_words() {
    assert_snapshot!(
        "no_origin",
        faults(
            "\n\
         team a share 3\n\
         team a share 4 # kana\n\
         team a job 2 tasks # : x"
        )
    );
    assert_snapshot!(
        "unknown_words",
        faults(
            "tean a share 3 # k: r\n\
         team a quoat 3 starts/s # k: r\n\
         team a quota 3 start/s # k: r\n\
         kind b only datacentre x # k: r\n\
         drain"
        )
    );
    assert_snapshot!(
        "duplicates",
        faults(
            "team a share 3 # k: r\n\
         team a share 3 # k: r\n\
         team a share 4 # k: r\n\
         kind s only data-centre A # k: r\n\
         kind s only rack A/b # k: r"
        )
    );
    assert_snapshot!(
        "hedging_against_messages",
        faults(
            "team a prefer messages # k: r\n\
         team a hedge on # k: r\n\
         team b hedge on # k: r\n\
         team b prefer messages # k: r"
        )
    );
    assert_snapshot!(
        "values",
        faults(
            "team a share 0 # k: r\n\
         team a share +2 # k: r\n\
         team a retries 101% # k: r\n\
         team a retries 5 # k: r\n\
         team a job 491 tasks # k: r\n\
         drain server here # k: r\n\
         drain rack Kurume # k: r\n\
         team a share 1 2 # k: r\n\
         kind * only accelerators # k: r"
        )
    );
}

/// Guards against a list of faults that grows without limit with the text.
#[test]
fn faults_are_bounded() {
    assert_eq!(Rules::parse(&"x\n".repeat(5_000)).expect_err("not valid").0.len(), 20);
}

/// Random text of valid and almost valid rules.
#[derive(Debug, Clone)]
struct Text(String);

impl Arbitrary for Text {
    fn arbitrary(g: &mut Gen) -> Text {
        let names = ["repair", "*", "料金", "a/b", "x"];
        let numbers = ["0", "1", "490", "007", "99999999999"];
        let lines = usize::arbitrary(g) % 8;
        let mut text = String::new();
        for _ in 0..lines {
            let name = |g: &mut Gen| *g.choose(&names).expect("there are names");
            let number = |g: &mut Gen| *g.choose(&numbers).expect("there are numbers");
            let body = match u8::arbitrary(g) % 10 {
                0 => format!("team {} quota {} starts/s", name(g), number(g)),
                1 => format!("team\t{}  share {}", name(g), number(g)),
                2 => format!("team {} retries {}%", name(g), number(g)),
                3 => format!("team {} job {} tasks", name(g), number(g)),
                4 => format!(
                    "team {} hedge {}",
                    name(g),
                    if bool::arbitrary(g) { "on" } else { "off" }
                ),
                5 => format!("kind {} only rack {}/{}", name(g), name(g), number(g)),
                6 => format!("drain data-centre {}", name(g)),
                7 => format!("drain server [::{}]:{}", number(g), number(g)),
                8 => String::new(),
                _ => String::arbitrary(g),
            };
            let comment = match u8::arbitrary(g) % 8 {
                0 => String::arbitrary(g),
                1 => "## k : r: s # t ".into(),
                _ => "# kana: reason".into(),
            };
            let end = if bool::arbitrary(g) { "\n" } else { "\r\n" };
            text += &[" ", &body, &comment, end].concat();
        }
        Text(text)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Text>> {
        Box::new(self.0.shrink().map(Text))
    }
}

/// The rules of those lines of a text that are valid after the lines before them.
fn valid_rules(text: &str) -> Rules {
    let mut kept = String::new();
    for line in text.split_inclusive('\n') {
        let longer = format!("{kept}{line}");
        if Rules::parse(&longer).is_ok() {
            kept = longer;
        }
    }
    Rules::parse(&kept).expect("each step was valid")
}

quickcheck! {
    /// Guards against a printed file that parses to other rules, and against panics.
    fn printing_round_trips(text: Text) -> bool {
        let rules = valid_rules(&text.0);
        Rules::parse(&rules.to_string()).as_ref() == Ok(&rules)
    }
}

/// Guards against an edit that adds a rule again, which is not valid, that removes other lines than those
/// meant, or that cannot be told from one that changes nothing.
#[test]
fn an_edit_changes_one_rule_or_nothing() {
    let add = |line: &str| Edit::Add(line.to_owned());
    let remove = |words: &str| Edit::Remove(words.to_owned());
    let text = "drain data-centre Saga # ito: power\n# Saga\ndrain   rack Saga/r1 # ito: switch";
    assert_eq!(add("drain data-centre Saga # emi: again").apply(text), Ok(None));
    assert_eq!(remove("drain data-centre Kurume").apply(text), Ok(None));
    let ended = remove("drain data-centre Saga").apply(text).unwrap().unwrap();
    assert_eq!(ended, "# Saga\ndrain   rack Saga/r1 # ito: switch\n");
    let begun = add("drain data-centre Saga # emi: again").apply(&ended).unwrap().unwrap();
    assert_eq!(begun, format!("{ended}drain data-centre Saga # emi: again\n"));
    assert_eq!(Rules::parse(&begun).unwrap().drained_data_centres(), ["Saga"]);
    let invalid = add("drain data-centre Kurume").apply(text).unwrap_err();
    assert_eq!(invalid.0[0].line, 4, "{invalid}");
    assert_eq!(add("drain data-centre Saga # a: b").apply("").unwrap().unwrap().lines().count(), 1);
}

/// Guards against a name that makes other rules than the one meant, or none.
#[test]
fn names_of_data_centres_are_single_words() {
    let long = "x".repeat(rule::NAME_MAX_BYTES);
    for name in ["Saga", "saga/r1", "łódź", "*", "a%20b", &long] {
        assert!(rule::is_data_centre(name), "{name:?}");
        let text = format!("drain data-centre {name} # who: why\n");
        assert_eq!(Rules::parse(&text).unwrap().drained_data_centres(), [name]);
    }
    let too_long = "x".repeat(rule::NAME_MAX_BYTES + 1);
    let invalid = ["", "a b", "a#b", "a\nb", "a\u{85}b", "a\u{a0}b", "a\0b", &too_long];
    for name in invalid {
        assert!(!rule::is_data_centre(name), "{name:?}");
    }
}
