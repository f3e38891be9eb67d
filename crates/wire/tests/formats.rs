//! Messages and entries of job logs between builds: what earlier builds wrote is read as it was meant, what this build writes is what they
//! read, and what nobody knows yet is passed over.
//!
//! `formats/<commit>.txt` holds what the build of that commit wrote. With `LADDERSTAGE_WRITE_FORMATS=<file>` set, this build's go to a file.

// Samples name all fields and leave room for later ones.
#[allow(clippy::needless_update)]
#[path = "formats/samples.rs"]
mod samples;

use std::collections::BTreeMap;

use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_Request::OneOfkind;
use ladderstage_wire::messages::{Frame, JobEntry, Request, mod_JobEntry};
use ladderstage_wire::{DecodeError, decode, encode};
use samples::{Message, samples};

/// What earlier builds wrote.
const EARLIER: [(&str, &str); 2] = [
    ("b6915e3", include_str!("formats/b6915e3.txt")),
    ("c0c1299", include_str!("formats/c0c1299.txt")),
];

/// Set to the file that gets this build's samples.
const WRITE_VARIABLE: &str = "LADDERSTAGE_WRITE_FORMATS";

/// A field number that no message has, as each wire type: a number, eight bytes, a length and its bytes, four bytes.
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

    /// Decodes what is of the same type.
    fn decode_alike(&self, bytes: &[u8]) -> Result<Self, DecodeError> {
        Ok(match self {
            Self::Frame(_) => Self::Frame(decode(bytes)?),
            Self::Entry(_) => Self::Entry(decode(bytes)?),
            Self::Set(_) => Self::Set(decode(bytes)?),
        })
    }
}

/// Lines of a name and its bytes in hexadecimal digits.
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
fn what_earlier_builds_wrote_is_read_as_it_was_meant() {
    for (commit, text) in EARLIER {
        let written = read_lines(text);
        assert!(written.len() > 40, "{commit}");
        let known: BTreeMap<&str, Message> = samples().into_iter().collect();
        for (name, bytes) in written {
            let sample = &known[name];
            let read = sample.decode_alike(&bytes);
            assert_eq!(read.as_ref(), Ok(sample), "{name} of {commit}");
        }
    }
}

/// The same bytes: an earlier build reads in them what this one means.
#[test]
fn this_build_writes_what_earlier_ones_read() {
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
fn fields_that_nobody_knows_yet_are_passed_over() {
    for (name, sample) in samples() {
        for field in UNKNOWN_FIELDS {
            let mut bytes = sample.encode();
            bytes.extend_from_slice(field);
            assert_eq!(sample.decode_alike(&bytes).as_ref(), Ok(&sample), "{name}");
        }
    }
}

/// So an older build sees a request that it does not know, and can refuse it.
#[test]
fn a_kind_that_nobody_knows_yet_is_read_as_none() {
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
