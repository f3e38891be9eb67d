//! Guards against incompatible encodings of messages and job log entries between builds.
//!
//! `formats/<commit>.txt` contains the samples as encoded by the build of that commit. If
//! `LADDERSTAGE_WRITE_FORMATS` names a file, this build's samples are written to it.

// Samples set all fields, but use `..default()` for fields that are added later.
#[allow(clippy::needless_update)]
#[path = "formats/samples.rs"]
mod samples;

use std::collections::BTreeMap;

use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_Request::OneOfkind;
use ladderstage_wire::messages::{Frame, JobEntry, Request, mod_JobEntry};
use ladderstage_wire::{DecodeError, decode, encode};
use samples::{Message, samples};

/// Samples encoded by earlier builds, by commit.
const EARLIER: [(&str, &str); 7] = [
    ("b6915e3", include_str!("formats/b6915e3.txt")),
    ("c0c1299", include_str!("formats/c0c1299.txt")),
    ("6acf4f4", include_str!("formats/6acf4f4.txt")),
    ("e3862ae", include_str!("formats/e3862ae.txt")),
    ("2316edf", include_str!("formats/2316edf.txt")),
    ("4e6b332", include_str!("formats/4e6b332.txt")),
    ("371f339", include_str!("formats/371f339.txt")),
];

/// Environment variable that names the file to which this build's samples are written.
const WRITE_VARIABLE: &str = "LADDERSTAGE_WRITE_FORMATS";

/// Fields with a number that no message uses, one of each wire type: varint, 64-bit,
/// length-delimited, 32-bit.
const UNKNOWN_FIELDS: [&[u8]; 4] = [
    &[0xa0, 0x38, 0x05],
    &[0xa1, 0x38, 1, 2, 3, 4, 5, 6, 7, 8],
    &[0xa2, 0x38, 0x02, 0xff, 0xff],
    &[0xa5, 0x38, 1, 2, 3, 4],
];

impl Message {
    fn encode(&self) -> Vec<u8> {
        match self {
            Self::Frame(frame) => encode(frame),
            Self::Entry(entry) => encode(entry),
            Self::Set(set) => encode(set),
        }
    }

    /// Decodes a message of the same type as `self`.
    fn decode_same_type(&self, bytes: &[u8]) -> Result<Self, DecodeError> {
        Ok(match self {
            Self::Frame(_) => Self::Frame(decode(bytes)?),
            Self::Entry(_) => Self::Entry(decode(bytes)?),
            Self::Set(_) => Self::Set(decode(bytes)?),
        })
    }
}

/// Parses lines of a sample's name and its bytes in hexadecimal digits.
fn read_lines(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = text.lines().map(|line| line.split_once(' ').unwrap());
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    lines
        .map(|(name, digits)| (name, digits.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

fn line(name: &str, bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{name} {digits}\n")
}

#[test]
fn samples_of_earlier_builds_decode_to_the_same_messages() {
    for (commit, text) in EARLIER {
        let written = read_lines(text);
        assert!(written.len() > 40, "{commit}");
        let known: BTreeMap<&str, Message> = samples().into_iter().collect();
        for (name, bytes) in written {
            let sample = &known[name];
            let read = sample.decode_same_type(&bytes);
            assert_eq!(read.as_ref(), Ok(sample), "{name} of {commit}");
        }
    }
}

/// Identical bytes guarantee that earlier builds decode the same messages.
#[test]
fn samples_encode_to_the_same_bytes_as_in_earlier_builds() {
    for (commit, text) in EARLIER {
        let written = read_lines(text);
        for (name, sample) in samples() {
            if let Some(bytes) = written.get(name) {
                assert_eq!(&sample.encode(), bytes, "{name} of {commit}");
            }
        }
    }
}

#[test]
fn unknown_fields_are_skipped() {
    for (name, sample) in samples() {
        for field in UNKNOWN_FIELDS {
            let mut bytes = sample.encode();
            bytes.extend_from_slice(field);
            assert_eq!(
                sample.decode_same_type(&bytes).as_ref(),
                Ok(&sample),
                "{name}"
            );
        }
    }
}

/// An earlier build must be able to detect and refuse a request of a kind that it does not know.
#[test]
fn an_unknown_kind_decodes_as_none() {
    for field in UNKNOWN_FIELDS {
        let request: Request = decode(field).unwrap();
        assert_eq!(request.kind, OneOfkind::None);
        let entry: JobEntry = decode(field).unwrap();
        assert_eq!(entry.kind, mod_JobEntry::OneOfkind::None);
    }
    let empty = OneOfbody::request(Request::default());
    let frame = Frame {
        call_id: 7,
        body: empty,
    };
    assert_eq!(decode::<Frame>(&encode(&frame)), Ok(frame));
}

#[test]
fn samples_of_this_build_are_written_on_request() {
    let all: String = samples()
        .iter()
        .map(|(name, sample)| line(name, &sample.encode()))
        .collect();
    assert_eq!(read_lines(&all).len(), samples().len(), "names differ");
    if let Some(file) = std::env::var_os(WRITE_VARIABLE) {
        std::fs::write(file, all).unwrap();
    }
}
