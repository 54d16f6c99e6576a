//! Stand-in of the platform's store: topics of records, with the faults that its pages name.

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use base64::Engine as _;
use figway_http::{
    Answer,
    Handler,
    Request,
    ServerLimits,
    ServerPhase, //
};
use futures::future::LocalBoxFuture;
use serde_json::{
    json,
    Value, //
};
use tokio::sync::watch;

use super::serve_on_free_port;

/// Topic of the operator.
const OPERATOR_TOPIC: &str = "keyed.op";

#[derive(Default)]
struct Topic {
    first: u64,
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Faults that are switched on from outside.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Answers 503 and does nothing.
    pub down: bool,
    /// Appends take effect and are never answered.
    pub drops_answers: bool,
    /// Delays each answer.
    pub slow_ms: u64,
}

/// The store.
pub struct Store {
    address: RefCell<String>,
    topics: RefCell<BTreeMap<String, Topic>>,
    grown: watch::Sender<u64>,
    faults: Cell<StoreFaults>,
    request_count: Cell<u64>,
    phase: RefCell<Option<watch::Sender<ServerPhase>>>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start() -> anyhow::Result<Rc<Self>> {
        let store = Rc::new(Self {
            address: RefCell::default(),
            topics: RefCell::default(),
            grown: watch::Sender::new(0),
            faults: Cell::default(),
            request_count: Cell::new(0),
            phase: RefCell::default(),
        });
        let (address, phase) = serve_on_free_port(store.clone()).await?;
        *store.address.borrow_mut() = address;
        *store.phase.borrow_mut() = Some(phase);
        Ok(store)
    }

    /// Returns where it listens.
    pub fn address(&self) -> String {
        self.address.borrow().clone()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Returns how many calls came.
    pub fn request_count(&self) -> u64 {
        self.request_count.get()
    }

    /// Writes a configuration as the operator does; the return is the acknowledgement.
    pub fn publish(&self, config: &Value) {
        self.append_operator_record("config", config.to_string().as_bytes());
    }

    /// Writes any record of the operator.
    pub fn append_operator_record(&self, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(OPERATOR_TOPIC, vec![record]);
    }

    /// Drops the operator's history, but for the newest record of each key.
    pub fn truncate_history(&self) {
        let mut topics = self.topics.borrow_mut();
        if let Some(topic) = topics.get_mut(OPERATOR_TOPIC) {
            // The newest stays readable by its key; whoever reads on is behind what is kept.
            let newest = topic.records.last().cloned();
            topic.first = topic.end() + 1;
            topic.records.clear();
            topic.records.extend(newest);
        }
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        topic.records.extend(records);
        let end = topic.end();
        drop(topics);
        self.grown.send_modify(|count| *count += 1);
        (offset, end)
    }

    async fn answer(&self, request: Request) -> Answer {
        self.request_count.set(self.request_count.get() + 1);
        let faults = self.faults.get();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Answer::of_status(503);
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let name = value_of(query, "topic").unwrap_or("").to_owned();
        match path {
            "/log-append" => {
                let (offset, end) = self.append(&name, unframe(&request.body));
                if faults.drops_answers {
                    std::future::pending::<()>().await;
                }
                Answer::of_json(200, json!({ "offset": offset, "end": end }).to_string())
            }
            "/log-read" => self.read(&name, query).await,
            "/log-newest" => self.newest(&name),
            _ => Answer::of_status(404),
        }
    }

    async fn read(&self, name: &str, query: &str) -> Answer {
        let number = |key| value_of(query, key).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait_until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut grown = self.grown.subscribe();
        loop {
            if let Some(answer) = self.records_from(name, from, wait_until <= Instant::now()) {
                return answer;
            }
            tokio::select! {
                _ = grown.changed() => {}
                () = tokio::time::sleep_until(wait_until.into()) => {}
            }
        }
    }

    fn records_from(&self, name: &str, from: u64, also_empty: bool) -> Option<Answer> {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(name.to_owned()).or_default();
        if from < topic.first {
            return Some(Answer::of_json(
                410,
                json!({ "first": topic.first }).to_string(),
            ));
        }
        if from >= topic.end() && !also_empty {
            return None;
        }
        let mut body = topic.end().to_be_bytes().to_vec();
        body.extend_from_slice(&topic.first.to_be_bytes());
        for record in topic.records.iter().skip((from - topic.first) as usize) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let mut answer = Answer::of_status(200);
        answer.body = body.into();
        Some(answer)
    }

    fn newest(&self, name: &str) -> Answer {
        let topics = self.topics.borrow();
        let mut items = BTreeMap::new();
        let mut end = 0;
        if let Some(topic) = topics.get(name) {
            end = topic.end();
            for (index, record) in topic.records.iter().enumerate() {
                let (length, rest) = record.split_first().expect("records have a key");
                let (key, value) = rest.split_at(usize::from(*length));
                let value = base64::engine::general_purpose::STANDARD.encode(value);
                let key = String::from_utf8_lossy(key).into_owned();
                let offset = topic.first + index as u64;
                items.insert(
                    key.clone(),
                    json!({ "key": key, "value": value, "offset": offset }),
                );
            }
        }
        let items: Vec<Value> = items.into_values().collect();
        let body = json!({ "items": items, "hasMore": false, "end": end });
        Answer::of_json(200, body.to_string())
    }
}

impl Handler for Store {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Answer> {
        Box::pin(self.answer(request))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 4 * 1_024 * 1_024,
            request_max_ms: 5_000,
            idle_max_ms: 60_000,
        }
    }
}

fn value_of<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            if name == key {
                return Some(value);
            }
        }
    }
    None
}

fn unframe(body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((length, behind)) = rest.split_at_checked(4) {
        let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
        let (record, behind) = behind.split_at(length);
        records.push(record.to_vec());
        rest = behind;
    }
    records
}
