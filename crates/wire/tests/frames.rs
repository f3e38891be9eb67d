//! Tests of frames: an encoded frame decodes unchanged, and damaged bytes give an error, never a
//! panic.

use ladderstage_wire::frame::{
    FrameError, FrameHeader, HEADER_BYTES, MAX_PAYLOAD_BYTES, encode_frame,
};
use ladderstage_wire::messages::{
    Append, Epoch, Frame, LogEntry, OpenShardReply, PullShardReply, Request, WriteReply,
    mod_Frame::OneOfbody, mod_OpenShardReply, mod_PullShardReply, mod_Request::OneOfkind,
    mod_WriteReply::Outcome,
};
use ladderstage_wire::{decode, encode};
use proptest::prelude::*;

fn append_frame(call_id: u64, log: String, payload: Vec<u8>) -> Frame {
    let append = Append {
        log,
        epoch: Some(Epoch { round: 3, owner: 9 }),
        first_index: 4,
        entries: vec![LogEntry { payload }],
        ..Append::default()
    };
    Frame {
        call_id,
        body: OneOfbody::request(Request {
            kind: OneOfkind::append(append),
        }),
    }
}

fn split(encoded: &[u8]) -> (FrameHeader, &[u8]) {
    let header: [u8; HEADER_BYTES] = encoded[..HEADER_BYTES].try_into().expect("header bytes");
    let header = FrameHeader::parse(header).expect("length within the limit");
    (header, &encoded[HEADER_BYTES..])
}

#[test]
fn an_unknown_or_missing_outcome_of_a_write_decodes_as_unspecified() {
    let unknown_number = [0x10, 99];
    for bytes in [&unknown_number[..], &[]] {
        let reply: WriteReply = decode(bytes).expect("a message");
        assert_eq!(reply.outcome, Outcome::UNSPECIFIED);
    }
}

#[test]
fn an_unknown_or_missing_outcome_of_a_shard_call_decodes_as_unspecified() {
    let unknown_number = [0x08, 99];
    for bytes in [&unknown_number[..], &[]] {
        let opened: OpenShardReply = decode(bytes).expect("a message");
        assert_eq!(opened.outcome, mod_OpenShardReply::Outcome::UNSPECIFIED);
        let pulled: PullShardReply = decode(bytes).expect("a message");
        assert_eq!(pulled.outcome, mod_PullShardReply::Outcome::UNSPECIFIED);
    }
}

proptest! {
    #[test]
    fn an_encoded_frame_decodes_unchanged(call_id: u64, log in ".{0,40}", payload: Vec<u8>) {
        let frame = append_frame(call_id, log, payload);
        let encoded = encode_frame(&frame).expect("small frame");
        let (header, body) = split(&encoded);
        prop_assert_eq!(header.decode_payload(body).expect("valid frame"), frame);
    }

    #[test]
    fn a_flipped_bit_is_refused(position in 0usize..200, bit in 0u8..8) {
        let mut encoded = encode_frame(&append_frame(1, "shard/a/1/0".to_owned(), vec![7; 200])).expect("small frame");
        let index = HEADER_BYTES + position % (encoded.len() - HEADER_BYTES);
        encoded[index] ^= 1 << bit;
        let (header, body) = split(&encoded);
        let refused = matches!(header.decode_payload(body), Err(FrameError::Checksum { .. }));
        prop_assert!(refused);
    }

    #[test]
    fn random_bytes_never_panic(bytes: Vec<u8>) {
        let _ = decode::<Frame>(&bytes);
    }

    #[test]
    fn truncated_messages_never_panic(keep in 0usize..300) {
        let bytes = encode(&append_frame(1, "claim/p/k".to_owned(), vec![1; 250]));
        let _ = decode::<Frame>(&bytes[..keep.min(bytes.len())]);
    }
}

#[test]
fn a_length_over_the_limit_is_refused() {
    let mut header = [0u8; HEADER_BYTES];
    header[..4].copy_from_slice(&(MAX_PAYLOAD_BYTES as u32 + 1).to_be_bytes());
    assert!(matches!(
        FrameHeader::parse(header),
        Err(FrameError::TooLong { .. })
    ));
}

/// Guards against logs of oversized messages that do not say which message it was.
#[test]
fn the_name_of_a_kind_omits_its_content() {
    use ladderstage_wire::kind::kind_name;
    use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
    use ladderstage_wire::messages::{Done, ReadLogReply};

    let read_log = ResponseKind::read_log(ReadLogReply::default());
    assert_eq!(kind_name(&read_log), "read_log");
    assert_eq!(kind_name(&ResponseKind::done(Done {})), "done");
    assert_eq!(kind_name(&ResponseKind::None), "None");
}
