//! A stand-in for the platform's store: reads, transactions and feeds as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Message, read};

#[derive(Default)]
struct Rows {
    /// The value and the version of each row, by table and key; a removed row has no value.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    changed: Arc<Condvar>,
    rows: Arc<Mutex<Rows>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(&stream));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.into(), key.into()), (Some(base64(value)), version));
        self.changed.notify_all();
    }

    /// Returns the value of a row; none if there is no such row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.rows.lock().unwrap();
        let (value, _) = rows.rows.get(&(table.into(), key.into()))?;
        value.as_deref().map(unbase64)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Some(request) = read(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let body = body.to_string();
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Value) {
        let (path, query) = request
            .second_word()
            .split_once('?')
            .unwrap_or((request.second_word(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|part| part.split_once('='))
                .find(|(other, _)| *other == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let table = parameter("table");
        match path {
            "/v1/rows-tx" => match serde_json::from_slice(&request.body) {
                Ok(body) => self.transact(&body),
                Err(_) => (400, json!({})),
            },
            "/v1/rows-get" => {
                let from = parameter("from").replace("%00", "\0");
                (200, self.rows_after(&table, 0, &from))
            }
            "/v1/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let has_change = rows
                        .rows
                        .iter()
                        .any(|((other, _), (_, version))| *other == table && *version > after);
                    let left = until.saturating_duration_since(Instant::now());
                    if has_change || left.is_zero() {
                        break;
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
                drop(rows);
                (200, self.rows_after(&table, after, ""))
            }
            _ => (404, json!({})),
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let empty = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&empty);
        let mut rows = self.rows.lock().unwrap();
        let present = |rows: &Rows, row: &Value| {
            let found = rows.rows.get(&(text(row, "table"), text(row, "key")));
            found
                .filter(|(value, _)| value.is_some())
                .map_or(0, |(_, version)| *version)
        };
        let is_expected = list("expected_rev")
            .iter()
            .all(|row| present(&rows, row) == row["ver"].as_u64().unwrap_or(0));
        if !is_expected {
            let found: Vec<Value> = list("expected_rev")
                .iter()
                .map(|row| {
                    let key = (text(row, "table"), text(row, "key"));
                    let (value, version) = rows.rows.get(&key).cloned().unwrap_or_default();
                    json!({"table": key.0, "part": "", "key": key.1, "ver": version,
                           "deleted": value.is_none(), "value": value.unwrap_or_default()})
                })
                .collect();
            return (412, json!({ "rows": found, "ver": rows.version }));
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("writes") {
            let key = (text(row, "table"), text(row, "key"));
            rows.rows.insert(key, (Some(text(row, "value")), version));
        }
        for row in list("remove") {
            let key = (text(row, "table"), text(row, "key"));
            rows.rows.insert(key, (None, version));
        }
        self.changed.notify_all();
        (200, json!({ "ver": version }))
    }

    fn rows_after(&self, table: &str, after: u64, from: &str) -> Value {
        let rows = self.rows.lock().unwrap();
        let found: Vec<Value> = rows
            .rows
            .iter()
            .filter(|((other, key), (value, version))| {
                *other == table
                    && *version > after
                    && key.as_str() >= from
                    && (value.is_some() || after > 0)
            })
            .map(|((table, key), (value, version))| match value {
                Some(value) => {
                    json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
                }
                None => {
                    json!({"table": table, "part": "", "key": key, "ver": version, "deleted": true})
                }
            })
            .collect();
        json!({"rows": found, "has_more": false, "ver": rows.version, "now_s": 1.0})
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for position in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let digit = |letter: u8| match letter {
        b'A'..=b'Z' => u32::from(letter - b'A'),
        b'a'..=b'z' => u32::from(letter - b'a') + 26,
        b'0'..=b'9' => u32::from(letter - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let bits = chunk
            .iter()
            .fold(0, |bits, letter| bits << 6 | digit(*letter));
        let bits = bits << (6 * (4 - chunk.len()));
        bytes.extend_from_slice(&bits.to_be_bytes()[1..chunk.len()]);
    }
    bytes
}
