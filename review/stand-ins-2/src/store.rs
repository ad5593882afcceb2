//! A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::message::{Message, read};

/// The most rows in an answer.
const PAGE_SIZE: usize = 500;

#[derive(Default)]
struct Rows {
    /// The value, as base64 text, and the version of each row, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// The rows that were dropped, with the version of the transaction that did it.
    dropped: BTreeMap<(String, String), u64>,
    version: u64,
}

/// The store of one fleet. Its tables have only the empty part.
#[derive(Clone, Default)]
pub struct Store {
    changed: Arc<Condvar>,
    /// Whether the store answers each call with 503.
    pub is_down: Arc<AtomicBool>,
    rows: Arc<Mutex<Rows>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (base64(value), rows.version);
        rows.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = if self.is_down.load(Ordering::SeqCst) {
                (503, json!({}))
            } else {
                self.answer(&request).unwrap_or((400, json!({})))
            };
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut writer = stream;
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, Value)> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts
                .find(|(other, _)| *other == name)
                .map(|(_, value)| decode_percent(value))
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/v1/rows-tx" => self.transact(&serde_json::from_slice(&request.body).ok()?),
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let from = parameter("from").unwrap_or_default();
                let mut found = rows.after(&table, 0);
                found.retain(|row| {
                    row["key"].as_str().unwrap_or_default() >= from.as_str()
                        && row.get("deleted").is_none()
                });
                let has_more = found.len() > PAGE_SIZE;
                found.truncate(PAGE_SIZE);
                Some((
                    200,
                    json!({"rows": found, "has_more": has_more, "ver": rows.version, "now_s": now_s()}),
                ))
            }
            "/v1/rows-feed" => {
                let after = parameter("after")?.parse().ok()?;
                let wait_ms = parameter("wait_ms")?.parse().ok()?;
                let rows = self.rows.lock().unwrap();
                let has_no_change = |rows: &mut Rows| {
                    !self.is_down.load(Ordering::SeqCst) && rows.after(&table, after).is_empty()
                };
                let wait = Duration::from_millis(wait_ms);
                let (rows, _) = self
                    .changed
                    .wait_timeout_while(rows, wait, has_no_change)
                    .ok()?;
                if self.is_down.load(Ordering::SeqCst) {
                    return Some((503, json!({})));
                }
                let found = rows.after(&table, after);
                Some((
                    200,
                    json!({"rows": found, "ver": rows.version, "now_s": now_s()}),
                ))
            }
            _ => Some((404, json!({}))),
        }
    }

    fn transact(&self, body: &Value) -> Option<(u16, Value)> {
        let name = |row: &Value| {
            let text = |field: &str| row[field].as_str().map(str::to_owned);
            Some((text("table")?, text("key")?))
        };
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let mut rows = self.rows.lock().unwrap();
        let mut present = Vec::new();
        let mut is_expected = true;
        for expected in list("expected_rev") {
            let name = name(&expected)?;
            let row = rows.rows.get(&name);
            let version = row.map_or(0, |(_, version)| *version);
            is_expected &= version == expected["ver"].as_u64()?;
            let value = row.map(|(value, _)| value.clone()).unwrap_or_default();
            present.push(
                json!({"table": name.0, "part": "", "key": name.1, "value": value, "ver": version}),
            );
        }
        if !is_expected {
            return Some((
                412,
                json!({"rows": present, "ver": rows.version, "now_s": now_s()}),
            ));
        }
        rows.version += 1;
        let version = rows.version;
        for write in list("writes") {
            let row = (write["value"].as_str()?.to_owned(), version);
            rows.dropped.remove(&name(&write)?);
            rows.rows.insert(name(&write)?, row);
        }
        for removed in list("remove") {
            if rows.rows.remove(&name(&removed)?).is_some() {
                rows.dropped.insert(name(&removed)?, version);
            }
        }
        self.changed.notify_all();
        Some((200, json!({"ver": version, "now_s": now_s()})))
    }
}

impl Rows {
    /// Returns the rows of a table that changed after a version, in the order of their keys.
    fn after(&self, table: &str, after: u64) -> Vec<Value> {
        let present = self
            .rows
            .iter()
            .filter(|((other, _), (_, version))| other == table && *version > after);
        let present = present.map(|((table, key), (value, version))| {
            json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
        });
        let dropped = self
            .dropped
            .iter()
            .filter(|((other, _), version)| other == table && **version > after);
        let dropped = dropped.map(|((table, key), version)| {
            json!({"table": table, "part": "", "key": key, "value": "", "ver": version, "deleted": true})
        });
        present.chain(dropped).collect()
    }
}

fn now_s() -> f64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        rest = after;
        let digits = rest.get(..2).filter(|_| first == b'%');
        let decoded = digits
            .and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        match decoded {
            Some(byte) => {
                bytes.push(byte);
                rest = &rest[2..];
            }
            None => bytes.push(first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(char::from(
                    LETTERS[(bits >> (18 - 6 * position)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
