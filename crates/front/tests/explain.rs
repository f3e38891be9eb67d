//! Tests of timelines and step statistics built from log lines.

use ladderstage_front::explain::{LogLine, Timeline, render_table, steps};

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

fn timeline(id: &str) -> Timeline {
    let lines: Vec<LogLine> = LOG.lines().filter_map(LogLine::parse).collect();
    assert_eq!(lines.len(), 7);
    Timeline::build(id, &lines)
}

fn events(timeline: &Timeline) -> Vec<&str> {
    timeline
        .steps
        .iter()
        .map(|step| step.event.as_str())
        .collect()
}

#[test]
fn the_timeline_of_an_item_contains_the_events_of_its_job_in_time_order() {
    let timeline = timeline("i1");
    let expected = [
        "job_accepted",
        "append_in_doubt",
        "item_run",
        "job_log_taken",
    ];
    assert_eq!(events(&timeline), expected);
    let is_first_failure: Vec<bool> = timeline
        .steps
        .iter()
        .map(|step| step.is_first_wrong)
        .collect();
    assert_eq!(is_first_failure, [false, true, false, false]);
    let text = timeline.to_string();
    assert!(text.contains("!"), "{text}");
    assert!(text.contains("cut: error reading a body"), "{text}");
}

#[test]
fn the_timeline_of_a_request_contains_only_its_own_lines() {
    let timeline = timeline("r1");
    assert_eq!(events(&timeline), ["attempt", "request_answered"]);
    assert!(timeline.steps.iter().all(|step| !step.is_first_wrong));
}

#[test]
fn the_timeline_of_a_job_contains_all_its_items() {
    let timeline = timeline("j1");
    assert_eq!(
        timeline
            .steps
            .iter()
            .filter(|step| step.event == "item_run")
            .count(),
        2
    );
}

const STEP_LOG: &str = r#"
time=100.000 level=info node=a module=m event=job_accepted job=j1 model=m step=3 oldest_version=2 desired_groups=1 items=2
time=101.000 level=info node=a module=m event=item_run item=i1 job=j1 group=g1 instance=s1 tokens=9 guess=5 events=3 versions=[2] elapsed_ms=900 outcome=complete
time=101.100 level=info node=a module=m event=reward_call item=i1 job=j1 request=r1 route=x instance=p elapsed_ms=20 outcome=broken cause="no answer in time"
time=101.200 level=info node=a module=m event=reward_call item=i1 job=j1 request=r1 route=x instance=q elapsed_ms=20 outcome=scored
time=101.300 level=info node=a module=m event=item_run item=i2 job=j1 group=g2 instance=s1 tokens=9 guess=5 events=0 versions=[] elapsed_ms=5 outcome=not_taken cause="not run: 503"
time=102.000 level=info node=a module=m event=job_ended job=j1
"#;

#[test]
fn a_step_row_names_its_last_awaited_item() {
    let lines: Vec<LogLine> = STEP_LOG.lines().filter_map(LogLine::parse).collect();
    let rows = steps(&lines);
    assert_eq!(rows.len(), 1);
    let row = &rows[0];
    assert_eq!((row.step, row.items, row.refused_starts), (3, 2, 1));
    let last = row.last.as_ref().unwrap();
    assert_eq!(last.id, "i1");
    let is_close = |value: f64, expected: f64| (value - expected).abs() < 1e-6;
    assert!(
        is_close(last.started, 0.1) && is_close(last.whole, 1.0),
        "{last:?}"
    );
    assert!(
        is_close(row.wanted_done.unwrap(), 1.2),
        "the item is done once it is scored: {row:?}"
    );
    assert!(is_close(row.ended.unwrap(), 2.0));
    assert!(render_table(&rows).contains("i1 events=3"));
}

#[test]
fn the_row_of_a_step_counts_runs_in_other_regions() {
    let log = r#"
time=100.000 level=info node=a module=m event=job_accepted job=j1 model=m step=3 oldest_version=2 desired_groups=1 items=2
time=101.000 level=info node=a module=m event=item_run item=i1 job=j1 group=g1 instance=s1 distance=elsewhere events=3 elapsed_ms=900 outcome=complete
time=101.000 level=info node=a module=m event=item_run item=i2 job=j1 group=g1 instance=s2 distance=region events=3 elapsed_ms=900 outcome=complete
"#;
    let lines: Vec<LogLine> = log.lines().filter_map(LogLine::parse).collect();
    assert_eq!(steps(&lines)[0].far_runs, 1);
    let timeline = Timeline::build("i1", &lines).to_string();
    assert!(timeline.contains("distance=elsewhere"), "{timeline}");
}

#[test]
fn a_job_of_a_tenant_is_found_by_its_id_without_the_tenant() {
    let line = "time=12.0 level=info node=front-1 module=job event=job_accepted job=tenant-a/7c41e0 items=4";
    let line = LogLine::parse(line).unwrap();
    assert!(line.is_about("7c41e0"));
    assert!(line.is_about("tenant-a/7c41e0"));
    assert!(!line.is_about("c41e0"));
}

