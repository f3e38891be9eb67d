//! One sample of each message and entry that builds exchange on the platform, with a distinct value
//! in each field.
//!
//! Fields that are added later keep their defaults here, so that the encoded samples stay the same.

use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::*;

/// Message that is encoded as a sample.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Frame between two processes.
    Frame(Frame),
    /// Entry of a job's log.
    Entry(JobEntry),
    /// Replica set in the coordination store and on the replicas' disks.
    Set(ReplicaSet),
}

/// Returns all samples with their names.
pub fn samples() -> Vec<(&'static str, Message)> {
    let request_samples = requests().into_iter().map(|(name, kind)| {
        let body = OneOfbody::request(Request { kind });
        (name, Message::Frame(Frame { call_id: 7, body }))
    });
    let response_samples = responses().into_iter().map(|(name, kind)| {
        let body = OneOfbody::response(Response { kind });
        (name, Message::Frame(Frame { call_id: 8, body }))
    });
    let entry_samples = entries()
        .into_iter()
        .map(|(name, kind)| (name, Message::Entry(JobEntry { kind })));
    let set = ("replica_set_record", Message::Set(replica_set()));
    request_samples
        .chain(response_samples)
        .chain(entry_samples)
        .chain([set])
        .collect()
}

fn requests() -> Vec<(&'static str, RequestKind)> {
    vec![
        (
            "seal",
            RequestKind::seal(Seal {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                owner_node: "front-1".into(),
                without_entries: true,
                ..Seal::default()
            }),
        ),
        (
            "conditional_seal",
            RequestKind::seal(Seal {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                owner_node: "front-1".into(),
                without_entries: true,
                last_promised: epoch(3),
                ..Seal::default()
            }),
        ),
        ("install", RequestKind::install(install())),
        (
            "install_rest",
            RequestKind::install_rest(Install {
                kept_epoch: epoch(2),
                kept_length: 11,
                ..install()
            }),
        ),
        (
            "install_staged",
            RequestKind::install_staged(Install {
                entries: Vec::new(),
                kept_epoch: epoch(2),
                kept_length: 11,
                staged_length: 5,
                ..install()
            }),
        ),
        (
            "append_staged",
            RequestKind::append_staged(Append {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                first_index: 12,
                closes: true,
                staged_length: 5,
                ..Append::default()
            }),
        ),
        (
            "stage_entries",
            RequestKind::stage_entries(StageEntries {
                replica_set_version: 3,
                log: log(),
                epoch: epoch(4),
                parts: entry_parts(),
                ..StageEntries::default()
            }),
        ),
        (
            "append",
            RequestKind::append(Append {
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
            RequestKind::read_log(ReadLog {
                log: log(),
                ..ReadLog::default()
            }),
        ),
        (
            "read_log_parts",
            RequestKind::read_log(ReadLog {
                log: log(),
                max_bytes: 4_096,
                first_index: 12,
                first_offset: 3,
                ..ReadLog::default()
            }),
        ),
        (
            "describe_logs",
            RequestKind::describe_logs(DescribeLogs {
                prefix: "job/".into(),
                ..DescribeLogs::default()
            }),
        ),
        (
            "owner_heartbeat",
            RequestKind::owner_heartbeat(OwnerHeartbeat {
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
            "handover_notice",
            RequestKind::shard_notice(ShardNotice {
                logs: vec![log()],
                from_owner: true,
                epochs: epoch(4).into_iter().collect(),
                ..ShardNotice::default()
            }),
        ),
        (
            "shard_notice",
            RequestKind::shard_notice(ShardNotice {
                logs: vec![log()],
                from_owner: true,
                ..ShardNotice::default()
            }),
        ),
        (
            "fetch_replica_set",
            RequestKind::fetch_replica_set(FetchReplicaSet::default()),
        ),
        (
            "export_logs",
            RequestKind::export_logs(ExportLogs {
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
            "export_short_logs",
            RequestKind::export_logs(ExportLogs {
                replica_set_version: 3,
                after: log(),
                limit: 20,
                max_log_bytes: 4_096,
                ..ExportLogs::default()
            }),
        ),
        (
            "fence_replica_set",
            RequestKind::fence_replica_set(FenceReplicaSet {
                replica_set: Some(replica_set()),
                ..FenceReplicaSet::default()
            }),
        ),
        (
            "import_logs",
            RequestKind::import_logs(ImportLogs {
                replica_set_version: 3,
                logs: vec![exported()],
                ..ImportLogs::default()
            }),
        ),
        (
            "import_staged",
            RequestKind::import_staged(ImportLogs {
                replica_set_version: 3,
                logs: vec![ExportedLog {
                    entries: Vec::new(),
                    staged_length: 2,
                    ..exported()
                }],
                ..ImportLogs::default()
            }),
        ),
        (
            "read_job",
            RequestKind::read_job(ReadJob {
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
            RequestKind::read_job_body(ReadJobBody {
                job: "step-5".into(),
                item: "i-1".into(),
                anywhere: true,
                ..ReadJobBody::default()
            }),
        ),
        (
            "end_job",
            RequestKind::end_job(EndJob {
                job: "step-5".into(),
                anywhere: true,
                ..EndJob::default()
            }),
        ),
        (
            "accept_job",
            RequestKind::accept_job(AcceptJob {
                spec: Some(spec()),
                ..AcceptJob::default()
            }),
        ),
        (
            "read_demand",
            RequestKind::read_demand(ReadDemand::default()),
        ),
        (
            "take_kept_texts",
            RequestKind::take_kept_texts(TakeKeptTexts {
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
            RequestKind::weight_news(WeightNews {
                instances: vec![weights()],
                usual_load_ms: 900,
                load_limit: 9,
                limit_is_near: true,
                ..WeightNews::default()
            }),
        ),
        (
            "giver_end",
            RequestKind::giver_end(GiverEnd {
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
            RequestKind::usage_note(UsageNote {
                usage: vec![process_usage()],
                ..UsageNote::default()
            }),
        ),
        (
            "read_usage",
            RequestKind::read_usage(ReadUsage {
                window: 31,
                ..ReadUsage::default()
            }),
        ),
        // Commit b6915e3 has no sample of this message.
        (
            "suspect_news",
            RequestKind::suspect_news(SuspectNews {
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
            RequestKind::weight_news(WeightNews {
                instances: vec![InstanceWeights {
                    started_unix_ms: 1_700_000_000_000,
                    ..weights()
                }],
                ..WeightNews::default()
            }),
        ),
    ]
}

fn responses() -> Vec<(&'static str, ResponseKind)> {
    vec![
        (
            "seal_reply",
            ResponseKind::seal(SealReply {
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
            ResponseKind::write(WriteReply {
                replica_id: 21,
                outcome: mod_WriteReply::Outcome::NEEDS_INSTALL,
                promised: epoch(4),
                length: 12,
                ..WriteReply::default()
            }),
        ),
        (
            "read_log_reply",
            ResponseKind::read_log(ReadLogReply {
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
            "read_log_parts_reply",
            ResponseKind::read_log(ReadLogReply {
                replica_id: 21,
                found: true,
                promised: epoch(4),
                log_epoch: epoch(2),
                parts: entry_parts(),
                length: 13,
                ..ReadLogReply::default()
            }),
        ),
        (
            "describe_logs_reply_with_silence",
            ResponseKind::describe_logs(DescribeLogsReply {
                replica_id: 21,
                logs: vec![LogDescription {
                    log: log(),
                    promised: epoch(4),
                    owner_node: "front-1".into(),
                    length: 12,
                    closed: true,
                    owner_silence_ms: 340,
                    ..LogDescription::default()
                }],
                ..DescribeLogsReply::default()
            }),
        ),
        (
            "describe_logs_reply",
            ResponseKind::describe_logs(DescribeLogsReply {
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
            ResponseKind::owner_heartbeat(OwnerHeartbeatReply {
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
        (
            "owner_heartbeat_reply_after_a_copy",
            ResponseKind::owner_heartbeat(OwnerHeartbeatReply {
                replica_id: 22,
                replica_set_version: 8,
                copied_set_version: 8,
                ..OwnerHeartbeatReply::default()
            }),
        ),
        ("done", ResponseKind::done(Done::default())),
        ("replica_set", ResponseKind::replica_set(replica_set())),
        (
            "export_logs_reply",
            ResponseKind::export_logs(ExportLogsReply {
                logs: vec![exported()],
                more: true,
                ..ExportLogsReply::default()
            }),
        ),
        (
            "export_short_logs_reply",
            ResponseKind::export_logs(ExportLogsReply {
                logs: vec![ExportedLog {
                    entries: Vec::new(),
                    is_long: true,
                    ..exported()
                }],
                ..ExportLogsReply::default()
            }),
        ),
        (
            "refused",
            ResponseKind::refused(Refused {
                reason: mod_Refused::Reason::NOT_OWNER,
                detail: "not here".into(),
                retry_after_ms: 50,
                ..Refused::default()
            }),
        ),
        (
            "job_results",
            ResponseKind::job_results(JobResults {
                total: 4,
                results: vec![result()],
                ..JobResults::default()
            }),
        ),
        (
            "compressed_job_results",
            ResponseKind::compressed_job_results(vec![1, 2, 3]),
        ),
        (
            "job_body",
            ResponseKind::job_body(JobBody {
                found: true,
                body: b"prompt".to_vec(),
                ..JobBody::default()
            }),
        ),
        (
            "demand",
            ResponseKind::demand(Demand {
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
            ResponseKind::packed_kept_texts(vec![4, 5, 6]),
        ),
        (
            "usage",
            ResponseKind::usage(Usage {
                usage: vec![process_usage()],
                unix_ms: 1_700_000_000_001,
                ..Usage::default()
            }),
        ),
    ]
}

fn entries() -> Vec<(&'static str, EntryKind)> {
    vec![
        ("entry_accepted", EntryKind::accepted(spec())),
        ("entry_result", EntryKind::result(result())),
        (
            "entry_terminated_result",
            EntryKind::result(JobResult {
                item: "i-2".into(),
                state: mod_JobResult::State::TERMINATED,
                failed_runs: 4,
                unprocessable: true,
                ..JobResult::default()
            }),
        ),
        ("entry_ended", EntryKind::ended(JobEnded::default())),
        (
            "entry_progress",
            EntryKind::progress(JobProgress {
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
        (
            "entry_suspect_run",
            EntryKind::suspect_run(SuspectRun {
                item: "i-1".into(),
                content: 77,
                instance: "s-1".into(),
                incarnation: "s-1@5".into(),
                address: "10.0.0.1:80".into(),
                crashed: true,
                ..SuspectRun::default()
            }),
        ),
        ("entry_compressed", EntryKind::compressed(vec![7, 8, 9])),
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

fn entry_parts() -> Vec<EntryPart> {
    vec![EntryPart {
        index: 12,
        offset: 3,
        payload: b"part".to_vec(),
        ends_entry: true,
        ..EntryPart::default()
    }]
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
