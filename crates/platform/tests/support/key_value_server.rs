//! In-memory key-value service for tests with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Fault injected into a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)] // No test file uses all items.
pub enum Fault {
    None,
    /// The connection closes before the request takes effect.
    CutBefore,
    /// The request takes effect and the connection closes without an answer.
    CutAfter,
    /// Like [`Fault::CutAfter`], and all later requests fail before they take effect.
    CutAfterThenDown,
    RateLimited,
    /// The request takes effect, and the answer is malformed.
    Garbage,
}

/// Base64 value and revision by key.
pub type Records = BTreeMap<String, (String, u64)>;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    records: Records,
    /// Copy of the records from which ranges are answered, if set.
    lagging: Option<Records>,
    /// Faults of the next writes; `always` applies after them.
    write_faults: VecDeque<Fault>,
    always: Option<Fault>,
    write_count: usize,
}

/// Running service; it stops when dropped.
pub struct KeyValueServer {
    pub url: String,
    state: Arc<Mutex<State>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for KeyValueServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[allow(dead_code)] // No test file uses all items.
impl KeyValueServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Self { url, state, task }
    }

    /// Sets the fault of all requests.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.state.lock().unwrap().always = fault;
    }

    /// Queues a fault for the next write.
    pub fn queue_write_fault(&self, fault: Fault) {
        self.state.lock().unwrap().write_faults.push_back(fault);
    }

    /// Returns the current records.
    pub fn snapshot(&self) -> Records {
        self.state.lock().unwrap().records.clone()
    }

    /// Answers ranges from a copy of the current records from now on. Transactions are not affected.
    pub fn freeze_ranges(&self) {
        let mut state = self.state.lock().unwrap();
        state.lagging = Some(state.records.clone());
    }

    /// Restores earlier records, like a service that lost its latest changes.
    pub fn restore(&self, records: Records) {
        self.state.lock().unwrap().records = records;
    }

    /// Returns the number of received writes, including failed ones.
    pub fn write_count(&self) -> usize {
        self.state.lock().unwrap().write_count
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some((path, body)) = read_request(&mut stream).await {
        let is_read = path == "/v3/kv/range" || body["success"].is_null() && path == "/v3/kv/txn";
        let is_write = !is_read;
        let answer = {
            let mut state = state.lock().unwrap();
            let fault = state.next_fault(is_write);
            match fault {
                Fault::CutBefore => None,
                Fault::RateLimited => Some((429, "{}".to_owned())),
                Fault::Garbage => {
                    state.carry_out(&path, &body);
                    Some((200, "<html>".to_owned()))
                }
                Fault::CutAfter => {
                    state.carry_out(&path, &body);
                    None
                }
                Fault::CutAfterThenDown => {
                    state.carry_out(&path, &body);
                    state.always = Some(Fault::CutBefore);
                    None
                }
                Fault::None => Some((200, state.carry_out(&path, &body).to_string())),
            }
        };
        let Some((status, text)) = answer else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        let _ = stream.write_all((head + &text).as_bytes()).await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, Value)> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let length = head.split("content-length: ").nth(1)?;
    let length: usize = length.split("\r\n").next()?.parse().ok()?;
    while bytes.len() < head_end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let path = head.split(' ').nth(1)?.to_owned();
    Some((path, serde_json::from_slice(&bytes[head_end..]).ok()?))
}

impl State {
    fn next_fault(&mut self, is_write: bool) -> Fault {
        if is_write {
            self.write_count += 1;
            if let Some(fault) = self.write_faults.pop_front() {
                return fault;
            }
        }
        self.always.unwrap_or(Fault::None)
    }

    fn carry_out(&mut self, path: &str, body: &Value) -> Value {
        match path {
            "/v3/kv/range" => self.range(self.lagging.as_ref().unwrap_or(&self.records), body),
            "/v3/kv/put" => self.put(body),
            _ => self.transact(body),
        }
    }

    fn range(&self, records: &Records, body: &Value) -> Value {
        let text = |value: &Value| STANDARD.decode(value.as_str().unwrap()).unwrap();
        let key = text(&body["key"]);
        let end = (!body["range_end"].is_null()).then(|| text(&body["range_end"]));
        let matches = |name: &[u8]| match &end {
            None => name == key,
            Some(end) => name >= &key[..] && name < &end[..],
        };
        let found = records.iter().filter(|(name, _)| matches(name.as_bytes()));
        let kvs: Vec<Value> = found
            .map(|(name, (value, revision))| {
                json!({"key": STANDARD.encode(name), "value": value, "mod_revision": revision.to_string()})
            })
            .collect();
        json!({"header": self.header(), "kvs": kvs})
    }

    fn put(&mut self, body: &Value) -> Value {
        self.revision += 1;
        let key = STANDARD.decode(body["key"].as_str().unwrap()).unwrap();
        let value = body["value"].as_str().unwrap().to_owned();
        self.records
            .insert(String::from_utf8(key).unwrap(), (value, self.revision));
        json!({"header": self.header()})
    }

    fn transact(&mut self, body: &Value) -> Value {
        let compare = &body["compare"][0];
        let expected = compare["mod_revision"].as_str().unwrap();
        let current = self.range(&self.records, &json!({"key": compare["key"]}));
        let found = current["kvs"][0]["mod_revision"].as_str().unwrap_or("0");
        if found != expected {
            return json!({"header": self.header(), "responses": [{"response_range": current}]});
        }
        self.put(&body["success"][0]["request_put"]);
        json!({"header": self.header(), "succeeded": true, "responses": [{"response_put": {}}]})
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }
}
