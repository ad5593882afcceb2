//! A stand-in for the platform's store: rows, transactions and feeds, without any disruption.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read},
    json::{Json, base64, quoted},
};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    /// The value as base64 and the version of each row, by table and key; dropped rows have no value.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// The store of one case.
#[derive(Clone)]
pub struct Store {
    changed: Arc<Condvar>,
    rows: Arc<Mutex<Rows>>,
    started_at: Instant,
}

impl Store {
    /// Starts a store behind a listening socket.
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            changed: Arc::default(),
            rows: Arc::default(),
            started_at: Instant::now(),
        };
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
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (Some(base64(value.as_bytes())), rows.version);
        rows.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read(&mut reader) {
            let (status, body) = self.answer(&request);
            // The time that the store takes for an answer.
            thread::sleep(Duration::from_millis(4));
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

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            let found = parts.find(|(other, _)| *other == name);
            found.map_or(String::new(), |(_, value)| decoded(value))
        };
        match path {
            "/v1/rows-tx" => {
                let body = std::str::from_utf8(&request.body).unwrap_or_default();
                match Json::parse(body) {
                    Some(body) => self.transact(&body),
                    None => (400, "{}".into()),
                }
            }
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let from = parameter("from");
                let table = parameter("table");
                (
                    200,
                    self.listed(&rows, |key, value, _| {
                        key.0 == table && key.1 >= from && value.is_some()
                    }),
                )
            }
            "/v1/rows-feed" => {
                let table = parameter("table");
                let after: u64 = parameter("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or_default());
                let is_news =
                    |key: &Key, _: &Option<String>, version: u64| key.0 == table && version > after;
                let rows = self.rows.lock().unwrap();
                let (rows, _) = self
                    .changed
                    .wait_timeout_while(rows, wait, |rows| {
                        !rows
                            .rows
                            .iter()
                            .any(|(key, (value, version))| is_news(key, value, *version))
                    })
                    .unwrap();
                (200, self.listed(&rows, is_news))
            }
            _ => (404, "{}".into()),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let key_of = |row: &Json| (row.text("table"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let expected = body.list("expected_rev");
        let is_expected = expected.iter().all(|row| {
            let known = rows.rows.get(&key_of(row));
            let version = known.map_or(0, |(value, version)| match value {
                Some(_) => *version,
                None => 0,
            });
            version == row.number("ver")
        });
        if !is_expected {
            let keys: Vec<Key> = expected.iter().map(key_of).collect();
            let present = self.listed(&rows, |key, _, _| keys.contains(key));
            return (412, present);
        }
        rows.version += 1;
        let version = rows.version;
        for write in body.list("writes") {
            let row = (Some(write.text("value")), version);
            rows.rows.insert(key_of(&write), row);
        }
        for removed in body.list("remove") {
            rows.rows.insert(key_of(&removed), (None, version));
        }
        self.changed.notify_all();
        let now_s = self.started_at.elapsed().as_secs_f64();
        (200, format!("{{\"ver\":{version},\"now_s\":{now_s:.3}}}"))
    }

    fn listed(
        &self,
        rows: &Rows,
        is_listed: impl Fn(&Key, &Option<String>, u64) -> bool,
    ) -> String {
        let mut listed: Vec<(u64, String)> = Vec::new();
        for (key, (value, version)) in &rows.rows {
            if !is_listed(key, value, *version) {
                continue;
            }
            let (table, name) = (quoted(&key.0), quoted(&key.1));
            let end = match value {
                Some(value) => format!("\"value\":{}", quoted(value)),
                None => "\"deleted\":true".into(),
            };
            listed.push((
                *version,
                format!(
                    "{{\"table\":{table},\"part\":\"\",\"key\":{name},\"ver\":{version},{end}}}"
                ),
            ));
        }
        let texts: Vec<String> = listed.into_iter().map(|(_, text)| text).collect();
        let now_s = self.started_at.elapsed().as_secs_f64();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_s\":{now_s:.3}}}",
            texts.join(","),
            rows.version
        )
    }
}

/// Decodes the percent-encoding of a query's value.
fn decoded(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or_default());
    }
    String::from_utf8(bytes).unwrap_or_default()
}
