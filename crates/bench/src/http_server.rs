//! HTTP/1.1 server that can cut its answers at any byte.
//!
//! Stand-ins must cut, stall and shorten answers on purpose, which server libraries prevent.
//! Implements only the parts of the protocol that the stand-ins need.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Number of requests and of head and body bytes in both directions, since the start.
#[derive(Debug, Default)]
pub struct HttpTraffic {
    requests: AtomicU64,
    bytes: AtomicU64,
}

impl HttpTraffic {
    /// Returns the number of requests read completely.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read and written, without TCP and IP headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn add_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Handle {
    /// Address on which it listens.
    pub address: SocketAddr,
    pub traffic: Arc<HttpTraffic>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Returns the base URL without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Adds a task that ends with the server.
    pub(crate) fn with_task(mut self, task: JoinHandle<()>) -> Self {
        self.tasks.push(task);
        self
    }

    /// Stops the server and closes all connections immediately.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    pub path: String,
    /// Query without `?`; empty if absent.
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first header of that name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Answers requests. An error from `handle` closes the connection without completing the answer.
pub trait Handler: Send + Sync + 'static {
    fn handle(
        &self,
        request: Request,
        responder: &mut Responder,
    ) -> impl Future<Output = io::Result<()>> + Send;
}

/// Writes the answer to one request.
#[derive(Debug)]
pub struct Responder {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    traffic: Arc<HttpTraffic>,
}

impl Responder {
    /// Sends a complete answer.
    pub async fn send(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = head(status, headers, &format!("Content-Length: {}", body.len()));
        bytes.extend_from_slice(body);
        self.send_raw(&bytes).await
    }

    /// Sends a complete JSON answer.
    pub async fn json(&mut self, status: u16, body: &impl Serialize) -> io::Result<()> {
        let bytes = serde_json::to_vec(body).map_err(io::Error::other)?;
        self.send(status, &[("Content-Type", "application/json")], &bytes)
            .await
    }

    /// Sends an error answer with a reason as plain text.
    pub async fn reject(&mut self, status: u16, reason: &str) -> io::Result<()> {
        self.send(status, &[("Content-Type", "text/plain")], reason.as_bytes())
            .await
    }

    /// Starts an answer of known length; the body follows through [`Self::send_raw`].
    pub async fn start_sized(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        length: usize,
    ) -> io::Result<()> {
        let bytes = head(status, headers, &format!("Content-Length: {length}"));
        self.send_raw(&bytes).await
    }

    pub async fn start_chunked(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let bytes = head(status, headers, "Transfer-Encoding: chunked");
        self.send_raw(&bytes).await
    }

    /// Sends one chunk.
    pub async fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
        framed.extend_from_slice(bytes);
        framed.extend_from_slice(b"\r\n");
        self.send_raw(&framed).await
    }

    /// Sends the final chunk.
    pub async fn finish_chunks(&mut self) -> io::Result<()> {
        self.send_raw(b"0\r\n\r\n").await
    }

    /// Sends bytes unchanged.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.traffic.add_bytes(bytes.len());
        self.writer.write_all(bytes).await
    }

    /// Waits until the caller has closed the connection.
    pub async fn caller_disconnected(&mut self) {
        match self.reader.fill_buf().await {
            Ok([]) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Returns the error with which a handler cuts its connection on purpose.
pub fn injected_cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "cut by an injected fault")
}

/// Listens and answers with `handler` until the returned handle is stopped or dropped.
pub async fn serve<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<Handle> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let traffic = Arc::new(HttpTraffic::default());
    let task = tokio::spawn(accept_all(listener, handler, traffic.clone()));
    Ok(Handle {
        address,
        traffic,
        tasks: vec![task],
    })
}

async fn accept_all<H: Handler>(listener: TcpListener, handler: Arc<H>, traffic: Arc<HttpTraffic>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, handler.clone(), traffic.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    traffic: Arc<HttpTraffic>,
) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut responder = Responder {
        reader: BufReader::new(reader),
        writer,
        traffic,
    };
    while let Ok(Some(request)) = read_request(&mut responder).await {
        let closes = request
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if handler.handle(request, &mut responder).await.is_err() || closes {
            return;
        }
    }
}

async fn read_request(responder: &mut Responder) -> io::Result<Option<Request>> {
    let Some(head) = read_head(&mut responder.reader).await? else {
        return Ok(None);
    };
    let mut request = parse_head(&head)?;
    let expects_continue = request
        .header("Expect")
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    if expects_continue {
        responder.send_raw(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let is_chunked = request
        .header("Transfer-Encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    request.body = if is_chunked {
        read_chunks(&mut responder.reader).await?
    } else {
        let length = request
            .header("Content-Length")
            .map_or(Ok(0), str::parse::<usize>)
            .map_err(|_| malformed("Content-Length"))?;
        read_exactly(&mut responder.reader, length).await?
    };
    let traffic = &responder.traffic;
    traffic.requests.fetch_add(1, Ordering::Relaxed);
    traffic.add_bytes(head.len() + request.body.len());
    Ok(Some(request))
}

async fn read_head(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::new();
    loop {
        let read = reader.read_until(b'\n', &mut head).await?;
        if read == 0 && head.is_empty() {
            return Ok(None);
        }
        if read == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(malformed("head"));
        }
        if head.ends_with(b"\r\n\r\n") {
            return Ok(Some(head));
        }
    }
}

fn parse_head(head: &[u8]) -> io::Result<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).map_err(io::Error::other)?;
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Request {
        method: parsed.method.unwrap_or("GET").to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: parsed
            .headers
            .iter()
            .map(|header| {
                let value = String::from_utf8_lossy(header.value).into_owned();
                (header.name.to_owned(), value)
            })
            .collect(),
        body: Vec::new(),
    })
}

async fn read_chunks(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        let digits = line.trim_end().split(';').next().unwrap_or_default();
        let length = usize::from_str_radix(digits, 16).map_err(|_| malformed("chunk length"))?;
        body.extend(read_exactly(reader, length).await?);
        read_exactly(reader, 2).await?;
        if length == 0 {
            return Ok(body);
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(malformed("body length"));
        }
    }
}

async fn read_exactly(reader: &mut BufReader<OwnedReadHalf>, length: usize) -> io::Result<Vec<u8>> {
    if length > MAX_BODY_BYTES {
        return Err(malformed("body length"));
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("malformed {what}"))
}

fn head(status: u16, headers: &[(&str, &str)], framing: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(framing);
    text.push_str("\r\n\r\n");
    text.into_bytes()
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
