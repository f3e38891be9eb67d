//! Stories told from log lines.

use ladderstage_front::explain::{LogLine, Story};

const LOG: &str = r#"
   4.1000 front-a time=100.100 level=info node=front-a module=m event=job_accepted job=j1 items=2
time=100.300 level=info node=front-a module=m event=item_run item=i1 job=j1 instance=s1 events=3 versions=[4] elapsed_ms=180 outcome=moved cause="cut: error reading a body"
time=100.200 level=warn node=front-a module=m event=append_in_doubt log=job/j1 cause="no answer in time"
time=100.250 level=info node=front-a module=m event=item_run item=i2 job=j1 instance=s1 events=9 versions=[4] elapsed_ms=140 outcome=complete
time=100.900 level=info node=front-b module=m event=job_log_taken job=j1 entries=3 results=1
not a line of the log
time=101.000 level=info node=front-b module=m event=attempt request=r1 route=x instance=s2 in_flight=1 elapsed_ms=9 outcome=answered status=200
time=101.001 level=info node=front-b module=m event=request_answered request=r1 route=x config=7 status=200 elapsed_ms=10
"#;

fn story(id: &str) -> Story {
    let lines: Vec<LogLine> = LOG.lines().filter_map(LogLine::parse).collect();
    assert_eq!(lines.len(), 7);
    Story::tell(id, &lines)
}

fn events(story: &Story) -> Vec<&str> {
    story.steps.iter().map(|step| step.event.as_str()).collect()
}

#[test]
fn an_item_s_story_holds_what_happened_to_its_job_in_the_order_of_time() {
    let story = story("i1");
    let expected = [
        "job_accepted",
        "append_in_doubt",
        "item_run",
        "job_log_taken",
    ];
    assert_eq!(events(&story), expected);
    let wrong: Vec<bool> = story.steps.iter().map(|step| step.is_first_wrong).collect();
    assert_eq!(wrong, [false, true, false, false]);
    let text = story.to_string();
    assert!(text.contains("!"), "{text}");
    assert!(text.contains("cut: error reading a body"), "{text}");
}

#[test]
fn a_request_s_story_holds_its_own_lines_only() {
    let story = story("r1");
    assert_eq!(events(&story), ["attempt", "request_answered"]);
    assert!(story.steps.iter().all(|step| !step.is_first_wrong));
}

#[test]
fn a_job_s_story_holds_all_its_items() {
    let story = story("j1");
    assert_eq!(
        story
            .steps
            .iter()
            .filter(|step| step.event == "item_run")
            .count(),
        2
    );
}
