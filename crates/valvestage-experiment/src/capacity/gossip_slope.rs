//! Bytes, processor time and propagation delay of heartbeats, by the number of balancers.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use valvestage_core::ids::BalancerId;
use valvestage_policy::membership::{
    HeartbeatMessage, HeartbeatOptions, HeartbeatTable, PeerRecord, PeerState,
};

use crate::deployment::{start_time, zone_name};
use crate::table::Table;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Overhead in bytes of a call in addition to the message: framing, tarpc's header and MAC. This is
/// the measured size of an empty call.
const CALL_OVERHEAD_BYTES: usize = 75;

const ROUNDS: u32 = 200;

/// Rounds that are not measured, in which all balancers get to know each other.
const WARM_UP_ROUNDS: u32 = 80;

/// Prints the cost of heartbeats and the time in which a change spreads, by number of balancers.
pub fn print_table() {
    let mut table = Table::new(&[
        "balancers",
        "bytes sent a second, each",
        "processor, percent of a core, each",
        "oldest heartbeat known, s",
        "bytes of memory, each",
        "a change is in force on all after, ms",
    ]);

    for balancers in [8, 60, 240, 420] {
        let slope = measure(balancers);
        table.add_row(&[
            balancers.to_string(),
            format!("{:.0}", slope.bytes_per_second),
            format!("{:.3}", slope.core_percent),
            format!("{:.1}", slope.max_lag.as_secs_f64()),
            format!("{}", balancers as usize * std::mem::size_of::<PeerRecord>()),
            slope.propagation.as_millis().to_string(),
        ]);
    }
    table.print("Heartbeats every 300 ms");
}

struct GossipSlope {
    bytes_per_second: f64,
    core_percent: f64,
    max_lag: Duration,
    propagation: Duration,
}

fn record(id: BalancerId) -> PeerRecord {
    let [_, _, middle, low] = id.to_be_bytes();
    let address = SocketAddr::from(([10, 200, middle, low], 9_000));

    PeerRecord {
        id,
        zone: zone_name(id as usize % 7),
        data_address: address,
        peer_address: address,
        started_ms: 1_800_000_000_000 + u64::from(id),
        revision: 1,
        heartbeat_count: 0,
        state: PeerState::Serving,
        lease_epoch: 1_800_000_000_000,
        configuration: 430,
        owner_map: 431,
        token_keys: 2,
    }
}

fn measure(balancers: u32) -> GossipSlope {
    // The long timeout keeps balancers from being declared dead: the age of the known heartbeats is
    // measured.
    let options =
        HeartbeatOptions { dead_after: Duration::from_secs(3_600), ..HeartbeatOptions::default() };
    let mut now = start_time();
    let mut tables: Vec<HeartbeatTable> = (0..balancers)
        .map(|id| {
            let seeds = (0..balancers).map(|peer| PeerRecord { started_ms: 0, ..record(peer) });
            HeartbeatTable::new(options, record(id), seeds, now)
        })
        .collect();

    let (mut bytes, mut spent) = (0, Duration::ZERO);
    let mut max_lag = Duration::ZERO;
    for round in 0..ROUNDS {
        now += HEARTBEAT_INTERVAL;
        if round == WARM_UP_ROUNDS {
            (bytes, spent) = (0, Duration::ZERO);
        }
        for from in 0..tables.len() {
            exchange_heartbeats(&mut tables, from, now, false, &mut bytes, &mut spent);
        }

        if round >= WARM_UP_ROUNDS {
            let lag = |table: &HeartbeatTable| heartbeat_lag(table, &tables);
            max_lag = max_lag.max(tables.iter().step_by(7).map(lag).max().unwrap_or_default());
        }
    }

    let seconds = (HEARTBEAT_INTERVAL * (ROUNDS - WARM_UP_ROUNDS)).as_secs_f64();
    let balancer_count = f64::from(balancers);
    #[allow(clippy::cast_precision_loss)]
    let bytes_per_second = bytes as f64 / seconds / balancer_count;
    GossipSlope {
        bytes_per_second,
        core_percent: 100.0 * spent.as_secs_f64() / seconds / balancer_count,
        max_lag,
        propagation: propagation_time(&mut tables, now),
    }
}

/// Gives one balancer a new configuration, and returns the time until all balancers have it. A
/// balancer that learns of the new version fetches it and notifies others in its next step, as the
/// control policy does.
fn propagation_time(tables: &mut [HeartbeatTable], from: SystemTime) -> Duration {
    const STEP: Duration = Duration::from_millis(50);
    const STEPS_PER_INTERVAL: usize = 6;
    const NEW_VERSION: u64 = 431;
    let mut has_update = vec![false; tables.len()];
    tables[0].set_versions(NEW_VERSION, NEW_VERSION, 2);
    has_update[0] = true;

    for step in 0.. {
        let now = from + STEP * step;
        for (index, has_update) in has_update.iter_mut().enumerate() {
            let is_turn = (index + step as usize).is_multiple_of(STEPS_PER_INTERVAL);
            if *has_update || is_turn {
                let is_update = std::mem::take(has_update);
                let (mut bytes, mut spent) = (0, Duration::ZERO);
                exchange_heartbeats(tables, index, now, is_update, &mut bytes, &mut spent);
            }
        }
        for (index, table) in tables.iter_mut().enumerate() {
            let has_heard = table.known(now).any(|(record, _)| record.configuration == NEW_VERSION);
            if has_heard && table.own().configuration < NEW_VERSION {
                table.set_versions(NEW_VERSION, NEW_VERSION, 2);
                has_update[index] = true;
            }
        }
        if tables.iter().all(|table| table.own().configuration == NEW_VERSION) {
            return STEP * (step + 1);
        }
    }
    Duration::MAX
}

fn exchange_heartbeats(
    tables: &mut [HeartbeatTable],
    from: usize,
    now: SystemTime,
    is_update: bool,
    bytes: &mut usize,
    spent: &mut Duration,
) {
    let began = Instant::now();
    let targets = tables[from].next_targets(now, is_update);

    for target in targets {
        let message = tables[from].message(now);
        *bytes += call_bytes(&message);
        let index = target.id as usize;
        tables[index].merge(message, now);
        let answer = tables[index].message(now);
        *bytes += call_bytes(&answer);
        tables[from].merge(answer, now);
    }
    *spent += began.elapsed();
}

fn call_bytes(message: &HeartbeatMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |encoded| encoded.len()) + CALL_OVERHEAD_BYTES
}

/// Returns the age of the oldest last heartbeat in a table: the heartbeats by which the table is
/// behind, times the heartbeat interval.
fn heartbeat_lag(table: &HeartbeatTable, tables: &[HeartbeatTable]) -> Duration {
    let behind = table.known(start_time()).map(|(record, _)| {
        let latest = tables[record.id as usize].own().heartbeat_count;
        u32::try_from(latest.saturating_sub(record.heartbeat_count)).unwrap_or(u32::MAX)
    });

    HEARTBEAT_INTERVAL * behind.max().unwrap_or(0)
}
