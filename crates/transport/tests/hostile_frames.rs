//! Guards against invalid frames on one connection that affect another connection or the server.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, LazyLock};

use common::{ScriptedHandler, TEST_TIMEOUT, echoed, read_log_request, start_server};
use ladderstage_transport::{Client, Server};
use ladderstage_wire::frame::{HEADER_BYTES, MAX_PAYLOAD_BYTES, encode_frame};
use ladderstage_wire::messages::Frame;
use ladderstage_wire::messages::mod_Frame::OneOfbody;
use proptest::prelude::*;
use tokio::runtime::Runtime;

/// Server with a client whose connection must stay usable.
struct OtherConnection {
    runtime: Runtime,
    server: Server,
    client: Client,
}

static OTHER_CONNECTION: LazyLock<OtherConnection> = LazyLock::new(|| {
    let runtime = Runtime::new().expect("runtime");
    let server = runtime.block_on(start_server(Arc::new(ScriptedHandler::default())));
    let client = Client::new();
    OtherConnection {
        runtime,
        server,
        client,
    }
});

impl OtherConnection {
    /// Asserts that the client's first connection still works.
    fn assert_works(&self) {
        let call = self.client.call(
            self.server.address(),
            read_log_request("still here"),
            TEST_TIMEOUT,
        );
        let response = self.runtime.block_on(call).expect("answer");
        assert_eq!(echoed(response), "still here");
        assert_eq!(self.client.open_connections(), 1);
    }
}

fn encoded_request(call_id: u64, log: &str) -> Vec<u8> {
    let body = OneOfbody::request(read_log_request(log));
    encode_frame(&Frame { call_id, body }).expect("small")
}

/// Returns `payload` as a frame with a valid header.
fn checksummed(payload: &[u8]) -> Vec<u8> {
    let mut encoded = (payload.len() as u32).to_be_bytes().to_vec();
    encoded.extend(crc32fast::hash(payload).to_be_bytes());
    encoded.extend(payload);
    encoded
}

/// Sends `bytes` and the end of the stream, then reads until the server closes.
fn send_raw(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("timeout");
    // The write fails if the server closes first.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read_to_close(&mut stream);
}

fn read_to_close(stream: &mut TcpStream) {
    let mut answer = Vec::new();
    if let Err(error) = stream.read_to_end(&mut answer) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        OTHER_CONNECTION.assert_works();
        send_raw(OTHER_CONNECTION.server.address(), &bytes);
        OTHER_CONNECTION.assert_works();
    }

    #[test]
    fn random_payload_with_a_right_checksum(payload in prop::collection::vec(any::<u8>(), 0..200)) {
        OTHER_CONNECTION.assert_works();
        send_raw(OTHER_CONNECTION.server.address(), &checksummed(&payload));
        OTHER_CONNECTION.assert_works();
    }

    #[test]
    fn truncated_or_damaged_frame(cut in 0_usize..40, damage in 0_usize..40, bits in 1_u8..) {
        OTHER_CONNECTION.assert_works();
        let mut encoded = encoded_request(1, "a log with quite a long name");
        encoded.truncate(encoded.len().saturating_sub(cut).max(1));
        let place = damage % encoded.len();
        encoded[place] ^= bits;
        send_raw(OTHER_CONNECTION.server.address(), &encoded);
        OTHER_CONNECTION.assert_works();
    }
}

#[test]
fn oversize_and_invalid_frames_close_the_connection_immediately() {
    let oversize = (MAX_PAYLOAD_BYTES as u32 + 1).to_be_bytes();
    let oversize = [oversize, [0; 4]].concat();
    let mut damaged = encoded_request(1, "x");
    damaged[HEADER_BYTES] ^= 1;
    for bytes in [oversize, damaged, b"GET / HTTP/1.1\r\n\r\n".to_vec()] {
        let mut stream = TcpStream::connect(OTHER_CONNECTION.server.address()).expect("connect");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("timeout");
        stream.write_all(&bytes).expect("write");
        read_to_close(&mut stream);
    }
    OTHER_CONNECTION.assert_works();
}
