//! Stand-in for the platform's store: topics of records, with the faults that the platform's
//! documentation names.

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
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
use super::topic::Topic;

/// Topic to which the operator writes.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Topic to which nodes write the states of rollouts.
const STATUS_TOPIC: &str = "keyed.status";

/// Topic to which nodes write the ends of runs of their back ends.
const ENDING_RUN_TOPIC: &str = "keyed.figway-ending-runs";

/// Largest number of keys in one answer.
const PAGE_MAX_COUNT: usize = 500;

/// Copy of the store's topics at one time.
pub struct StoreCopy {
    topics: BTreeMap<String, Topic>,
}

impl StoreCopy {
    /// Returns the copy without a topic, as of a time before its first record.
    pub fn without_topic(mut self, topic: &str) -> Self {
        self.topics.remove(topic);
        self
    }
}

/// Faults that tests inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether requests are answered with 503 and have no effect.
    pub down: bool,
    /// Whether appends take effect but are never answered.
    pub drops_answers: bool,
    /// Whether requests for the topic of ending runs are answered with 503 and have no effect.
    pub ending_runs_down: bool,
    /// Delay before each request is processed, in milliseconds.
    pub slow_ms: u64,
}

/// Store that keeps its topics in memory.
pub struct Store {
    address: RefCell<String>,
    topics: RefCell<BTreeMap<String, Topic>>,
    append_signal: watch::Sender<u64>,
    faults: Cell<StoreFaults>,
    request_count: Cell<u64>,
    append_count: Cell<u64>,
    /// Number of times that the store was restored from a copy, plus 1.
    era: Cell<u64>,
    /// Text that answers name instead of the era, if any.
    wrong_era: RefCell<Option<String>>,
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
            append_signal: watch::Sender::new(0),
            faults: Cell::default(),
            request_count: Cell::new(0),
            append_count: Cell::new(0),
            era: Cell::new(1),
            wrong_era: RefCell::default(),
            phase: RefCell::default(),
        });
        let (address, phase) = serve_on_free_port(store.clone()).await?;
        *store.address.borrow_mut() = address;
        *store.phase.borrow_mut() = Some(phase);
        Ok(store)
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> String {
        self.address.borrow().clone()
    }

    /// Replaces the faults that are injected.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Returns how many requests the store received.
    pub fn request_count(&self) -> u64 {
        self.request_count.get()
    }

    /// Returns how many requests of nodes to append records took effect.
    pub fn append_count(&self) -> u64 {
        self.append_count.get()
    }

    /// Appends a configuration as the operator does. It counts as acknowledged when this returns.
    pub fn publish(&self, config: &Value) {
        self.append_operator_record("config", config.to_string().as_bytes());
    }

    /// Appends a record with any key and value to the operator's topic. The key is at most 255
    /// bytes long.
    pub fn append_operator_record(&self, key: &str, value: &[u8]) {
        self.append_keyed_record(OPERATOR_TOPIC, key, value);
    }

    /// Appends a record to a keyed topic, as any writer may. The key is at most 255 bytes long.
    pub fn append_keyed_record(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }

    /// Orders a rollout of `service` as the operator does.
    pub fn order_rollout(&self, service: &str, version: &str, duration: &str) {
        let order = json!({
            "service": service, "targetVersion": version, "duration": duration,
        });
        let key = format!("rollout/{service}");
        self.append_operator_record(&key, order.to_string().as_bytes());
    }

    /// Returns the states of rollouts that nodes recorded for `service`, as `VERSION STATE`.
    pub fn rollout_states(&self, service: &str) -> Vec<String> {
        let topics = self.topics.borrow();
        let mut states = Vec::new();
        let key = format!("rollout/{service}");
        for record in topics
            .get(STATUS_TOPIC)
            .map_or(&[][..], |topic| &topic.records)
        {
            let (length, rest) = record.split_first().expect("a record has a key");
            let (of, value) = rest.split_at(usize::from(*length));
            if of != key.as_bytes() {
                continue;
            }
            let status: Value = serde_json::from_slice(value).expect("a status is JSON");
            let text = |name: &str| status[name].as_str().unwrap_or("").to_owned();
            states.push(format!("{} {}", text("targetVersion"), text("state")));
        }
        states
    }

    /// Returns the number of runs whose end is recorded.
    pub fn ending_run_count(&self) -> usize {
        let topics = self.topics.borrow();
        topics
            .get(ENDING_RUN_TOPIC)
            .map_or(0, |topic| topic.newest_records().len())
    }

    /// Appends a record of figway's own topics, as a node does that knows the era.
    pub fn append_own_record(&self, topic: &str, body: &str) {
        let appended_at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let stamp = self.era.get() << 48 | appended_at_ms;
        let mut record = stamp.to_be_bytes().to_vec();
        record.extend_from_slice(body.as_bytes());
        self.append(topic, vec![record]);
    }

    /// Returns a copy of all topics.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.topics.borrow().clone(),
        }
    }

    /// Goes back to a copy: records that were appended since are lost, their offsets are given out
    /// again, and the era rises by one. Reads that wait are answered.
    pub fn restore(&self, copy: &StoreCopy) {
        *self.topics.borrow_mut() = copy.topics.clone();
        self.era.set(self.era.get() + 1);
        self.append_signal.send_modify(|count| *count += 1);
    }

    /// Makes answers name `text` as their era, or the true era again.
    pub fn set_wrong_era(&self, text: Option<&str>) {
        *self.wrong_era.borrow_mut() = text.map(str::to_owned);
    }

    /// Drops all records of the operator's topic but the newest configuration, which gets a new offset.
    /// Orders of rollouts can still be read by their keys.
    pub fn truncate_history(&self) {
        let mut topics = self.topics.borrow_mut();
        if let Some(topic) = topics.get_mut(OPERATOR_TOPIC) {
            topic.truncate();
        }
    }

    /// Appends records and returns the offset of the first of them and the topic's end offset.
    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.end_offset();
        topic.records.extend(records);
        let end = topic.end_offset();
        drop(topics);
        self.append_signal.send_modify(|count| *count += 1);
        (offset, end)
    }

    fn end_offset(&self, name: &str) -> u64 {
        self.topics.borrow().get(name).map_or(0, Topic::end_offset)
    }

    async fn answer(&self, request: Request) -> Answer {
        let mut answer = self.answer_without_era(request).await;
        let era = self.era.get().to_string();
        let wrong_era = self.wrong_era.borrow();
        let named_era = wrong_era.as_deref().unwrap_or(&era);
        answer.headers.push("store-era", named_era);
        drop(wrong_era);
        answer
    }

    async fn answer_without_era(&self, request: Request) -> Answer {
        self.request_count.set(self.request_count.get() + 1);
        let faults = self.faults.get();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Answer::of_status(503);
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let name = query_value(query, "topic").unwrap_or("").to_owned();
        if faults.ending_runs_down && name == ENDING_RUN_TOPIC {
            return Answer::of_status(503);
        }
        match path {
            "/log-append" => {
                let as_of = query_value(query, "asOf").and_then(|end| end.parse().ok());
                let end = self.end_offset(&name);
                if as_of.is_some_and(|as_of: u64| as_of != end) {
                    return Answer::of_json(412, json!({ "end": end }).to_string());
                }
                self.append_count.set(self.append_count.get() + 1);
                let (offset, end) = self.append(&name, decode_records(&request.body));
                if faults.drops_answers {
                    std::future::pending::<()>().await;
                }
                Answer::of_json(200, json!({ "offset": offset, "end": end }).to_string())
            }
            "/log-read" => self.read(&name, query).await,
            "/log-newest" => self.newest(&name, query_value(query, "after").unwrap_or("")),
            _ => Answer::of_status(404),
        }
    }

    async fn read(&self, name: &str, query: &str) -> Answer {
        let number = |key| query_value(query, key).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait_until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut append_signal = self.append_signal.subscribe();
        loop {
            if let Some(answer) = self.records_from(name, from, wait_until <= Instant::now()) {
                return answer;
            }
            tokio::select! {
                _ = append_signal.changed() => {}
                () = tokio::time::sleep_until(wait_until.into()) => {}
            }
        }
    }

    /// Returns the answer with the records from offset `from` on, or 410 if they were dropped.
    /// Returns `None` if there are no records yet, unless `allow_empty` is set.
    fn records_from(&self, name: &str, from: u64, allow_empty: bool) -> Option<Answer> {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(name.to_owned()).or_default();
        if from < topic.first_offset || from > topic.end_offset() {
            return Some(Answer::of_json(
                410,
                json!({ "first": topic.first_offset }).to_string(),
            ));
        }
        if from >= topic.end_offset() && !allow_empty {
            return None;
        }
        let mut body = topic.end_offset().to_be_bytes().to_vec();
        body.extend_from_slice(&topic.first_offset.to_be_bytes());
        for record in topic
            .records
            .iter()
            .skip((from - topic.first_offset) as usize)
        {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let mut answer = Answer::of_status(200);
        answer.body = body.into();
        Some(answer)
    }

    /// Returns the answer with the newest record of each key in the topic that follows `after`.
    fn newest(&self, name: &str, after: &str) -> Answer {
        let topics = self.topics.borrow();
        let Some(topic) = topics.get(name) else {
            return Answer::of_json(
                200,
                json!({ "items": [], "hasMore": false, "end": 0 }).to_string(),
            );
        };
        let newest = topic.newest_records();
        let mut following = newest
            .iter()
            .filter(|(key, _)| **key > after.as_bytes())
            .peekable();
        let mut items = Vec::new();
        for (key, (offset, value)) in following.by_ref().take(PAGE_MAX_COUNT) {
            items.push(json!({
                "key": String::from_utf8_lossy(key),
                "value": base64::engine::general_purpose::STANDARD.encode(value),
                "offset": offset,
            }));
        }
        let has_more = following.peek().is_some();
        let body = json!({ "items": items, "hasMore": has_more, "end": topic.end_offset() });
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

/// Returns the value of the first query parameter `key`.
fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            if name == key {
                return Some(value);
            }
        }
    }
    None
}

/// Decodes records, each of which follows its length as a big-endian `u32`.
fn decode_records(body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((length, after_length)) = rest.split_at_checked(4) {
        let length =
            u32::from_be_bytes(length.try_into().expect("the slice has four bytes")) as usize;
        let (record, after_record) = after_length.split_at(length);
        records.push(record.to_vec());
        rest = after_record;
    }
    records
}