/// Requests r1 and r3 with content c1 each crashed an instance; their fronts differ. A third front
/// held back r4 and r5, which have the same content.
const SUSPECT_LOG: &str = r#"
time=100.000 level=warn node=front-a module=m event=run_broken request=r1 route=x instance=s1 content=c1 run_ms=60 instance_now=ended ends=["s1@7"]
time=100.100 level=warn node=front-a module=m event=run_broken request=r2 route=x instance=s3 content=c2 run_ms=10 instance_now=listening ends=[]
time=100.200 level=warn node=front-b module=m event=run_broken request=r3 route=x instance=s2 content=c1 run_ms=80 instance_now=ended ends=["s1@7", "s2@9"]
time=100.300 level=info node=front-c module=m event=suspect_heard content=c1 ends=["s1@7", "s2@9"]
time=100.400 level=info node=front-c module=m event=run_held_back request=r4 route=x content=c1 ends=["s1@7", "s2@9"] retry_after_ms=599000
time=100.500 level=info node=front-c module=m event=run_held_back request=r5 route=x content=c1 ends=["s1@7", "s2@9"] retry_after_ms=598000
"#;

#[test]
fn the_timeline_of_a_suspected_request_contains_the_crashes_of_its_content() {
    let lines: Vec<LogLine> = SUSPECT_LOG.lines().filter_map(LogLine::parse).collect();
    let timeline = Timeline::build("r4", &lines);
    let expected = ["run_broken", "run_broken", "suspect_heard", "run_held_back"];
    assert_eq!(events(&timeline), expected);
    assert!(timeline.steps[0].details.contains("instance=s1"));
    assert!(timeline.steps[1].details.contains("instance=s2"));
}

/// Front-a drained zone b and held a request back; front-b drained zone c and served a request.
const DRAIN_LOG: &str = r#"
time=100.000 level=info node=front-a module=m event=zone_drain_began zone=b instances=15
time=100.100 level=info node=front-b module=m event=zone_drain_began zone=c instances=4
time=100.200 level=info node=front-a module=m event=request_held_back request=r1 route=x service=s reason=zone_drained
time=100.300 level=info node=front-b module=m event=attempt request=r2 route=x instance=i outcome=answered status=200
time=100.400 level=info node=front-a module=m event=zone_drain_ended zone=b instances=15
"#;

#[test]
fn the_timeline_of_a_request_held_back_by_drains_contains_the_drains() {
    let lines: Vec<LogLine> = DRAIN_LOG.lines().filter_map(LogLine::parse).collect();
    let held_back = Timeline::build("r1", &lines);
    let expected = ["zone_drain_began", "request_held_back", "zone_drain_ended"];
    assert_eq!(events(&held_back), expected);
    assert_eq!(events(&Timeline::build("r2", &lines)), ["attempt"]);
}

#[test]
fn a_timeline_with_a_failure_contains_lost_instances_and_failed_capacity_orders() {
    const CAPACITY_LOG: &str = r#"
time=82.000 level=info node=front-c module=m event=capacity_lost service=s zone=z kind=kept lost=9 before=0 reason=leaving
time=99.000 level=info node=front-c module=m event=capacity_lost service=s zone=z kind=kept lost=2 before=0 reason=zone_drained
time=100.200 level=info node=front-c module=m event=capacity_ordered service=s zone=y kind=preemptible desired=2 extra=2 fence=7 outcome=none_to_be_had cause="none to be had"
"#;
    let lines: Vec<LogLine> = [LOG, CAPACITY_LOG]
        .into_iter()
        .flat_map(str::lines)
        .filter_map(LogLine::parse)
        .collect();
    let failed = Timeline::build("i1", &lines);
    let expected = [
        "capacity_lost",
        "job_accepted",
        "append_in_doubt",
        "capacity_ordered",
        "item_run",
        "job_log_taken",
    ];
    assert_eq!(events(&failed), expected);
    assert!(failed.to_string().contains("reason=zone_drained"));
    // A timeline without a failure contains no capacity events.
    let answered = Timeline::build("r1", &lines);
    assert_eq!(events(&answered), ["attempt", "request_answered"]);
}

#[test]
fn the_timeline_of_a_rejected_request_contains_why_instances_were_excluded() {
    let log = r#"
time=100.100 level=info node=front-a module=m event=no_instance request=r2 service=s held_back=cold:3,zone_drained:15
time=100.101 level=warn node=front-a module=m event=request_answered request=r2 route=x config=7 status=503 elapsed_ms=151
"#;
    let lines: Vec<LogLine> = log.lines().filter_map(LogLine::parse).collect();
    let timeline = Timeline::build("r2", &lines);
    assert_eq!(events(&timeline), ["no_instance", "request_answered"]);
    let text = timeline.to_string();
    assert!(text.contains("held_back=cold:3,zone_drained:15"), "{text}");
}

#[test]
fn the_timeline_of_an_item_that_is_not_repeated_shows_it_as_the_first_failure() {
    let log = r#"
time=100.000 level=info node=a module=m event=job_accepted job=j2 model=m step=4 oldest_version=2 desired_groups=1 items=2
time=100.020 level=warn node=a module=m event=item_not_repeated item=i1 job=j2 failed_runs=0 unprocessable=true
"#;
    let lines: Vec<LogLine> = log.lines().filter_map(LogLine::parse).collect();
    let timeline = Timeline::build("i1", &lines);
    let failures: Vec<&str> = timeline
        .steps
        .iter()
        .filter(|step| step.is_first_wrong)
        .map(|step| step.event.as_str())
        .collect();
    assert_eq!(failures, ["item_not_repeated"]);
}
