//! The small deployment that all cases use: the machines, zones, services and settings of the sheet of
//! armor-rencontres.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::{Backend, OpenFlows, Openings, name_of};
use crate::balancer::Balancer;
use crate::client::ClientHandle;
use crate::record::Record;
use crate::router::Router;
use crate::site::{Site, ZONES};
use crate::store::Store;

/// Balancers with their zones, as on the sheet.
const BALANCERS: [(u8, usize); 8] =
    [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1), (6, 1), (7, 2), (8, 2)];

/// Zones of the backends of `rencontre-core` (5, 5, 4) and of `photo-store` (2, 1, 1), as on the
/// sheet. Backends are numbered from 1 on.
const CORE_BACKENDS: [usize; 14] = [0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2];
const PHOTO_BACKENDS: [usize; 4] = [0, 0, 1, 2];

/// Number of the only backend of `photo-store` in `quimper-b`.
pub const PHOTO_BACKEND: u8 = 17;

/// Balancers that the settings of the first ones name.
const SEEDS: [u8; 3] = [1, 4, 7];

const READY_WITHIN: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub record: Record,
    pub site: Site,
    pub store: Store,
    pub router: Router,
    pub open_flows: OpenFlows,
    pub openings: Openings,
    /// The running balancers with their numbers.
    pub balancers: Vec<(u8, Balancer)>,
    /// Folder of their settings and logs.
    pub logs: PathBuf,
}

impl Deployment {
    /// Starts everything but the clients, and waits until all balancers are in.
    pub fn start(folder: &Path, has_trouble: bool, born: Option<u64>) -> Result<Self, String> {
        let record = Record::create(folder)?;
        let site = Site::choose()?;
        record.say(&format!("addresses: {site:?}; trouble: {has_trouble}"));
        let store = Store::start(&site, record.clone())?;
        write_configuration(&site, &store, 7, 0);
        for number in 1..=18 {
            store.put("servers", &name_of(number), &entry_of(&site, number, born, "ready"));
        }
        let open_flows: OpenFlows = Arc::new(Mutex::new(HashMap::new()));
        let openings = Openings::default();
        for number in 1..=18 {
            let (open_flows, openings) = (open_flows.clone(), openings.clone());
            Backend::start(site, number, open_flows, openings, record.clone())?;
        }

        let logs = std::env::temp_dir().join(format!("valvestage-review-{}", std::process::id()));
        std::fs::create_dir_all(&logs).map_err(|error| error.to_string())?;
        let nodes = BALANCERS.map(|(number, zone)| (number, ZONES[zone]));
        let start = |number: u8, zone: &str| {
            Balancer::start(&site, number, zone, &logs, SEEDS, true).map(|started| (number, started))
        };
        let started = nodes.iter().map(|(number, zone)| start(*number, zone));
        let balancers = started.collect::<Result<Vec<_>, _>>()?;
        let router = Router::start(site, &nodes);
        let began = Instant::now();
        while !router.all_are_in() {
            if began.elapsed() > READY_WITHIN {
                return Err("the balancers did not become ready".to_owned());
            }
            sleep(Duration::from_millis(50));
        }
        record.say("all balancers are in");
        Ok(Self { record, site, store, router, open_flows, openings, balancers, logs })
    }

    /// Judges the rule FLOW by the resets at the `judged` clients, and ends the run. Returns whether
    /// the rule held.
    pub fn finish(self, judged: &[ClientHandle], others: &[ClientHandle]) -> Result<bool, String> {
        let mut is_broken = false;
        {
            let open = self.open_flows.lock().unwrap();
            for reset in judged.iter().flat_map(|client| client.resets.lock().unwrap().clone()) {
                let backend = open.get(&reset.flow);
                self.record.say(&format!(
                    "client {} lost the open flow {:?}, idle for {} ms, by a reset of the system; it is {}",
                    reset.client,
                    reset.flow.0,
                    reset.idle.as_millis(),
                    backend.map_or("not open at a backend".to_owned(), |number| format!(
                        "still open at backend {number}"
                    )),
                ));
                is_broken |= backend.is_some();
            }
        }
        let clients: Vec<&ClientHandle> = judged.iter().chain(others).collect();
        self.end("FLOW", is_broken, &clients)
    }

    /// Ends the balancers and records the verdict. Returns whether the rule held.
    pub fn end(
        mut self,
        rule: &str,
        is_broken: bool,
        clients: &[&ClientHandle],
    ) -> Result<bool, String> {
        let counted = clients.iter().map(|client| *client.answers.lock().unwrap());
        let (sent, answered) = counted.fold((0, 0), |sum, more| (sum.0 + more.0, sum.1 + more.1));
        self.record.say(&format!("requests: {sent} sent, {answered} answered"));
        let own_ends = self.balancers.iter_mut().filter_map(|(_, b)| b.has_ended().then_some(())).count();
        self.record.say(&format!("balancers that ended by themselves: {own_ends}"));
        self.balancers.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.logs);
        }
        self.record.say(&format!("{rule} {}", if is_broken { "is broken" } else { "holds" }));
        self.record.flush();
        if sent == 0 || answered == 0 {
            return Err("no traffic".to_owned());
        }
        Ok(!is_broken)
    }
}

/// Returns the entry that a backend writes; `born` is the time of its start.
pub fn entry_of(site: &Site, number: u8, born: Option<u64>, state: &str) -> String {
    let place = usize::from(number) - 1;
    let (service, zone) = match place.checked_sub(CORE_BACKENDS.len()) {
        None => ("rencontre-core", CORE_BACKENDS[place]),
        Some(place) => ("photo-store", PHOTO_BACKENDS[place]),
    };
    let born = born.map_or(String::new(), |born| format!(",\"born\":{born}"));

    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\
         \"version\":\"v1\",\"slots\":3,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":4{born}}}",
        site.backend(number),
        site.backend_port(),
        ZONES[zone],
    )
}

/// Port of the routes.
pub const ROUTE_PORT: u16 = 8443;

/// Writes a configuration with `added` further routes to `rencontre-core`: route 3 of the site at the
/// ports after [`ROUTE_PORT`].
pub fn write_configuration(site: &Site, store: &Store, version: u32, added: u16) {
    let route = |name: &str, number: u8, port: u16, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"path_prefix\":\"/{port}/\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\
             \"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}",
            site.route(number)
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };

    let mut routes = vec![
        route("r-feed", 1, ROUTE_PORT, "rencontre-core"),
        route("r-photo", 2, ROUTE_PORT, "photo-store"),
    ];
    routes.extend(
        (1..=added).map(|n| route(&format!("r-{n}"), 3, ROUTE_PORT + n, "rencontre-core")),
    );
    store.put(
        "config",
        "main",
        &format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            service("rencontre-core"),
            service("photo-store"),
        ),
    );
}
