//! Stand-in for the platform's store: topics of one partition, as far as nodes use them.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, Connection, Message};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

pub struct Store {
    pub address: String,
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("an address").to_string();
        let store = Arc::new(Self {
            address,
            topics: Mutex::default(),
            appended: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Some(request) = connection.receive(None) {
                        let bytes = store.handle(&request);
                        if !connection.send(&bytes) {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes the operator's configuration; it is acknowledged when this returns.
    pub fn write_config(&self, config: &str) {
        let mut record = vec![6];
        record.extend_from_slice(b"config");
        record.extend_from_slice(config.as_bytes());
        self.append("keyed.op", vec![record]);
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().expect("no holder panics");
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.extend(records);
        let end = topic.records.len();
        drop(topics);
        self.appended.notify_all();
        (offset, end)
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let era = ("store-era", "1".to_owned());
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        let number = |key: &str| value(key).and_then(|value| value.parse::<usize>().ok());
        let topic = value("topic").unwrap_or_default();
        match path {
            "/log-append" => {
                let end = self
                    .topics
                    .lock()
                    .expect("no holder panics")
                    .get(&topic)
                    .map_or(0, |topic| topic.records.len());
                if number("asOf").is_some_and(|as_of| as_of != end) {
                    return answer(412, &[era], format!("{{\"end\":{end}}}").as_bytes());
                }
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let len =
                        u32::from_be_bytes(rest[..4].try_into().expect("four bytes")) as usize;
                    records.push(rest[4..4 + len].to_vec());
                    rest = &rest[4 + len..];
                }
                let (offset, end) = self.append(&topic, records);
                answer(
                    200,
                    &[era],
                    format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes(),
                )
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0);
                let wait_ms = number("waitMs").unwrap_or(0) as u64;
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let mut topics = self.topics.lock().expect("no holder panics");
                loop {
                    let records = topics
                        .get(&topic)
                        .map_or(&[][..], |topic| &topic.records[..]);
                    let end = records.len();
                    let left = until.saturating_duration_since(Instant::now());
                    if from < end || left.is_zero() {
                        let mut body = (end as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for record in records.iter().skip(from) {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        return answer(200, &[era], &body);
                    }
                    topics = self
                        .appended
                        .wait_timeout(topics, left)
                        .expect("no holder panics")
                        .0;
                }
            }
            "/log-newest" => {
                let topics = self.topics.lock().expect("no holder panics");
                let records = topics
                    .get(&topic)
                    .map_or(&[][..], |topic| &topic.records[..]);
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    newest.insert(key.to_vec(), (offset, value.to_vec()));
                }
                let mut items = Vec::new();
                for (key, (offset, value)) in &newest {
                    items.push(format!(
                        "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        String::from_utf8_lossy(key),
                        base64(value)
                    ));
                }
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                answer(200, &[era], body.as_bytes())
            }
            _ => answer(404, &[era], b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = part
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            if digit > part.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(group >> (18 - 6 * digit) & 63) as usize] as char);
            }
        }
    }
    text
}
