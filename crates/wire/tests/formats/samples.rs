//! One sample of each message and entry that builds exchange on the platform, each field of it with a value of its own.
//!
//! Fields that are added later stay at their defaults here, so that a sample's bytes stay what earlier builds wrote.

use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as Entry;
use ladderstage_wire::messages::mod_Request::OneOfkind as Ask;
use ladderstage_wire::messages::mod_Response::OneOfkind as Answer;
use ladderstage_wire::messages::*;

/// What is encoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Between two processes.
    Frame(Frame),
    /// In a job's log.
    Entry(JobEntry),
    /// In the coordination store, and on the replicas' disks.
    Set(ReplicaSet),
}

/// All samples, with their names.
pub fn samples() -> Vec<(&'static str, Message)> {
    let asked = requests().into_iter().map(|(name, kind)| {
        let body = OneOfbody::request(Request { kind });
        (name, Message::Frame(Frame { call_id: 7, body }))
    });
    let answered = responses().into_iter().map(|(name, kind)| {
        let body = OneOfbody::response(Response { kind });
        (name, Message::Frame(Frame { call_id: 8, body }))
    });
    let kept = entries()
        .into_iter()
        .map(|(name, kind)| (name, Message::Entry(JobEntry { kind })));
    let set = ("replica_set_record", Message::Set(replica_set()));
    asked.chain(answered).chain(kept).chain([set]).collect()
}

fn requests() -> Vec<(&'static str, Ask)> {
    vec![
        (
            "seal",
            Ask::seal(Seal {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                owner_node: "front-1".into(),
                without_entries: true,
                ..Seal::default()
            }),
        ),
        ("install", Ask::install(install())),
        (
            "install_rest",
            Ask::install_rest(Install {
                kept_epoch: epoch(2),
                kept_length: 11,
                ..install()
            }),
        ),
        (
            "append",
            Ask::append(Append {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                first_index: 12,
                entries: log_entries(),
                closes: true,
                ..Append::default()
            }),
        ),
        (
            "read_log",
            Ask::read_log(ReadLog {
                log: log(),
                ..ReadLog::default()
            }),
        ),
        (
            "describe_logs",
            Ask::describe_logs(DescribeLogs {
                prefix: "job/".into(),
                ..DescribeLogs::default()
            }),
        ),
        (
            "owner_heartbeat",
            Ask::owner_heartbeat(OwnerHeartbeat {
                node: "front-1".into(),
                process: 99,
                logs: vec![OwnedLog {
                    log: log(),
                    epoch: epoch(4),
                    ..OwnedLog::default()
                }],
                ..OwnerHeartbeat::default()
            }),
        ),
        (
            "shard_notice",
            Ask::shard_notice(ShardNotice {
                logs: vec![log()],
                from_owner: true,
                ..ShardNotice::default()
            }),
        ),
        (
            "fetch_replica_set",
            Ask::fetch_replica_set(FetchReplicaSet::default()),
        ),
        (
            "export_logs",
            Ask::export_logs(ExportLogs {
                replica_set_version: 3,
                after: log(),
                limit: 20,
                known: vec![KnownLog {
                    log: log(),
                    log_epoch: epoch(4),
                    length: 12,
                    retired: true,
                    ..KnownLog::default()
                }],
                ..ExportLogs::default()
            }),
        ),
        (
            "fence_replica_set",
            Ask::fence_replica_set(FenceReplicaSet {
                replica_set: Some(replica_set()),
                ..FenceReplicaSet::default()
            }),
        ),
        (
            "import_logs",
            Ask::import_logs(ImportLogs {
                replica_set_version: 3,
                logs: vec![exported()],
                ..ImportLogs::default()
            }),
        ),
        (
            "read_job",
            Ask::read_job(ReadJob {
                job: "step-5".into(),
                after: 2,
                wait_ms: 700,
                takes_compressed: true,
                anywhere: true,
                ..ReadJob::default()
            }),
        ),
        (
            "read_job_body",
            Ask::read_job_body(ReadJobBody {
                job: "step-5".into(),
                item: "i-1".into(),
                anywhere: true,
                ..ReadJobBody::default()
            }),
        ),
        (
            "end_job",
            Ask::end_job(EndJob {
                job: "step-5".into(),
                anywhere: true,
                ..EndJob::default()
            }),
        ),
        (
            "accept_job",
            Ask::accept_job(AcceptJob {
                spec: Some(spec()),
                ..AcceptJob::default()
            }),
        ),
        ("read_demand", Ask::read_demand(ReadDemand::default())),
        (
            "take_kept_texts",
            Ask::take_kept_texts(TakeKeptTexts {
                model: "m".into(),
                min_version: 6,
                items: vec!["i-1".into()],
                train_step: 5,
                tenant: "t".into(),
                ..TakeKeptTexts::default()
            }),
        ),
        (
            "weight_news",
            Ask::weight_news(WeightNews {
                instances: vec![weights()],
                usual_load_ms: 900,
                load_limit: 9,
                limit_is_near: true,
                ..WeightNews::default()
            }),
        ),
        (
            "giver_end",
            Ask::giver_end(GiverEnd {
                node: "front-1".into(),
                fence: 77,
                orders: vec![RecentOrder {
                    instance: "e-1".into(),
                    age_ms: 40,
                    ..RecentOrder::default()
                }],
                ..GiverEnd::default()
            }),
        ),
        (
            "usage_note",
            Ask::usage_note(UsageNote {
                usage: vec![process_usage()],
                ..UsageNote::default()
            }),
        ),
        (
            "read_usage",
            Ask::read_usage(ReadUsage {
                window: 31,
                ..ReadUsage::default()
            }),
        ),
        // The build before this one had no such message.
        (
            "suspect_news",
            Ask::suspect_news(SuspectNews {
                contents: vec![SuspectedContent {
                    content: 0xfeed,
                    ends: vec!["e-1@5".into()],
                    ..SuspectedContent::default()
                }],
                ..SuspectNews::default()
            }),
        ),
        (
            "weight_news_of_starts",
            Ask::weight_news(WeightNews {
                instances: vec![InstanceWeights {
                    started_unix_ms: 1_700_000_000_000,
                    ..weights()
                }],
                ..WeightNews::default()
            }),
        ),
    ]
}

