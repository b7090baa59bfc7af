//! Case: the link of one client is full for a moment. Do the flows of the others stay?

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::{Backend, OpenFlows, name_of};
use crate::balancer::Balancer;
use crate::client::{Client, ClientHandle, ClientOptions};
use crate::record::Record;
use crate::router::Router;
use crate::site::{Site, ZONES};
use crate::store::Store;

/// Balancers of each zone, as on the sheet.
const BALANCERS: [(u8, usize); 8] =
    [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1), (6, 1), (7, 2), (8, 2)];

/// Backends of `rencontre-core` (5, 5, 4) and of `photo-store` (2, 1, 1), as on the sheet.
const CORE_BACKENDS: [usize; 14] = [0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2];
const PHOTO_BACKENDS: [usize; 4] = [0, 0, 1, 2];

/// Zone of the clients; `photo-store` has one backend there.
const CLIENT_ZONE: &str = ZONES[1];

/// The client whose link is full at times, with the flows of several users.
const BUSY_CLIENT: u8 = 100;
const BUSY_FLOWS: u16 = 6;

/// The other clients, with one long flow each.
const QUIET_CLIENTS: u8 = 12;

const READY_WITHIN: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(12);
const EVENTS: u32 = 8;
const EVENT_EVERY: Duration = Duration::from_secs(7);
const LINK_IS_FULL_FOR: Duration = Duration::from_millis(1_000);

/// Plays the case. Returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let site = Site::choose()?;
    record.say(&format!("addresses: {site:?}; trouble: {has_trouble}"));
    let store = Store::start(&site, record.clone())?;
    write_objects(&site, &store);
    let open_flows: OpenFlows = Arc::new(Mutex::new(HashMap::new()));
    for number in 1..=18 {
        Backend::start(site, number, open_flows.clone(), record.clone())?;
    }

    let logs = std::env::temp_dir().join(format!("valvestage-review-{}", std::process::id()));
    std::fs::create_dir_all(&logs).map_err(|error| error.to_string())?;
    let nodes = BALANCERS.map(|(number, zone)| (number, ZONES[zone]));
    let started = nodes.iter().map(|(number, zone)| Balancer::start(&site, *number, zone, &logs));
    let mut balancers = started.collect::<Result<Vec<_>, _>>()?;
    let router = Router::start(site, &nodes);
    let began = Instant::now();
    while !router.all_are_in() {
        if began.elapsed() > READY_WITHIN {
            return Err("the balancers did not become ready".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    record.say("all balancers are in");

    let (busy, quiet) = start_clients(site, &router, &record)?;
    sleep(WARM_UP);
    for _ in 0..EVENTS {
        if has_trouble {
            record.say("the link to the busy client is full");
            busy.is_downlink_full.store(true, Ordering::Relaxed);
        }
        sleep(LINK_IS_FULL_FOR);
        busy.is_downlink_full.store(false, Ordering::Relaxed);
        sleep(EVENT_EVERY - LINK_IS_FULL_FOR);
    }

    let mut is_broken = false;
    let open = open_flows.lock().unwrap();
    for reset in quiet.iter().flat_map(|client| client.resets.lock().unwrap().clone()) {
        let backend = open.get(&reset.flow);
        record.say(&format!(
            "client {} lost the open flow {:?}, idle for {} ms, by a reset of the system; it is {}",
            reset.client,
            reset.flow.0,
            reset.idle.as_millis(),
            backend.map_or("not open at a backend".to_owned(), |n| format!("open at backend {n}")),
        ));
        is_broken |= backend.is_some();
    }
    let (sent, answered) = quiet.iter().chain([&busy]).fold((0, 0), |(sent, answered), client| {
        let (more, got) = *client.answers.lock().unwrap();
        (sent + more, answered + got)
    });
    record.say(&format!("requests: {sent} sent, {answered} answered"));
    let own_ends = balancers.iter_mut().filter_map(|b| b.has_ended().then_some(())).count();
    record.say(&format!("balancers that ended by themselves: {own_ends}"));
    drop(balancers);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    let verdict = if is_broken { "FLOW is broken" } else { "FLOW holds" };
    record.say(verdict);
    record.flush();
    if sent == 0 || answered == 0 {
        return Err("no traffic".to_owned());
    }
    Ok(!is_broken)
}

fn write_objects(site: &Site, store: &Store) {
    let route = |name: &str, number: u8, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"path_prefix\":\"/8443/\",\
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
    store.put(
        "config",
        "main",
        &format!(
            "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            route("r-feed", 1, "rencontre-core"),
            route("r-photo", 2, "photo-store"),
            service("rencontre-core"),
            service("photo-store"),
        ),
    );

    let core = CORE_BACKENDS.iter().map(|zone| ("rencontre-core", *zone));
    let photo = PHOTO_BACKENDS.iter().map(|zone| ("photo-store", *zone));
    for (number, (service, zone)) in (1_u8..).zip(core.chain(photo)) {
        store.put(
            "servers",
            &name_of(number),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":4}}",
                site.backend(number),
                site.backend_port(),
                ZONES[zone],
            ),
        );
    }
}

fn start_clients(
    site: Site,
    router: &Router,
    record: &Record,
) -> Result<(ClientHandle, Vec<ClientHandle>), String> {
    let seconds = Duration::from_secs_f64;
    let start = |number, flows, pause| {
        let route = (site.route(2), 8443);
        let options = ClientOptions { number, zone: CLIENT_ZONE, flows, pause, route };
        Client::start(site, options, router.clone(), record.clone())
    };

    let busy = start(BUSY_CLIENT, BUSY_FLOWS, (seconds(0.5), seconds(1.0)))?;
    let quiet = (1..=QUIET_CLIENTS).map(|number| start(number, 1, (seconds(8.0), seconds(5.0))));
    Ok((busy, quiet.collect::<Result<Vec<_>, _>>()?))
}
