//! The platform's store: lists and watches of objects over HTTP/1.1. It loses nothing and answers
//! each call 4 ms after it came.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::Site;

const ANSWER_AFTER: Duration = Duration::from_millis(4);

struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    changes: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(site: &Site, record: Record) -> Result<Self, String> {
        let listener = TcpListener::bind((site.store(), site.store_port()))
            .map_err(|error| format!("store: {error}"))?;
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };

        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || served.serve(stream, &record));
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator or a backend does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"create_rev\":{revision},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.changes.push(Change { revision, kind: kind.to_owned(), object, is_deleted: false });
        changed.notify_all();
    }

    /// Writes an object unless it already has this value. Returns whether it was written.
    pub fn put_if_changed(&self, kind: &str, name: &str, spec: &str) -> bool {
        let is_same = {
            let state = self.state.0.lock().unwrap();
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            object.is_some_and(|object| object.contains(&format!("\"spec\":{spec},\"status\"")))
        };
        if !is_same {
            self.put(kind, name, spec);
        }
        !is_same
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        let _ = writer.set_nodelay(true);

        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).ok()? == 0 {
                return None;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).ok()? == 0 {
                    return None;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = request.split(' ').nth(1).unwrap_or("").to_owned();
            thread::sleep(ANSWER_AFTER);
            let body = self.answer(&target);
            record.line(&format!("store {target}: {} bytes", body.len()));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, target: &str) -> String {
        let path = target.strip_prefix("/-/objects/").unwrap_or("");
        let (kind, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };

        match value("watch") {
            Some(revision) => self.watch(kind, revision, value("wait_ms").unwrap_or(0)),
            None => self.list(kind),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();

        format!(
            "{{\"items\":[{}],\"more_pages\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();

        loop {
            let news = state.changes.iter();
            let news = news.filter(|change| change.kind == kind && change.revision > revision);
            let events: Vec<String> = news
                .map(|change| {
                    format!("{{\"tombstone\":{},\"object\":{}}}", change.is_deleted, change.object)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