fn responses() -> Vec<(&'static str, Answer)> {
    vec![
        (
            "seal_reply",
            Answer::seal(SealReply {
                replica_id: 21,
                accepted: true,
                promised: epoch(4),
                log_epoch: epoch(2),
                entries: log_entries(),
                retired: true,
                length: 12,
                ..SealReply::default()
            }),
        ),
        (
            "write_reply",
            Answer::write(WriteReply {
                replica_id: 21,
                outcome: mod_WriteReply::Outcome::NEEDS_INSTALL,
                promised: epoch(4),
                length: 12,
                ..WriteReply::default()
            }),
        ),
        (
            "read_log_reply",
            Answer::read_log(ReadLogReply {
                replica_id: 21,
                found: true,
                promised: epoch(4),
                log_epoch: epoch(2),
                entries: log_entries(),
                retired: true,
                ..ReadLogReply::default()
            }),
        ),
        (
            "describe_logs_reply",
            Answer::describe_logs(DescribeLogsReply {
                replica_id: 21,
                logs: vec![LogDescription {
                    log: log(),
                    promised: epoch(4),
                    owner_node: "front-1".into(),
                    length: 12,
                    closed: true,
                    ..LogDescription::default()
                }],
                ..DescribeLogsReply::default()
            }),
        ),
        (
            "owner_heartbeat_reply",
            Answer::owner_heartbeat(OwnerHeartbeatReply {
                replica_id: 21,
                evidence: Some(BundleEvidence {
                    revision: 5,
                    age_ms: 6,
                    known: true,
                    ..BundleEvidence::default()
                }),
                replica_set_version: 3,
                fenced_logs: vec![log()],
                ..OwnerHeartbeatReply::default()
            }),
        ),
        ("done", Answer::done(Done::default())),
        ("replica_set", Answer::replica_set(replica_set())),
        (
            "export_logs_reply",
            Answer::export_logs(ExportLogsReply {
                logs: vec![exported()],
                more: true,
                ..ExportLogsReply::default()
            }),
        ),
        (
            "refused",
            Answer::refused(Refused {
                reason: mod_Refused::Reason::NOT_OWNER,
                detail: "not here".into(),
                retry_after_ms: 50,
                ..Refused::default()
            }),
        ),
        (
            "job_results",
            Answer::job_results(JobResults {
                total: 4,
                results: vec![result()],
                ..JobResults::default()
            }),
        ),
        (
            "compressed_job_results",
            Answer::compressed_job_results(vec![1, 2, 3]),
        ),
        (
            "job_body",
            Answer::job_body(JobBody {
                found: true,
                body: b"prompt".to_vec(),
                ..JobBody::default()
            }),
        ),
        (
            "demand",
            Answer::demand(Demand {
                work: vec![ModelWork {
                    model: "m".into(),
                    tokens: 800,
                    longest_events: 90,
                    ..ModelWork::default()
                }],
                paces: vec![InstancePace {
                    instance: "e-1".into(),
                    event_micros: 4_000,
                    ..InstancePace::default()
                }],
                ..Demand::default()
            }),
        ),
        (
            "packed_kept_texts",
            Answer::packed_kept_texts(vec![4, 5, 6]),
        ),
        (
            "usage",
            Answer::usage(Usage {
                usage: vec![process_usage()],
                unix_ms: 1_700_000_000_001,
                ..Usage::default()
            }),
        ),
    ]
}

fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("entry_accepted", Entry::accepted(spec())),
        ("entry_result", Entry::result(result())),
        ("entry_ended", Entry::ended(JobEnded::default())),
        (
            "entry_progress",
            Entry::progress(JobProgress {
                item: "i-1".into(),
                starts_over: true,
                first_event: 8,
                last_event: 15,
                events: 8,
                text: "eight".into(),
                weight_versions: vec![5, 6],
                is_whole: true,
                ..JobProgress::default()
            }),
        ),
        ("entry_compressed", Entry::compressed(vec![7, 8, 9])),
    ]
}

fn log() -> String {
    "job/t/step-5".into()
}

fn epoch(round: u64) -> Option<Epoch> {
    Some(Epoch {
        round,
        owner: 99,
        ..Epoch::default()
    })
}

fn log_entries() -> Vec<LogEntry> {
    vec![
        LogEntry {
            payload: b"one".to_vec(),
            ..LogEntry::default()
        },
        LogEntry {
            payload: b"two".to_vec(),
            ..LogEntry::default()
        },
    ]
}

fn install() -> Install {
    Install {
        replica_set_version: 3,
        log: log(),
        epoch: epoch(4),
        owner_node: "front-1".into(),
        entries: log_entries(),
        ..Install::default()
    }
}

fn exported() -> ExportedLog {
    ExportedLog {
        log: log(),
        promised: epoch(4),
        log_epoch: epoch(2),
        owner_node: "front-1".into(),
        closed: true,
        entries: log_entries(),
        retired: true,
        length: 12,
        ..ExportedLog::default()
    }
}

fn replica_set() -> ReplicaSet {
    let member = |node: &str, replica_id| ReplicaMember {
        node: node.into(),
        replica_id,
        ..ReplicaMember::default()
    };
    ReplicaSet {
        version: 3,
        current: vec![member("store-0", 21), member("store-1", 22)],
        next: vec![member("store-2", 23)],
        ..ReplicaSet::default()
    }
}

fn spec() -> JobSpec {
    let reward_call = Some(RewardCall {
        id: "r-1".into(),
        host: "h".into(),
        path: "/score".into(),
        body: b"rubric".to_vec(),
        ..RewardCall::default()
    });
    let headers = vec![JobHeader {
        name: "model".into(),
        value: "m".into(),
        ..JobHeader::default()
    }];
    let item = JobItem {
        id: "i-1".into(),
        path: "/p/1".into(),
        headers,
        body: b"prompt".to_vec(),
        tokens: 40,
        group: "g".into(),
        expected_tokens: 30,
        reward_call,
        ..JobItem::default()
    };
    JobSpec {
        job: "step-5".into(),
        host: "h".into(),
        path: "/steps".into(),
        model: "m".into(),
        train_step: 5,
        min_version: 6,
        desired_groups: 2,
        items: vec![item],
        tenant: "t".into(),
        ..JobSpec::default()
    }
}

fn result() -> JobResult {
    JobResult {
        item: "i-1".into(),
        state: mod_JobResult::State::COMPLETED,
        text: "rest".into(),
        weight_versions: vec![6],
        follows_progress: true,
        score: "0.5".into(),
        ..JobResult::default()
    }
}

fn weights() -> InstanceWeights {
    InstanceWeights {
        instance: "e-1".into(),
        model: "m".into(),
        version: 6,
        loading_ms: 300,
        ..InstanceWeights::default()
    }
}

fn process_usage() -> ProcessUsage {
    ProcessUsage {
        process: 99,
        window: 31,
        counts: vec![TenantCount {
            tenant: "t".into(),
            requests: 12,
            ..TenantCount::default()
        }],
        ..ProcessUsage::default()
    }
}
